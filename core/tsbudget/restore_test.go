package tsbudget_test

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// simMemory is what a process remembers of the store.
type simMemory struct {
	holding, holdingBefore turmericshed.Version
	ledger, ledgerBefore   tsbudget.LedgerState
	share, shareBefore     tsbudget.Share
}

// remember reads what the last transaction has left.
func (m *simMemory) remember(s *sim) {
	holding := s.stored[tsbudget.HoldingKey("d")].Version
	if holding.Era() > m.holding.Era() {
		m.holdingBefore, m.ledgerBefore, m.shareBefore = m.holding, m.ledger, m.share
	}
	h := s.holding("d")
	m.holding, m.share = holding, tsbudget.Share{Lots: h.Lots["b"], Free: h.Pools["b"].Free}
	if item := s.stored[tsbudget.Key("b")]; item.Version != 0 {
		l, err := tsbudget.Decode(item)
		assert.NilError(s.t, err)
		m.ledger = l.State(item.Version, m.ledgerBefore)
	}
}

// simWriter is a ledger writer.
type simWriter struct {
	simMemory
	// told is the last era in which it has written what it remembers.
	told uint64
	// isUnsure is true if a transaction got no answer.
	isUnsure bool
}

// simWriterMemory is a writer's memory for one request.
type simWriterMemory struct {
	s             *sim
	w             *simWriter
	holdingBefore turmericshed.Version
}

func (m simWriterMemory) Ledger(_ turmericshed.BudgetID, before uint64) tsbudget.LedgerState {
	if m.w.ledger.Version.Era() < before {
		return m.w.ledger
	}
	return m.w.ledgerBefore
}

func (m simWriterMemory) Share(_ turmericshed.BudgetID, before uint64) tsbudget.Share {
	version, share := m.w.holding, m.w.share
	if version.Era() >= before {
		version, share = m.w.holdingBefore, m.w.shareBefore
	}
	if version == 0 || version < m.holdingBefore || m.w.isUnsure {
		return tsbudget.Share{}
	}
	return share
}

// IsSettled reports whether all writers and holders have written since the restore.
func (m simWriterMemory) IsSettled(_ turmericshed.BudgetID, era uint64) bool {
	for _, w := range m.s.writers {
		if w.told < era {
			return false
		}
	}
	for _, vm := range m.s.vms {
		if vm.holding.Era() < era || len(vm.h.ForgottenLots("b", era)) > 0 {
			return false
		}
	}
	return true
}

// restore replaces the contents by an older copy. Revisions are given out again.
func (s *sim) restore(copied map[string]turmericshed.Item, rev turmericshed.Version) {
	s.era++
	s.rev = rev
	s.stored = maps.Clone(copied)
	for key, item := range s.stored {
		item.Version = turmericshed.NewVersion(s.era, item.Version.Revision())
		s.stored[key] = item
	}
	clear(s.leaseEnds)
	s.stale = turmericshed.Item{}
}

// playRestores plays a seed, with or without restores, and returns the final state.
func playRestores(t *testing.T, seed uint64, restores bool) *sim {
	t.Helper()
	s := newSim(t, seed)
	s.era, s.writers = 1, []*simWriter{{}, {}}
	var copied map[string]turmericshed.Item
	var rev turmericshed.Version
	for n := range 160 {
		switch {
		case n%50 == 30:
			copied, rev = maps.Clone(s.stored), s.rev
		case n%50 == 30+int(seed%20) && restores:
			s.restore(copied, rev)
			copied, rev = maps.Clone(s.stored), s.rev
		case n%50 == 33+int(seed%20) && restores && seed%2 == 0:
			// The second copy may be older than the first write after the first restore.
			s.restore(copied, rev)
		}
		s.step()
		assert.Assert(t, s.used <= simPrepaid, "seed %d, step %d: used %d of %d", seed, n, s.used, simPrepaid)
	}
	return s
}

// Guards against tokens that are handed out twice after the store came back from an older copy: lots that
// it has forgotten, and closed lots that are open again.
func TestRestoredStoreHandsOutNothingTwice(t *testing.T) {
	var served, servedWithout turmericshed.Tokens
	for seed := range uint64(60) {
		s := playRestores(t, seed, true)
		l := s.ledger("d")
		assert.Assert(t, l.Restored == nil || l.Restored.Overdrawn == 0, "seed %d: %+v", seed, l.Restored)
		served += s.used
		servedWithout += playRestores(t, seed, false).used
	}
	t.Logf("%d tokens were used, %d without restores", served, servedWithout)
	assert.Assert(t, served >= servedWithout/2, "%d tokens were used, %d without restores", served, servedWithout)
}

