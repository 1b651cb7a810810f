package tsupstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"turmericshed"
)

const (
	// dialTimeout bounds the opening of a connection. It is below a second, after which
	// TCP would retransmit a lost packet of the handshake: trying another server is
	// faster. congestedDialTimeout applies while packets wait at the local link, where
	// another dial would have to wait as well.
	dialTimeout          = 400 * time.Millisecond
	congestedDialTimeout = 1500 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT, after which a connection whose peer
	// acknowledges nothing is closed. Callers cancel a stream after about twice as
	// long.
	userTimeout = 1800 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive to
	// detect a dead peer within about userTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 400 * time.Millisecond
	keepAliveCount    = 2
	// readBufferBytes is the size of the read buffer; an answer's headers usually fit.
	readBufferBytes = 4 << 10
)

// Dial opens a connection as Dialer.Dial does over a link that is never congested.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return Dialer{}.Dial(ctx, network, addr)
}

// Dialer opens connections over a link that may be congested.
type Dialer struct {
	// Link reports whether packets wait at the local link; nil means that none do.
	Link turmericshed.Link
}

// Dial opens a connection that detects an unresponsive peer and that discards unsent data
// when it is closed.
func (l Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         turmericshed.LinkTimeout(l.Link, dialTimeout, congestedDialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			ctrlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if ctrlErr != nil {
				return ctrlErr
			}
			return err
		},
	}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Data that is not delivered when the connection is closed must not be
		// delivered later.
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// conn is a connection to a backend server that carries one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// headBytesLeft is the number of bytes that may still be read for the head of the
	// current answer; it applies while isReadingHead is true.
	headBytesLeft int
	isReadingHead bool
	// requestCount is the number of requests that the connection has carried.
	requestCount int
	// idleSince and expires are set when the connection becomes idle.
	idleSince time.Time
	expires   time.Time
}

// maxHeadBytes bounds the status line and headers of an answer, including preceding
// informational answers: a faulty server may send bytes without end.
const maxHeadBytes = 256 << 10

var errHeadTooLarge = errors.New("the status line and headers exceed the size limit")

// withHeadLimit calls f, whose reads fail with errHeadTooLarge after maxHeadBytes bytes.
func (c *conn) withHeadLimit(f func() error) error {
	c.headBytesLeft, c.isReadingHead = maxHeadBytes, true
	defer func() { c.isReadingHead = false }()
	return f()
}

// Read enforces the limit of withHeadLimit. Only br calls it.
func (c *conn) Read(p []byte) (int, error) {
	if !c.isReadingHead {
		return c.Conn.Read(p)
	}
	if c.headBytesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headBytesLeft -= n
	return n, err
}

// isQuiet reports whether an idle connection is open and has no unread bytes, which would
// belong to no request.
func (c *conn) isQuiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN //nolint:errorlint // unix returns the number itself.
	})
	return err == nil && quiet
}

// serverKey identifies one incarnation of a server at one address.
type serverKey struct {
	id      turmericshed.ServerID
	addr    string
	started int64
}

func keyOf(s turmericshed.BackendServer) serverKey {
	return serverKey{id: s.ID, addr: s.Addr.String(), started: s.Started.UnixMilli()}
}

// serverConns holds the connections to one server.
type serverConns struct {
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
	// openCount counts the idle connections and those in use or being opened.
	openCount int
}

// connPool holds the connections to all servers.
type connPool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu      sync.Mutex
	servers map[serverKey]*serverConns
}

// forServer returns the connections to a server and creates the entry if necessary. cs.mu
// must be held.
func (cs *connPool) forServer(k serverKey) *serverConns {
	sc := cs.servers[k]
	if sc == nil {
		sc = &serverConns{}
		cs.servers[k] = sc
	}
	return sc
}

// acquire returns an idle connection that was last used within maxIdle. Without one it
// returns nil and whether a new connection may be opened; if so, it is counted and openConn
// must follow. limit is the maximum number of connections to the server, 0 for no limit.
func (cs *connPool) acquire(now time.Time, k serverKey, maxIdle time.Duration, limit int) (c *conn, mayOpen bool) {
	for {
		cs.mu.Lock()
		sc := cs.forServer(k)
		n := len(sc.idle)
		if n == 0 || now.Sub(sc.idle[n-1].idleSince) > maxIdle {
			mayOpen = limit <= 0 || sc.openCount < limit
			if !mayOpen && n > 0 {
				// The connection that was idle for longest is replaced by a new one.
				oldest := sc.idle[0]
				sc.idle = sc.idle[1:]
				cs.mu.Unlock()
				cs.discard(k, oldest)
				continue
			}
			if mayOpen {
				sc.openCount++
			}
			cs.mu.Unlock()
			return nil, mayOpen
		}
		c = sc.idle[n-1]
		sc.idle = sc.idle[:n-1]
		cs.mu.Unlock()
		if now.Before(c.expires) && c.isQuiet() {
			return c, true
		}
		cs.discard(k, c)
	}
}

// openConn opens a connection that acquire has allowed and counted.
func (cs *connPool) openConn(ctx context.Context, k serverKey) (*conn, error) {
	nc, err := cs.dial(ctx, "tcp", k.addr)
	if err != nil {
		cs.decrementOpen(k)
		return nil, err
	}
	c := &conn{Conn: nc}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// release returns a used connection to the pool, where it expires after idleTimeout.
func (cs *connPool) release(now time.Time, k serverKey, c *conn, idleTimeout time.Duration) {
	c.idleSince, c.expires = now, now.Add(idleTimeout)
	cs.addIdle(k, c)
}

// releaseUnused returns a connection that carried no request since acquire. It does not
// extend the time at which the connection expires.
func (cs *connPool) releaseUnused(now time.Time, k serverKey, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince, c.expires = now, now.Add(defaultIdleTimeout)
	}
	cs.addIdle(k, c)
}

func (cs *connPool) addIdle(k serverKey, c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sc := cs.forServer(k)
	sc.idle = append(sc.idle, c)
}

// discard closes a connection and removes it from the count.
func (cs *connPool) discard(k serverKey, c *conn) {
	_ = c.Close()
	cs.decrementOpen(k)
}

// decrementOpen counts one connection to the server less and removes the entry of a server
// without connections.
func (cs *connPool) decrementOpen(k serverKey) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sc := cs.forServer(k)
	sc.openCount--
	turmericshed.Assert(sc.openCount >= 0, "connections_counted", "server %s: %d", k.id, sc.openCount)
	if sc.openCount == 0 {
		delete(cs.servers, k)
	}
}

// closeExpired closes the idle connections that have expired.
func (cs *connPool) closeExpired(now time.Time) {
	type expired struct {
		key serverKey
		*conn
	}
	var toClose []expired
	cs.mu.Lock()
	for k, sc := range cs.servers {
		kept := sc.idle[:0]
		for _, c := range sc.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			toClose = append(toClose, expired{k, c})
		}
		sc.idle = kept
	}
	cs.mu.Unlock()
	for _, e := range toClose {
		cs.discard(e.key, e.conn)
	}
}
