package tsintake

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"turmericshed/core/tsintake"
)

// Reasons for closing a connection, the values of the label "reason".
const (
	reasonConnections = "connections"
	reasonHeadBytes   = "head_bytes"
)

const (
	// lingerTimeout bounds how long the rest of a refused request's body is discarded, and
	// lingerIdleTimeout how long none of it may arrive. On a saturated link a body takes seconds.
	lingerTimeout     = 10 * time.Second
	lingerIdleTimeout = 2 * time.Second
	lingerBufferBytes = 2 << 10
)

// Listen listens on an address for callers. Its connections take over the least buffers in the
// kernel where the machine's memory is known, also while they are not accepted yet: the window of
// a connection can be raised later, but not lowered without stalls.
func Listen(ctx context.Context, addr netip.AddrPort, memoryBytes int64) (net.Listener, error) {
	var lc net.ListenConfig
	if memoryBytes > 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return setBuffers(raw, tsintake.LeastSocketBufferBytes)
		}
	}
	return lc.Listen(ctx, "tcp", addr.String())
}

// Listener returns a listener that closes connections over the limits: others than the new one
// where that is possible. The kernel's buffers of a connection from [Listen] are enlarged as far as
// there is memory for it.
func (in *Intake) Listener(ln net.Listener) net.Listener {
	if in == nil {
		return ln
	}
	return &listener{ln, in}
}

type listener struct {
	net.Listener
	in *Intake
}

// Accept returns the next connection that may stay.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if cc, ok := l.in.addConn(c); ok {
			return cc, nil
		}
		_ = c.Close()
	}
}

// addConn counts a new connection, and reports whether it may stay.
func (in *Intake) addConn(c net.Conn) (*conn, bool) {
	in.mu.Lock()
	in.lastID++
	cc := &conn{Conn: c, in: in, id: tsintake.ConnID(in.lastID)}
	cc.readsHead.Store(true)
	toClose, ok := in.conns.Open(time.Now(), cc.id)
	bufferBytes := 0
	if ok {
		in.open[cc.id] = cc
		bufferBytes = in.conns.ReceiveBuffer(cc.id)
	}
	victims := in.takeOut(toClose)
	in.mu.Unlock()
	in.closeAll(victims, reasonConnections)
	if !ok {
		in.noteClosed(1, reasonConnections)
		return nil, false
	}
	if bufferBytes > tsintake.LeastSocketBufferBytes {
		in.boundBuffers(cc, bufferBytes)
	}
	return cc, true
}

// Dialer wraps dial so that the kernel's buffers of the connections that it opens are bounded.
func (in *Intake) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		in.boundBuffers(c, tsintake.SocketBufferBytes)
		return c, nil
	}
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// boundBuffers sets the sizes of the kernel's buffers of a connection where the machine's memory is
// known.
func (in *Intake) boundBuffers(c net.Conn, bytes int) {
	if in.limits.HeadBytes <= 0 {
		return
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err == nil {
		err = setBuffers(raw, bytes)
	}
	if err != nil && in.log != nil {
		in.log.Debug("cannot bound the buffers of a connection", "error", err.Error())
	}
}

// setBuffers sets the sizes of both buffers of a socket; the kernel adds as much for its own
// overhead. The window that is announced to the peer grows up to the size.
func setBuffers(raw syscall.RawConn, bytes int) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			setErr = errors.Join(setErr, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes))
		}
		// Without it, an accepted connection keeps the window of the listener's buffer.
		setErr = errors.Join(setErr, unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes))
	})
	return errors.Join(err, setErr)
}

// takeOut removes the connections with the ids. in.mu must be held.
func (in *Intake) takeOut(ids []tsintake.ConnID) (victims []*conn) {
	for _, id := range ids {
		if c := in.open[id]; c != nil {
			victims = append(victims, c)
			delete(in.open, id)
		}
	}
	return victims
}

// closeAll closes connections to stay within the limits.
func (in *Intake) closeAll(victims []*conn, reason string) {
	if len(victims) == 0 {
		return
	}
	for _, c := range victims {
		_ = c.closeNow()
	}
	in.noteClosed(len(victims), reason)
}

// noteClosed counts closed connections, and logs them at most once per logInterval.
func (in *Intake) noteClosed(n int, reason string) {
	in.closed.WithLabelValues(reason).Add(float64(n))
	in.mu.Lock()
	in.closedSince += n
	total, now := in.closedSince, time.Now()
	isDue := now.Sub(in.loggedAt) >= logInterval
	if isDue {
		in.loggedAt, in.closedSince = now, 0
	}
	var open [tsintake.ConnStates]int
	for s := range open {
		open[s] = in.conns.Count(tsintake.ConnState(s))
	}
	in.mu.Unlock()
	if isDue && in.log != nil {
		in.log.Warn("closed connections of callers to stay within the limits", "closed", total, "reason", reason,
			"awaiting_head", open[tsintake.AwaitingHead], "reading_body", open[tsintake.ReadingBody], "running", open[tsintake.Running], "idle", open[tsintake.Idle])
	}
}

