package tsplatform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.Unix(1_000_000, 0)} }

func (c *clock) now() time.Time { return c.at }

func newStore(o tsplatform.Options) (*tsplatform.Store, *clock) {
	c := newClock()
	o.Now = c.now
	return tsplatform.NewStore(o), c
}

func put(t *testing.T, s turmericshed.Store, key, value string, want turmericshed.Version) turmericshed.Version {
	t.Helper()
	v, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: key, ExpectedVersion: want, Value: []byte(value)})
	assert.NilError(t, err)
	return v
}

func assertValue(t *testing.T, s turmericshed.Store, key, value string) {
	t.Helper()
	it, err := s.Get(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, string(it.Value), value)
}

func assertKind(t *testing.T, err error, k turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), k, "%v", err)
}

func TestCompareAndSwap(t *testing.T) {
	s, _ := newStore(tsplatform.Options{})
	v1 := put(t, s, "a", "1", 0)
	t.Run("a stale version conflicts", func(t *testing.T) {
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", Value: []byte("2")})
		assertKind(t, err, turmericshed.KindConflict)
		assertValue(t, s, "a", "1")
	})
	t.Run("a version is never used again", func(t *testing.T) {
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", ExpectedVersion: v1, Delete: true})
		assert.NilError(t, err)
		assert.Assert(t, put(t, s, "a", "3", 0) > v1+1)
	})
	t.Run("a large value is refused", func(t *testing.T) {
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "b", Value: make([]byte, turmericshed.MaxValueBytes+1)})
		assertKind(t, err, turmericshed.KindTooLarge)
	})
	t.Run("list is in key order after a key", func(t *testing.T) {
		put(t, s, "l/b", "", 0)
		put(t, s, "l/a", "", 0)
		put(t, s, "l/c", "", 0)
		items, err := s.List(t.Context(), "l/", "l/a", 1)
		assert.NilError(t, err)
		assert.Equal(t, len(items), 1)
		assert.Equal(t, items[0].Key, "l/b")
	})
}

func TestStoreFaults(t *testing.T) {
	t.Run("a lost answer has taken effect", func(t *testing.T) {
		s, _ := newStore(tsplatform.Options{})
		s.SetFaults(tsplatform.Faults{LoseAnswers: 1})
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", Value: []byte("1")})
		assertKind(t, err, turmericshed.KindStoreUnknown)
		assertValue(t, s, "a", "1")
		put(t, s, "b", "1", 0)
	})
	t.Run("a held write lands late", func(t *testing.T) {
		s, c := newStore(tsplatform.Options{})
		s.SetFaults(tsplatform.Faults{HoldWrites: 1, HoldFor: turmericshed.Duration(time.Second)})
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", Value: []byte("1")})
		assertKind(t, err, turmericshed.KindStoreUnknown)
		assertValue(t, s, "a", "")
		c.at = c.at.Add(time.Second)
		assertValue(t, s, "a", "1")
	})
	t.Run("a held write never lands over a newer one", func(t *testing.T) {
		s, _ := newStore(tsplatform.Options{})
		s.SetFaults(tsplatform.Faults{HoldWrites: 1})
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", Value: []byte("late")})
		assertKind(t, err, turmericshed.KindStoreUnknown)
		put(t, s, "a", "new", 0)
		assert.Equal(t, s.ApplyHeldWrites(), 0)
		assertValue(t, s, "a", "new")
	})
	t.Run("a cut is for one caller", func(t *testing.T) {
		s, _ := newStore(tsplatform.Options{})
		s.SetFaults(tsplatform.Faults{Cut: []string{"vm-1"}})
		_, err := s.As("vm-1").Get(t.Context(), "a")
		assertKind(t, err, turmericshed.KindStoreUnavailable)
		_, err = s.As("vm-2").Get(t.Context(), "a")
		assert.NilError(t, err)
	})
	t.Run("a one-way cut applies the write", func(t *testing.T) {
		s, _ := newStore(tsplatform.Options{})
		s.SetFaults(tsplatform.Faults{CutAnswers: []string{"vm-1"}})
		_, err := s.As("vm-1").CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", Value: []byte("1")})
		assertKind(t, err, turmericshed.KindStoreUnknown)
		assertValue(t, s, "a", "1")
	})
	t.Run("a write that nobody waits for lands after the delay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := tsplatform.NewStore(tsplatform.Options{})
			s.SetFaults(tsplatform.Faults{Delay: turmericshed.Duration(time.Second)})
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := s.CompareAndSwap(ctx, turmericshed.Write{Key: "a", Value: []byte("1")})
			assertKind(t, err, turmericshed.KindStoreUnknown)
			assertValue(t, s, "a", "1")
		})
	})
	t.Run("calls above the rate are refused and counted", func(t *testing.T) {
		s, c := newStore(tsplatform.Options{WritesPerSecond: 1})
		put(t, s, "a", "1", 0)
		_, err := s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "b"})
		assertKind(t, err, turmericshed.KindStoreUnavailable)
		c.at = c.at.Add(time.Second)
		put(t, s, "b", "1", 0)
		assert.Equal(t, s.Counts().Writes, int64(2))
		assert.Equal(t, s.Counts().Limited, int64(1))
	})
}

