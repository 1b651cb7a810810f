package tsrelay

import (
	"sync"
	"sync/atomic"
	"time"
)

// congestedRecheckInterval is the time between checks whether the local link is still
// congested. Until it is not, a server's silence does not show that the server is slow.
const congestedRecheckInterval = 300 * time.Millisecond

// silenceTimer cancels an attempt when its server sends nothing for too long, provided
// that the request can still go to another server. The zero value never expires.
type silenceTimer struct {
	// pauseLimit is the longest pause between the events of a stream; 0 for a plain
	// answer.
	pauseLimit time.Duration
	isExpired  atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
}

// startSilenceTimer returns the timer of an attempt, which calls cancel when it expires.
// It never expires when the request could not be sent to another server: silence by itself is
// no reason to abandon an attempt.
func (q *request) startSilenceTimer(cancel func()) *silenceTimer {
	t := &silenceTimer{}
	if !q.route.Repeatable || q.sentAttempts+1 >= q.route.MaxAttempts || q.route.LatencyObjective <= 0 {
		return t
	}
	if q.route.Stream {
		t.pauseLimit = pauseFactor * q.route.EventGapObjective
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(silenceFactor*q.route.LatencyObjective, func() {
		if q.relay.linkCongested(time.Now()) {
			// A repeat would have to wait for the same link again.
			t.reset(congestedRecheckInterval)
			return
		}
		t.isExpired.Store(true)
		cancel()
	})
	return t
}

// reset restarts the timer with the duration d, unless it is stopped.
func (t *silenceTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Reset(d)
	}
}

// eventReceived restarts the timer after events of a stream arrived; without a pause
// limit it stops the timer.
func (t *silenceTimer) eventReceived() {
	if t.pauseLimit <= 0 {
		t.stop()
		return
	}
	t.reset(t.pauseLimit)
}

// stop disarms the timer permanently.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// expired reports whether the timer has canceled the attempt.
func (t *silenceTimer) expired() bool { return t.isExpired.Load() }
