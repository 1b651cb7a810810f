package tsadmit

import "time"

// Settings of the retry budget.
const (
	// defaultRetryShare is the number of retries per first attempt.
	defaultRetryShare = 0.1
	// retryBurst is the maximum number of retries that can accumulate.
	retryBurst = 10
	// retryFloorPerSecond is the rate of retries that is allowed even without
	// traffic.
	retryFloorPerSecond = 1.0
)

// RetryBudget is a retry budget: it limits retries to a share of the traffic, so
// that failures do not multiply the load. The zero value is ready to use.
type RetryBudget struct {
	// Share is the number of retries per first attempt; 0 selects the default.
	Share      float64
	tokens     float64
	lastRefill time.Time
}

// RecordFirstAttempt counts a first attempt.
func (r *RetryBudget) RecordFirstAttempt(now time.Time) {
	r.refill(now)
	share := r.Share
	if share == 0 {
		share = defaultRetryShare
	}
	r.tokens = min(r.tokens+share, retryBurst)
}

// Allow reports whether one more retry is within the budget, and counts it.
func (r *RetryBudget) Allow(now time.Time) bool {
	r.refill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *RetryBudget) refill(now time.Time) {
	if !r.lastRefill.IsZero() {
		r.tokens = min(r.tokens+retryFloorPerSecond*max(now.Sub(r.lastRefill), 0).Seconds(), retryBurst)
	}
	r.lastRefill = now
}
