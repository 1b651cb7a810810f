package tsload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsload"
)

func reading(id string, age time.Duration, running int) turmericshed.LoadReport {
	return turmericshed.LoadReport{Server: turmericshed.ServerID(id), At: replayEpoch.Add(-age), Running: running, WorkTime: 1}
}

// Guards against old readings that replace new ones, and against readings that circulate
// between entry VMs.
func TestTable(t *testing.T) {
	t.Run("the newer reading counts, whatever its way", func(t *testing.T) {
		table := tsload.NewTable()
		table.Take(replayEpoch, reading("s", 100*time.Millisecond, 1))
		assert.Equal(t, table.Merge(replayEpoch, "vm-2", []turmericshed.LoadReport{reading("s", 300*time.Millisecond, 2)}), 0)
		assert.Equal(t, table.Merge(replayEpoch, "vm-2", []turmericshed.LoadReport{reading("s", 0, 3)}), 1)
		got, _ := table.Since(replayEpoch, 0, "vm-3")
		assert.Equal(t, got[0].Running, 3)
	})
	t.Run("a reading that comes back is not new", func(t *testing.T) {
		table := tsload.NewTable()
		table.Take(replayEpoch, reading("s", 100*time.Millisecond, 1))
		assert.Equal(t, table.Merge(replayEpoch, "vm-2", []turmericshed.LoadReport{reading("s", 97*time.Millisecond, 1)}), 0)
	})
	t.Run("only changes are sent, and not to where they came from", func(t *testing.T) {
		table := tsload.NewTable()
		table.Take(replayEpoch, reading("a", 0, 1))
		table.Merge(replayEpoch, "vm-2", []turmericshed.LoadReport{reading("b", 0, 1)})
		toOther, last := table.Since(replayEpoch, 0, "vm-3")
		assert.Equal(t, len(toOther), 2)
		toSender, _ := table.Since(replayEpoch, 0, "vm-2")
		assert.Equal(t, len(toSender), 1)
		again, _ := table.Since(replayEpoch, last, "vm-3")
		assert.Equal(t, len(again), 0)
	})
	t.Run("old readings are not sent", func(t *testing.T) {
		table := tsload.NewTable()
		table.Take(replayEpoch, reading("a", 0, 1))
		got, _ := table.Since(replayEpoch.Add(tsload.Life), 0, "vm-2")
		assert.Equal(t, len(got), 0)
	})
	t.Run("the router gets the readings of others only, as relayed", func(t *testing.T) {
		table := tsload.NewTable()
		table.Take(replayEpoch, reading("a", 0, 1))
		table.Merge(replayEpoch, "vm-2", []turmericshed.LoadReport{reading("b", 0, 1)})
		got, _ := table.RelayedSince(0)
		assert.Assert(t, len(got) == 1 && got[0].Server == "b" && got[0].Relayed)
	})
	t.Run("a digest is not passed on to a further failure domain", func(t *testing.T) {
		table := tsload.NewTable()
		table.MergeDigest(replayEpoch, "vm-2", []turmericshed.LoadReport{reading("b", 0, 1)})
		assert.Equal(t, len(table.Local(replayEpoch)), 0)
		got, _ := table.Since(replayEpoch, 0, "vm-3")
		assert.Equal(t, len(got), 1)
	})
	t.Run("the number of servers is bounded", func(t *testing.T) {
		table := tsload.NewTable()
		for i := range 5000 {
			table.Merge(replayEpoch, "vm-2", []turmericshed.LoadReport{reading(fmt.Sprint(i), 0, 1)})
		}
		assert.Assert(t, table.Young(replayEpoch) <= 1024)
		table.Merge(replayEpoch.Add(time.Minute), "vm-2", []turmericshed.LoadReport{reading("new", -time.Minute, 1)})
		assert.Equal(t, table.Young(replayEpoch.Add(time.Minute)), 1)
	})
}

// Guards against malformed and stale readings of another entry VM.
func TestIsValid(t *testing.T) {
	for name, change := range map[string]func(*turmericshed.LoadReport){
		"no server":            func(r *turmericshed.LoadReport) { r.Server = "" },
		"of the future":        func(r *turmericshed.LoadReport) { r.At = replayEpoch.Add(time.Second) },
		"stale":                func(r *turmericshed.LoadReport) { r.At = replayEpoch.Add(-tsload.Life) },
		"negative running":     func(r *turmericshed.LoadReport) { r.Running = -1 },
		"huge queue":           func(r *turmericshed.LoadReport) { r.Queued = math.MaxInt },
		"work time of NaN":     func(r *turmericshed.LoadReport) { r.WorkTime = math.NaN() },
		"infinite work time":   func(r *turmericshed.LoadReport) { r.WorkTime = math.Inf(1) },
		"negative work time":   func(r *turmericshed.LoadReport) { r.WorkTime = -1 },
		"implausibly long ago": func(r *turmericshed.LoadReport) { r.At = time.Time{} },
	} {
		t.Run(name, func(t *testing.T) {
			r := reading("s", 0, 1)
			assert.Assert(t, tsload.IsValid(replayEpoch, r))
			change(&r)
			assert.Assert(t, !tsload.IsValid(replayEpoch, r))
		})
	}
}

