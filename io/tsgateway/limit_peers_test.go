package tsgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
	"turmericshed/platform"
)

// withFailureDomain puts an entry VM into a failure domain.
func withFailureDomain(domain turmericshed.FailureDomain) func(*tsgateway.Config) {
	return func(cfg *tsgateway.Config) { cfg.Settings.FailureDomain = domain }
}

// limitedServerCount returns how many limited servers an entry VM knows of.
func (vm *entryVM) limitedServerCount(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + vm.gateway.MetricsAddr().String() + "/metrics") //nolint:noctx // loopback, in a test.
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	for _, line := range strings.Split(string(data), "\n") {
		if n, ok := strings.CutPrefix(line, "turmericshed_limited_servers "); ok {
			return n
		}
	}
	return ""
}

// Entry VMs that a server had not told of its limit went on sending to it.
func TestServerLimitIsToldToOtherEntryVMs(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1000)
	vms := map[string]*entryVM{"the one that was told": r.entryVM}
	for _, domain := range []turmericshed.FailureDomain{"a", "b", "c"} {
		for n := range 2 {
			name := fmt.Sprintf("vm-%s%d", domain, n)
			vms[name] = r.startWith(name, withFailureDomain(domain))
		}
	}
	time.Sleep(2 * time.Second)
	assertKnown := func(want string, within time.Duration) {
		t.Helper()
		deadline := time.Now().Add(within)
		for name, vm := range vms {
			for vm.limitedServerCount(t) != want {
				assert.Assert(t, time.Now().Before(deadline), "%s knows of %s limits, not %s", name, vm.limitedServerCount(t), want)
				// Callers go on to come to the one that was told.
				r.request(http.MethodGet, "/look/1", "")
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	askUntil := func(want string) {
		t.Helper()
		r.eventually("the entry VM was told", func() bool {
			assertStatus(t, r.request(http.MethodGet, "/look/1", ""), http.StatusOK)
			return r.limitedServerCount(t) == want
		})
	}
	r.desks[0].SetLimit("50")
	askUntil("1")
	assertKnown("1", limitSettleTime)
	r.desks[0].SetLimit("")
	askUntil("0")
	assertKnown("0", 2*limitSettleTime)
}

// countArrivals asks for look-ups, 100 a second, and returns how many reached the
// first desk.
func (r *rig) countArrivals(d time.Duration) int {
	r.t.Helper()
	before := len(r.desks[0].Arrivals())
	for began := time.Now(); time.Since(began) < d; time.Sleep(10 * time.Millisecond) {
		r.request(http.MethodGet, "/look/1", "")
	}
	return len(r.desks[0].Arrivals()) - before
}

func TestServerLimitChanges(t *testing.T) {
	const (
		span = 2 * time.Second
		// few is more than two requests a second bring in the span.
		few = 12
		// many is less than the desk's even part of the load.
		many = 20
	)
	limited := func(t *testing.T, value string) *rig {
		t.Helper()
		t.Parallel()
		r := newRig(t, 1000)
		r.desks[0].SetLimit(value)
		r.countArrivals(time.Second)
		return r
	}
	t.Run("it ends with an answer without it", func(t *testing.T) {
		r := limited(t, "2")
		assert.Assert(t, r.countArrivals(span) <= few)
		r.desks[0].SetLimit("")
		r.countArrivals(time.Second)
		assert.Assert(t, r.countArrivals(span) >= many)
	})
	t.Run("it is raised", func(t *testing.T) {
		r := limited(t, "2")
		r.desks[0].SetLimit("400")
		r.countArrivals(time.Second)
		assert.Assert(t, r.countArrivals(span) >= many)
	})
	for name, value := range map[string]string{
		"words do not lift it": "none", "nor does zero": "0", "nor a huge value": "1e99", "nor what is below zero": "-1",
	} {
		t.Run(name, func(t *testing.T) {
			r := limited(t, "2")
			r.desks[0].SetLimit(value)
			r.countArrivals(time.Second)
			assert.Assert(t, r.countArrivals(span) <= few)
		})
	}
	t.Run("a new start of the server owes nothing to the old one", func(t *testing.T) {
		r := limited(t, "0.1")
		r.desks[0].SetLimit("")
		entry := string(r.desks[0].Entry("desk", "a", "ready"))
		r.store.Put(platform.ServerPrefix+"desk-0", []byte(strings.Replace(entry, `"born":1`, `"born":2`, 1)))
		r.countArrivals(time.Second)
		assert.Assert(t, r.countArrivals(span) >= many)
	})
	t.Run("where all servers are at theirs, the rest is refused at once and told when to come back", func(t *testing.T) {
		r := limited(t, "0.1")
		r.desks[1].SetLimit("0.1")
		r.countArrivals(time.Second)
		for range 5 {
			began := time.Now()
			got := r.request(http.MethodGet, "/look/1", "")
			assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Assert(t, time.Since(began) < time.Second)
		}
	})
}
