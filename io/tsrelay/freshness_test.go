package tsrelay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsfreshness"
)

// Guards against acting on routes, keys and servers of any age. It is not enough to check
// their age while the local link is congested and no server answers quickly.
func TestOldNews(t *testing.T) {
	const maxAge, maxOutage = 3 * time.Second, 4 * time.Second
	now := time.Unix(1_000_000, 0)
	bounds := tsfreshness.Bounds{Contact: maxOutage}
	for f := range bounds.Spans {
		bounds.Spans[f] = maxAge
	}
	newRelay := func(tableAge, serversAge time.Duration) (*Relay, *tsfreshness.Tracker) {
		f := tsfreshness.New(bounds)
		f.Confirm(tsfreshness.Table, now.Add(-tableAge))
		f.Confirm(tsfreshness.Servers, now.Add(-serversAge))
		return New(Config{Freshness: f}), f
	}
	assertKind := func(t *testing.T, s *Relay, at time.Time, delay time.Duration, want turmericshed.Kind) {
		t.Helper()
		err := s.checkFreshness(at, delay)
		assert.Equal(t, turmericshed.KindOf(err), want)
		if err != nil {
			assert.Assert(t, turmericshed.RetryAfterOf(err) > 0)
		}
	}
	t.Run("a stale server view refuses the request", func(t *testing.T) {
		s, _ := newRelay(0, maxAge)
		assertKind(t, s, now, 0, turmericshed.KindNotReady)
	})
	t.Run("a stale routing table refuses the request", func(t *testing.T) {
		s, _ := newRelay(maxAge, 0)
		assertKind(t, s, now, 0, turmericshed.KindNotReady)
	})
	t.Run("a fresh view serves the request", func(t *testing.T) {
		s, _ := newRelay(time.Second, time.Second)
		assertKind(t, s, now, 0, turmericshed.KindNone)
		assertKind(t, s, now, 1500*time.Millisecond, turmericshed.KindNone)
		assertKind(t, s, now, 2*time.Second, turmericshed.KindNotReady)
		assertKind(t, s, now.Add(2*time.Second), 0, turmericshed.KindNotReady)
	})
	t.Run("a stale view serves the request in a network cut", func(t *testing.T) {
		s, f := newRelay(time.Hour, time.Hour)
		f.RecordUnreachable(now)
		assertKind(t, s, now, 0, turmericshed.KindNone)
	})
	t.Run("a stale view refuses the request after a long network cut", func(t *testing.T) {
		s, f := newRelay(time.Hour, time.Hour)
		f.RecordUnreachable(now.Add(-maxOutage))
		assertKind(t, s, now, 0, turmericshed.KindNotReady)
	})
	t.Run("a stale view serves the request when no bounds are set", func(t *testing.T) {
		assertKind(t, New(Config{}), now, 0, turmericshed.KindNone)
	})
}
