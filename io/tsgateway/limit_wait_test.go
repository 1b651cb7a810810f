package tsgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsgateway"
	"turmericshed/io/tsupstream"
	"turmericshed/standin/tsmetastore"
)

const (
	// peerWriteDelay is how long a byte takes from one entry VM to another.
	peerWriteDelay = 140 * time.Millisecond
	// lookRouteTimeout is the time limit of the route, within which all are answered.
	lookRouteTimeout = 2 * time.Second
	// limitedDeskCount is how many servers name a limit.
	limitedDeskCount = 40
	// requestRounds is how often all entry VMs are asked, and limitPause the time
	// between, after which what they knew of permits is spent.
	requestRounds = 4
	roundPause    = 2 * time.Second
)

// slowConn sends late.
type slowConn struct {
	net.Conn
	delay time.Duration
}

// Write waits.
func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// newSlowPeerRig returns a rig of entry VMs whose calls to each other are slow,
// before limited desks.
func newSlowPeerRig(t *testing.T, vms, desks int) (*rig, []*entryVM) {
	t.Helper()
	r := newRig(t, 1_000_000)
	r.kill()
	for i := range desks {
		r.desks = append(r.desks, r.startBackend(fmt.Sprint("limited-", i), "desk", 0))
	}
	known := map[string]bool{r.storeAddr: true}
	for _, d := range append(append([]*tsmetastore.Backend{}, r.desks...), r.engines...) {
		known[d.Addr()] = true
	}
	var all []*entryVM
	for i := range vms {
		all = append(all, r.startWith(fmt.Sprint("vm-", i), func(cfg *tsgateway.Config) {
			cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := tsupstream.Dial(ctx, network, addr)
				if err != nil || known[addr] {
					return c, err
				}
				return slowConn{c, peerWriteDelay}, nil
			}
		}))
	}
	r.entryVM = all[0]
	// All list the others by then.
	time.Sleep(2 * time.Second)
	for _, d := range r.desks {
		d.SetLimit("0.5")
	}
	return r, all
}

// maxLatency is the maxLatency time that an answer took.
type maxLatency struct {
	mu sync.Mutex
	d  time.Duration
}

func (l *maxLatency) measure(r *rig, vm *entryVM, path string) {
	at := *r
	at.entryVM = vm
	began := time.Now()
	at.request(http.MethodGet, path, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.d = max(l.d, time.Since(began))
}

// A request waited for permits of one limited server after another, for as long
// as there were servers, beyond its time limit and for callers that had left.
func TestLimitedServersHoldNobodyUp(t *testing.T) {
	r, vms := newSlowPeerRig(t, 12, limitedDeskCount)
	round := func(asks ...func(vm *entryVM)) {
		var asked sync.WaitGroup
		for _, vm := range vms {
			for _, ask := range asks {
				asked.Go(func() { ask(vm) })
			}
		}
		asked.Wait()
	}
	var first, limited, free maxLatency
	r.eventually("each server names its limit", func() bool {
		round(func(vm *entryVM) { first.measure(r, vm, "/look/1") })
		return !slices.ContainsFunc(r.desks, func(d *tsmetastore.Backend) bool { return len(d.Arrivals()) == 0 })
	})
	// Requests for no limited server tell how late this machine is itself.
	for range requestRounds {
		time.Sleep(roundPause)
		round(func(vm *entryVM) { limited.measure(r, vm, "/look/1") }, func(vm *entryVM) { free.measure(r, vm, "/once/1") })
	}
	t.Logf("the longest waits: %s, and %s for no limited server", limited.d, free.d)
	assert.Assert(t, limited.d < lookRouteTimeout+free.d, "a request waited %s", limited.d)
}
