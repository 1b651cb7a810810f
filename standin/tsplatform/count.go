package tsplatform

import (
	"maps"
	"math"
	"time"
)

// leaseGroup is the group in which lease calls are counted.
const leaseGroup = "lease"

// Calls counts calls and payload bytes.
type Calls struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	BytesRead    int64 `json:"bytes_read"`
	BytesWritten int64 `json:"bytes_written"`
}

// Counts holds the totals of calls to the store.
type Counts struct {
	Calls
	// Watches is the number of watches opened so far, WaitingWatches the
	// number currently open.
	Watches        int64 `json:"watches"`
	WaitingWatches int64 `json:"waiting_watches"`
	// Limited counts calls refused by the rate limits, Failed those refused
	// by Faults.Outage or Faults.Cut.
	Limited int64 `json:"limited"`
	Failed  int64 `json:"failed"`
	// Groups holds the counts by the first path element of the key.
	Groups map[string]Calls `json:"groups"`

	groups map[string]*Calls
}

// group returns the counts of the key's group, which it creates if needed.
func (c *Counts) group(key string) *Calls {
	if c.groups == nil {
		c.groups = map[string]*Calls{}
	}
	name := keyGroup(key)
	g, ok := c.groups[name]
	if !ok {
		g = &Calls{}
		c.groups[name] = g
	}
	return g
}

// Counts returns a copy of the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.Groups = maps.Collect(func(yield func(string, Calls) bool) {
		for name, g := range s.counts.groups {
			if !yield(name, *g) {
				return
			}
		}
	})
	out.groups = nil
	return out
}

// tokenBucket limits calls to rate per second, with bursts of at most one
// second's worth of calls. A rate of 0 means no limit.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// take consumes one token and reports whether there was one.
func (b *tokenBucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	burst := math.Max(b.rate, 1)
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = math.Min(burst, b.tokens+elapsed.Seconds()*b.rate)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
