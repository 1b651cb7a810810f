package tsrelay

import (
	"sync/atomic"
	"time"
)

// patience ends an attempt at a silent server while the request can still go
// to another one.
type patience struct {
	timer   *time.Timer
	silent  atomic.Bool
	between time.Duration
}

// watch starts the patience for an attempt: none when the request could not
// go elsewhere, since a server's silence alone is no reason to give up.
func (q *request) watch(cancel func()) *patience {
	p := &patience{}
	if !q.route.Repeatable || q.sent+1 >= q.route.MaxAttempts || q.route.Objective <= 0 {
		return p
	}
	if q.route.Stream {
		p.between = pauseFactor * q.route.PauseObjective
	}
	p.timer = time.AfterFunc(silenceFactor*q.route.Objective, func() {
		p.silent.Store(true)
		cancel()
	})
	return p
}

// heard is called for every event of a stream.
func (p *patience) heard() {
	if p.timer == nil {
		return
	}
	if p.between <= 0 {
		p.timer.Stop()
		return
	}
	p.timer.Reset(p.between)
}

func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// expired reports whether the attempt was ended for silence.
func (p *patience) expired() bool { return p.silent.Load() }
