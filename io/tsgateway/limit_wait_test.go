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
	// slowPeer is how long a byte takes from one entry VM to another.
	slowPeer = 140 * time.Millisecond
	// lookTimeout is the time limit of the route, within which all are answered.
	lookTimeout = 2 * time.Second
	// limitedDesks is how many servers name a limit.
	limitedDesks = 40
	// limitRounds is how often all entry VMs are asked, and limitPause the time
	// between, after which what they knew of permits is spent.
	limitRounds = 4
	limitPause  = 2 * time.Second
)

// slowConn sends late.
type slowConn struct {
	net.Conn
	by time.Duration
}

// Write waits.
func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.by)
	return c.Conn.Write(p)
}

// newSlowPeers returns a rig of entry VMs whose calls to each other are slow,
// before limited desks.
func newSlowPeers(t *testing.T, vms, desks int) (*rig, []*entryVM) {
	t.Helper()
	r := newRig(t, 1_000_000)
	r.kill()
	for i := range desks {
		r.desks = append(r.desks, r.backend(fmt.Sprint("limited-", i), "desk", 0))
	}
	known := map[string]bool{r.url: true}
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
				return slowConn{c, slowPeer}, nil
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

// longest is the longest time that an answer took.
type longest struct {
	mu sync.Mutex
	d  time.Duration
}

func (l *longest) ask(r *rig, vm *entryVM, path string) {
	at := *r
	at.entryVM = vm
	began := time.Now()
	at.ask(http.MethodGet, path, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.d = max(l.d, time.Since(began))
}

// A request waited for permits of one limited server after another, for as long
// as there were servers, beyond its time limit and for callers that had left.
func TestLimitedServersHoldNobodyUp(t *testing.T) {
	r, vms := newSlowPeers(t, 12, limitedDesks)
	round := func(asks ...func(vm *entryVM)) {
		var asked sync.WaitGroup
		for _, vm := range vms {
			for _, ask := range asks {
				asked.Go(func() { ask(vm) })
			}
		}
		asked.Wait()
	}
	var first, limited, free longest
	r.eventually("each server names its limit", func() bool {
		round(func(vm *entryVM) { first.ask(r, vm, "/look/1") })
		return !slices.ContainsFunc(r.desks, func(d *tsmetastore.Backend) bool { return len(d.Arrivals()) == 0 })
	})
	// Requests for no limited server tell how late this machine is itself.
	for range limitRounds {
		time.Sleep(limitPause)
		round(func(vm *entryVM) { limited.ask(r, vm, "/look/1") }, func(vm *entryVM) { free.ask(r, vm, "/once/1") })
	}
	t.Logf("the longest waits: %s, and %s for no limited server", limited.d, free.d)
	assert.Assert(t, limited.d < lookTimeout+free.d, "a request waited %s", limited.d)
}
