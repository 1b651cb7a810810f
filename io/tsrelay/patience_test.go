package tsrelay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// fakeLink is a fakeLink whose state the test sets.
type fakeLink struct{ crowded atomic.Bool }

func (l *fakeLink) Crowded(time.Time) bool { return l.crowded.Load() }

func (*fakeLink) Full() bool { return false }

func (*fakeLink) Delay(int) time.Duration { return 0 }

func (*fakeLink) Await(context.Context, turmericshed.AccountID, int) error { return nil }

// newTestTimer watches an attempt whose objective is 10 ms.
func newTestTimer(l *fakeLink, stream bool) (p *silenceTimer, ended chan struct{}) {
	ended = make(chan struct{})
	q := &request{relay: New(Config{Link: l}), route: turmericshed.Route{
		Repeatable: true, MaxAttempts: 2, Objective: 10 * time.Millisecond, Stream: stream, PauseObjective: 10 * time.Millisecond,
	}}
	return q.startSilenceTimer(func() { close(ended) }), ended
}

// assertExpires checks that the attempt is ended for silence.
func assertExpires(t *testing.T, p *silenceTimer, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt goes on")
	}
	assert.Assert(t, p.expired())
}

// assertNotExpired checks that the attempt is not ended for a time.
func assertNotExpired(t *testing.T, p *silenceTimer, d time.Duration) {
	t.Helper()
	time.Sleep(d)
	assert.Assert(t, !p.expired())
}

func TestPatience(t *testing.T) {
	t.Run("a silent server is left", func(t *testing.T) {
		p, ended := newTestTimer(&fakeLink{}, true)
		assertExpires(t, p, ended)
	})
	t.Run("not while the own link is crowded", func(t *testing.T) {
		l := &fakeLink{}
		l.crowded.Store(true)
		p, ended := newTestTimer(l, true)
		assertNotExpired(t, p, 2*crowdedRecheckInterval)
		l.crowded.Store(false)
		assertExpires(t, p, ended)
	})
	t.Run("a stream that stalls after events is left as well", func(t *testing.T) {
		p, ended := newTestTimer(&fakeLink{}, true)
		p.eventReceived()
		assertExpires(t, p, ended)
	})
	t.Run("a plain answer has no pauses to watch", func(t *testing.T) {
		p, _ := newTestTimer(&fakeLink{}, false)
		p.eventReceived()
		assertNotExpired(t, p, 100*time.Millisecond)
	})
	t.Run("nothing ends an attempt that is over", func(t *testing.T) {
		p, _ := newTestTimer(&fakeLink{}, true)
		p.stop()
		p.eventReceived()
		assertNotExpired(t, p, 100*time.Millisecond)
	})
}
