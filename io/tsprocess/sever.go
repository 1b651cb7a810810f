package tsprocess

import (
	"context"
	"net"
	"sync"
)

// severer holds every connection of a process, so that all of them break at
// once when it is killed.
type severer struct {
	mu    sync.Mutex
	dead  bool
	conns map[*heldConn]struct{}
}

func newSeverer() *severer { return &severer{conns: map[*heldConn]struct{}{}} }

// sever breaks every connection and bars new ones.
func (s *severer) sever() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	for c := range s.conns {
		_ = c.Conn.Close()
	}
	clear(s.conns)
}

// hold takes in a connection.
func (s *severer) hold(c net.Conn) (net.Conn, error) {
	h := &heldConn{Conn: c, in: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	s.conns[h] = struct{}{}
	return h, nil
}

// dial wraps a dial function.
func (s *severer) dial(next DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return s.hold(c)
	}
}

// heldConn leaves its severer when it is closed.
type heldConn struct {
	net.Conn
	in *severer
}

// Close closes the connection.
func (c *heldConn) Close() error {
	c.in.mu.Lock()
	delete(c.in.conns, c)
	c.in.mu.Unlock()
	return c.Conn.Close()
}

// heldListener holds the connections that it accepts.
type heldListener struct {
	net.Listener
	in *severer
}

// Accept waits for a connection.
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.in.hold(c)
}
