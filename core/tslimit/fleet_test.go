package tslimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tslimit"
)

const (
	window = 4 * time.Second
	span   = time.Minute
	seeds  = 4
)

// load describes the requests to one rate-limited server during a span.
type load struct {
	entryVMs int
	limit    float64
	// perSecond is the request rate. The requests arrive at the first activeVMs
	// entry VMs; 0 means all.
	perSecond float64
	activeVMs int
	// joinedVMs is the number of additional entry VMs that the others do not
	// have in their view yet.
	joinedVMs int
	// silent selects the entry VMs that never answer.
	silent func(name string) bool
	// isolated means that no entry VM has any holder in its view.
	isolated bool
}

// member is the state of one entry VM for the server.
type member struct {
	turmericshed.EntryVM
	draws tslimit.Draws
	share *tslimit.Share
	// holders are the server's holders in the member's view.
	holders []turmericshed.EntryVM
}

// fleet simulates a load without a network.
type fleet struct {
	load
	rnd     *rand.Rand
	members map[string]*member
	calls   int
}

func newFleet(l load, seed uint64) (*fleet, []*member) {
	f := &fleet{load: l, rnd: rand.New(rand.NewPCG(seed, 1)), members: map[string]*member{}}
	var all []*member
	var old []turmericshed.EntryVM
	for i := range l.entryVMs + l.joinedVMs {
		m := &member{EntryVM: turmericshed.EntryVM{Name: fmt.Sprint("vm-", i)}}
		f.members[m.Name] = m
		all = append(all, m)
		if i < l.entryVMs {
			old = append(old, m.EntryVM)
		}
	}
	for i, m := range all {
		known := old
		if i >= l.entryVMs {
			known = append(slices.Clone(old), m.EntryVM)
		}
		if !l.isolated {
			m.holders = tslimit.Holders(known, "s")
		}
	}
	return f, all
}

// handOut grants permits from the member's share.
func (f *fleet) handOut(m *member, now time.Time, want int) (int, time.Duration) {
	for _, h := range m.holders {
		if h.Name != m.Name {
			continue
		}
		if m.share == nil {
			m.share = tslimit.NewShare(now, f.rnd.Float64())
		}
		return m.share.Take(now, tslimit.PartRate(f.limit, len(m.holders)), want)
	}
	return 0, 2 * time.Second
}

// acquire reports whether a request at the member may be sent.
func (f *fleet) acquire(m *member, now time.Time) bool {
	for from := f.rnd.IntN(8); ; {
		taken, open := m.draws.Take(now)
		if !open {
			return taken
		}
		alone := m.draws.IsIsolated(m.holders)
		h, ok := m.draws.NextHolder(now, m.Name, m.holders, from)
		switch {
		case !ok && !alone:
			m.draws.Close(now, m.holders)
			return false
		case !ok:
			return m.draws.TakeIsolated(now, f.limit, f.entryVMs, f.rnd.Float64())
		}
		if h.Name != m.Name {
			f.calls++
		}
		if f.silent != nil && f.silent(h.Name) {
			m.draws.Failed(now, h.Name)
			return alone && m.draws.TakeIsolated(now, f.limit, f.entryVMs, f.rnd.Float64())
		}
		if n, wait := f.handOut(f.members[h.Name], now, m.draws.DrawSize(now)); n > 0 {
			m.draws.Granted(now, h.Name, n)
		} else {
			m.draws.Refused(now, h.Name, wait)
		}
	}
}

// simulate returns the maximum number of requests in any window, the used part
// of the limit and the calls per second between entry VMs.
func (l load) simulate(seed uint64) (peak int, used, calls float64) {
	f, all := newFleet(l, seed)
	if l.activeVMs > 0 {
		all = all[:l.activeVMs]
	}
	var sent []time.Time
	first := 0
	for now := epoch; now.Sub(epoch) < span; {
		now = now.Add(time.Duration(f.rnd.ExpFloat64() / l.perSecond * float64(time.Second)))
		if !f.acquire(all[f.rnd.IntN(len(all))], now) {
			continue
		}
		sent = append(sent, now)
		for now.Sub(sent[first]) >= window {
			first++
		}
		peak = max(peak, len(sent)-first)
	}
	return peak, float64(len(sent)) / span.Seconds() / l.limit, float64(f.calls) / span.Seconds()
}

func assertWithinLimit(t *testing.T, l load, leastUse float64) {
	t.Helper()
	allowed := 1.5*l.limit*window.Seconds() + 5
	for seed := range uint64(seeds) {
		peak, used, calls := l.simulate(seed)
		assert.Assert(t, float64(peak) <= allowed, "seed %d: %d requests, %g are allowed", seed, peak, allowed)
		assert.Assert(t, used >= leastUse, "seed %d: %.2f of the limit is used", seed, used)
		if seed == 0 {
			t.Logf("%d of %g allowed, %.2f used, %.1f calls a second", peak, allowed, used, calls)
		}
	}
}

