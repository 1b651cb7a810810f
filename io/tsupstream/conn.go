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
	// dialTimeout bounds the making of a connection: a lost packet of the
	// handshake is sent again only after a second, which is too late to wait.
	// crowdedDialTimeout bounds it while packets wait at the own link, where
	// trying another server would only wait again.
	dialTimeout        = 400 * time.Millisecond
	crowdedDialTimeout = 1500 * time.Millisecond
	// userTimeout ends a connection whose peer acknowledges nothing; callers
	// give a stream up after about twice as long.
	userTimeout = 1800 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection
	// that went silent within about userTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 400 * time.Millisecond
	keepAliveCount    = 2
	// readBufferBytes holds an answer's headers.
	readBufferBytes = 4 << 10
)

// Dial opens a connection that notices a silent peer.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return Dialer{}.Dial(ctx, network, addr)
}

// Dialer opens connections over a link that may be crowded.
type Dialer struct {
	// Link tells whether packets wait at the own link; nil never does.
	Link turmericshed.Link
}

// Dial opens a connection that notices a silent peer, and whose end drops what
// still waits to be sent.
func (l Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         turmericshed.Patience(l.Link, dialTimeout, crowdedDialTimeout),
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
		// What was not delivered when the connection is closed must not be later.
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
	// headBytesLeft is what may still be read for an answer's headBytesLeft, and inHead true
	// while one is read.
	headBytesLeft   int
	isReadingHead bool
	// requestCount is how many it carried.
	requestCount int
	// idleSince and expires are set while the connection is idle.
	idleSince time.Time
	expires   time.Time
}

// maxHeadBytes bounds the head of an answer, with the informational answers
// before it: a server in trouble may send bytes without end.
const maxHeadBytes = 256 << 10

var errHeadTooLarge = errors.New("the head of the answer is too large")

// withHeadLimit runs f, which may read no more than a head's bytes.
func (c *conn) withHeadLimit(f func() error) error {
	c.headBytesLeft, c.isReadingHead = maxHeadBytes, true
	defer func() { c.isReadingHead = false }()
	return f()
}

// Read bounds the bytes of a head. It is called by br alone.
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

// isQuiet reports whether nothing arrived on an idle connection: neither its
// end nor bytes that answer nothing.
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

// serverKey tells one start of a server at one address from all others.
type serverKey struct {
	id      turmericshed.ServerID
	addr    string
	started int64
}

func keyOf(s turmericshed.BackendServer) serverKey {
	return serverKey{id: s.ID, addr: s.Addr.String(), started: s.Started.UnixMilli()}
}

// serverConns has the connections to one server.
type serverConns struct {
	// idle has the connection used last at its end.
	idle []*conn
	openCount int
}

// connPool are the pools of all servers.
type connPool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	servers map[serverKey]*serverConns
}

func (cs *connPool) forServer(k serverKey) *serverConns {
	p := cs.servers[k]
	if p == nil {
		p = &serverConns{}
		cs.servers[k] = p
	}
	return p
}

// acquire returns an idle connection that was used within maxIdle, or nil and
// whether a new one may be opened.
func (cs *connPool) acquire(now time.Time, k serverKey, maxIdle time.Duration, limit int) (c *conn, mayOpen bool) {
	for {
		cs.mu.Lock()
		p := cs.forServer(k)
		n := len(p.idle)
		if n == 0 || now.Sub(p.idle[n-1].idleSince) > maxIdle {
			mayOpen = limit <= 0 || p.openCount < limit
			if !mayOpen && n > 0 {
				// The stalest one makes room for a new connection.
				stale := p.idle[0]
				p.idle = p.idle[1:]
				cs.mu.Unlock()
				cs.discard(k, stale)
				continue
			}
			if mayOpen {
				p.openCount++
			}
			cs.mu.Unlock()
			return nil, mayOpen
		}
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		cs.mu.Unlock()
		if now.Before(c.expires) && c.isQuiet() {
			return c, true
		}
		cs.discard(k, c)
	}
}

// open makes a connection that take allowed.
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

// release keeps an idle connection for as long as the server does.
func (cs *connPool) release(now time.Time, k serverKey, c *conn, keep time.Duration) {
	c.idleSince, c.expires = now, now.Add(keep)
	cs.addIdle(k, c)
}

// releaseUnused keeps a connection that was taken and not used, for as long as before.
func (cs *connPool) releaseUnused(now time.Time, k serverKey, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince, c.expires = now, now.Add(defaultIdleTimeout)
	}
	cs.addIdle(k, c)
}

func (cs *connPool) addIdle(k serverKey, c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	p := cs.forServer(k)
	p.idle = append(p.idle, c)
}

// discard closes a connection.
func (cs *connPool) discard(k serverKey, c *conn) {
	_ = c.Close()
	cs.decrementOpen(k)
}

func (cs *connPool) decrementOpen(k serverKey) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	p := cs.forServer(k)
	p.openCount--
	turmericshed.Assert(p.openCount >= 0, "connections_counted", "server %s: %d", k.id, p.openCount)
	if p.openCount == 0 {
		delete(cs.servers, k)
	}
}

// closeExpired closes the connections that have been idle for too long.
func (cs *connPool) closeExpired(now time.Time) {
	type expired struct {
		key serverKey
		*conn
	}
	var old []expired
	cs.mu.Lock()
	for k, p := range cs.servers {
		keep := p.idle[:0]
		for _, c := range p.idle {
			if now.Before(c.expires) {
				keep = append(keep, c)
				continue
			}
			old = append(old, expired{k, c})
		}
		p.idle = keep
	}
	cs.mu.Unlock()
	for _, e := range old {
		cs.discard(e.key, e.conn)
	}
}
