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
	// drainTimeout is how long requests may still reach a leaving server after the
	// store has confirmed the change of its entry. contactTimeout is how long an
	// entry VM is exempt from that bound after the store left its query
	// unanswered.
	drainTimeout   = 2 * time.Second
	contactTimeout = 3 * time.Second
	// cutDuration is how long connections are cut, and leaveDelay the time from
	// the start of the cut until a server leaves.
	cutDuration = 6 * time.Second
	leaveDelay  = 300 * time.Millisecond
)

// partition is the network of an entry VM. While connections to the store, or to
// other entry VMs, are cut, they lose all bytes without being reset.
type partition struct {
	cutsStore, cutsPeers atomic.Bool
	// isPeer reports whether an address belongs to another entry VM.
	isPeer    func(addr string) bool
	storeAddr string
}

// drops reports whether connections to addr are cut now.
func (p *partition) drops(addr string) bool {
	return addr == p.storeAddr && p.cutsStore.Load() || p.isPeer(addr) && p.cutsPeers.Load()
}

// dial opens a connection; if addr is cut off, it waits until ctx ends.
func (p *partition) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if p.drops(addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := tsupstream.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: conn, partition: p, addr: addr, closed: make(chan struct{})}, nil
}

// lossyConn loses the bytes that are sent or received during a cut. Once it has lost
// any, it transfers no more.
type lossyConn struct {
	net.Conn
	partition    *partition
	addr         string
	hasLostBytes atomic.Bool
	once         sync.Once
	closed       chan struct{}
}

// isSilent reports whether the connection is cut, or was in an earlier Read or Write.
func (c *lossyConn) isSilent() bool {
	if c.partition.drops(c.addr) {
		c.hasLostBytes.Store(true)
	}
	return c.hasLostBytes.Load()
}

// Read blocks until Close once the connection lost bytes.
func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops p without an error once the connection lost bytes.
func (c *lossyConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close also wakes blocked readers.
func (c *lossyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// domainRig has three entry VMs in one failure domain. The first relays the store
// updates to the others.
type domainRig struct {
	*rig
	vms        []*entryVM
	partitions []*partition
}

// newDomainRig returns a rig once its first entry VM relays the updates.
func newDomainRig(t *testing.T) *domainRig {
	t.Helper()
	d := &domainRig{rig: newRig(t, 1_000_000)}
	d.kill()
	isPeer := func(addr string) bool {
		hasAddr := func(b *tsmetastore.Backend) bool { return b.Addr() == addr }
		return addr != d.storeAddr && !slices.ContainsFunc(d.desks, hasAddr) && !slices.ContainsFunc(d.engines, hasAddr)
	}
	for n := range 3 {
		p := &partition{isPeer: isPeer, storeAddr: d.storeAddr}
		d.partitions = append(d.partitions, p)
		d.vms = append(d.vms, d.startWith(fmt.Sprint("vm-", n+2), func(cfg *tsgateway.Config) {
			cfg.Settings.Capacity = float64(9 - n)
			cfg.Settings.Bounds.DrainTimeout, cfg.Settings.Bounds.ApplyTimeout = drainTimeout, drainTimeout
			cfg.Settings.Bounds.ContactTimeout = contactTimeout
			cfg.Dial = p.dial
		}))
	}
	// Wait until the registry's second listing has found all entry VMs and the
	// first one relays.
	time.Sleep(3500 * time.Millisecond)
	return d
}

// requestThroughout sends look-ups to an entry VM for a time and returns the number
// of answers by status.
func (d *domainRig) requestThroughout(vm *entryVM, span time.Duration) map[int]int {
	d.t.Helper()
	d.entryVM = vm
	got := make(map[int]int)
	for began := time.Now(); time.Since(began) < span; time.Sleep(20 * time.Millisecond) {
		got[d.request(http.MethodGet, "/look/1", "").status]++
	}
	return got
}

// scheduleLeave removes the first desk from the store, or marks it as draining, after
// leaveDelay. The channel receives the time at which the store has confirmed it.
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

// assertDrained checks that no request reached the first desk after the drain
// timeout.
func (d *domainRig) assertDrained(confirmed time.Time) {
	d.t.Helper()
	var last time.Duration
	for _, at := range d.desks[0].Arrivals() {
		last = max(last, at.Sub(confirmed))
	}
	assert.Assert(d.t, last <= drainTimeout, "a request reached the server %s after it had left", last)
}

// Guards against requests that reach a server seconds after it left. They come from an
// entry VM that reaches the store itself, but waits for updates from a relay that is
// cut off from the store, or from peers that it can't reach.
func TestRequestsReachALeavingServerWhileTheRelayIsCutOff(t *testing.T) {
	for name, fault := range map[string]func(d *domainRig){
		"the relay is cut off from the store": func(d *domainRig) { d.partitions[0].cutsStore.Store(true) },
		"the first two entry VMs are cut off from the store": func(d *domainRig) {
			d.partitions[0].cutsStore.Store(true)
			d.partitions[1].cutsStore.Store(true)
		},
		"no other entry VM answers": func(d *domainRig) { d.partitions[2].cutsPeers.Store(true) },
	} {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, removed %t", name, removed), func(t *testing.T) {
				t.Parallel()
				d := newDomainRig(t)
				fault(d)
				confirmed := d.scheduleLeave(removed)
				got := d.requestThroughout(d.vms[2], cutDuration)
				d.assertDrained(<-confirmed)
				assert.Equal(t, len(got), 1, "answers by status: %v", got)
				assert.Assert(t, got[http.StatusOK] > 0, "answers by status: %v", got)
			})
		}
	}
}

// An entry VM that is cut off from the store and its peers serves requests by its last
// known state.
func TestEntryVMThatIsCutOffGoesOnServing(t *testing.T) {
	t.Parallel()
	d := newDomainRig(t)
	for _, p := range d.partitions {
		p.cutsStore.Store(true)
		p.cutsPeers.Store(true)
	}
	got := d.requestThroughout(d.vms[2], cutDuration)
	assert.Equal(t, len(got), 1, "answers by status: %v", got)
	assert.Assert(t, got[http.StatusOK] > 0, "answers by status: %v", got)
}
