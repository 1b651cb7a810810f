package tspoison_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tspoison"
)

var start = time.Unix(1_700_000_000, 0)

const (
	poison   = turmericshed.Digest("poison")
	innocent = turmericshed.Digest("innocent")
)

// attempt runs request d on server s. The poison request crashes the server.
func attempt(t *tspoison.Tracker, now time.Time, d turmericshed.Digest, s turmericshed.ServerID) error {
	if err := t.Started(now, d, s); err != nil {
		return err
	}
	t.Ended(now, d, s, d == poison)
	if d != poison {
		t.Survived(now, d)
	}
	return nil
}

func assertKind(t *testing.T, err error, kind turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), kind, "%v", err)
}

func TestTracker(t *testing.T) {
	t.Run("two crashes quarantine a request for a limited time", func(t *testing.T) {
		tr := tspoison.NewTracker()
		assert.NilError(t, attempt(tr, start, poison, "s1"))
		assert.NilError(t, attempt(tr, start.Add(time.Minute), poison, "s2"))
		assertKind(t, attempt(tr, start.Add(2*time.Minute), poison, "s3"), turmericshed.KindQuarantined)
		assert.NilError(t, tr.Check(start.Add(2*time.Hour), poison))
	})
	t.Run("a crash after the quarantine starts a longer quarantine", func(t *testing.T) {
		tr := tspoison.NewTracker()
		assert.NilError(t, attempt(tr, start, poison, "s1"))
		assert.NilError(t, attempt(tr, start.Add(time.Minute), poison, "s2"))
		assert.NilError(t, attempt(tr, start.Add(2*time.Hour), poison, "s3"))
		assertKind(t, tr.Check(start.Add(3*time.Hour+30*time.Minute), poison), turmericshed.KindQuarantined)
	})
	t.Run("a request on the same crashed server is cleared by one complete answer", func(t *testing.T) {
		tr := tspoison.NewTracker()
		assert.NilError(t, tr.Started(start, innocent, "s1"))
		assert.NilError(t, attempt(tr, start, poison, "s1"))
		tr.Ended(start, innocent, "s1", true)
		assert.Assert(t, tr.Suspect(start, innocent))
		assert.NilError(t, attempt(tr, start.Add(time.Second), innocent, "s2"))
		assert.Assert(t, !tr.Suspect(start.Add(2*time.Second), innocent))
	})
	t.Run("a request that runs beside a suspect does not become one", func(t *testing.T) {
		tr := tspoison.NewTracker()
		assert.NilError(t, attempt(tr, start, poison, "s1"))
		at := start.Add(time.Minute)
		assert.NilError(t, tr.Started(at, innocent, "s2"))
		assert.NilError(t, attempt(tr, at, poison, "s2"))
		tr.Ended(at, innocent, "s2", true)
		assert.Assert(t, !tr.Suspect(at, innocent))
		assertKind(t, tr.Check(at, poison), turmericshed.KindQuarantined)
	})
	t.Run("suspects run one at a time", func(t *testing.T) {
		tr := tspoison.NewTracker()
		assert.NilError(t, tr.Started(start, innocent, "s1"))
		assert.NilError(t, attempt(tr, start, poison, "s1"))
		tr.Ended(start, innocent, "s1", true)
		at := start.Add(time.Minute)
		assert.NilError(t, tr.Started(at, poison, "s2"))
		assertKind(t, tr.Started(at, innocent, "s3"), turmericshed.KindOverloaded)
		assertKind(t, tr.Check(at, poison), turmericshed.KindOverloaded)
		tr.Ended(at, poison, "s2", false)
		assert.NilError(t, tr.Check(at, innocent))
	})
	t.Run("a request that loses all its servers at the same time is not blocked", func(t *testing.T) {
		tr := tspoison.NewTracker()
		servers := []turmericshed.ServerID{"s1", "s2", "s3", "s4"}
		for _, s := range servers {
			assert.NilError(t, tr.Started(start, innocent, s))
		}
		for _, s := range servers {
			tr.Ended(start, innocent, s, true)
		}
		assert.NilError(t, tr.Check(start.Add(time.Second), innocent))
	})
	t.Run("an operator lifts a quarantine", func(t *testing.T) {
		tr := tspoison.NewTracker()
		assert.NilError(t, attempt(tr, start, poison, "s1"))
		assert.NilError(t, attempt(tr, start.Add(time.Minute), poison, "s2"))
		assert.Assert(t, tr.Lift(start.Add(2*time.Minute), poison, "amina"))
		assert.NilError(t, tr.Check(start.Add(3*time.Minute), poison))
	})
}

// A poison request that is retried through several entry VMs crashes at most two
// servers, provided that evidence is merged before each further attempt.
func TestPoisonThroughManyEntryVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*tspoison.Tracker{tspoison.NewTracker(), tspoison.NewTracker(), tspoison.NewTracker()}
		now, crashes := start, 0
		servers := []turmericshed.ServerID{"s1", "s2", "s3", "s4", "s5"}
		for range rapid.IntRange(1, 20).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(4, 100).Draw(t, "seconds")) * time.Second)
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			s := rapid.SampledFrom(servers).Draw(t, "server")
			if attempt(vm, now, poison, s) == nil {
				crashes++
			}
			for _, o := range vms {
				o.Merge(now, vm.Export(now))
			}
		}
		if crashes > 2 {
			t.Fatalf("%d crashes", crashes)
		}
	})
}

// Two trackers that exchange evidence converge to the same value.
func TestMergeOrder(t *testing.T) {
	a, b := tspoison.NewTracker(), tspoison.NewTracker()
	assert.NilError(t, attempt(a, start, poison, "s1"))
	assert.NilError(t, attempt(b, start.Add(time.Minute), poison, "s2"))
	now := start.Add(2 * time.Minute)
	fromA, fromB := a.Export(now), b.Export(now)
	a.Merge(now, fromB)
	b.Merge(now, fromA)
	assert.DeepEqual(t, a.Export(now), b.Export(now))
	assertKind(t, a.Check(now, poison), turmericshed.KindQuarantined)
	assertKind(t, b.Check(now, poison), turmericshed.KindQuarantined)
}

// Guards against attribution that depends on the iteration order of maps, which
// would make runs with a fixed seed irreproducible.
func TestAttributionIsDeterministic(t *testing.T) {
	quarantined := func() int {
		tr := tspoison.NewTracker()
		for _, d := range []turmericshed.Digest{"a", "b", "c", "d", innocent} {
			assert.NilError(t, tr.Started(start, d, "s2"))
		}
		// Other processes reported each of these requests after a crash of s1.
		for i, d := range []turmericshed.Digest{"a", "b", "c", "d"} {
			at := start.Add(time.Duration(i) * time.Second)
			tr.Merge(at, []tspoison.Evidence{{Digest: d, Crashes: []tspoison.Crash{{Server: "s1", At: at}}}})
		}
		at := start.Add(time.Minute)
		tr.Ended(at, innocent, "s2", true)
		for i, d := range []turmericshed.Digest{"a", "b", "c", "d"} {
			if e, _ := tr.Get(d); e.IsQuarantined(at) {
				return i
			}
		}
		return -1
	}
	first := quarantined()
	assert.Assert(t, first >= 0)
	for range 50 {
		assert.Equal(t, quarantined(), first)
	}
}