func TestLeases(t *testing.T) {
	s, c := newStore(tsplatform.Options{})
	id, err := s.Grant(t.Context(), time.Second)
	assert.NilError(t, err)
	_, err = s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "a", Value: []byte("1"), Lease: id})
	assert.NilError(t, err)
	c.at = c.at.Add(900 * time.Millisecond)
	assert.NilError(t, s.KeepAlive(t.Context(), id))
	c.at = c.at.Add(900 * time.Millisecond)
	assertValue(t, s, "a", "1")
	c.at = c.at.Add(100 * time.Millisecond)
	assertValue(t, s, "a", "")
	assertKind(t, s.KeepAlive(t.Context(), id), turmericshed.KindNotFound)
}

func TestWatch(t *testing.T) {
	t.Run("changes come in order, deletions too", func(t *testing.T) {
		s, _ := newStore(tsplatform.Options{})
		v := put(t, s, "p/a", "1", 0)
		w, err := s.As("").OpenWatcher(t.Context(), "p/", 0)
		assert.NilError(t, err)
		put(t, s, "q/a", "1", 0)
		_, err = s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "p/a", ExpectedVersion: v, Delete: true})
		assert.NilError(t, err)
		ev, ok, err := w.TryNext()
		assert.Assert(t, err == nil && ok && ev.Version == v && string(ev.Value) == "1")
		ev, ok, err = w.TryNext()
		assert.Assert(t, err == nil && ok && ev.Deleted)
		_, ok, err = w.TryNext()
		assert.Assert(t, err == nil && !ok)
		assert.Equal(t, s.Counts().WaitingWatches, int64(1))
	})
	t.Run("a gap is a reset", func(t *testing.T) {
		s, _ := newStore(tsplatform.Options{LogLength: 2})
		w, err := s.As("").OpenWatcher(t.Context(), "", 0)
		assert.NilError(t, err)
		for _, k := range []string{"a", "b", "c"} {
			put(t, s, k, "", 0)
		}
		ev, ok, err := w.TryNext()
		assert.Assert(t, err == nil && ok && ev.Reset)
		put(t, s, "d", "", 0)
		ev, _, _ = w.TryNext()
		assert.Equal(t, ev.Key, "d")
	})
	t.Run("a waiting watch wakes on a change and ends in an outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := tsplatform.NewStore(tsplatform.Options{})
			w, err := s.Watch(t.Context(), "p/", 0)
			assert.NilError(t, err)
			go func() {
				_, _ = s.CompareAndSwap(t.Context(), turmericshed.Write{Key: "p/a"})
			}()
			ev, err := w.Next(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, ev.Key, "p/a")
			go s.SetFaults(tsplatform.Faults{Outage: true})
			_, err = w.Next(t.Context())
			assertKind(t, err, turmericshed.KindStoreUnavailable)
			assert.Equal(t, s.Counts().WaitingWatches, int64(0))
		})
	})
}

func TestDirectory(t *testing.T) {
	c := newClock()
	d := tsplatform.NewDirectory(tsplatform.DirectoryOptions{Now: c.now, Lag: 2 * time.Second, Expiry: 5 * time.Second})
	d.AddServer(turmericshed.BackendServer{ID: "e1"})
	d.AddEntry(turmericshed.EntryVM{Incarnation: "i1"})
	assertListed := func(t *testing.T, entries, servers, leaving int) {
		t.Helper()
		snap, err := d.Snapshot(t.Context())
		assert.NilError(t, err)
		listedLeaving := 0
		for _, s := range snap.Servers {
			if s.Leaving {
				listedLeaving++
			}
		}
		assert.DeepEqual(t, []int{len(snap.EntryVMs), len(snap.Servers), listedLeaving}, []int{entries, servers, leaving})
	}
	assertListed(t, 0, 0, 0)
	c.at = c.at.Add(2 * time.Second)
	assertListed(t, 1, 1, 0)
	d.LeaveServer("e1")
	d.RemoveEntry("i1")
	assertListed(t, 1, 1, 0)
	c.at = c.at.Add(2 * time.Second)
	assertListed(t, 0, 1, 1)
	c.at = c.at.Add(5 * time.Second)
	assertListed(t, 0, 0, 0)
}
