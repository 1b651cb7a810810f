package tsroute

import (
	"math/rand/v2"
	"time"
)

// Bounds of the circuit breakers.
const (
	// breakerFailures in a row open a breaker.
	breakerFailures = 3
	// breakerBase and breakerMax bound the time that a breaker stays open.
	breakerBase = time.Second
	breakerMax  = 30 * time.Second
	// probeInterval spaces attempts at open servers when nothing else is left.
	probeInterval = 200 * time.Millisecond
	// rampStart is the number of requests in flight that a fresh or returning
	// server gets; each whole answer allows one more.
	rampStart = 1
)

// breaker is the circuit breaker of one server, with the slow return after it
// was open and the slow start of a fresh server.
type breaker struct {
	// failures counts failures in a row.
	failures int
	open     bool
	// opened counts openings in a row without a full return.
	opened      int
	until       time.Time
	lastAttempt time.Time
	// allowance bounds the requests in flight while ramping.
	allowance int
	ramping   bool
}

// ramp starts the slow return.
func (b *breaker) ramp() {
	b.ramping, b.allowance = true, rampStart
}

// allows reports whether one more request may go to a server that has n of
// ours in flight.
func (b *breaker) allows(now time.Time, n int) bool {
	if b.open {
		return n == 0 && !now.Before(b.until)
	}
	return !b.ramping || n < b.allowance
}

// allowsProbe reports whether an open server may be tried before its time.
func (b *breaker) allowsProbe(now time.Time, n int) bool {
	return b.open && n == 0 && now.Sub(b.lastAttempt) >= probeInterval
}

// succeed counts a whole answer and reports whether the breaker closed.
func (b *breaker) succeed(slots int) (closed bool) {
	b.failures = 0
	if b.open {
		b.open = false
		b.ramp()
		closed = true
	}
	if !b.ramping {
		return closed
	}
	b.allowance++
	if b.allowance >= slots {
		b.ramping, b.opened = false, 0
	}
	return closed
}

// fail counts a failure and reports whether the breaker opened.
func (b *breaker) fail(now time.Time, r *rand.Rand) (opened bool) {
	b.failures++
	returning := b.open || (b.ramping && b.opened > 0)
	if b.failures < breakerFailures && !returning {
		return false
	}
	opened = !b.open
	d := min(breakerBase<<min(b.opened, 10), breakerMax)
	b.open, b.opened = true, b.opened+1
	b.until = now.Add(d/2 + time.Duration(r.Int64N(int64(d))))
	return opened
}
