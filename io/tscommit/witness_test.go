package tscommit

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// Guards against a state from before a restore that is lost when later ones are told.
func TestNotes(t *testing.T) {
	state := func(era, revision uint64) tsbudget.LedgerState {
		return tsbudget.LedgerState{Version: turmericshed.NewVersion(era, revision), Charged: 1}
	}
	n := newNotes()
	for _, s := range []tsbudget.LedgerState{state(1, 8), state(1, 7), state(2, 3), state(1, 9), state(2, 4)} {
		n.note("b", s)
	}
	assert.Equal(t, n.get("b", 2), state(1, 9))
	assert.Equal(t, n.get("b", 3), state(2, 4))
	assert.Equal(t, n.get("other", 3), tsbudget.LedgerState{})
}

func TestWitnesses(t *testing.T) {
	vm := func(name string, d turmericshed.FailureDomain, capacity float64) turmericshed.EntryVM {
		return turmericshed.EntryVM{Name: name, FailureDomain: d, Capacity: capacity}
	}
	self := vm("self", "b", 1)
	others := []turmericshed.EntryVM{vm("b2", "b", 9), vm("a1", "a", 1), vm("a2", "a", 2), vm("c1", "c", 1), vm("d1", "d", 1)}
	var names []string
	for _, w := range witnesses(self, others) {
		names = append(names, w.Name)
	}
	assert.DeepEqual(t, names, []string{"c1", "d1"})
	assert.Equal(t, witnesses(vm("self", "d", 1), others)[0].Name, "a2")
	assert.Equal(t, len(witnesses(self, others[:1])), 0)
}
