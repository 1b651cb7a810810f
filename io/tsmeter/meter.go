// Package tsmeter counts the bytes of a process's connections by who is at
// their other end, and tells how full the entry VM's network link is.
//
// # Usage
//
//	m := tsmeter.New(tsmeter.Config{Rate: 1_250_000, Metrics: registry, Log: log})
//	ln = m.Listener(tsmeter.Callers, ln)
//	dial = m.Dialer(tsmeter.Servers, dial)
//	supervisor.Add(m)
//	if m.Crowded(began) { ... } // a time-out since then proves nothing
package tsmeter

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tslink"
)

// Party is who is at the other end of a connection.
type Party int

// The parties.
const (
	Callers Party = iota
	Servers
	Store
	EntryVMs
	parties
)

// String returns the snake-case name used in logs and metrics.
func (p Party) String() string {
	return [parties]string{"callers", "servers", "store", "entry_vms"}[p]
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Config holds what a Meter needs.
type Config struct {
	// Rate is what the link carries each way, in bytes a second; 0 if nobody
	// told.
	Rate float64
	// Metrics takes the meter's metrics; may be nil.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Meter counts the bytes of one process.
type Meter struct {
	cfg    Config
	counts [parties]count
	turns  *turns

	mu     sync.Mutex
	link   *tslink.Link
	relief tslink.Relief
	full   atomic.Bool
}

// count is what passed the connections to one party.
type count struct{ in, out, opened atomic.Int64 }

var _ turmericshed.Link = (*Meter)(nil)

// New returns a meter that counted nothing.
func New(cfg Config) *Meter {
	m := &Meter{cfg: cfg, link: tslink.New(cfg.Rate), turns: newTurns(cfg.Rate)}
	m.register()
	return m
}

// Crowded reports whether bytes waited at the link at some time since then.
func (m *Meter) Crowded(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link.Crowded(time.Now(), since)
}

// Full reports whether callers should go to other entry VMs.
func (m *Meter) Full() bool { return m.full.Load() }

// Delay returns how long size bytes that are written now take to leave the
// link.
func (m *Meter) Delay(size int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link.Delay(time.Now(), size)
}

// state is how full the link is.
type state struct {
	in, out float64
	queue   time.Duration
	crowded bool
}

func (m *Meter) state() state {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return state{
		in: m.link.Load(now, tslink.Inbound), out: m.link.Load(now, tslink.Outbound),
		queue: m.link.Queue(now), crowded: m.link.Crowded(now, now),
	}
}

// moved counts n bytes of a connection.
func (m *Meter) moved(p Party, d tslink.Direction, n int) {
	if n <= 0 {
		return
	}
	c := &m.counts[p].out
	if d == tslink.Inbound {
		c = &m.counts[p].in
	}
	c.Add(int64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link.Moved(time.Now(), d, n)
}

// Listener counts the connections that ln accepts as those of a party.
func (m *Meter) Listener(p Party, ln net.Listener) net.Listener { return &listener{ln, m, p} }

// Dialer counts the connections that dial opens as those to a party.
func (m *Meter) Dialer(p Party, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.wrap(p, c), nil
	}
}

type listener struct {
	net.Listener
	meter *Meter
	party Party
}

// Accept counts the bytes of the connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(l.party, c), nil
}

func (m *Meter) wrap(p Party, c net.Conn) net.Conn {
	m.counts[p].opened.Add(1)
	return &conn{Conn: c, meter: m, party: p}
}
