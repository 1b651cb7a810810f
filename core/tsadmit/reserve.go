package tsadmit

import (
	"math"
	"time"
)

// Fair shares of the places. An account that runs less than its share is
// admitted, within a reserve, even if the others occupy all places. An account
// that runs far more than its share has a separate limit. The surge of one
// account thus does not make the others wait, while a single active account may
// use all places.

const (
	// reserveShare is the reserve for accounts below their share, relative to
	// the equal share.
	reserveShare = 0.2
	// surgeFactor is the multiple of its share from which an account has a
	// surge.
	surgeFactor = 2
	// activePeriod is how long an account counts as active after its last
	// request.
	activePeriod = 10 * time.Second
	// weighInterval is the minimum time between updates of the active weight.
	weighInterval = time.Second
)

// updateActiveWeight sums the weights of the active flows.
func (q *Queue) updateActiveWeight(now time.Time) {
	if now.Sub(q.lastWeighed) < weighInterval {
		return
	}
	q.lastWeighed, q.activeWeight = now, 0
	for _, f := range q.flows {
		if f.running > 0 || len(f.entries) > 0 || now.Sub(f.lastActive) < activePeriod {
			q.activeWeight += f.weight
		}
	}
}

// fairShare returns the number of places that f is entitled to.
func (q *Queue) fairShare(f *flow) float64 {
	return float64(q.limits.equalShare) * f.weight / max(q.activeWeight, f.weight)
}

// mayRun reports whether a request of f may be admitted now.
func (q *Queue) mayRun(f *flow) bool {
	n := len(q.running)
	if f.atConcurrencyLimit() || n >= q.cfg.MaxRunning {
		return false
	}
	ownRunning, share := float64(f.running), q.fairShare(f)
	switch {
	case q.cfg.NoFairShareReserve || q.cfg.FirstInFirstOut || f.weight >= q.activeWeight:
		return n < q.limits.total
	case ownRunning < share:
		return n < max(q.limits.total, q.limits.equalShare+int(math.Ceil(reserveShare*float64(q.limits.equalShare))))
	case ownRunning >= surgeFactor*share && f.running >= q.limits.account:
		return false
	default:
		return n < q.limits.total
	}
}

// hasSurge reports whether a flow with a surge has waiting requests.
func (q *Queue) hasSurge() bool {
	for _, f := range q.backlog {
		if f.weight < q.activeWeight && float64(f.running) >= surgeFactor*q.fairShare(f) {
			return true
		}
	}
	return false
}
