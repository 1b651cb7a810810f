package tsmeter

import (
	"net"
	"syscall"

	"turmericshed/core/tslink"
)

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	meter *Meter
	party Party
}

// Read reads from the connection and counts the bytes as inbound.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.addBytes(c.party, tslink.Inbound, n)
	return n, err
}

// Write writes to the connection and counts the bytes as outbound.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.addBytes(c.party, tslink.Outbound, n)
	return n, err
}

// SyscallConn returns the raw connection. Error: EINVAL if the connection has none.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// CloseWrite closes the writing side, if the connection supports it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