// Guards against bytes between failure domains for readings that tell nothing new.
func TestThin(t *testing.T) {
	thin := func(thinner *tsload.Thinner, after time.Duration, change func(*turmericshed.LoadReport)) int {
		r := reading("s", -after, 10)
		change(&r)
		return len(thinner.Thin(replayEpoch.Add(after), []turmericshed.LoadReport{r}))
	}
	same := func(*turmericshed.LoadReport) {}
	var thinner tsload.Thinner
	assert.Equal(t, thin(&thinner, 0, same), 1)
	assert.Equal(t, thin(&thinner, time.Second, same), 0, "unchanged")
	assert.Equal(t, thin(&thinner, time.Second, func(r *turmericshed.LoadReport) { r.Running = 13 }), 0, "a small change")
	assert.Equal(t, thin(&thinner, time.Second, func(r *turmericshed.LoadReport) { r.WorkTime = 2.5 }), 1, "slower")
	assert.Equal(t, thin(&thinner, 2*time.Second, func(r *turmericshed.LoadReport) { r.WorkTime, r.Running = 2.5, 20 }), 1, "busier")
	assert.Equal(t, thin(&thinner, 2*time.Second, func(r *turmericshed.LoadReport) { r.WorkTime, r.At = 1, replayEpoch.Add(1500*time.Millisecond) }), 0, "too old")
	assert.Equal(t, thin(&thinner, 10*time.Second, func(r *turmericshed.LoadReport) { r.WorkTime, r.Running = 2.5, 20 }), 1, "refreshed")
	t.Run("what the other failure domain sent is not sent back", func(t *testing.T) {
		var thinner tsload.Thinner
		thinner.Received(replayEpoch, []turmericshed.LoadReport{reading("s", 0, 10)})
		assert.Equal(t, len(thinner.Thin(replayEpoch, []turmericshed.LoadReport{reading("s", 0, 10)})), 0)
	})
	t.Run("a digest is bounded", func(t *testing.T) {
		var many []turmericshed.LoadReport
		for i := range 3000 {
			many = append(many, reading(fmt.Sprint(i), 0, 1))
		}
		var thinner tsload.Thinner
		assert.Assert(t, len(thinner.Thin(replayEpoch, many)) <= 64)
	})
}

// Guards against entry VMs that gather in many places, or at one that does not answer.
func TestPlan(t *testing.T) {
	vm := func(name, domain string, capacity float64) turmericshed.EntryVM {
		return turmericshed.EntryVM{Name: name, Incarnation: turmericshed.Incarnation(name), FailureDomain: turmericshed.FailureDomain(domain), Capacity: capacity}
	}
	others := func() []turmericshed.EntryVM {
		return []turmericshed.EntryVM{vm("a1", "a", 4), vm("a2", "a", 3), vm("a3", "a", 2), vm("b1", "b", 4), vm("b2", "b", 3), vm("0", "0", 9)}
	}
	self := vm("a4", "a", 1)
	gatherer := func(p *tsload.Plan, after time.Duration) string {
		g, _ := p.Gatherer(replayEpoch.Add(after), self, others())
		return g.Name
	}
	t.Run("the second takes over, no other does", func(t *testing.T) {
		var p tsload.Plan
		assert.Equal(t, gatherer(&p, 0), "a1")
		p.Failed(replayEpoch, vm("a1", "a", 4))
		assert.Equal(t, gatherer(&p, 0), "a2")
		p.Failed(replayEpoch.Add(time.Millisecond), vm("a2", "a", 3))
		assert.Equal(t, gatherer(&p, 10*time.Millisecond), "a1", "the one that failed first is tried again")
		assert.Equal(t, gatherer(&p, 3*time.Second), "a1")
	})
	t.Run("an entry VM of an older version does not gather", func(t *testing.T) {
		var p tsload.Plan
		p.OldVersion(vm("a1", "a", 4))
		assert.Equal(t, gatherer(&p, 0), "a2")
		p.OldVersion(vm("a2", "a", 3))
		assert.Equal(t, gatherer(&p, time.Hour), "a3")
	})
	t.Run("the last one gathers for itself", func(t *testing.T) {
		var p tsload.Plan
		g, ok := p.Gatherer(replayEpoch, self, nil)
		assert.Assert(t, ok && g.Name == "a4")
	})
	t.Run("one of two failure domains calls the other", func(t *testing.T) {
		var p tsload.Plan
		list := p.Distant(replayEpoch, self, others())
		assert.Assert(t, len(list) == 1 && list[0].Name == "b1")
		p.Failed(replayEpoch, vm("b1", "b", 4))
		assert.Equal(t, p.Distant(replayEpoch, self, others())[0].Name, "b2")
		p.Failed(replayEpoch, vm("b2", "b", 3))
		assert.Equal(t, len(p.Distant(replayEpoch, self, others())), 0)
	})
}
