package tsroute

import (
	"math/rand/v2"
	"time"
)

// Bounds of the circuit breakers.
const (
	// breakerFailureThreshold in a row open a breaker.
	breakerFailureThreshold = 3
	// breakerBaseDelay and breakerMax bound the time that a breaker stays open.
	breakerBaseDelay = time.Second
	breakerMaxDelay  = 30 * time.Second
	// probeInterval spaces attempts at open servers when nothing else is left.
	probeInterval = 200 * time.Millisecond
	// initialAllowance is the number of requests in flight that a fresh or returning
	// server gets; each whole answer allows one more.
	initialAllowance = 1
)

// breaker is the circuit breaker of one server, with the slow return after it
// was open and the slow start of a fresh server.
type breaker struct {
	// consecutiveFailures counts consecutiveFailures in a row.
	consecutiveFailures int
	open                bool
	// consecutiveOpenings counts openings in a row without a full return.
	consecutiveOpenings int
	openUntil           time.Time
	lastAttempt         time.Time
	// allowance bounds the requests in flight while ramping.
	allowance int
	ramping   bool
}

// startRamp starts the slow return.
func (b *breaker) startRamp() {
	b.ramping, b.allowance = true, initialAllowance
}

// allows reports whether one more request may go to a server that has n of
// ours in flight.
func (b *breaker) allows(now time.Time, n int) bool {
	if b.open {
		return n == 0 && !now.Before(b.openUntil)
	}
	return !b.ramping || n < b.allowance
}

// allowsProbe reports whether an open server may be tried before its time.
func (b *breaker) allowsProbe(now time.Time, n int) bool {
	return b.open && n == 0 && now.Sub(b.lastAttempt) >= probeInterval
}

// recordSuccess counts a whole answer and reports whether the breaker closed.
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

// recordFailure counts a failure and reports whether the breaker opened.
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
