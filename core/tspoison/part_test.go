package tspoison_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tspoison"
)

// partBook is a Book of an aggregator with a part f that sound requests have as well, and
// a part d that crashes servers.
type partBook struct {
	tspoison.Book
	now      time.Time
	requests int
	answered map[turmericshed.Digest]time.Time
}

func newPartBook() *partBook {
	return &partBook{now: time.Unix(1_000_000, 0), answered: map[turmericshed.Digest]time.Time{}}
}

// crash records that another server terminated, a second later, under a new request with
// the given parts.
func (b *partBook) crash(onlyHead bool, parts ...turmericshed.Digest) {
	b.requests++
	b.crashUnder(turmericshed.Digest(fmt.Sprint("request-", b.requests)), onlyHead, parts...)
}

func (b *partBook) crashUnder(d turmericshed.Digest, onlyHead bool, parts ...turmericshed.Digest) {
	b.now = b.now.Add(time.Second)
	a := turmericshed.LostAttempt{CrashSubject: turmericshed.CrashSubject{Request: d}, Began: b.now.Add(-10 * time.Millisecond), OnlyHead: onlyHead}
	for i, p := range parts {
		b.EndedPart(b.now, p, i+1, a, crashedServer(int(b.now.Unix())))
	}
}

// confirm confirms the parts that wait for it, and checks which of f and d are blocked.
func (b *partBook) confirm(t *testing.T, wantF, wantD bool) {
	t.Helper()
	b.Confirm(b.now, b.Unconfirmed(), b.answered)
	_, f := b.BlockedUntil(b.now, "f")
	_, d := b.BlockedUntil(b.now, "d")
	assert.Equal(t, f, wantF, "f blocked")
	assert.Equal(t, d, wantD, "d blocked")
}

// Guards against blaming the wrong part of a prompt for crashes of servers.
func TestPartThatCrashesServersIsTold(t *testing.T) {
	t.Run("from a part with which requests were answered before", func(t *testing.T) {
		b := newPartBook()
		b.answered["f"] = b.now.Add(-time.Minute)
		b.crash(true, "f", "d")
		b.confirm(t, false, false)
		for range 7 {
			b.crash(true, "f", "d")
			b.confirm(t, false, true)
		}
	})
	t.Run("after three crashes if servers had not begun to answer", func(t *testing.T) {
		b := newPartBook()
		for range 2 {
			b.crash(false, "d")
			b.confirm(t, false, false)
		}
		b.crash(false, "d")
		b.confirm(t, false, true)
	})
	t.Run("from a less specific part that was never answered either", func(t *testing.T) {
		b := newPartBook()
		for range 3 {
			b.crash(true, "f", "d")
		}
		b.confirm(t, false, true)
	})
	t.Run("from a part of requests that servers had not begun to answer", func(t *testing.T) {
		b := newPartBook()
		for range 4 {
			b.crash(false, "x", "f")
			b.now = b.now.Add(-time.Second)
			b.crash(true, "d")
		}
		b.confirm(t, false, true)
	})
	t.Run("from a request that crashes servers itself", func(t *testing.T) {
		b := newPartBook()
		for range 8 {
			b.crashUnder("the same", true, "f", "d")
			b.confirm(t, false, false)
		}
	})
	t.Run("as the second of two parts that crash servers", func(t *testing.T) {
		b := newPartBook()
		for range 3 {
			b.crash(true, "x", "d")
		}
		b.confirm(t, false, true)
		for range 3 {
			b.crash(true, "x", "f")
		}
		b.confirm(t, true, true)
	})
	t.Run("not while requests with it are answered in between", func(t *testing.T) {
		b := newPartBook()
		for range 12 {
			b.crash(true, "f")
			b.answered["f"] = b.now.Add(time.Millisecond)
			b.confirm(t, false, false)
		}
	})
	t.Run("after more crashes if it was answered before", func(t *testing.T) {
		b := newPartBook()
		b.answered["f"] = b.now
		for range 4 {
			b.crash(true, "f")
			b.confirm(t, false, false)
		}
		b.crash(true, "f")
		b.confirm(t, true, false)
	})
	t.Run("until an answer clears it", func(t *testing.T) {
		b := newPartBook()
		for range 3 {
			b.crash(true, "d")
		}
		b.confirm(t, false, true)
		b.Survived(b.now.Add(time.Second), "d")
		b.confirm(t, false, false)
	})
}

func TestEvidenceAboutParts(t *testing.T) {
	t.Run("a caller that names many parts evicts no part with several crashes", func(t *testing.T) {
		b := newPartBook()
		b.crash(true, "d")
		b.crash(true, "d")
		for i := range 10_000 {
			b.crash(true, turmericshed.Digest(fmt.Sprint("x", i)))
		}
		b.crash(true, "d")
		b.confirm(t, false, true)
		assert.Assert(t, b.Len() <= 4096, "%d", b.Len())
	})
	t.Run("merging keeps the confirmation in any order", func(t *testing.T) {
		b := newPartBook()
		var unconfirmed, merged, reversed tspoison.Book
		for range 3 {
			b.crash(true, "d")
		}
		before := b.Export([]turmericshed.Digest{"d"})
		unconfirmed.Merge(before)
		_, blocked := unconfirmed.BlockedUntil(b.now, "d")
		assert.Assert(t, !blocked, "crashes alone block a part")
		b.confirm(t, false, true)
		after := b.Export([]turmericshed.Digest{"d"})
		merged.Merge(before)
		merged.Merge(after)
		reversed.Merge(after)
		reversed.Merge(before)
		for _, m := range []*tspoison.Book{&merged, &reversed} {
			_, blocked := m.BlockedUntil(b.now, "d")
			assert.Assert(t, blocked)
		}
	})
}

func TestRecent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := tspoison.NewRecent[int](100, time.Minute)
	for i := range 10_000 {
		r.Set(now, i)
	}
	_, isOldKnown := r.Get(now, 0)
	_, isNewKnown := r.Get(now, 9960)
	assert.Assert(t, !isOldKnown && isNewKnown)
	_, isNewKnown = r.Get(now.Add(29*time.Second), 9999)
	assert.Assert(t, isNewKnown)
	_, isNewKnown = r.Get(now.Add(61*time.Second), 9999)
	assert.Assert(t, !isNewKnown)
}

// Guards against asking all entry VMs again for parts that were examined and not confirmed.
func TestExaminedPartsAreNotExaminedAgainWithoutACrash(t *testing.T) {
	b := newPartBook()
	b.answered["f"] = b.now.Add(-time.Minute)
	for range 4 {
		b.crash(true, "f")
		assert.Equal(t, len(b.Unconfirmed()) > 0, b.requests >= 2)
		b.confirm(t, false, false)
		assert.Equal(t, len(b.Unconfirmed()), 0)
	}
}
