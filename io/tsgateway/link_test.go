package tsgateway_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
	"turmericshed/io/tsupstream"
	"turmericshed/standin/tsmetastore"
)

// dialUnlessDeskTimesOut returns a dial function whose connections to the desks time
// out while desksTimeOut is true.
func (r *rig) dialUnlessDeskTimesOut(desksTimeOut *atomic.Bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	isDesk := func(addr string) bool {
		return slices.ContainsFunc(r.desks, func(b *tsmetastore.Backend) bool { return b.Addr() == addr })
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if desksTimeOut.Load() && isDesk(addr) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		return tsupstream.Dial(ctx, network, addr)
	}
}

// Guards against an entry VM that attributes timeouts at its own saturated link to
// the servers: it blocks all of them and refuses its callers.
func TestFullLinkIsNotTakenForLostServers(t *testing.T) {
	for name, c := range map[string]struct {
		rate float64
		want int
	}{
		"timeouts at a saturated link leave the servers in use":               {rate: 500, want: http.StatusOK},
		"timeouts at a link with capacity open the servers' circuit breakers": {rate: 1e9, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1_000_000)
			var desksTimeOut atomic.Bool
			r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
				cfg.Settings.LinkRate = c.rate
				// Store updates that wait at this link are older than the usual bounds.
				cfg.Settings.Bounds.DrainTimeout, cfg.Settings.Bounds.ApplyTimeout = time.Minute, time.Minute
				cfg.Dial = r.dialUnlessDeskTimesOut(&desksTimeOut)
			})
			desksTimeOut.Store(true)
			assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
			for range 4 {
				assertStatus(t, r.request(http.MethodPost, "/book/1", "frame"), http.StatusServiceUnavailable)
			}
			desksTimeOut.Store(false)
			assertStatus(t, r.request(http.MethodGet, "/look/1", ""), c.want)
		})
	}
}

// Guards against an entry VM with a saturated link that keeps its callers, although other
// entry VMs have capacity: it must become unready and close caller connections.
func TestFullLinkSendsCallersElsewhere(t *testing.T) {
	r := newRig(t, 1_000_000)
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
		cfg.Settings.LinkRate = 12_000
		// Store updates that wait at this link are older than the usual bounds.
		cfg.Settings.Bounds.DrainTimeout, cfg.Settings.Bounds.ApplyTimeout = time.Minute, time.Minute
	})
	frame := strings.Repeat("x", 900)
	readiness := func() int { return r.status(r.gateway.ReadyAddr(), "/") }
	got := r.request(http.MethodPost, "/book/1", frame)
	assertStatus(t, got, http.StatusOK)
	assert.Assert(t, !got.closes)
	r.eventually("a saturated link makes the entry VM unready", func() bool {
		assertStatus(t, r.request(http.MethodPost, "/book/1", frame), http.StatusOK)
		return readiness() == http.StatusServiceUnavailable
	})
	got = r.request(http.MethodPost, "/book/1", frame)
	assertStatus(t, got, http.StatusOK)
	assert.Assert(t, got.closes)
	r.eventually("it is ready again", func() bool { return readiness() == http.StatusOK })
}

// saturatedLinkConn delays the incoming bytes while isLinkSaturated is true. Those of the store
// never arrive; those of a server arrive late.
type saturatedLinkConn struct {
	net.Conn
	isStore         bool
	isLinkSaturated *atomic.Bool
}

// Read reads like a connection behind a link that may be saturated.
func (c saturatedLinkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isStore {
		for err == nil && c.isLinkSaturated.Load() {
			_, err = c.Conn.Read(p)
		}
		return n, err
	}
	if c.isLinkSaturated.Load() {
		time.Sleep(1100 * time.Millisecond)
	}
	return n, err
}

// Guards against requests to a server that has left: its update waits at the entry
// VM's saturated link for longer than the drain timeout.
func TestCrowdedEntryVMDoesNotPassOnByOldNews(t *testing.T) {
	const drainTimeout = 3 * time.Second
	r := newRig(t, 1_000_000)
	var isLinkSaturated atomic.Bool
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
		cfg.Settings.LinkRate = 12_000
		cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == r.storeAddr && isLinkSaturated.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c, err := tsupstream.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return saturatedLinkConn{c, addr == r.storeAddr, &isLinkSaturated}, nil
		}
	})
	frame := strings.Repeat("x", 900)
	assertStatus(t, r.request(http.MethodPost, "/book/1", frame), http.StatusOK)
	isLinkSaturated.Store(true)
	var requests sync.WaitGroup
	for began := time.Now(); time.Since(began) < drainTimeout+time.Second; time.Sleep(50 * time.Millisecond) {
		requests.Go(func() { r.request(http.MethodPost, "/book/1", frame) })
	}
	got := r.request(http.MethodPost, "/book/1", frame)
	assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
	assert.Assert(t, strings.Contains(got.body, turmericshed.KindNotReady.String()), got.body)
	requests.Wait()
}