// Guards against entry VMs that together exceed a server's limit because each
// enforces the limit, or a part of it, independently of the others.
func TestEntryVMsTogetherKeepALimit(t *testing.T) {
	const leastUse = 0.4
	for _, vms := range []int{1, 2, 3, 9, 30, 94, 195} {
		for _, limit := range []float64{0.5, 1.8, 12, 100} {
			l := load{entryVMs: vms, limit: limit, perSecond: 10 * limit}
			t.Run(fmt.Sprintf("%d entry VMs at %g a second", vms, limit), func(t *testing.T) { assertWithinLimit(t, l, leastUse) })
			t.Run(fmt.Sprintf("%d entry VMs at %g a second, callers at one", vms, limit), func(t *testing.T) {
				l := l
				l.activeVMs = 1
				assertWithinLimit(t, l, leastUse)
			})
			t.Run(fmt.Sprintf("%d entry VMs at %g a second, thin demand", vms, limit), func(t *testing.T) {
				l := l
				l.perSecond = 2 * limit
				assertWithinLimit(t, l, leastUse)
			})
		}
	}
	t.Run("one entry VM joined that is missing in the others' lists", func(t *testing.T) {
		assertWithinLimit(t, load{entryVMs: 9, joinedVMs: 1, limit: 1.8, perSecond: 20}, leastUse)
	})
	t.Run("a third of the entry VMs joined that are missing in the others' lists", func(t *testing.T) {
		assertWithinLimit(t, load{entryVMs: 9, joinedVMs: 3, limit: 12, perSecond: 120}, leastUse)
	})
	t.Run("one holder is silent", func(t *testing.T) {
		silent := tslimit.Holders(vmsNamed(9), "s")[0].Name
		assertWithinLimit(t, load{entryVMs: 9, limit: 1.8, perSecond: 20, silent: func(n string) bool { return n == silent }}, leastUse)
	})
	t.Run("no holder answers", func(t *testing.T) {
		assertWithinLimit(t, load{entryVMs: 9, limit: 1.8, perSecond: 20, silent: func(string) bool { return true }}, leastUse)
	})
	t.Run("no entry VM has others in its list", func(t *testing.T) {
		assertWithinLimit(t, load{entryVMs: 9, limit: 1.8, perSecond: 20, isolated: true}, leastUse)
	})
}

func vmsNamed(n int) (vms []turmericshed.EntryVM) {
	for i := range n {
		vms = append(vms, turmericshed.EntryVM{Name: fmt.Sprint("vm-", i)})
	}
	return vms
}

func names(vms []turmericshed.EntryVM) (list []string) {
	for _, vm := range vms {
		list = append(list, vm.Name)
	}
	return list
}

func TestHolders(t *testing.T) {
	t.Run("the holders do not depend on the order of the list", func(t *testing.T) {
		vms := vmsNamed(30)
		want := names(tslimit.Holders(vms, "s"))
		rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		assert.DeepEqual(t, names(tslimit.Holders(vms, "s")), want)
	})
	t.Run("an entry VM that joins replaces at most one holder", func(t *testing.T) {
		before := map[string]bool{}
		for _, h := range tslimit.Holders(vmsNamed(30), "s") {
			before[h.Name] = true
		}
		changed := 0
		for _, h := range tslimit.Holders(vmsNamed(31), "s") {
			if !before[h.Name] {
				changed++
			}
		}
		assert.Assert(t, changed <= 1)
	})
}

func TestDraws(t *testing.T) {
	holders := vmsNamed(3)
	t.Run("a permit is valid once and only until it expires", func(t *testing.T) {
		var d tslimit.Draws
		d.Granted(epoch, "vm-0", 2)
		taken, _ := d.Take(epoch)
		assert.Assert(t, taken)
		taken, open := d.Take(epoch.Add(time.Second))
		assert.Assert(t, !taken && open)
	})
	t.Run("a holder that refused is not queried before its retry time", func(t *testing.T) {
		var d tslimit.Draws
		d.Refused(epoch, "vm-0", time.Second)
		h, ok := d.NextHolder(epoch, "vm-9", holders[:1], 0)
		assert.Assert(t, !ok, h.Name)
		assert.Assert(t, !d.IsIsolated(holders[:1]))
		d.Close(epoch, holders[:1])
		assert.Equal(t, d.ClosedUntil(), epoch.Add(time.Second))
		_, ok = d.NextHolder(epoch.Add(time.Second), "vm-9", holders[:1], 0)
		assert.Assert(t, ok)
	})
	t.Run("a raised limit reopens a closed server", func(t *testing.T) {
		var d tslimit.Draws
		d.Refused(epoch, "vm-0", time.Minute)
		d.Close(epoch, holders[:1])
		d.Reopen()
		_, open := d.Take(epoch)
		assert.Assert(t, open)
	})
	t.Run("consecutive refusals get increasing retry times", func(t *testing.T) {
		s := tslimit.NewShare(epoch, 0)
		_, first := s.Take(epoch, 1, 1)
		_, second := s.Take(epoch, 1, 1)
		assert.Equal(t, first, time.Second)
		assert.Equal(t, second, 2*time.Second)
	})
}
