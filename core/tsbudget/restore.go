package tsbudget

import (
	"slices"

	"turmericshed"
)

// The store may come back from an older copy. The copy is consistent, but lots that were drawn since
// are missing in it, and lots that were used up or returned since are open again. Their holders go on
// with the lots that they have in memory.
//
// The first write of a ledger in a new era of the store therefore counts everything that was held as
// forfeited. Each holder enters its lots again as they are now, and takes their charges back from that
// amount. What nobody enters again stays charged: the lots of processes that have ended, and the usage
// of lots that were closed since the copy was taken.
//
// The charges of the copy may be too low. Ledger writers and holders therefore add what they know of the
// ledger before the restore, and the latest version that any of them knows decides. Until others had time
// to add theirs, nothing is drawn except from the pool that the domain still has.
//
// Example: prepaid 1000. The copy has a lot of 300. Since then, that lot was used up and closed, and
// another one of 200 was drawn: 500 were charged. After the restore, 500 count as forfeited and 500 are
// left. The holder enters its lot of 200 again, which leaves 300 forfeited.

// LedgerState is what a process knows of a ledger at one version.
type LedgerState struct {
	Version turmericshed.Version `json:"version"`
	// Charged is the amount that was spent or held. Held is the part that holders could still have had.
	Charged turmericshed.Tokens `json:"charged"`
	Held    turmericshed.Tokens `json:"held"`
}

// Restored is the part of a ledger that was written before the store came back from an older copy.
type Restored struct {
	// Era is the era that began with the restore. Shares of failure domains that were last written in an
	// earlier one are void.
	Era uint64 `json:"era"`
	// Known is the latest state before the restore that any process knew.
	Known LedgerState `json:"known"`
	// Reclaimable is the part of the ledger's forfeited amount that holders may take back.
	Reclaimable turmericshed.Tokens `json:"reclaimable,omitempty"`
	// Overdrawn is the amount by which the charges exceed the prepaid amount. It is only ever positive
	// if tokens were drawn before the state with the latest version was known.
	Overdrawn turmericshed.Tokens `json:"overdrawn,omitempty"`
	// Settling is true while other processes may still know of a later state.
	Settling bool `json:"settling,omitempty"`
}

// State returns what the ledger tells at a version, together with a state from before it that it may not
// include. A ledger that was not written since the store came back from an older copy tells no more than
// that copy, so its state has the version of the copy.
func (l Ledger) State(v turmericshed.Version, before LedgerState) LedgerState {
	l = l.clone()
	l.learn(before)
	s := LedgerState{Version: v, Charged: l.Spent + l.OpenCharge(), Held: l.OpenCharge()}
	if l.Restored != nil {
		s.Held += l.Restored.Reclaimable
	}
	if l.Era < v.Era() {
		s.Version = turmericshed.NewVersion(l.Era, v.Revision())
	}
	return s.Later(before)
}

// Later returns the later one of two states.
func (s LedgerState) Later(o LedgerState) LedgerState {
	if o.Version > s.Version {
		return o
	}
	return s
}

// Knows reports whether the ledger includes a state from before an era of the store.
func (l Ledger) Knows(s LedgerState, era uint64) bool {
	return s.Version == 0 || l.Restored != nil && l.Restored.Era >= era && l.Restored.Known.Version >= s.Version
}

// beginEra charges everything that was held as forfeited if the ledger was last written in an earlier era.
// revision is that of the copy. A ledger of a process that did not write eras counts as current, unless
// isOlder is true because the ledger is known from an earlier era.
func (l *Ledger) beginEra(era, revision uint64, isOlder bool) {
	if l.Era < era && (l.Era != 0 || isOlder) {
		known := l.State(turmericshed.NewVersion(l.Era, revision), LedgerState{})
		l.forfeit(l.InHoldings.Charge)
		l.InHoldings = HoldingTotals{}
		l.Restored = &Restored{Era: era, Known: known, Reclaimable: known.Held, Settling: true}
		l.noteOverdraft()
	}
	l.Era = max(l.Era, era)
}

// learn adds what a process knows of the ledger before the restore. Versions of this era, and states that
// are not later than the known one, change nothing.
func (l *Ledger) learn(s LedgerState) {
	if s.Version == 0 || s.Version.Era() >= l.Era {
		return
	}
	if l.Restored == nil {
		// The copy was older than the budget.
		l.Restored = &Restored{Era: l.Era, Settling: true}
	}
	r := l.Restored
	if s.Version <= r.Known.Version || s.Version.Era() >= r.Era {
		return
	}
	l.forfeit(max(s.Charged-r.Known.Charged, -l.Forfeited))
	r.Reclaimable = min(max(r.Reclaimable+s.Held-r.Known.Held, 0), l.Forfeited)
	r.Known = s
	l.noteOverdraft()
}

// reclaim takes up to n tokens back from the forfeited amount, and returns how many.
func (l *Ledger) reclaim(n turmericshed.Tokens) turmericshed.Tokens {
	if l.Restored == nil {
		return 0
	}
	n = max(min(n, l.Restored.Reclaimable), 0)
	l.Restored.Reclaimable -= n
	l.forfeit(-n)
	return n
}

