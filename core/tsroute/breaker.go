package tsroute

import (
	"math/rand/v2"
	"time"
)

// Settings of the circuit breakers.
const (
	// breakerFailureThreshold is the number of consecutive failures that open a
	// breaker.
	breakerFailureThreshold = 3
	// breakerBaseDelay and breakerMaxDelay bound the time that a breaker stays
	// open, before jitter.
	breakerBaseDelay = time.Second
	breakerMaxDelay  = 30 * time.Second
	// probeInterval is the minimum time between attempts at a server with an
	// open breaker when no other server is available.
	probeInterval = 200 * time.Millisecond
	// initialAllowance is the number of concurrent requests that a new or
	// recovering server may get. Each complete answer raises the allowance by
	// one.
	initialAllowance = 1
)

// breaker is the circuit breaker of one server. After it closes, and for a new
// server, it ramps up the number of concurrent requests.
type breaker struct {
	consecutiveFailures int
	open                bool
	// consecutiveOpenings counts openings since the last ramp that completed.
	// It sets the exponential backoff.
	consecutiveOpenings int
	openUntil           time.Time
	lastAttempt         time.Time
	// allowance is the maximum number of concurrent requests during a ramp.
	allowance int
	ramping   bool
}

// startRamp limits the server to the initial allowance.
func (b *breaker) startRamp() {
	b.ramping, b.allowance = true, initialAllowance
}

// allows reports whether one more request may go to a server that has n
// requests from this entry VM in flight.
func (b *breaker) allows(now time.Time, n int) bool {
	if b.open {
		return n == 0 && !now.Before(b.openUntil)
	}
	return !b.ramping || n < b.allowance
}

// allowsProbe reports whether a server with an open breaker may be tried before
// the delay has passed.
func (b *breaker) allowsProbe(now time.Time, n int) bool {
	return b.open && n == 0 && now.Sub(b.lastAttempt) >= probeInterval
}

// recordSuccess counts a complete answer and reports whether the breaker
// closed. The ramp completes once the allowance reaches slots.
func (b *breaker) recordSuccess(slots int) (closed bool) {
	b.consecutiveFailures = 0
	if b.open {
		b.open = false
		b.startRamp()
		closed = true
	}
	if !b.ramping {
		return closed
	}
	b.allowance++
	if b.allowance >= slots {
		b.ramping, b.consecutiveOpenings = false, 0
	}
	return closed
}

// recordFailure counts a failure and reports whether the breaker opened. A
// failure while the breaker is open, or during the ramp after that, opens it
// again at once.
func (b *breaker) recordFailure(now time.Time, r *rand.Rand) (opened bool) {
	b.consecutiveFailures++
	recovering := b.open || (b.ramping && b.consecutiveOpenings > 0)
	if b.consecutiveFailures < breakerFailureThreshold && !recovering {
		return false
	}
	opened = !b.open
	d := min(breakerBaseDelay<<min(b.consecutiveOpenings, 10), breakerMaxDelay)
	b.open, b.consecutiveOpenings = true, b.consecutiveOpenings+1
	b.openUntil = now.Add(d/2 + time.Duration(r.Int64N(int64(d))))
	return opened
}
