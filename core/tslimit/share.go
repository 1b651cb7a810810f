package tslimit

import "time"

const (
	// shareBurst is how many permits a share can accumulate. In addition it can
	// accumulate the permits of shareBurstTime.
	shareBurstPermits = 1.5
	shareBurstTime    = 250 * time.Millisecond
	// minPromiseWait is the minimum wait for a promised permit, so that many
	// permits are drawn at once at a high limit.
	minPromiseWait = 100 * time.Millisecond
	// maxPromiseWait bounds the wait for a promised permit, because the entry
	// VM that it is promised to may not return.
	maxPromiseWait = 10 * time.Second
)

// Share is the part of a server's limit that one entry VM hands out, as a token
// bucket.
type Share struct {
	tokens     float64
	lastRefill time.Time
	// promisedUntil is the time of the last promised permit. Refused entry VMs
	// get different times, so that they return one after another.
	promisedUntil time.Time
}

// NewShare returns a share with level permits, from 0 to 1. A random level
// prevents shares that start together from granting their permits together.
func NewShare(now time.Time, level float64) *Share { return &Share{tokens: level, lastRefill: now} }

// Take returns up to want permits at the given rate. If there are none, it
// returns the time after which one is available.
func (s *Share) Take(now time.Time, perSecond float64, want int) (granted int, wait time.Duration) {
	if elapsed := now.Sub(s.lastRefill).Seconds(); elapsed > 0 {
		s.tokens += elapsed * perSecond
		s.lastRefill = now
	}
	s.tokens = min(s.tokens, shareBurstPermits+shareBurstTime.Seconds()*perSecond)
	granted = min(int(s.tokens), want)
	if granted > 0 {
		s.tokens -= float64(granted)
		return granted, 0
	}
	return 0, s.promise(now, perSecond)
}

// promise returns the time until the next permit that is not promised yet.
func (s *Share) promise(now time.Time, perSecond float64) time.Duration {
	next := now.Add(max(cappedDuration((1-s.tokens)/perSecond), minPromiseWait))
	if !s.promisedUntil.Before(next) {
		next = s.promisedUntil.Add(cappedDuration(1 / perSecond))
	}
	next = earlier(next, now.Add(maxPromiseWait))
	s.promisedUntil = next
	return next.Sub(now)
}

// cappedDuration converts seconds to a duration of at most maxPromiseWait.
func cappedDuration(seconds float64) time.Duration {
	if seconds >= maxPromiseWait.Seconds() {
		return maxPromiseWait
	}
	return time.Duration(seconds * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
