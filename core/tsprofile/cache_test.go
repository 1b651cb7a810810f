package tsprofile_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsprofile"
	"turmericshed/core/tsupdate"
	"turmericshed/standin/tsplatform"
)

var start = time.Unix(1_000_000, 0)

func doc(name string, v turmericshed.Version) tsprofile.Document {
	return tsprofile.Document{Name: turmericshed.ProfileName(name), Version: v, Value: []byte("{}"), ReadAt: start}
}

func assertHeld(t *testing.T, c *tsprofile.Cache, name string, v turmericshed.Version) {
	t.Helper()
	d, ok := c.Peek(turmericshed.ProfileName(name))
	assert.Assert(t, ok)
	assert.Equal(t, d.Version, v)
}

func TestCache(t *testing.T) {
	t.Run("a lower version is never applied", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{})
		assert.Equal(t, c.Apply(doc("p", 7)), tsprofile.Applied)
		assert.Equal(t, c.Apply(doc("p", 5)), tsprofile.Superseded)
		assertHeld(t, c, "p", 7)
	})
	t.Run("a lower version is not applied after eviction either", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{MaxDocuments: 1})
		c.Apply(doc("p", 7))
		c.Apply(doc("q", 8))
		_, held := c.Peek("p")
		assert.Assert(t, !held)
		assert.Equal(t, c.Apply(doc("p", 5)), tsprofile.Superseded)
	})
	t.Run("a version below the one in a received update is refused on first use", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{})
		c.AddLink(tsprofile.Link{Name: "p", Version: 9})
		assert.Equal(t, c.Apply(doc("p", 7)), tsprofile.Superseded)
		assert.Equal(t, c.Apply(doc("p", 9)), tsprofile.Applied)
	})
	t.Run("a deletion comes after the version that it deletes", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{})
		c.Apply(doc("p", 7))
		deleted := doc("p", 7)
		deleted.Deleted = true
		assert.Equal(t, c.Apply(deleted), tsprofile.Applied)
		assert.Equal(t, c.Apply(doc("p", 7)), tsprofile.Superseded)
		assert.Equal(t, c.Apply(doc("p", 8)), tsprofile.Applied)
	})
	t.Run("the bytes held are bounded", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{MaxBytes: 10_000})
		for i := range 100 {
			c.Apply(doc(fmt.Sprint(i), turmericshed.Version(i+1)))
		}
		assert.Assert(t, c.Bytes() <= 10_000)
		assertHeld(t, c, "99", 100)
	})
	t.Run("the age counts from the last confirmation", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{})
		c.Apply(doc("p", 7))
		d, _ := c.Peek("p")
		assert.Equal(t, c.Age(start.Add(time.Minute), d), time.Minute)
		c.Confirm(start.Add(50 * time.Second))
		assert.Equal(t, c.Age(start.Add(time.Minute), d), 10*time.Second)
		c.AddLink(tsprofile.Link{Name: "p", Version: 8})
		assert.Equal(t, c.Age(start.Add(time.Minute), d), time.Minute)
	})
	t.Run("a cached profile that a page lacks is read individually", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{})
		c.Apply(doc("b", 7))
		c.Apply(doc("z", 8))
		changed, absent := c.Verify("", "m", []tsprofile.Document{doc("a", 3)})
		assert.Equal(t, len(changed), 0)
		assert.DeepEqual(t, absent, []turmericshed.ProfileName{"b"})
	})
	t.Run("a page reveals an edit whose update was not received", func(t *testing.T) {
		c := tsprofile.New(tsprofile.Config{})
		c.Apply(doc("b", 7))
		changed, _ := c.Verify("", "m", []tsprofile.Document{doc("b", 9)})
		assert.DeepEqual(t, changed, []turmericshed.ProfileName{"b"})
		assertHeld(t, c, "b", 9)
	})
}

// peer is one process of the state machine.
type peer struct {
	cache *tsprofile.Cache
	topic *tsprofile.Topic
	held  map[turmericshed.ProfileName]turmericshed.Version
}

// machine is a state machine of a store and three processes that receive edits in any
// order.
type machine struct {
	now   time.Time
	edits []tsprofile.Link
	last  map[turmericshed.ProfileName]turmericshed.Version
	peers []*peer
	seen  []int // edits that each peer's watch delivered
}

