package tsrelay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// link is a link whose state the test sets.
type link struct{ crowded atomic.Bool }

func (l *link) Crowded(time.Time) bool { return l.crowded.Load() }

func (*link) Full() bool { return false }

func (*link) Delay(int) time.Duration { return 0 }

func (*link) Await(context.Context, turmericshed.AccountID, int) error { return nil }

// newPatience watches an attempt whose objective is 10 ms.
func newPatience(l *link, stream bool) (p *patience, ended chan struct{}) {
	ended = make(chan struct{})
	q := &request{relay: New(Config{Link: l}), route: turmericshed.Route{
		Repeatable: true, MaxAttempts: 2, Objective: 10 * time.Millisecond, Stream: stream, PauseObjective: 10 * time.Millisecond,
	}}
	return q.watch(func() { close(ended) }), ended
}

// assertEnds checks that the attempt is ended for silence.
func assertEnds(t *testing.T, p *patience, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt goes on")
	}
	assert.Assert(t, p.expired())
}

// assertGoesOn checks that the attempt is not ended for a time.
func assertGoesOn(t *testing.T, p *patience, d time.Duration) {
	t.Helper()
	time.Sleep(d)
	assert.Assert(t, !p.expired())
}

func TestPatience(t *testing.T) {
	t.Run("a silent server is left", func(t *testing.T) {
		p, ended := newPatience(&link{}, true)
		assertEnds(t, p, ended)
	})
	t.Run("not while the own link is crowded", func(t *testing.T) {
		l := &link{}
		l.crowded.Store(true)
		p, ended := newPatience(l, true)
		assertGoesOn(t, p, 2*crowdedRecheck)
		l.crowded.Store(false)
		assertEnds(t, p, ended)
	})
	t.Run("a stream that stalls after events is left as well", func(t *testing.T) {
		p, ended := newPatience(&link{}, true)
		p.heard()
		assertEnds(t, p, ended)
	})
	t.Run("a plain answer has no pauses to watch", func(t *testing.T) {
		p, _ := newPatience(&link{}, false)
		p.heard()
		assertGoesOn(t, p, 100*time.Millisecond)
	})
	t.Run("nothing ends an attempt that is over", func(t *testing.T) {
		p, _ := newPatience(&link{}, true)
		p.stop()
		p.heard()
		assertGoesOn(t, p, 100*time.Millisecond)
	})
}