// enter adds a lot that its holder has and the store has forgotten. charge is what it took from the budget
// before the restore, which may be more if tokens were returned since. A lot that is listed takes the larger
// amounts of both. What can't be reclaimed is charged anew.
func (l *Ledger) enter(lot Lot, charge turmericshed.Tokens) {
	if i := indexOfLot(l.Lots, lot.ID); i >= 0 {
		mergeReport(&l.Lots[i], Report{Used: lot.Used, Returned: lot.Returned, Requests: lot.Requests})
		return
	}
	l.reclaim(max(charge, lot.Charge()))
	l.Lots = append(l.Lots, lot)
	l.noteOverdraft()
}

func (l *Ledger) forfeit(n turmericshed.Tokens) {
	l.Forfeited += n
	l.Spent += n
}

// noteOverdraft records that charges which can't be refused exceed the prepaid amount.
func (l *Ledger) noteOverdraft() {
	if l.Restored != nil {
		l.Restored.Overdrawn = max(l.Spent+l.OpenCharge()-l.Limit(), 0)
	}
}

// lowerOverdraft lowers the recorded overdraft to what is left of it.
func (l *Ledger) lowerOverdraft() {
	if l.Restored != nil {
		l.Restored.Overdrawn = min(l.Restored.Overdrawn, max(l.Spent+l.OpenCharge()-l.Limit(), 0))
	}
}

// overdrawn returns the amount by which the charges may exceed the prepaid amount.
func (l Ledger) overdrawn() turmericshed.Tokens {
	if l.Restored == nil {
		return 0
	}
	return l.Restored.Overdrawn
}

// isSettling reports whether nothing may be drawn because other processes may know of a later state.
func (l Ledger) isSettling() bool { return l.Restored != nil && l.Restored.Settling }

// isVoid reports whether the share of a failure domain was void when the ledger was written.
func (l Ledger) isVoid(p Pool) bool { return l.Restored != nil && p.Era < l.Restored.Era }

// errSettling is the error of a draw from a settling ledger.
func errSettling(id turmericshed.BudgetID) error {
	return turmericshed.NewError(turmericshed.KindStoreUnavailable, "the store lost changes of budget %s; other entry VMs may know of them", id)
}

// Reentry holds the lots of one budget that a holder has and the store has forgotten.
type Reentry struct {
	// Era is the store's era in which the holder missed them.
	Era uint64
	// Sequence increases with each request of the holder. A delayed request must not enter lots again that
	// were closed since.
	Sequence int64
	Holder   turmericshed.Incarnation
	Lots     []Lot
	// Known is what the holder knew of the ledger before that era.
	Known LedgerState
}

// Share is a failure domain's part of a budget.
type Share struct {
	Lots []Lot
	// Free is the amount of the pool that can be drawn.
	Free turmericshed.Tokens
}

// Memory is what a ledger writer remembers of the time before the store came back from an older copy.
type Memory interface {
	// Ledger returns the latest known state of a ledger in an era before the given one; zero if there is
	// none.
	Ledger(id turmericshed.BudgetID, before uint64) LedgerState
	// Share returns the latest share of the domain in an era before the given one; an empty one if it may
	// have been written since.
	Share(id turmericshed.BudgetID, before uint64) Share
	// IsSettled reports whether this process has seen the ledger settle in an era for long enough that
	// others have written what they know.
	IsSettled(id turmericshed.BudgetID, era uint64) bool
}

// noMemory is the memory of a process that has seen nothing.
type noMemory struct{}

func (noMemory) Ledger(turmericshed.BudgetID, uint64) LedgerState { return LedgerState{} }
func (noMemory) Share(turmericshed.BudgetID, uint64) Share        { return Share{} }
func (noMemory) IsSettled(turmericshed.BudgetID, uint64) bool     { return false }

var _ Memory = noMemory{}

// restore brings the ledger and the domain's share into the era, with what the writer and the holders
// know. It returns the share, whose pool may be drawn from while the ledger is settling.
func (w shareWriter) restore(l *Ledger, own domainShare, revision uint64, changes []Change) domainShare {
	known := []LedgerState{w.memory.Ledger(l.Budget, w.era)}
	for _, c := range changes {
		if c.Reentry != nil && c.Reentry.Era == w.era {
			known = append(known, c.Reentry.Known)
		}
	}
	l.beginEra(w.era, revision, revision != 0 && slices.ContainsFunc(known, func(s LedgerState) bool { return s.Version != 0 }))
	for _, s := range known {
		l.learn(s)
	}
	if l.isVoid(own.pool) {
		own = domainShare{}
		own.pool.Free = l.reclaim(w.memory.Share(l.Budget, w.era).Free)
		own.pool.Counted = own.pool.totals(nil)
		l.InHoldings = l.InHoldings.plus(own.pool.Counted)
	}
	if l.isSettling() && w.memory.IsSettled(l.Budget, w.era) {
		l.Restored.Settling = false
	}
	return own
}
