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
	// peerWriteDelay is the delay of each write from one entry VM to another.
	peerWriteDelay = 140 * time.Millisecond
	// lookRouteTimeout is the time limit of the route look, within which each of its
	// requests is answered.
	lookRouteTimeout = 2 * time.Second
	// limitedDeskCount is the number of added servers; they all announce a limit.
	limitedDeskCount = 40
	// requestRounds is how often requests are sent to all entry VMs, and roundPause is
	// the time between, after which the permit state of the round before has expired.
	requestRounds = 4
	roundPause    = 2 * time.Second
)

// slowConn delays each write.
type slowConn struct {
	net.Conn
	delay time.Duration
}

// Write sends p after the delay.
func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// newSlowPeerRig returns a rig with limited desks and with entry VMs whose calls to
// each other are slow.
func newSlowPeerRig(t *testing.T, vms, desks int) (*rig, []*entryVM) {
	t.Helper()
	r := newRig(t, 1_000_000)
	r.kill()
	for i := range desks {
		r.desks = append(r.desks, r.startBackend(fmt.Sprint("limited-", i), "desk", 0))
	}
	isDelayFree := map[string]bool{r.storeAddr: true}
	for _, d := range append(append([]*tsmetastore.Backend{}, r.desks...), r.engines...) {
		isDelayFree[d.Addr()] = true
	}
	var all []*entryVM
	for i := range vms {
		all = append(all, r.startWith(fmt.Sprint("vm-", i), func(cfg *tsgateway.Config) {
			cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := tsupstream.Dial(ctx, network, addr)
				if err != nil || isDelayFree[addr] {
					return c, err
				}
				return slowConn{c, peerWriteDelay}, nil
			}
		}))
	}
	r.entryVM = all[0]
	// Wait until each entry VM lists all others.
	time.Sleep(2 * time.Second)
	for _, d := range r.desks {
		d.SetLimit("0.5")
	}
	return r, all
}

// maxLatency is the longest time until an answer.
type maxLatency struct {
	mu sync.Mutex
	d  time.Duration
}

// measure sends a request and records the time until its answer.
func (l *maxLatency) measure(r *rig, vm *entryVM, path string) {
	target := *r
	target.entryVM = vm
	began := time.Now()
	target.request(http.MethodGet, path, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.d = max(l.d, time.Since(began))
}

// Guards against requests that wait for permits of one limited server after another,
// as long as there are servers, past their time limit and after their callers left.
func TestLimitedServersHoldNobodyUp(t *testing.T) {
	r, vms := newSlowPeerRig(t, 12, limitedDeskCount)
	round := func(sends ...func(vm *entryVM)) {
		var requests sync.WaitGroup
		for _, vm := range vms {
			for _, send := range sends {
				requests.Go(func() { send(vm) })
			}
		}
		requests.Wait()
	}
	var first, limited, unlimited maxLatency
	r.eventually("each server reports its limit", func() bool {
		round(func(vm *entryVM) { first.measure(r, vm, "/look/1") })
		return !slices.ContainsFunc(r.desks, func(d *tsmetastore.Backend) bool { return len(d.Arrivals()) == 0 })
	})
	// Requests to servers without a limit measure the delay of this machine.
	for range requestRounds {
		time.Sleep(roundPause)
		round(func(vm *entryVM) { limited.measure(r, vm, "/look/1") }, func(vm *entryVM) { unlimited.measure(r, vm, "/once/1") })
	}
	t.Logf("longest waits: %s at limited servers, %s at servers without a limit", limited.d, unlimited.d)
	assert.Assert(t, limited.d < lookRouteTimeout+unlimited.d, "a request waited %s", limited.d)
}
