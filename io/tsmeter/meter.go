// Package tsmeter counts the bytes of a process's connections by the party at their other end, and
// estimates how loaded the entry VM's network link is.
//
// # Usage
//
//	m := tsmeter.New(tsmeter.Config{BytesPerSecond: 1_250_000, Metrics: registry, Log: log})
//	ln = m.Listener(tsmeter.Callers, ln)
//	dial = m.Dialer(tsmeter.Servers, dial)
//	supervisor.Add(m)
//	if m.Congested(began) { ... } // a timeout since began does not show that the peer is slow
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

// Party is the kind of process at the other end of a connection.
type Party int

// The parties. partyCount is their number.
const (
	Callers Party = iota
	Servers
	Store
	EntryVMs
	partyCount
)

// String returns the snake-case name used in logs and metrics.
func (p Party) String() string {
	return [partyCount]string{"callers", "servers", "store", "entry_vms"}[p]
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Config holds the settings and dependencies of a Meter.
type Config struct {
	// BytesPerSecond is the capacity of the link in each direction, in bytes per second; 0 if unknown.
	BytesPerSecond float64
	// Metrics is the registry for the meter's metrics; may be nil.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Meter counts the bytes of one process and tracks the load of its link.
type Meter struct {
	cfg       Config
	counters  [partyCount]partyCounters
	bodyQueue *bodyQueue

	mu     sync.Mutex
	link   *tslink.Link
	relief tslink.Relief
	isFull atomic.Bool
}

// partyCounters are the bytes and the opened connections of one party.
type partyCounters struct{ in, out, opened atomic.Int64 }

var _ turmericshed.Link = (*Meter)(nil)

// New returns a meter with all counters at 0.
func New(cfg Config) *Meter {
	m := &Meter{cfg: cfg, link: tslink.New(cfg.BytesPerSecond), bodyQueue: newBodyQueue(cfg.BytesPerSecond)}
	m.register()
	return m
}

// WasCongested reports whether bytes waited at the link, or for the process, at any time from since on.
func (m *Meter) WasCongested(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link.Congested(time.Now(), since)
}

// IsSaturated reports whether callers should be sent to other entry VMs.
func (m *Meter) IsSaturated() bool { return m.isFull.Load() }

// Delay returns how long size bytes written now take to leave the link.
func (m *Meter) Delay(size int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link.Delay(time.Now(), size)
}

// linkState is the current load of the link.
type linkState struct {
	inboundLoad, outboundLoad float64
	queueDelay                time.Duration
	congested                 bool
}

// state returns the load as fractions of the capacity, and the delay of the outbound queue.
func (m *Meter) state() linkState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return linkState{
		inboundLoad: m.link.Load(now, tslink.Inbound), outboundLoad: m.link.Load(now, tslink.Outbound),
		queueDelay: m.link.Queue(now), congested: m.link.Congested(now, now),
	}
}

// addBytes counts n bytes of a connection.
func (m *Meter) addBytes(p Party, d tslink.Direction, n int) {
	if n <= 0 {
		return
	}
	c := &m.counters[p].out
	if d == tslink.Inbound {
		c = &m.counters[p].in
	}
	c.Add(int64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link.RecordTraffic(time.Now(), d, n)
}

// Listener wraps ln so that the connections that it accepts are counted for a party.
func (m *Meter) Listener(p Party, ln net.Listener) net.Listener { return &listener{ln, m, p} }

// Dialer wraps dial so that the connections that it opens are counted for a party.
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

// Accept returns the next connection, with its bytes counted.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(l.party, c), nil
}

func (m *Meter) wrap(p Party, c net.Conn) net.Conn {
	m.counters[p].opened.Add(1)
	return &conn{Conn: c, meter: m, party: p}
}
