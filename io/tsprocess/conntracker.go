package tsprocess

import (
	"context"
	"net"
	"sync"
)

// severer holds every connection of a process, so that all of them break at
// once when it is killed.
type connTracker struct {
	mu       sync.Mutex
	isClosed bool
	conns    map[*trackedConn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: map[*trackedConn]struct{}{}} }

// sever breaks every connection and bars new ones.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isClosed = true
	for c := range t.conns {
		_ = c.Conn.Close()
	}
	clear(t.conns)
}

// hold takes in a connection.
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

// dial wraps a dial function.
func (t *connTracker) wrapDial(next DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return t.track(c)
	}
}

// heldConn leaves its severer when it is closed.
type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// heldListener holds the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits for a connection.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(c)
}
