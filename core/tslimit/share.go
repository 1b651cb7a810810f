package tslimit

import "time"

const (
	// shareBurst is how many permits a share keeps for who comes next, and
	// shareBurstTime the time of its rate that it keeps beside these.
	shareBurst     = 1.5
	shareBurstTime = 250 * time.Millisecond
	// minPromiseWait is the least time for which a permit is promised, so that many are
	// drawn at once at a high limit.
	minPromiseWait = 100 * time.Millisecond
	// maxPromiseWait bounds the time for which a permit is promised: who it is promised
	// to need not come.
	maxPromiseWait = 10 * time.Second
)

// Share is a part of a server's limit that one entry VM hands out, a token
// bucket.
type Share struct {
	tokens     float64
	lastRefill time.Time
	// promisedUntil is the time up to which permits were promisedUntil to those who were
	// refused, so that they come back one after the other.
	promisedUntil time.Time
}

// NewShare returns a share that holds level permits, from 0 to 1. Where it is
// random, shares that begin together don't give out their permits together.
func NewShare(now time.Time, level float64) *Share { return &Share{tokens: level, lastRefill: now} }

// Take returns up to want permits at the given rate a second; where there are
// none, the time after which one may be had.
func (s *Share) Take(now time.Time, perSecond float64, want int) (granted int, wait time.Duration) {
	if elapsed := now.Sub(s.lastRefill).Seconds(); elapsed > 0 {
		s.tokens += elapsed * perSecond
		s.lastRefill = now
	}
	s.tokens = min(s.tokens, shareBurst+shareBurstTime.Seconds()*perSecond)
	granted = min(int(s.tokens), want)
	if granted > 0 {
		s.tokens -= float64(granted)
		return granted, 0
	}
	return 0, s.promise(now, perSecond)
}

// promise returns the time until the next permit that is promised to nobody.
func (s *Share) promise(now time.Time, perSecond float64) time.Duration {
	next := now.Add(max(cappedDuration((1-s.tokens)/perSecond), minPromiseWait))
	if !s.promisedUntil.Before(next) {
		next = s.promisedUntil.Add(cappedDuration(1 / perSecond))
	}
	next = earlier(next, now.Add(maxPromiseWait))
	s.promisedUntil = next
	return next.Sub(now)
}

// cappedDuration turns seconds to a duration, maxWait at most.
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
