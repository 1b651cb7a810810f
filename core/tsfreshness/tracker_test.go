package tsfreshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsfreshness"
)

const (
	span    = 2 * time.Second
	contact = 3 * time.Second
)

var start = time.Unix(1_000_000, 0)

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func tracker() *tsfreshness.Tracker { return trackerOf(span, contact) }

func trackerOf(span, contact time.Duration) *tsfreshness.Tracker {
	b := tsfreshness.Bounds{Contact: contact}
	for f := range b.Spans {
		b.Spans[f] = span
	}
	return tsfreshness.New(b)
}

// confirmed returns a tracker that has all changes up to a time.
func confirmed(ms int) *tsfreshness.Tracker {
	t := tracker()
	t.Confirm(tsfreshness.Table, at(ms))
	t.Confirm(tsfreshness.Servers, at(ms))
	return t
}

// assertWithin checks that a time is between two others, inclusively.
func assertWithin(t *testing.T, got, from, to time.Time) {
	t.Helper()
	assert.Assert(t, !got.Before(from) && !got.After(to), "%s is not within %s and %s", got.Sub(start), from.Sub(start), to.Sub(start))
}

func TestUntil(t *testing.T) {
	t.Run("stored facts are not used before the first confirmation", func(t *testing.T) {
		assert.Assert(t, !at(0).Before(tracker().UsableUntil()))
	})
	t.Run("confirmed facts are used for less than the span", func(t *testing.T) {
		assertWithin(t, confirmed(0).UsableUntil(), at(1500), at(1900))
	})
	t.Run("the older of two confirmations sets the end", func(t *testing.T) {
		f := confirmed(0)
		f.Confirm(tsfreshness.Servers, at(1000))
		assert.Equal(t, f.UsableUntil(), confirmed(0).UsableUntil())
	})
	t.Run("an older confirmation does not shorten the time", func(t *testing.T) {
		f := confirmed(1000)
		f.Confirm(tsfreshness.Servers, at(0))
		assert.Equal(t, f.UsableUntil(), confirmed(1000).UsableUntil())
	})
	t.Run("an unreachable store extends the time to less than the contact time", func(t *testing.T) {
		f := confirmed(0)
		f.RecordUnreachable(at(1200))
		assertWithin(t, f.UsableUntil(), at(3700), at(4100))
		f.RecordUnreachable(at(100))
		assertWithin(t, f.UsableUntil(), at(3700), at(4100))
	})
	t.Run("missing bounds default to the shortest ones", func(t *testing.T) {
		f := tsfreshness.New(tsfreshness.Bounds{})
		f.Confirm(tsfreshness.Table, at(0))
		f.Confirm(tsfreshness.Servers, at(0))
		assert.Equal(t, f.UsableUntil(), confirmed(0).UsableUntil())
	})
}

func TestAsking(t *testing.T) {
	t.Run("a query starts early enough to be answered in time", func(t *testing.T) {
		f := confirmed(0)
		for _, fact := range []tsfreshness.Fact{tsfreshness.Table, tsfreshness.Servers} {
			assertWithin(t, f.QueryAt(fact), at(1000), at(1200))
			assert.Assert(t, f.QueryAt(fact).Add(f.QueryTimeout(fact, false)).Before(f.UsableUntil()))
			assert.Assert(t, f.WatchWait(at(0), fact, 0) < f.QueryAt(fact).Sub(at(0)))
		}
	})
	t.Run("a watch ends before the next query is due", func(t *testing.T) {
		f := confirmed(0)
		for ms := 0; ms < 1000; ms += 50 {
			assert.Assert(t, at(ms).Add(f.WatchWait(at(ms), tsfreshness.Servers, 0)).Before(f.QueryAt(tsfreshness.Servers)))
		}
	})
	t.Run("queries during a store outage time out before the facts expire", func(t *testing.T) {
		for _, b := range []struct{ span, contact time.Duration }{{span, contact}, {3 * time.Second, 4 * time.Second}, {4 * time.Second, 5 * time.Second}} {
			f := trackerOf(b.span, b.contact)
			f.Confirm(tsfreshness.Table, at(0))
			f.Confirm(tsfreshness.Servers, at(0))
			for range 10 {
				queriedAt := f.QueryAt(tsfreshness.Servers)
				timedOutAt := queriedAt.Add(f.QueryTimeout(tsfreshness.Servers, false))
				assert.Assert(t, timedOutAt.Before(f.UsableUntil()), "the query times out %s after the facts expire", timedOutAt.Sub(f.UsableUntil()))
				f.RecordUnreachable(queriedAt)
				f.RecordUnansweredQuery(timedOutAt)
				assert.Assert(t, !f.MayQuery(timedOutAt))
			}
		}
	})
	t.Run("a watch of a slow store is shorter", func(t *testing.T) {
		f := confirmed(0)
		const latency = 150 * time.Millisecond
		for ms := 0; ms < 700; ms += 50 {
			ends := at(ms).Add(f.WatchWait(at(ms), tsfreshness.Servers, latency) + latency)
			assert.Assert(t, ends.Before(f.QueryAt(tsfreshness.Servers)))
		}
	})
	t.Run("an answer permits the next query at once", func(t *testing.T) {
		f := confirmed(0)
		f.RecordUnansweredQuery(at(1200))
		f.RecordQueryAnswer()
		assert.Assert(t, f.MayQuery(at(1200)))
	})
}

func TestOvertaken(t *testing.T) {
	overtaken := func(exchanges ...[2]int) bool {
		f := tracker()
		for _, e := range exchanges {
			f.RecordExchange(at(e[1]), at(e[0]))
		}
		return f.HasCompletedExchangesSince(at(1000))
	}
	for name, c := range map[string]struct {
		exchanges [][2]int
		want      bool
	}{
		"no exchange": {nil, false},
		"exchanges that began before do not count":                               {[][2]int{{900, 1100}, {950, 1200}}, false},
		"one exchange is not enough, as a call takes two":                        {[][2]int{{1010, 1100}}, false},
		"two concurrent exchanges are not enough":                                {[][2]int{{1010, 1200}, {1020, 1200}}, false},
		"two consecutive exchanges overtake":                                     {[][2]int{{1010, 1100}, {1110, 1200}}, true},
		"two consecutive exchanges with an older answer between them overtake":   {[][2]int{{1010, 1100}, {100, 1150}, {1110, 1200}}, true},
		"one exchange that began before and one that began after are not enough": {[][2]int{{900, 1100}, {1110, 1200}}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, overtaken(c.exchanges...), c.want) })
	}
}
