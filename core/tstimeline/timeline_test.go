package tstimeline_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tstimeline"
)

var epoch = time.Unix(1_800_000_000, 0).UTC()

func event(process string, ms int, logical uint32) turmericshed.Event {
	return turmericshed.Event{
		Wall: epoch.Add(time.Duration(ms) * time.Millisecond), Logical: logical, Process: process,
		Name: turmericshed.EventDispatched, Request: turmericshed.RequestID("r-" + process),
	}
}

func TestClock(t *testing.T) {
	t.Run("an effect is after its cause on a slower clock", func(t *testing.T) {
		var fast, slow tstimeline.Clock
		cause := fast.Next(epoch.Add(3 * time.Second))
		assert.Assert(t, slow.Observe(epoch, cause))
		assert.Assert(t, cause.Before(slow.Next(epoch)))
	})
	t.Run("a stamp far in the future does not advance the clock", func(t *testing.T) {
		var c tstimeline.Clock
		assert.Assert(t, !c.Observe(epoch, tstimeline.Stamp{Wall: epoch.Add(time.Hour)}))
		assert.Equal(t, c.Next(epoch).Wall, epoch)
	})
	t.Run("stamps grow and survive a message", rapid.MakeCheck(func(t *rapid.T) {
		var c tstimeline.Clock
		last := tstimeline.Stamp{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := epoch.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "receive") {
				c.Observe(now, tstimeline.Stamp{Wall: now.Add(time.Millisecond), Logical: 4})
			}
			s := c.Next(now)
			assert.Assert(t, last.Before(s))
			back, err := tstimeline.ParseStamp(s.String())
			assert.NilError(t, err)
			assert.Equal(t, back, s)
			last = s
		}
	}))
}

func TestMerge(t *testing.T) {
	a := []turmericshed.Event{event("a", 1, 0), event("a", 3, 1)}
	b := []turmericshed.Event{event("b", 1, 0), event("b", 3, 0)}
	t.Run("orders by wall, logical, process", func(t *testing.T) {
		got := tstimeline.Merge(b, a)
		assert.DeepEqual(t, got, []turmericshed.Event{a[0], b[0], b[1], a[1]})
	})
	t.Run("keeps an event read twice once", func(t *testing.T) {
		assert.Equal(t, len(tstimeline.Merge(a, b, a)), 4)
	})
}

func TestFilter(t *testing.T) {
	e := event("a", 5, 0)
	e.Lot, e.Server = "lot-1", "server-1"
	for id, want := range map[string]bool{"": true, "r-a": true, "lot-1": true, "server-1": true, "a": true, "lot-2": false} {
		t.Run("id "+id, func(t *testing.T) {
			assert.Equal(t, tstimeline.Filter{ID: id}.Match(e), want)
		})
	}
	t.Run("names and start", func(t *testing.T) {
		assert.Assert(t, !tstimeline.Filter{Names: []turmericshed.EventName{turmericshed.EventLotDrawn}}.Match(e))
		assert.Assert(t, !tstimeline.Filter{From: epoch.Add(time.Second)}.Match(e))
	})
}

func TestRing(t *testing.T) {
	r := tstimeline.NewRing[int](3)
	for i := 1; i <= 5; i++ {
		assert.Equal(t, r.Push(i*10), uint64(i))
	}
	check := func(name string, after uint64, limit int, first uint64, want ...int) {
		t.Run(name, func(t *testing.T) {
			n, got := r.After(after, limit)
			assert.Equal(t, n, first)
			assert.DeepEqual(t, got, want)
		})
	}
	check("tells of dropped elements", 0, 9, 3, 30, 40, 50)
	check("goes on from a cursor", 3, 1, 4, 40)
	check("a cursor of an earlier process starts over", 99, 9, 3, 30, 40, 50)
}