func newMachine() *machine {
	m := &machine{now: start, last: map[turmericshed.ProfileName]turmericshed.Version{}, seen: make([]int, 3)}
	for range 3 {
		p := &peer{cache: tsprofile.New(tsprofile.Config{MaxDocuments: 3}), held: map[turmericshed.ProfileName]turmericshed.Version{}}
		p.topic = tsprofile.NewTopic(p.cache, func() time.Time { return m.now }, func() int { return 3 }, func(turmericshed.ProfileName) {})
		m.peers = append(m.peers, p)
	}
	return m
}

func (m *machine) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) (int, *peer) {
		i := rapid.IntRange(0, 2).Draw(t, "peer")
		return i, m.peers[i]
	}
	return map[string]func(*rapid.T){
		"edit": func(t *rapid.T) {
			k := tsprofile.Link{Name: turmericshed.ProfileName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"))}
			if n := len(m.edits); n > 0 {
				k.After = m.edits[n-1].Version
			}
			// Writes to other keys of the store also consume revisions.
			k.Version = k.After + turmericshed.Version(rapid.IntRange(1, 3).Draw(t, "step"))
			m.edits = append(m.edits, k)
			m.last[k.Name] = k.Version
		},
		"watch": func(t *rapid.T) {
			i, p := pick(t)
			if m.seen[i] == len(m.edits) {
				return
			}
			k := m.edits[m.seen[i]]
			m.seen[i]++
			p.cache.AddWatchedLink(tsprofile.Link{Name: k.Name, Version: k.Version}, k.After)
		},
		"tell": func(t *rapid.T) {
			_, from := pick(t)
			_, to := pick(t)
			lost := rapid.Bool().Draw(t, "lost")
			for _, b := range from.topic.Next(rapid.IntRange(0, 80).Draw(t, "budget")) {
				if !lost {
					to.topic.Merge(b)
				}
			}
		},
		"catch_up": func(t *rapid.T) {
			_, from := pick(t)
			_, to := pick(t)
			links, ok := from.cache.Since(to.cache.Position(), rapid.IntRange(1, 4).Draw(t, "limit"))
			if !ok {
				return
			}
			for _, k := range links {
				to.cache.AddLink(k)
			}
		},
		"fetch": func(t *rapid.T) {
			_, p := pick(t)
			name := turmericshed.ProfileName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"))
			d := tsprofile.Document{Name: name, Version: m.last[name], ReadAt: m.now}
			if rapid.Bool().Draw(t, "old") && d.Version > 1 {
				d.Version, d.FromPeer = d.Version-1, true
			}
			p.cache.Apply(d)
		},
		"reset": func(t *rapid.T) {
			i, p := pick(t)
			if n := len(m.edits); n > 0 {
				p.cache.Invalidate(m.edits[n-1].Version)
				m.seen[i] = n
			}
		},
		"": m.check,
	}
}

// check asserts that versions never decrease and that positions are accurate: every
// cached document reflects all edits up to the position, unless it is reported as
// outdated.
func (m *machine) check(t *rapid.T) {
	for i, p := range m.peers {
		for name, old := range p.held {
			if floor := p.cache.Floor(name); floor < old {
				t.Fatalf("peer %d: floor of %s decreased from %d to %d", i, name, old, floor)
			}
		}
		for _, name := range p.cache.CachedNames() {
			d, _ := p.cache.Peek(name)
			if d.Version < p.held[name] {
				t.Fatalf("peer %d: version of %s decreased from %d to %d", i, name, p.held[name], d.Version)
			}
			p.held[name] = d.Version
		}
		latest := map[turmericshed.ProfileName]turmericshed.Version{}
		for _, k := range m.edits {
			if k.Version <= p.cache.Position() {
				latest[k.Name] = k.Version
			}
		}
		for _, name := range p.cache.CachedNames() {
			d, _ := p.cache.Peek(name)
			if d.Version < latest[name] && !p.cache.Outdated(name) {
				t.Fatalf("peer %d: complete up to %d, but %s has version %d instead of %d", i, p.cache.Position(), name, d.Version, latest[name])
			}
		}
	}
}

func TestLinksMachine(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "6"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newMachine().actions()) })
}

