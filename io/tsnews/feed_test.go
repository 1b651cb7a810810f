package tsnews

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

func TestFeed(t *testing.T) {
	start := func() *feed {
		f := newFeed()
		f.reset([]turmericshed.Item{{Key: "a", Version: 3}}, 5)
		return f
	}
	follow := func(t *testing.T, f *feed, after uint64) news {
		t.Helper()
		n, err := f.follow(t.Context(), turmericshed.Version(after), 10*time.Millisecond)
		assert.NilError(t, err)
		return n
	}
	t.Run("nothing is told before a snapshot, or after one was lost", func(t *testing.T) {
		f := newFeed()
		f.apply(change("a", 9))
		_, err := f.follow(t.Context(), 0, 0)
		assert.ErrorIs(t, err, errNotWatching)
		f = start()
		f.lost()
		_, err = f.follow(t.Context(), 5, 0)
		assert.ErrorIs(t, err, errNotWatching)
	})
	t.Run("all items for who knows nothing", func(t *testing.T) {
		n := follow(t, start(), 0)
		assert.Assert(t, n.reset)
		assert.Equal(t, len(n.events), 1)
		assert.Equal(t, n.at, turmericshed.Version(5))
	})
	t.Run("changes for who is behind", func(t *testing.T) {
		f := start()
		f.apply(change("a", 7))
		f.apply(change("b", 8))
		n := follow(t, f, 7)
		assert.Assert(t, !n.reset)
		assert.Equal(t, len(n.events), 1)
		assert.Equal(t, n.at, turmericshed.Version(8))
	})
	t.Run("nobody is sent back", func(t *testing.T) {
		n := follow(t, start(), 9)
		assert.Assert(t, !n.reset && len(n.events) == 0)
		assert.Equal(t, n.at, turmericshed.Version(9))
	})
	t.Run("who is too far behind gets all items", func(t *testing.T) {
		f := start()
		for n := range uint64(maxLog + 10) {
			f.apply(change("a", 6+n))
		}
		assert.Assert(t, follow(t, f, 6).reset)
		assert.Assert(t, !follow(t, f, maxLog).reset)
	})
	t.Run("an old feed is not told", func(t *testing.T) {
		f := start()
		f.heard = time.Now().Add(-maxAge)
		_, err := f.follow(t.Context(), 5, 0)
		assert.ErrorIs(t, err, errNotWatching)
	})
}