// Guards each step of a restore on its own.
func TestRestoredLedger(t *testing.T) {
	newRestored := func(t *testing.T) *sim {
		s := newSim(t, 0)
		s.era = 1
		s.takeOver("d", "x1", "")
		assert.NilError(t, s.commit("d", request("x1", drawing("old", 300, 1))))
		assert.NilError(t, s.commit("d", request("x1", drawing("kept", 100, 1))))
		copied, rev := maps.Clone(s.stored), s.rev
		assert.NilError(t, s.commit("d", request("x1", ending("old", 300, 0))))
		assert.NilError(t, s.commit("d", request("x1", drawing("new", 200, 1))))
		s.writers[0].remember(s)
		s.restore(copied, rev)
		return s
	}
	known := func(s *sim) tsbudget.LedgerState { return s.writers[0].ledger }
	entering := func(s *sim, era uint64, lots ...tsbudget.Lot) tsbudget.Request {
		return request("x1", tsbudget.Change{Reentry: &tsbudget.Reentry{Era: era, Sequence: 1, Holder: "x1", Lots: lots, Known: known(s)}})
	}
	lot := func(id string, drawn, used turmericshed.Tokens) tsbudget.Lot {
		return tsbudget.Lot{ID: turmericshed.LotID(id), Holder: "x1", Drawn: drawn, Used: used}
	}
	t.Run("lots are entered with the use that the store has forgotten", func(t *testing.T) {
		s := newRestored(t)
		assert.NilError(t, s.commit("d", entering(s, 2, lot("kept", 100, 60), lot("new", 200, 10))))
		l := s.ledger("d")
		assert.Equal(t, l.Spent, turmericshed.Tokens(300))
		assert.Equal(t, l.OpenCharge(), turmericshed.Tokens(300))
		assert.Equal(t, l.TotalBilled(), turmericshed.Tokens(70))
	})
	t.Run("entered twice they are charged once", func(t *testing.T) {
		s := newRestored(t)
		for range 2 {
			assert.NilError(t, s.commit("d", entering(s, 2, lot("new", 200, 10))))
		}
		assert.Equal(t, s.ledger("d").Undrawn(), turmericshed.Tokens(400))
	})
	t.Run("a delayed request enters no lot that was closed since", func(t *testing.T) {
		s := newRestored(t)
		assert.NilError(t, s.commit("d", entering(s, 2, lot("new", 200, 10))))
		assert.NilError(t, s.commit("d", request("x1", ending("new", 50, 150))))
		assert.NilError(t, s.commit("d", entering(s, 2, lot("new", 200, 10))))
		assert.Equal(t, s.room(), turmericshed.Tokens(550))
	})
	t.Run("lots missed in an earlier era are not entered", func(t *testing.T) {
		s := newRestored(t)
		s.restore(maps.Clone(s.stored), s.rev)
		assert.NilError(t, s.commit("d", entering(s, 2, lot("new", 200, 10))))
		assert.Equal(t, len(s.holding("d").Lots["b"]), 0)
	})
	t.Run("a lot of the copy can't be returned again", func(t *testing.T) {
		s := newRestored(t)
		_ = s.commit("d", request("x1", ending("old", 0, 300)))
		assert.Assert(t, s.ledger("d").Undrawn() <= 600)
	})
	t.Run("nothing is drawn until others have told what they know", func(t *testing.T) {
		s := newRestored(t)
		err := s.commit("d", request("x1", drawing("next", 100, 1)))
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindStoreUnavailable, "%v", err)
	})
	t.Run("a later state that is told late raises the charges", func(t *testing.T) {
		s := newRestored(t)
		assert.NilError(t, s.commit("d", entering(s, 2, lot("new", 200, 0))))
		later := known(s)
		later.Version, later.Charged, later.Held = later.Version+1, later.Charged+500, later.Held+500
		assert.NilError(t, s.commit("d", request("x1", tsbudget.Change{Reentry: &tsbudget.Reentry{Era: 2, Known: later}})))
		l := s.ledger("d")
		assert.Equal(t, l.Undrawn(), turmericshed.Tokens(-100))
		assert.Equal(t, l.Restored.Overdrawn, turmericshed.Tokens(100))
	})
	t.Run("a copy that nobody wrote since tells no more than before", func(t *testing.T) {
		s := newRestored(t)
		item := s.stored[tsbudget.Key("b")]
		l, err := tsbudget.Decode(item)
		assert.NilError(t, err)
		assert.Assert(t, item.Version > known(s).Version)
		assert.Equal(t, l.State(item.Version, known(s)), known(s))
	})
	t.Run("an entry VM whose lots are void is taken over", func(t *testing.T) {
		s := newRestored(t)
		s.takeOver("e", "y1", "")
		assert.NilError(t, s.commit("e", request("y1", tsbudget.Change{Prepaid: 1000, Reentry: &tsbudget.Reentry{Era: 2, Sequence: 1, Known: known(s)}})))
		s.takeOver("d", "x2", "x1")
	})
	t.Run("a copy that is older than the budget", func(t *testing.T) {
		s := newRestored(t)
		delete(s.stored, tsbudget.Key("b"))
		delete(s.stored, tsbudget.HoldingKey("d"))
		s.takeOver("d", "x1", "")
		r := entering(s, 2, lot("new", 200, 10))
		r.Changes[0].Prepaid = 1000
		assert.NilError(t, s.commit("d", r))
		assert.Equal(t, s.ledger("d").Undrawn(), turmericshed.Tokens(400), fmt.Sprint(s.ledger("d")))
	})
}
