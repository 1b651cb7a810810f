package tsfeed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

func change(key string, version uint64) turmericshed.WatchEvent {
	return turmericshed.WatchEvent{Item: turmericshed.Item{Key: key, Value: []byte(fmt.Sprint(version)), Version: turmericshed.Version(version)}}
}

// changes returns the events as changes that are complete up to now.
func changes(events ...turmericshed.WatchEvent) turmericshed.Changes {
	c := turmericshed.Changes{Events: events, AsOf: time.Now()}
	for _, ev := range events {
		c.At = max(c.At, ev.Version)
	}
	return c
}

func TestFeed(t *testing.T) {
	const maxAge = time.Second
	newValidFeed := func() *feed {
		f := newFeed()
		f.reset(turmericshed.Snapshot{Items: []turmericshed.Item{{Key: "a", Version: 3}}, At: 5, AsOf: time.Now()})
		return f
	}
	follow := func(t *testing.T, f *feed, after uint64) turmericshed.Changes {
		t.Helper()
		c, err := f.follow(t.Context(), turmericshed.Version(after), time.Time{}, 10*time.Millisecond, maxAge)
		assert.NilError(t, err)
		return c
	}
	assertNotServed := func(t *testing.T, f *feed) {
		t.Helper()
		_, err := f.follow(t.Context(), 5, time.Time{}, 0, maxAge)
		assert.ErrorIs(t, err, errNotWatching)
	}
	t.Run("a feed without a snapshot sends nothing", func(t *testing.T) {
		f := newFeed()
		f.apply(5, changes(change("a", 9)))
		assertNotServed(t, f)
		f = newValidFeed()
		f.invalidate()
		assertNotServed(t, f)
	})
	t.Run("a follower without a revision gets all items", func(t *testing.T) {
		c := follow(t, newValidFeed(), 0)
		assert.Assert(t, c.Reset)
		assert.Equal(t, len(c.Events), 1)
		assert.Equal(t, c.At, turmericshed.Version(5))
	})
	t.Run("a follower that is behind gets the changes", func(t *testing.T) {
		f := newValidFeed()
		f.apply(5, changes(change("a", 7)))
		f.apply(7, changes(change("b", 8)))
		c := follow(t, f, 7)
		assert.Assert(t, !c.Reset)
		assert.Equal(t, len(c.Events), 1)
		assert.Equal(t, c.At, turmericshed.Version(8))
	})
	t.Run("changes with a gap after the last revision stop the feed", func(t *testing.T) {
		f := newValidFeed()
		f.apply(7, changes(change("a", 9)))
		assertNotServed(t, f)
	})
	t.Run("duplicate changes are applied once", func(t *testing.T) {
		f := newValidFeed()
		f.apply(5, changes(change("a", 7)))
		f.apply(5, changes(change("a", 7), change("b", 8)))
		assert.Equal(t, len(follow(t, f, 5).Events), 2)
	})
	t.Run("a follower with a newer revision is not sent older items", func(t *testing.T) {
		c := follow(t, newValidFeed(), 9)
		assert.Assert(t, !c.Reset && len(c.Events) == 0)
		assert.Equal(t, c.At, turmericshed.Version(9))
	})
	t.Run("a follower that is too far behind gets all items", func(t *testing.T) {
		f := newValidFeed()
		for n := range uint64(maxLogEvents + 10) {
			f.apply(turmericshed.Version(5+n), changes(change("a", 6+n)))
		}
		assert.Assert(t, follow(t, f, 6).Reset)
		assert.Assert(t, !follow(t, f, maxLogEvents).Reset)
	})
	t.Run("a stale feed sends nothing", func(t *testing.T) {
		f := newValidFeed()
		f.asOf = time.Now().Add(-maxAge)
		assertNotServed(t, f)
	})
	t.Run("a confirmation that nothing changed is sent at once", func(t *testing.T) {
		f := newValidFeed()
		time.AfterFunc(2*minAsOfGain, func() { f.apply(5, changes()) })
		began := time.Now()
		c, err := f.follow(t.Context(), 5, time.Time{}, 5*time.Second, 2*maxAge)
		assert.NilError(t, err)
		assert.Assert(t, c.AsOf.After(began))
		assert.Assert(t, time.Since(began) < time.Second)
	})
	t.Run("a follower with an older confirmation time is answered at once", func(t *testing.T) {
		began := time.Now()
		_, err := newValidFeed().follow(t.Context(), 5, began.Add(-maxAge), 5*time.Second, maxAge)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < time.Second)
	})
	t.Run("the age includes time in which the machine was suspended", func(t *testing.T) {
		f := newValidFeed()
		f.suspendedAtAsOf -= maxAge
		assertNotServed(t, f)
	})
}
