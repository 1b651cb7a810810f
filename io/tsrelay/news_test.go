package tsrelay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsfreshness"
)

// Routes, keys and servers were acted on by news of any age, unless the own
// link was crowded and no server answered quickly.
func TestOldNews(t *testing.T) {
	const span, contact = 3 * time.Second, 4 * time.Second
	now := time.Unix(1_000_000, 0)
	bounds := tsfreshness.Bounds{Contact: contact}
	for f := range bounds.Spans {
		bounds.Spans[f] = span
	}
	relay := func(tableAge, serversAge time.Duration) (*Relay, *tsfreshness.Tracker) {
		f := tsfreshness.New(bounds)
		f.Confirm(tsfreshness.Table, now.Add(-tableAge))
		f.Confirm(tsfreshness.Servers, now.Add(-serversAge))
		return New(Config{Freshness: f}), f
	}
	assertActs := func(t *testing.T, s *Relay, at time.Time, delay time.Duration, want turmericshed.Kind) {
		t.Helper()
		err := s.checkFreshness(at, delay)
		assert.Equal(t, turmericshed.KindOf(err), want)
		if err != nil {
			assert.Assert(t, turmericshed.RetryAfterOf(err) > 0)
		}
	}
	t.Run("of servers is not acted on", func(t *testing.T) {
		s, _ := relay(0, span)
		assertActs(t, s, now, 0, turmericshed.KindNotReady)
	})
	t.Run("nor of routes and keys", func(t *testing.T) {
		s, _ := relay(span, 0)
		assertActs(t, s, now, 0, turmericshed.KindNotReady)
	})
	t.Run("younger news is, while what is done takes effect in time", func(t *testing.T) {
		s, _ := relay(time.Second, time.Second)
		assertActs(t, s, now, 0, turmericshed.KindNone)
		assertActs(t, s, now, 1500*time.Millisecond, turmericshed.KindNone)
		assertActs(t, s, now, 2*time.Second, turmericshed.KindNotReady)
		assertActs(t, s, now.Add(2*time.Second), 0, turmericshed.KindNotReady)
	})
	t.Run("any news is, in a cut", func(t *testing.T) {
		s, f := relay(time.Hour, time.Hour)
		f.Unreached(now)
		assertActs(t, s, now, 0, turmericshed.KindNone)
	})
	t.Run("a cut is no excuse for long", func(t *testing.T) {
		s, f := relay(time.Hour, time.Hour)
		f.Unreached(now.Add(-contact))
		assertActs(t, s, now, 0, turmericshed.KindNotReady)
	})
	t.Run("without bounds it is", func(t *testing.T) {
		assertActs(t, New(Config{}), now, 0, turmericshed.KindNone)
	})
}
