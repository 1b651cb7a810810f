package tspoison_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tspoison"
)

func crashedServer(i int) turmericshed.BackendServer {
	return turmericshed.BackendServer{ID: turmericshed.ServerID(fmt.Sprint("s-", i)), Started: time.UnixMilli(int64(i + 1))}
}

func assertBarred(t *testing.T, b *tspoison.Book, now time.Time, want bool) {
	t.Helper()
	_, got := b.BlockedUntil(now, "d")
	assert.Equal(t, got, want)
}

// Guards against blocking the wrong requests: only consecutive terminations with
// no complete answer in between block a request, and terminations that occur
// together count once.
func TestBook(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const second = time.Second
	for name, c := range map[string]struct {
		ends []time.Duration
		// survived is when the request was answered completely; 0 for never.
		survived time.Duration
		want     bool
	}{
		"three consecutive crashes":                       {ends: []time.Duration{0, second, 2 * second}, want: true},
		"two consecutive crashes":                         {ends: []time.Duration{0, second}},
		"five simultaneous crashes":                       {ends: []time.Duration{0, 1, 20 * time.Millisecond, 40 * time.Millisecond, 90 * time.Millisecond}},
		"two groups of simultaneous crashes":              {ends: []time.Duration{0, 1, second, second + 1}},
		"complete answer after the second crash":          {ends: []time.Duration{0, second, 2 * second}, survived: 1500 * time.Millisecond},
		"complete answer after the third crash":           {ends: []time.Duration{0, second, 2 * second}, survived: 3 * second},
		"complete answer after the first of four crashes": {ends: []time.Duration{0, second, 2 * second, 3 * second}, survived: 500 * time.Millisecond, want: true},
		"three consecutive pairs of simultaneous crashes": {ends: []time.Duration{0, 50 * time.Millisecond, second, second + 1, 2 * second, 2*second + 1}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var b tspoison.Book
			survived := c.survived == 0
			for i, at := range c.ends {
				if !survived && at > c.survived {
					b.Survived(now.Add(c.survived), "d")
					survived = true
				}
				b.Ended(now.Add(-time.Minute), now.Add(at), "d", crashedServer(i))
			}
			if !survived {
				b.Survived(now.Add(c.survived), "d")
			}
			assertBarred(t, &b, now.Add(4*second), c.want)
			_, other := b.BlockedUntil(now.Add(4*second), "other")
			assert.Assert(t, !other)
		})
	}
	t.Run("crashes of three short consecutive runs are counted as consecutive", func(t *testing.T) {
		var b tspoison.Book
		for i := range 3 {
			began := now.Add(time.Duration(i) * 10 * time.Millisecond)
			b.Ended(began, began.Add(9*time.Millisecond), "d", crashedServer(i))
		}
		assertBarred(t, &b, now.Add(time.Second), true)
	})
	t.Run("crashes of three overlapping runs are not counted as consecutive", func(t *testing.T) {
		var b tspoison.Book
		for i := range 3 {
			began := now.Add(time.Duration(i) * 10 * time.Millisecond)
			b.Ended(began, began.Add(25*time.Millisecond), "d", crashedServer(i))
		}
		assertBarred(t, &b, now.Add(time.Second), false)
	})
	t.Run("several reports of one crash count once", func(t *testing.T) {
		var b tspoison.Book
		for i := range 9 {
			b.Ended(now, now.Add(time.Duration(i)*300*time.Millisecond), "d", crashedServer(0))
		}
		assertBarred(t, &b, now.Add(3*second), false)
	})
	t.Run("the next crash after a quarantine doubles its duration", func(t *testing.T) {
		var b tspoison.Book
		for i := range 3 {
			b.Ended(now, now.Add(time.Duration(i)*second), "d", crashedServer(i))
		}
		first, _ := b.BlockedUntil(now.Add(2*second), "d")
		assertBarred(t, &b, first, false)
		b.Ended(first, first.Add(second), "d", crashedServer(4))
		then, ok := b.BlockedUntil(first.Add(second), "d")
		assert.Assert(t, ok)
		assert.Equal(t, then.Sub(first.Add(second)), 2*first.Sub(now.Add(2*second)))
	})
}

func TestBooksOfEntryVMs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	t.Run("crashes reported by several entry VMs are added up", func(t *testing.T) {
		var merged tspoison.Book
		for i := range 3 {
			var vm tspoison.Book
			e := vm.Ended(now, now.Add(time.Duration(i)*time.Second), "d", crashedServer(i))
			assert.Equal(t, len(merged.Merge([]tspoison.Evidence{e})), 1)
			assert.Equal(t, len(merged.Merge([]tspoison.Evidence{e})), 0)
		}
		assertBarred(t, &merged, now.Add(3*time.Second), true)
	})
	t.Run("a complete answer reported with another clock is not a new one", func(t *testing.T) {
		var a, b tspoison.Book
		e := a.Ended(now, now, "d", crashedServer(0))
		b.Merge([]tspoison.Evidence{e})
		a.Survived(now.Add(time.Second), "d")
		updated, _ := a.Get("d")
		assert.Equal(t, len(b.Merge([]tspoison.Evidence{updated})), 1)
		updated.ClearedAt = updated.ClearedAt.Add(300 * time.Millisecond)
		assert.Equal(t, len(b.Merge([]tspoison.Evidence{updated})), 0)
	})
	t.Run("the number of entries is bounded and quarantined requests are retained", func(t *testing.T) {
		var b tspoison.Book
		for i := range 3 {
			b.Ended(now, now.Add(time.Duration(i)*time.Second), "d", crashedServer(i))
		}
		for i := range 10_000 {
			b.Ended(now, now.Add(time.Duration(i+4)*time.Second), turmericshed.Digest(fmt.Sprint("x", i)), crashedServer(i))
		}
		assert.Assert(t, b.Len() <= 4096, "%d", b.Len())
		assertBarred(t, &b, now.Add(time.Minute), true)
		b.DropExpired(now.Add(24 * time.Hour))
		assert.Equal(t, b.Len(), 0)
	})
}
