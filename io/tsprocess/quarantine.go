package tsprocess

import (
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tspoison"
)

// quarantine makes a tracker safe for concurrent use.
type quarantine struct {
	mu      sync.Mutex
	tracker *tspoison.Tracker
}

func newQuarantine() *quarantine { return &quarantine{tracker: tspoison.NewTracker()} }

var _ turmericshed.Quarantine = (*quarantine)(nil)

// Check returns KindQuarantined for a digest that may not run.
func (q *quarantine) Check(now time.Time, d turmericshed.Digest) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Check(now, d)
}

// Started must return nil right before an attempt is sent.
func (q *quarantine) Started(now time.Time, d turmericshed.Digest, s turmericshed.ServerID) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Started(now, d, s)
}

// Ended ends an attempt that Started let through.
func (q *quarantine) Ended(now time.Time, d turmericshed.Digest, s turmericshed.ServerID, crashed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Ended(now, d, s, crashed)
}

// Survived clears a request that was answered whole.
func (q *quarantine) Survived(now time.Time, d turmericshed.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Survived(now, d)
}
