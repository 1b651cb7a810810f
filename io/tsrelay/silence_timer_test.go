package tsrelay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// fakeLink is a Link that is congested when the test sets it so.
type fakeLink struct{ congested atomic.Bool }

func (l *fakeLink) WasCongested(time.Time) bool { return l.congested.Load() }

func (*fakeLink) IsSaturated() bool { return false }

func (*fakeLink) Delay(int) time.Duration { return 0 }

func (*fakeLink) Await(context.Context, turmericshed.AccountID, int) error { return nil }

// newTestTimer starts the timer of an attempt whose objective is 10 ms. canceled is closed
// when the timer cancels the attempt.
func newTestTimer(l *fakeLink, stream bool) (timer *silenceTimer, canceled chan struct{}) {
	canceled = make(chan struct{})
	q := &request{relay: New(Config{Link: l}), route: turmericshed.Route{
		Repeatable: true, MaxAttempts: 2, LatencyObjective: 10 * time.Millisecond, Stream: stream, EventGapObjective: 10 * time.Millisecond,
	}}
	return q.startSilenceTimer(func() { close(canceled) }), canceled
}

// assertExpires checks that the timer cancels the attempt.
func assertExpires(t *testing.T, timer *silenceTimer, canceled chan struct{}) {
	t.Helper()
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt goes on")
	}
	assert.Assert(t, timer.expired())
}

// assertNotExpired checks that the timer does not cancel the attempt within d.
func assertNotExpired(t *testing.T, timer *silenceTimer, d time.Duration) {
	t.Helper()
	time.Sleep(d)
	assert.Assert(t, !timer.expired())
}

func TestPatience(t *testing.T) {
	t.Run("expires when the server is silent", func(t *testing.T) {
		timer, canceled := newTestTimer(&fakeLink{}, true)
		assertExpires(t, timer, canceled)
	})
	t.Run("does not expire while the local link is congested", func(t *testing.T) {
		l := &fakeLink{}
		l.congested.Store(true)
		timer, canceled := newTestTimer(l, true)
		assertNotExpired(t, timer, 2*congestedRecheckInterval)
		l.congested.Store(false)
		assertExpires(t, timer, canceled)
	})
	t.Run("expires when a stream stalls after events", func(t *testing.T) {
		timer, canceled := newTestTimer(&fakeLink{}, true)
		timer.eventReceived()
		assertExpires(t, timer, canceled)
	})
	t.Run("does not expire during a plain answer", func(t *testing.T) {
		timer, _ := newTestTimer(&fakeLink{}, false)
		timer.eventReceived()
		assertNotExpired(t, timer, 100*time.Millisecond)
	})
	t.Run("does not expire after the attempt ended", func(t *testing.T) {
		timer, _ := newTestTimer(&fakeLink{}, true)
		timer.stop()
		timer.eventReceived()
		assertNotExpired(t, timer, 100*time.Millisecond)
	})
}

// Guards against a panic where the timer of a process that stood still expires although the answer is complete.
func TestTimerExpiresAfterACompleteAnswer(t *testing.T) {
	timer, canceled := newTestTimer(&fakeLink{}, true)
	assertExpires(t, timer, canceled)
	assert.Assert(t, !endedInTimeout(nil, timer))
	assert.Assert(t, endedInTimeout(context.Canceled, timer))
}
