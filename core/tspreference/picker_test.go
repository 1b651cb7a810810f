package tspreference_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tspreference"
)

func vm(name string, capacity float64) turmericshed.EntryVM {
	return turmericshed.EntryVM{Name: name, FailureDomain: "east", Capacity: capacity}
}

func names(list []turmericshed.EntryVM) (s string) {
	for _, vm := range list {
		s += vm.Name
	}
	return s
}

func TestRank(t *testing.T) {
	list := []turmericshed.EntryVM{vm("a", 0.2), vm("b", 0.2), vm("c", 0.8), vm("d", 0.2), {Name: "w", FailureDomain: "west", Capacity: 9}}
	ranked := tspreference.Rank(list, "east")
	t.Run("entry VMs with capacity come first, and only those of the domain", func(t *testing.T) {
		assert.Equal(t, len(ranked), 4)
		assert.Equal(t, ranked[0].Name, "c")
	})
	t.Run("the order does not depend on the order of the list", func(t *testing.T) {
		list[0], list[3] = list[3], list[0]
		assert.Equal(t, names(tspreference.Rank(list, "east")), names(ranked))
	})
}

func TestPicker(t *testing.T) {
	now := time.Now()
	// The order is c, b, a.
	self, others := vm("a", 1), []turmericshed.EntryVM{vm("b", 2), vm("c", 3)}
	pick := func(p *tspreference.Picker, after time.Duration) string {
		return names(p.Order(now.Add(after), self, others, 3))
	}
	t.Run("entry VMs are ordered by rank, up to the local one", func(t *testing.T) {
		p := &tspreference.Picker{SkipDuration: time.Second}
		assert.Equal(t, pick(p, 0), "cba")
		assert.Equal(t, names(p.Order(now, vm("c", 3), []turmericshed.EntryVM{self, others[0]}, 3)), "c")
	})
	t.Run("a failed entry VM is skipped for a limited time", func(t *testing.T) {
		p := &tspreference.Picker{SkipDuration: time.Second}
		p.Failed(now, others[1])
		assert.Equal(t, pick(p, 500*time.Millisecond), "ba")
		assert.Equal(t, pick(p, time.Second), "cba")
		p.Answered(others[1])
		assert.Equal(t, pick(p, 500*time.Millisecond), "cba")
	})
	t.Run("entry VMs beyond the allowed number are not tried", func(t *testing.T) {
		p := &tspreference.Picker{SkipDuration: time.Second}
		p.Failed(now, others[1])
		assert.Equal(t, names(p.Order(now, vm("a", 1), others, 1)), "c")
		assert.Equal(t, names(p.Order(now, vm("a", 1), others, 2)), "b")
		p.Failed(now.Add(time.Millisecond), others[0])
		assert.Equal(t, names(p.Order(now.Add(time.Millisecond), vm("a", 1), others, 2)), "c")
	})
	t.Run("if all failed, the one that failed first is tried", func(t *testing.T) {
		p := &tspreference.Picker{SkipDuration: time.Second}
		p.Failed(now, others[0])
		p.Failed(now.Add(100*time.Millisecond), others[1])
		assert.Equal(t, pick(p, 500*time.Millisecond), "ba")
	})
}
