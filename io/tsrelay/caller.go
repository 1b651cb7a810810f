package tsrelay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"turmericshed"
	"turmericshed/io/tsintake"
)

// errCallerDisconnected means that the caller closed its end of the connection.
var errCallerDisconnected = errors.New("the caller closed the connection")

// checkCallerConnected returns an error of KindCanceled when the caller of a request has
// closed its connection. It checks the socket itself, since net/http detects this only
// in a background goroutine that may run later: an entry VM that was slow reads requests
// whose callers disconnected long before.
func checkCallerConnected(ctx context.Context) error {
	return turmericshed.WrapError(turmericshed.KindCanceled, withCallerSocket(ctx, checkPeerOpen), "the caller disconnected")
}

// callerConnectionState returns how the connection of a request looks that was canceled: closed or
// reset by the caller, closed by this process, or open, if a deadline of the socket ended it.
func callerConnectionState(ctx context.Context) string {
	err := withCallerSocket(ctx, checkPeerOpen)
	switch {
	case err == nil:
		return "open"
	case errors.Is(err, errCallerDisconnected):
		return "closed_by_caller"
	case errors.Is(err, net.ErrClosed):
		return "closed_here"
	default:
		return "reset"
	}
}

// withCallerSocket calls f with the socket of the caller's connection. It does nothing
// when ctx carries no connection or the connection has no file descriptor.
func withCallerSocket(ctx context.Context, f func(fd int) error) error {
	c, ok := tsintake.ConnOf(ctx).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	ctrlErr := raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(ctrlErr, callErr)
}

// resetOnClose makes the caller's connection close with a reset. Without chunked
// encoding an orderly close would mark the answer as complete.
func (q *request) resetOnClose() {
	err := withCallerSocket(q.r.Context(), func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	if err != nil {
		q.relay.cfg.Log.Warn("cannot reset the caller's connection after an incomplete answer; closing it normally", "request", string(q.inbound.ID), "error", err.Error())
	}
}

// callerBuffer returns the buffer of what is held for the caller.
func (q *request) callerBuffer() *callerBuffer {
	return q.relay.buffers.buffer(q.inbound.ID, func() error { return q.rc.SetWriteDeadline(time.Now()) })
}

// checkPeerOpen returns an error when the peer has closed or reset the connection of
// the socket, nil while the peer may still send.
func checkPeerOpen(fd int) error {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == nil && n == 0:
		return errCallerDisconnected
	case err == nil:
		return checkTCPState(fd)
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ETIMEDOUT):
		return err
	default:
		// No data has arrived, or the error does not concern the peer.
		return nil
	}
}

// TCP states of a socket whose peer has closed the connection, with the kernel's numbers.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// checkTCPState returns errCallerDisconnected when the TCP state shows that the peer has closed
// the connection. A peek cannot show that while bytes of a pipelined request are unread.
func checkTCPState(fd int) error {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && (info.State == tcpClose || info.State == tcpCloseWait) {
		return errCallerDisconnected
	}
	return nil
}
