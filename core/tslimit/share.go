package tslimit

import "time"

const (
	// shareBurst is how many permits a share keeps for who comes next, and
	// shareBurstTime the time of its rate that it keeps beside these.
	shareBurst     = 1.5
	shareBurstTime = 250 * time.Millisecond
	// minWait is the least time for which a permit is promised, so that many are
	// drawn at once at a high limit.
	minWait = 100 * time.Millisecond
	// maxWait bounds the time for which a permit is promised: who it is promised
	// to need not come.
	maxWait = 10 * time.Second
)

// Share is a part of a server's limit that one entry VM hands out, a token
// bucket.
type Share struct {
	tokens float64
	at     time.Time
	// promised is the time up to which permits were promised to those who were
	// refused, so that they come back one after the other.
	promised time.Time
}

// NewShare returns a share that holds level permits, from 0 to 1. Where it is
// random, shares that begin together don't give out their permits together.
func NewShare(now time.Time, level float64) *Share { return &Share{tokens: level, at: now} }

// Take returns up to want permits at the given rate a second; where there are
// none, the time after which one may be had.
func (s *Share) Take(now time.Time, perSecond float64, want int) (granted int, wait time.Duration) {
	if elapsed := now.Sub(s.at).Seconds(); elapsed > 0 {
		s.tokens += elapsed * perSecond
		s.at = now
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
	next := now.Add(max(inverse((1-s.tokens)/perSecond), minWait))
	if !s.promised.Before(next) {
		next = s.promised.Add(inverse(1 / perSecond))
	}
	next = sooner(next, now.Add(maxWait))
	s.promised = next
	return next.Sub(now)
}

// inverse turns seconds to a duration, maxWait at most.
func inverse(seconds float64) time.Duration {
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

func sooner(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
