package tsrouting

import (
	"sync"
	"time"

	"turmericshed/core/tsadmit"
)

// Retries is a retry budget that is safe for concurrent use, see tsadmit.RetryBudget.
type Retries struct {
	mu     sync.Mutex
	budget tsadmit.RetryBudget
}

// NewRetries returns a budget that allows retries up to the given share of first
// attempts; 0 means the default.
func NewRetries(share float64) *Retries {
	return &Retries{budget: tsadmit.RetryBudget{Share: share}}
}

// RecordFirstAttempt counts a first attempt.
func (r *Retries) RecordFirstAttempt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordFirstAttempt(now)
}

// Allow reports whether the budget allows one more retry, and counts it if so.
func (r *Retries) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Allow(now)
}
