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

// dialUnlessDeskTimesOut is a network on which connections to the desks time out while late
// is true.
func (r *rig) dialUnlessDeskTimesOut(late *atomic.Bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	isDesk := func(addr string) bool {
		return slices.ContainsFunc(r.desks, func(b *tsmetastore.Backend) bool { return b.Addr() == addr })
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if late.Load() && isDesk(addr) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		return tsupstream.Dial(ctx, network, addr)
	}
}

// An account's callers were refused, as if no server were left, by an entry VM
// whose own link was full.
func TestFullLinkIsNotTakenForLostServers(t *testing.T) {
	for name, c := range map[string]struct {
		rate float64
		want int
	}{
		"time-outs at a full link leave servers in use":            {rate: 500, want: http.StatusOK},
		"time-outs at a link with room open the servers' breakers": {rate: 1e9, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1_000_000)
			var late atomic.Bool
			r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
				cfg.Settings.LinkRate = c.rate
				// What waits at this link is older than usual bounds.
				cfg.Settings.Bounds.DrainTimeout, cfg.Settings.Bounds.ApplyTimeout = time.Minute, time.Minute
				cfg.Dial = r.dialUnlessDeskTimesOut(&late)
			})
			late.Store(true)
			assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
			for range 4 {
				assertStatus(t, r.request(http.MethodPost, "/book/1", "frame"), http.StatusServiceUnavailable)
			}
			late.Store(false)
			assertStatus(t, r.request(http.MethodGet, "/look/1", ""), c.want)
		})
	}
}

// Callers that keep to an entry VM were starved there while its neighbours had
// room.
func TestFullLinkSendsCallersElsewhere(t *testing.T) {
	r := newRig(t, 1_000_000)
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
		cfg.Settings.LinkRate = 12_000
		// What waits at this link is older than usual bounds.
		cfg.Settings.Bounds.DrainTimeout, cfg.Settings.Bounds.ApplyTimeout = time.Minute, time.Minute
	})
	frame := strings.Repeat("x", 900)
	readiness := func() int { return r.status(r.gateway.ReadyAddr(), "/") }
	got := r.request(http.MethodPost, "/book/1", frame)
	assertStatus(t, got, http.StatusOK)
	assert.Assert(t, !got.closes)
	r.eventually("a full link makes the entry VM unready", func() bool {
		assertStatus(t, r.request(http.MethodPost, "/book/1", frame), http.StatusOK)
		return readiness() == http.StatusServiceUnavailable
	})
	got = r.request(http.MethodPost, "/book/1", frame)
	assertStatus(t, got, http.StatusOK)
	assert.Assert(t, got.closes)
	r.eventually("it is ready again", func() bool { return readiness() == http.StatusOK })
}

// fullLinkConn is a connection whose incoming bytes wait while crowded is true:
// forever for the store's, for a time for a server's.
type fullLinkConn struct {
	net.Conn
	isStore    bool
	isLinkFull *atomic.Bool
}

// Read waits at the link.
func (c fullLinkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isStore {
		for err == nil && c.isLinkFull.Load() {
			_, err = c.Conn.Read(p)
		}
		return n, err
	}
	if c.isLinkFull.Load() {
		time.Sleep(1100 * time.Millisecond)
	}
	return n, err
}

// News of a leaving server waited at a full link for longer than servers wait
// for it, and requests were passed on to that server.
func TestCrowdedEntryVMDoesNotPassOnByOldNews(t *testing.T) {
	const drainTimeout = 3 * time.Second
	r := newRig(t, 1_000_000)
	var crowded atomic.Bool
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
		cfg.Settings.LinkRate = 12_000
		cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == r.storeAddr && crowded.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c, err := tsupstream.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return fullLinkConn{c, addr == r.storeAddr, &crowded}, nil
		}
	})
	frame := strings.Repeat("x", 900)
	assertStatus(t, r.request(http.MethodPost, "/book/1", frame), http.StatusOK)
	crowded.Store(true)
	var asking sync.WaitGroup
	for began := time.Now(); time.Since(began) < drainTimeout+time.Second; time.Sleep(50 * time.Millisecond) {
		asking.Go(func() { r.request(http.MethodPost, "/book/1", frame) })
	}
	got := r.request(http.MethodPost, "/book/1", frame)
	assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
	assert.Assert(t, strings.Contains(got.body, turmericshed.KindNotReady.String()), got.body)
	asking.Wait()
}
