package tsrelay

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"turmericshed"
)

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// withCallerConn adds a caller's connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// errCallerLeft tells that the caller's end of the connection is closed.
var errCallerLeft = errors.New("the caller closed the connection")

// checkCallerConnected returns an error of KindCanceled when the caller of a request has
// closed its connection. It looks at the socket, since net/http does so only in
// a goroutine of its own, which may run later: an entry VM that was slow reads
// requests whose callers left long before.
func checkCallerConnected(ctx context.Context) error {
	return turmericshed.WrapError(turmericshed.KindCanceled, withCallerSocket(ctx, checkPeerOpen), "caller")
}

// withCallerSocket calls f with the socket of a request's caller, where it has one.
func withCallerSocket(ctx context.Context, f func(fd int) error) error {
	c, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
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

// resetOnClose lets the end of the caller's connection be a reset: without chunks
// a plain end would be that of a whole answer.
func (q *request) resetOnClose() {
	err := withCallerSocket(q.r.Context(), func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	if err != nil {
		q.relay.cfg.Log.Warn("the end of a broken answer is no reset", "request", string(q.inbound.ID), "error", err.Error())
	}
}

// checkPeerOpen returns why nothing more can come from a socket's other end; nil while
// something may.
func checkPeerOpen(fd int) error {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == nil && n == 0:
		return errCallerLeft
	case err == nil:
		return checkTCPState(fd)
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ETIMEDOUT):
		return err
	default:
		// Nothing has come, or the socket can't tell.
		return nil
	}
}

// States of a socket whose other end was closed, as the kernel numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// checkTCPState looks at a socket's state, since an end that follows bytes of a next
// request can't be read yet.
func checkTCPState(fd int) error {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && (info.State == tcpClose || info.State == tcpCloseWait) {
		return errCallerLeft
	}
	return nil
}
