package tsrelay

import (
	"sync"
	"sync/atomic"
	"time"
)

// crowdedRecheckInterval is the time between looks at a crowded link, while which a
// server's silence tells nothing.
const crowdedRecheckInterval = 300 * time.Millisecond

// silenceTimer ends an attempt at a silent server while the request can still go
// to another one.
type silenceTimer struct {
	pauseLimit time.Duration
	isExpired  atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
}

// startSilenceTimer starts the patience for an attempt: none when the request could not
// go elsewhere, since a server's silence alone is no reason to give up.
func (q *request) startSilenceTimer(cancel func()) *silenceTimer {
	p := &silenceTimer{}
	if !q.route.Repeatable || q.sentAttempts+1 >= q.route.MaxAttempts || q.route.Objective <= 0 {
		return p
	}
	if q.route.Stream {
		p.pauseLimit = pauseFactor * q.route.PauseObjective
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(silenceFactor*q.route.Objective, func() {
		if q.relay.linkCrowded(time.Now()) {
			// Sent again, the body would wait at the same link once more.
			p.reset(crowdedRecheckInterval)
			return
		}
		p.isExpired.Store(true)
		cancel()
	})
	return p
}

func (p *silenceTimer) reset(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Reset(d)
	}
}

// eventReceived is called for every event of a stream.
func (p *silenceTimer) eventReceived() {
	if p.pauseLimit <= 0 {
		p.stop()
		return
	}
	p.reset(p.pauseLimit)
}

// stop ends the patience for good.
func (p *silenceTimer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// expired reports whether the attempt was ended for silence.
func (p *silenceTimer) expired() bool { return p.isExpired.Load() }
