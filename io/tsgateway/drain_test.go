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
	// cutDuration is how long a cut lasts, and leaveAfter when in it a server leaves.
	cutDuration = 6 * time.Second
	leaveDelay  = 300 * time.Millisecond
)

// partition is a network on which the connections to the store, or those to other
// entry VMs, lose their bytes while it lasts; nothing is reset.
type partition struct {
	cutsStore, cutsPeers atomic.Bool
	// isPeer tells whether an address is another entry VM's.
	isPeer    func(addr string) bool
	storeAddr string
}

func (c *partition) drops(addr string) bool {
	return addr == c.storeAddr && c.cutsStore.Load() || c.isPeer(addr) && c.cutsPeers.Load()
}

func (c *partition) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.drops(addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := tsupstream.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: conn, partition: c, addr: addr, closed: make(chan struct{})}, nil
}

// lossyConn loses what passes it in a cut, and is silent for good afterwards.
type lossyConn struct {
	net.Conn
	partition    *partition
	addr         string
	hasLostBytes atomic.Bool
	once         sync.Once
	closed       chan struct{}
}

func (c *lossyConn) isSilent() bool {
	if c.partition.drops(c.addr) {
		c.hasLostBytes.Store(true)
	}
	return c.hasLostBytes.Load()
}

// Read returns nothing once the connection lost bytes.
func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write pretends to send in a cut.
func (c *lossyConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close wakes a reader that waits for nothing.
func (c *lossyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// domainRig is three entry VMs, of which the first tells the others the news.
type domainRig struct {
	*rig
	vms        []*entryVM
	partitions []*partition
}

func newDomainRig(t *testing.T) *domainRig {
	t.Helper()
	d := &domainRig{rig: newRig(t, 1_000_000)}
	d.kill()
	others := func(addr string) bool {
		known := func(b *tsmetastore.Backend) bool { return b.Addr() == addr }
		return addr != d.storeAddr && !slices.ContainsFunc(d.desks, known) && !slices.ContainsFunc(d.engines, known)
	}
	for n := range 3 {
		c := &partition{isPeer: others, storeAddr: d.storeAddr}
		d.partitions = append(d.partitions, c)
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

// requestThroughout asks an entry VM for look-ups for a time and returns the
// answers by status.
func (d *domainRig) requestThroughout(vm *entryVM, span time.Duration) map[int]int {
	d.t.Helper()
	d.entryVM = vm
	got := make(map[int]int)
	for began := time.Now(); time.Since(began) < span; time.Sleep(20 * time.Millisecond) {
		got[d.request(http.MethodGet, "/look/1", "").status]++
	}
	return got
}

// scheduleLeave lets the first desk scheduleLeave as the cut has lasted a moment, and returns
// when the store had confirmed it.
func (d *domainRig) scheduleLeave(removed bool) <-chan time.Time {
	confirmed := make(chan time.Time, 1)
	time.AfterFunc(leaveDelay, func() {
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
func (d *domainRig) assertDrained(confirmed time.Time) {
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
	for name, ail := range map[string]func(d *domainRig){
		"the one that tells is cut off from the store": func(d *domainRig) { d.partitions[0].cutsStore.Store(true) },
		"the first two are": func(d *domainRig) {
			d.partitions[0].cutsStore.Store(true)
			d.partitions[1].cutsStore.Store(true)
		},
		"no other entry VM answers": func(d *domainRig) { d.partitions[2].cutsPeers.Store(true) },
	} {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, removed %t", name, removed), func(t *testing.T) {
				t.Parallel()
				d := newDomainRig(t)
				ail(d)
				confirmed := d.scheduleLeave(removed)
				got := d.requestThroughout(d.vms[2], cutDuration)
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
	d := newDomainRig(t)
	for _, c := range d.partitions {
		c.cutsStore.Store(true)
		c.cutsPeers.Store(true)
	}
	got := d.requestThroughout(d.vms[2], cutDuration)
	assert.Equal(t, len(got), 1, "answers by status: %v", got)
	assert.Assert(t, got[http.StatusOK] > 0, "answers by status: %v", got)
}
