package tsgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsgateway"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// drainTimeout is how long after the store's confirmation requests may reach
	// a server that leaves, and contactTimeout how long the trouble of an entry
	// VM excuses it.
	drainTimeout   = 2 * time.Second
	contactTimeout = 3 * time.Second
	// cutFor is how long a cut lasts, and leaveAfter when in it a server leaves.
	cutFor     = 6 * time.Second
	leaveAfter = 300 * time.Millisecond
)

// cut is a network on which the connections to the store, or those to other
// entry VMs, lose their bytes while it lasts; nothing is reset.
type cut struct {
	store, peers atomic.Bool
	// others tells whether an address is another entry VM's.
	others func(addr string) bool
	url    string
}

func (c *cut) lost(addr string) bool {
	return addr == c.url && c.store.Load() || c.others(addr) && c.peers.Load()
}

func (c *cut) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.lost(addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := tsupstream.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: conn, cut: c, addr: addr, closed: make(chan struct{})}, nil
}

// lossyConn loses what passes it in a cut, and is silent for good afterwards.
type lossyConn struct {
	net.Conn
	cut    *cut
	addr   string
	dead   atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *lossyConn) silent() bool {
	if c.cut.lost(c.addr) {
		c.dead.Store(true)
	}
	return c.dead.Load()
}

// Read returns nothing once the connection lost bytes.
func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write pretends to send in a cut.
func (c *lossyConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close wakes a reader that waits for nothing.
func (c *lossyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// domain is three entry VMs, of which the first tells the others the news.
type domain struct {
	*rig
	vms  []*entryVM
	cuts []*cut
}

func newDomain(t *testing.T) *domain {
	t.Helper()
	d := &domain{rig: newRig(t, 1_000_000)}
	d.kill()
	others := func(addr string) bool {
		known := func(b *tsmetastore.Backend) bool { return b.Addr() == addr }
		return addr != d.url && !slices.ContainsFunc(d.desks, known) && !slices.ContainsFunc(d.engines, known)
	}
	for n := range 3 {
		c := &cut{others: others, url: d.url}
		d.cuts = append(d.cuts, c)
		d.vms = append(d.vms, d.startWith(fmt.Sprint("vm-", n+2), func(cfg *tsgateway.Config) {
			cfg.Settings.Capacity = float64(9 - n)
			cfg.Settings.Bounds.DrainTimeout, cfg.Settings.Bounds.ApplyTimeout = drainTimeout, drainTimeout
			cfg.Settings.Bounds.ContactTimeout = contactTimeout
			cfg.Dial = c.dial
		}))
	}
	// The registry's second list finds all of them, and the first one relays.
	time.Sleep(3500 * time.Millisecond)
	return d
}

// askThroughout asks an entry VM for look-ups for a time and returns the
// answers by status.
func (d *domain) askThroughout(vm *entryVM, span time.Duration) map[int]int {
	d.t.Helper()
	d.entryVM = vm
	got := make(map[int]int)
	for began := time.Now(); time.Since(began) < span; time.Sleep(20 * time.Millisecond) {
		got[d.ask(http.MethodGet, "/look/1", "").status]++
	}
	return got
}

// leave lets the first desk leave as the cut has lasted a moment, and returns
// when the store had confirmed it.
func (d *domain) leave(removed bool) <-chan time.Time {
	confirmed := make(chan time.Time, 1)
	time.AfterFunc(leaveAfter, func() {
		if removed {
			d.store.Remove(platform.ServerPrefix + d.desks[0].ID)
		} else {
			d.store.Put(platform.ServerPrefix+d.desks[0].ID, d.desks[0].Entry("desk", "a", "draining"))
		}
		confirmed <- time.Now()
	})
	return confirmed
}

// assertDrained checks that nothing reached the first desk after the drain
// timeout.
func (d *domain) assertDrained(confirmed time.Time) {
	d.t.Helper()
	var last time.Duration
	for _, at := range d.desks[0].Arrivals() {
		last = max(last, at.Sub(confirmed))
	}
	assert.Assert(d.t, last <= drainTimeout, "a request reached the server %s after it had left", last)
}

// Requests reached a server seconds after it had left, from entry VMs that
// reach the store and are told the news by one that does not.
func TestRequestsReachALeavingServerWhileTheRelayIsCutOff(t *testing.T) {
	for name, ail := range map[string]func(d *domain){
		"the one that tells is cut off from the store": func(d *domain) { d.cuts[0].store.Store(true) },
		"the first two are": func(d *domain) {
			d.cuts[0].store.Store(true)
			d.cuts[1].store.Store(true)
		},
		"no other entry VM answers": func(d *domain) { d.cuts[2].peers.Store(true) },
	} {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, removed %t", name, removed), func(t *testing.T) {
				t.Parallel()
				d := newDomain(t)
				ail(d)
				confirmed := d.leave(removed)
				got := d.askThroughout(d.vms[2], cutFor)
				d.assertDrained(<-confirmed)
				assert.Equal(t, len(got), 1, "answers by status: %v", got)
				assert.Assert(t, got[http.StatusOK] > 0, "answers by status: %v", got)
			})
		}
	}
}

// An entry VM that is cut off from the store serves by what it knew.
func TestEntryVMThatIsCutOffGoesOnServing(t *testing.T) {
	t.Parallel()
	d := newDomain(t)
	for _, c := range d.cuts {
		c.store.Store(true)
		c.peers.Store(true)
	}
	got := d.askThroughout(d.vms[2], cutFor)
	assert.Equal(t, len(got), 1, "answers by status: %v", got)
	assert.Assert(t, got[http.StatusOK] > 0, "answers by status: %v", got)
}
