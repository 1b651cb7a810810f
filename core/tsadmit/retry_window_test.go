package tsadmit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsadmit"
)

// assertWindows checks the limit for every window that begins with a retry.
func assertWindows(t *testing.T, requests, retries []time.Duration, w tsadmit.RetryWindow) {
	t.Helper()
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at < from+w.Window {
				n++
			}
		}
		m := max(countIn(requests, from, w.Window), countIn(requests, from-w.Window/2, w.Window))
		assert.Assert(t, float64(n) <= w.Ratio*float64(m)+w.Slack, "from %s: %d repeats of %d requests", from, n, m)
	}
}

func countIn(times []time.Duration, from, length time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+length {
			n++
		}
	}
	return n
}

func TestRetryWindowHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := tsadmit.RetryWindow{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
		var requests, retries []time.Duration
		start := time.Now()
		for at := time.Duration(0); at < time.Minute; at += time.Duration(rng.Int64N(int64(40 * time.Millisecond))) {
			// Requests arrive in bursts, retries all the time.
			if at%(7*time.Second) < 3*time.Second {
				w.Request(start.Add(at))
				requests = append(requests, at)
			}
			if rng.Float64() < 0.5 && w.Allow(start.Add(at)) {
				retries = append(retries, at)
			}
		}
		assert.Assert(t, len(retries) > 50, "seed %d: %d repeats", seed, len(retries))
		assertWindows(t, requests, retries, w)
	}
}

func TestRetryWindowSlackWithoutRequests(t *testing.T) {
	w := tsadmit.RetryWindow{Ratio: 0.2, Slack: 2.5, Window: 10 * time.Second}
	now := time.Now()
	for i, want := range []bool{true, true, false, false} {
		assert.Equal(t, w.Allow(now), want, "repeat %d", i)
	}
	assert.Assert(t, !w.Allow(now.Add(9*time.Second)))
	assert.Assert(t, w.Allow(now.Add(11*time.Second)))
}
