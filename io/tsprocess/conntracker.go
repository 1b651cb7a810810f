package tsprocess

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// connTracker tracks every open connection of a process, so that all of them can
// be closed at once.
type connTracker struct {
	mu       sync.Mutex
	isClosed bool
	conns    map[*trackedConn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: map[*trackedConn]struct{}{}} }

// closeAll closes every tracked connection. New connections fail from then on.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isClosed = true
	for c := range t.conns {
		_ = c.Conn.Close()
	}
	clear(t.conns)
}

// track returns the connection as one that stays tracked until it is closed. After
// closeAll it closes the connection and returns net.ErrClosed.
func (t *connTracker) track(c net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: c, tracker: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t.conns[tracked] = struct{}{}
	return tracked, nil
}

// wrapDial returns a dial function whose connections are tracked.
func (t *connTracker) wrapDial(next DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return t.track(c)
	}
}

// trackedConn is a connection that is tracked until it is closed.
type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn returns the raw connection. Error: EINVAL if the connection has none.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// CloseWrite closes the writing side, if the connection supports it.
func (c *trackedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits for the next connection and tracks it.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(c)
}