func TestEdit(t *testing.T) {
	store := tsplatform.NewStore(tsplatform.Options{})
	read := func(t *testing.T) turmericshed.Profile {
		t.Helper()
		item, err := store.Get(t.Context(), "profiles/counter")
		assert.NilError(t, err)
		p, err := tsprofile.Decode(item)
		assert.NilError(t, err)
		return p
	}
	edit := func(t *testing.T, base turmericshed.Profile, by string, prepaid turmericshed.Tokens) error {
		t.Helper()
		next := base
		next.Prepaid, next.EditedBy, next.EditedAt = prepaid, by, start
		u, err := tsprofile.NewEdit(base, next)
		assert.NilError(t, err)
		_, err = tsupdate.Run(t.Context(), store, u)
		return err
	}
	value, err := json.Marshal(turmericshed.Profile{Name: "counter", Prepaid: 100})
	assert.NilError(t, err)
	_, err = store.CompareAndSwap(t.Context(), turmericshed.Write{Key: "profiles/counter", Value: value})
	assert.NilError(t, err)
	t.Run("a conflict reports the other operator and the changed fields", func(t *testing.T) {
		base := read(t)
		assert.NilError(t, edit(t, base, "aminah", 200))
		err := edit(t, base, "borhan", 300)
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindConflict)
		assert.ErrorContains(t, err, `edited by "aminah" at 1970-01-12T13:46:40Z (prepaid: 100 -> 200)`)
		assert.Equal(t, read(t).Prepaid, turmericshed.Tokens(200))
	})
	t.Run("an edit whose answer was lost is no conflict with itself", func(t *testing.T) {
		store.ChangeFaults(func(f *tsplatform.Faults) { f.LoseAnswers = 1 })
		assert.NilError(t, edit(t, read(t), "aminah", 400))
		assert.Equal(t, read(t).Prepaid, turmericshed.Tokens(400))
	})
}

func TestRelays(t *testing.T) {
	fleet := make([]turmericshed.EntryVM, 60)
	for i := range fleet {
		fleet[i] = turmericshed.EntryVM{Name: fmt.Sprintf("vm-%d", i), FailureDomain: turmericshed.FailureDomain(fmt.Sprintf("fd-%d", i%3))}
	}
	others := func(i int, of []turmericshed.EntryVM) []turmericshed.EntryVM {
		return append(append([]turmericshed.EntryVM(nil), of[:i]...), of[i+1:]...)
	}
	watching := func(of []turmericshed.EntryVM) int {
		n := 0
		for i, vm := range of {
			if tsprofile.IsRelay(vm, others(i, of)) {
				n++
			}
		}
		return n
	}
	t.Run("all entry VMs of a small fleet watch", func(t *testing.T) { assert.Equal(t, watching(fleet[:9]), 9) })
	t.Run("a few of each failure domain watch in a large one", func(t *testing.T) {
		assert.Equal(t, watching(fleet), 3*tsprofile.RelaysPerDomain)
	})
}

func TestHomes(t *testing.T) {
	fleet := make([]turmericshed.EntryVM, 90)
	for i := range fleet {
		fleet[i] = turmericshed.EntryVM{Name: fmt.Sprintf("vm-%d", i), FailureDomain: turmericshed.FailureDomain(fmt.Sprintf("fd-%d", i%3))}
	}
	t.Run("all entry VMs of a domain select the same watchers", func(t *testing.T) {
		want := tsprofile.FetchProxies("p", "fd-0", fleet[0], fleet[1:])
		for i, vm := range fleet {
			others := append(append([]turmericshed.EntryVM(nil), fleet[:i]...), fleet[i+1:]...)
			assert.DeepEqual(t, names(tsprofile.FetchProxies("p", "fd-0", vm, others)), names(want))
		}
	})
	t.Run("profiles spread over the domain", func(t *testing.T) {
		count := map[string]int{}
		for i := range 3000 {
			for _, vm := range tsprofile.FetchProxies(turmericshed.ProfileName(fmt.Sprint(i)), "fd-0", fleet[0], fleet[1:]) {
				count[vm.Name]++
			}
		}
		assert.Equal(t, len(count), 30)
		for name, n := range count {
			assert.Assert(t, n > 100 && n < 400, "%s: %d of 6000", name, n)
		}
	})
	t.Run("none in a small fleet", func(t *testing.T) {
		assert.Equal(t, len(tsprofile.FetchProxies("p", "fd-0", fleet[0], fleet[1:9])), 0)
	})
}

func names(vms []turmericshed.EntryVM) []string {
	var out []string
	for _, vm := range vms {
		out = append(out, vm.Name)
	}
	return out
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte{5, 1, 1, 'p', 7, 2, 0})
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		c := tsprofile.New(tsprofile.Config{})
		topic := tsprofile.NewTopic(c, func() time.Time { return start }, func() int { return 9 }, func(turmericshed.ProfileName) {})
		topic.Merge(payload)
		topic.Next(1000)
	})
}