// conn is a caller's connection that counts toward the limits.
type conn struct {
	net.Conn
	in   *Intake
	id   tsintake.ConnID
	once sync.Once
	// isRefused is true while the request on the connection is refused and its body is unread.
	isRefused atomic.Bool
	// readsHead is true while the bytes that are read belong to the head of a request.
	readsHead atomic.Bool
	// logsUnread is true if the requests on the connection are known, see headServed.
	logsUnread atomic.Bool
	// headBytes is the number of bytes that were read of a head whose request is not served yet,
	// and readErr the error of the last such read; in.mu must be held.
	headBytes int
	readErr   error
}

// SetState records what a connection is used for. It does nothing for a connection that no
// listener of this package accepted.
func SetState(c net.Conn, s tsintake.ConnState) {
	cc, ok := c.(*conn)
	if !ok {
		return
	}
	cc.readsHead.Store(s == tsintake.AwaitingHead || s == tsintake.Idle)
	cc.isRefused.Store(s == tsintake.Refused)
	in := cc.in
	in.mu.Lock()
	victims := in.takeOut(in.conns.SetState(time.Now(), cc.id, s))
	in.mu.Unlock()
	in.closeAll(victims, reasonConnections)
}

// admit counts the running request of a connection toward a flow, and reports whether the flow has
// a share left. A connection that no listener of this package accepted is not counted.
func admit(c net.Conn, f tsintake.Flow) bool {
	cc, ok := c.(*conn)
	if !ok {
		return true
	}
	in := cc.in
	in.mu.Lock()
	toClose, ok := in.conns.Admit(time.Now(), cc.id, f)
	victims := in.takeOut(toClose)
	in.mu.Unlock()
	in.closeAll(victims, reasonShare)
	return ok
}

// headServed records that the request whose head was read is served.
func headServed(c net.Conn) {
	cc, ok := c.(*conn)
	if !ok {
		return
	}
	cc.in.mu.Lock()
	defer cc.in.mu.Unlock()
	cc.headBytes = 0
}

// Read reads from the connection. Bytes of a head count toward the limit of all heads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if (n > 0 || err != nil) && c.readsHead.Load() {
		in := c.in
		in.mu.Lock()
		c.headBytes += n
		c.readErr = err
		victims := in.takeOut(in.conns.HeadReceived(c.id, n))
		in.mu.Unlock()
		in.closeAll(victims, reasonHeadBytes)
	}
	return n, err
}

// Close closes the connection and removes it from the count. If the caller may still be sending the
// body of a refused request, the connection is closed in the background once the caller has closed
// its side: a connection that is closed before is reset, and the caller may lose the refusal.
func (c *conn) Close() error {
	if c.isRefused.Swap(false) && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

// linger discards what the caller sends until it closes its side, at most for lingerTimeout, and
// closes the connection.
func (c *conn) linger() {
	end := time.Now().Add(lingerTimeout)
	var buf [lingerBufferBytes]byte
	for now := time.Now(); now.Before(end); now = time.Now() {
		if c.SetReadDeadline(earlier(now.Add(lingerIdleTimeout), end)) != nil {
			break
		}
		if _, err := c.Conn.Read(buf[:]); err != nil {
			break
		}
	}
	_ = c.closeNow()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// closeNow closes the connection and removes it from the count.
func (c *conn) closeNow() error {
	c.once.Do(func() {
		c.in.mu.Lock()
		headBytes, readErr := c.headBytes, c.readErr
		c.in.conns.Close(c.id)
		delete(c.in.open, c.id)
		c.in.mu.Unlock()
		if headBytes > 0 && c.logsUnread.Load() {
			c.in.noteUnread(c, headBytes, readErr)
		}
	})
	return c.Conn.Close()
}

// noteUnread logs that a connection ended before the head of its next request was complete: no line
// of a request tells of it. Without an error of the caller's connection, this process closed it.
func (in *Intake) noteUnread(c net.Conn, headBytes int, readErr error) {
	if in.log == nil {
		return
	}
	attrs := []any{"caller", c.RemoteAddr().String(), "head_bytes", headBytes}
	if readErr != nil {
		attrs = append(attrs, "error", readErr.Error())
	}
	in.log.Info("connection ended before its request was complete", attrs...)
}

// CloseWrite closes the writing side, if the connection supports it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection. Error: EINVAL if the connection has none.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}
