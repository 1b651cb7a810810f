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
	// readBuffer holds an answer's headers.
	readBuffer = 4 << 10
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
	// head is what may still be read for an answer's head, and inHead true
	// while one is read.
	head   int
	inHead bool
	// requests is how many it carried.
	requests int
	// idleSince and expires are set while the connection is idle.
	idleSince time.Time
	expires   time.Time
}

// maxHeadBytes bounds the head of an answer, with the informational answers
// before it: a server in trouble may send bytes without end.
const maxHeadBytes = 256 << 10

var errHeadTooLarge = errors.New("the head of the answer is too large")

// readHead runs f, which may read no more than a head's bytes.
func (c *conn) readHead(f func() error) error {
	c.head, c.inHead = maxHeadBytes, true
	defer func() { c.inHead = false }()
	return f()
}

// Read bounds the bytes of a head. It is called by br alone.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.head <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p)
	c.head -= n
	return n, err
}

// quiet reports whether nothing arrived on an idle connection: neither its
// end nor bytes that answer nothing.
func (c *conn) quiet() bool {
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

// pool has the connections to one server.
type pool struct {
	// idle has the connection used last at its end.
	idle []*conn
	open int
}

// connections are the pools of all servers.
type connections struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	pools map[serverKey]*pool
}

func (cs *connections) pool(k serverKey) *pool {
	p := cs.pools[k]
	if p == nil {
		p = &pool{}
		cs.pools[k] = p
	}
	return p
}

// take returns an idle connection that was used within maxIdle, or nil and
// whether a new one may be opened.
func (cs *connections) take(now time.Time, k serverKey, maxIdle time.Duration, limit int) (c *conn, mayOpen bool) {
	for {
		cs.mu.Lock()
		p := cs.pool(k)
		n := len(p.idle)
		if n == 0 || now.Sub(p.idle[n-1].idleSince) > maxIdle {
			mayOpen = limit <= 0 || p.open < limit
			if !mayOpen && n > 0 {
				// The stalest one makes room for a new connection.
				stale := p.idle[0]
				p.idle = p.idle[1:]
				cs.mu.Unlock()
				cs.discard(k, stale)
				continue
			}
			if mayOpen {
				p.open++
			}
			cs.mu.Unlock()
			return nil, mayOpen
		}
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		cs.mu.Unlock()
		if now.Before(c.expires) && c.quiet() {
			return c, true
		}
		cs.discard(k, c)
	}
}

// open makes a connection that take allowed.
func (cs *connections) openConn(ctx context.Context, k serverKey) (*conn, error) {
	nc, err := cs.dial(ctx, "tcp", k.addr)
	if err != nil {
		cs.forget(k)
		return nil, err
	}
	c := &conn{Conn: nc}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// put keeps an idle connection for as long as the server does.
func (cs *connections) put(now time.Time, k serverKey, c *conn, keep time.Duration) {
	c.idleSince, c.expires = now, now.Add(keep)
	cs.add(k, c)
}

// putBack keeps a connection that was taken and not used, for as long as before.
func (cs *connections) putBack(now time.Time, k serverKey, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince, c.expires = now, now.Add(defaultKeep)
	}
	cs.add(k, c)
}

func (cs *connections) add(k serverKey, c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	p := cs.pool(k)
	p.idle = append(p.idle, c)
}

// discard closes a connection.
func (cs *connections) discard(k serverKey, c *conn) {
	_ = c.Close()
	cs.forget(k)
}

func (cs *connections) forget(k serverKey) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	p := cs.pool(k)
	p.open--
	turmericshed.Assert(p.open >= 0, "connections_counted", "server %s: %d", k.id, p.open)
	if p.open == 0 {
		delete(cs.pools, k)
	}
}

// sweep closes the connections that have been idle for too long.
func (cs *connections) sweep(now time.Time) {
	type expired struct {
		key serverKey
		*conn
	}
	var old []expired
	cs.mu.Lock()
	for k, p := range cs.pools {
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
