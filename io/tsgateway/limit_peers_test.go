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

// withFailureDomain sets the failure domain of an entry VM.
func withFailureDomain(domain turmericshed.FailureDomain) func(*tsgateway.Config) {
	return func(cfg *tsgateway.Config) { cfg.Settings.FailureDomain = domain }
}

// limitedServerCount returns the entry VM's metric of servers with a limit; empty if
// there is none.
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

// Guards against entry VMs that exceed a server's limit because only another entry
// VM received the answer that announces it.
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
	assertLimitCount := func(want string, within time.Duration) {
		t.Helper()
		deadline := time.Now().Add(within)
		for name, vm := range vms {
			for vm.limitedServerCount(t) != want {
				assert.Assert(t, time.Now().Before(deadline), "%s has %s limits, want %s", name, vm.limitedServerCount(t), want)
				// Callers continue to use the entry VM that received the limit.
				r.request(http.MethodGet, "/look/1", "")
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	requestUntil := func(want string) {
		t.Helper()
		r.eventually("the entry VM was told", func() bool {
			assertStatus(t, r.request(http.MethodGet, "/look/1", ""), http.StatusOK)
			return r.limitedServerCount(t) == want
		})
	}
	r.desks[0].SetLimit("50")
	requestUntil("1")
	assertLimitCount("1", limitSettleTime)
	r.desks[0].SetLimit("")
	requestUntil("0")
	assertLimitCount("0", 2*limitSettleTime)
}

// countArrivals sends up to 100 look-ups a second for a time and returns how many
// reached the first desk.
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
		// maxLimited is above the requests in the span at a limit of 2 a second.
		maxLimited = 12
		// minUnlimited is below the desk's even share of the load in the span.
		minUnlimited = 20
	)
	newLimitedRig := func(t *testing.T, value string) *rig {
		t.Helper()
		t.Parallel()
		r := newRig(t, 1000)
		r.desks[0].SetLimit(value)
		r.countArrivals(time.Second)
		return r
	}
	t.Run("an answer without the limit removes it", func(t *testing.T) {
		r := newLimitedRig(t, "2")
		assert.Assert(t, r.countArrivals(span) <= maxLimited)
		r.desks[0].SetLimit("")
		r.countArrivals(time.Second)
		assert.Assert(t, r.countArrivals(span) >= minUnlimited)
	})
	t.Run("a raised limit applies", func(t *testing.T) {
		r := newLimitedRig(t, "2")
		r.desks[0].SetLimit("400")
		r.countArrivals(time.Second)
		assert.Assert(t, r.countArrivals(span) >= minUnlimited)
	})
	for name, value := range map[string]string{
		"a word keeps the last limit": "none", "zero keeps the last limit": "0", "a huge value keeps the last limit": "1e99", "a negative value keeps the last limit": "-1",
	} {
		t.Run(name, func(t *testing.T) {
			r := newLimitedRig(t, "2")
			r.desks[0].SetLimit(value)
			r.countArrivals(time.Second)
			assert.Assert(t, r.countArrivals(span) <= maxLimited)
		})
	}
	t.Run("a restarted server does not inherit the old limit", func(t *testing.T) {
		r := newLimitedRig(t, "0.1")
		r.desks[0].SetLimit("")
		entry := string(r.desks[0].Entry("desk", "a", "ready"))
		r.store.Put(platform.ServerPrefix+"desk-0", []byte(strings.Replace(entry, `"born":1`, `"born":2`, 1)))
		r.countArrivals(time.Second)
		assert.Assert(t, r.countArrivals(span) >= minUnlimited)
	})
	t.Run("requests above the limit of all servers are refused at once with a retry time", func(t *testing.T) {
		r := newLimitedRig(t, "0.1")
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
