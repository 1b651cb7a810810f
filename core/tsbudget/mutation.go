package tsbudget

import (
	"time"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// Create returns the mutation that creates a ledger under an absent key.
func Create(budget turmericshed.BudgetID, profile turmericshed.ProfileName, prepaid turmericshed.Tokens) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		if cur.Version != 0 {
			old, err := Decode(cur)
			if err == nil && old.Profile != profile {
				err = turmericshed.NewError(turmericshed.KindConflict, "budget %s belongs to profile %s", budget, old.Profile)
			}
			return nil, err
		}
		if prepaid < 0 {
			return nil, turmericshed.NewError(turmericshed.KindBadRequest, "prepaid %d: want zero or more", prepaid)
		}
		return seal(nil, &Ledger{Budget: budget, Profile: profile, Prepaid: prepaid})
	}
}

// Grant returns the mutation that creates a ledger, or raises the prepaid amount of an existing
// one. A lower amount changes nothing: it comes from an older edit.
func Grant(budget turmericshed.BudgetID, profile turmericshed.ProfileName, prepaid turmericshed.Tokens) tsupdate.Mutation {
	raise := mutation(func(l *Ledger) (bool, error) {
		if prepaid <= l.Prepaid {
			return false, nil
		}
		l.Prepaid = prepaid
		return true, nil
	})
	return func(cur turmericshed.Item) ([]byte, error) {
		if cur.Version == 0 {
			return Create(budget, profile, prepaid)(cur)
		}
		return raise(cur)
	}
}

// DrawRequest requests a lot. The id is chosen before the first write and reused for retries.
type DrawRequest struct {
	Lot           turmericshed.LotID
	Holder        turmericshed.Incarnation
	FailureDomain turmericshed.FailureDomain
	// Want is the amount to draw, Min the least that is useful.
	Want turmericshed.Tokens
	Min  turmericshed.Tokens
	// Share limits the lot to this fraction of the undrawn amount, unless that would be less than
	// Min.
	Share float64
	// KeepUndrawn is the amount that a draw ahead of demand leaves undrawn. It is a hint: a
	// writer of an earlier version draws without it.
	KeepUndrawn turmericshed.Tokens
	// Rate is the holder's demand in tokens per second.
	Rate float64
	At   time.Time
}

// Draw returns the mutation that draws a lot. Errors: KindBudgetExhausted if less than Min is
// left, KindNotFound for a recalled or absent ledger, KindConflict if the lot has been closed in
// the meantime.
func Draw(r DrawRequest) tsupdate.Mutation {
	return mutation(func(l *Ledger) (bool, error) { return draw(l, r) })
}

func draw(l *Ledger, r DrawRequest) (bool, error) {
	if _, ok := l.Lot(r.Lot); ok {
		return false, nil
	}
	if _, ok := l.ClosedLot(r.Lot); ok {
		return false, turmericshed.NewError(turmericshed.KindConflict, "lot %s is closed", r.Lot)
	}
	if l.Recalled {
		return false, turmericshed.NewError(turmericshed.KindNotFound, "budget %s is recalled", l.Budget)
	}
	n := drawAmount(l.Undrawn(), r)
	if n <= 0 || len(l.Lots) >= maxOpenLots {
		return false, turmericshed.NewError(turmericshed.KindBudgetExhausted, "%d of %d tokens left to draw, %d wanted",
			max(l.Undrawn(), 0), l.Limit(), r.Min)
	}
	l.Lots = append(l.Lots, Lot{ID: r.Lot, Holder: r.Holder, FailureDomain: r.FailureDomain, Drawn: n, Rate: int64(r.Rate), At: r.At.UTC()})
	return true, nil
}

// SettleAndDraw returns the mutation that settles and draws in one write. The draw may fail although
// the reports are applied; the caller checks whether the result has the lot.
func SettleAndDraw(r DrawRequest, reports ...Report) tsupdate.Mutation {
	return mutation(func(l *Ledger) (bool, error) {
		changed := false
		for _, rep := range reports {
			changed = settleReport(l, rep) || changed
		}
		drawn, err := draw(l, r)
		if changed {
			return true, nil
		}
		return drawn, err
	})
}

// drawAmount returns the amount that a draw gets of room, the undrawn amount; 0 if less than the
// request's minimum is left.
func drawAmount(room turmericshed.Tokens, r DrawRequest) turmericshed.Tokens {
	least := max(r.Min, 1)
	room -= max(r.KeepUndrawn, 0)
	if room < least {
		return 0
	}
	n := max(r.Want, least)
	if r.Share > 0 && r.Share < 1 {
		n = min(n, turmericshed.Tokens(float64(room)*r.Share))
	}
	return min(max(n, least), room)
}

// Report is a holder's report on a lot. Amounts are cumulative, so a repeated report changes
// nothing.
type Report struct {
	Lot      turmericshed.LotID
	Used     turmericshed.Tokens
	Returned turmericshed.Tokens
	Requests int64
	// Final closes the lot; tokens that were neither used nor returned are forfeited.
	Final bool
	// Split are loans of this lot that peers still hold when it is closed. They continue as
	// separate lots.
	Split []Lot
}

// Settle returns the mutation that applies reports to the ledger, on open lots and on lots that
// other processes closed. A report on any other lot changes nothing: that lot's final report was
// applied before.
func Settle(reports ...Report) tsupdate.Mutation {
	return mutation(func(l *Ledger) (bool, error) {
		changed := false
		for _, r := range reports {
			changed = settleReport(l, r) || changed
		}
		return changed, nil
	})
}

func settleReport(l *Ledger, r Report) bool {
	if i := indexOfLot(l.Lots, r.Lot); i >= 0 {
		changed := mergeReport(&l.Lots[i], r)
		if !r.Final {
			return changed
		}
		lot := l.Lots[i]
		l.Lots = append(l.Lots[:i], l.Lots[i+1:]...)
		reopenLoans(l, &lot, r.Split)
		l.chargeLot(lot)
		return true
	}
	if i := indexOfLot(l.Closed, r.Lot); i >= 0 {
		lot := l.Closed[i]
		unchargeLot(l, lot)
		changed := mergeReport(&lot, r)
		l.Closed[i] = lot
		if r.Final {
			l.Closed = append(l.Closed[:i], l.Closed[i+1:]...)
			reopenLoans(l, &lot, r.Split)
		}
		l.chargeLot(lot)
		return changed || r.Final
	}
	return false
}

// reopenLoans moves the borrowed parts, with their billed amounts, out of a lot that is being
// closed, and opens them as separate lots. The ledger's sums are unchanged.
func reopenLoans(l *Ledger, lot *Lot, parts []Lot) {
	for _, p := range parts {
		turmericshed.Assert(lot.Charge() >= p.Charge() && lot.Used >= p.Used && lot.Requests >= p.Requests, "split_within_lot",
			"lot %s: charge %d used %d, part %s: charge %d used %d", lot.ID, lot.Charge(), lot.Used, p.ID, p.Charge(), p.Used)
		lot.Drawn -= p.Charge()
		lot.Used -= p.Used
		lot.Requests -= p.Requests
		turmericshed.Assert(lot.Used <= lot.Charge(), "lot_covers_use", "lot %s after part %s", lot.ID, p.ID)
		l.Lots = append(l.Lots, p)
	}
}

// mergeReport sets each cumulative amount to the larger of both, and reports whether the lot
// changed.
func mergeReport(lot *Lot, r Report) bool {
	old := *lot
	lot.Used = max(lot.Used, r.Used)
	lot.Returned = max(lot.Returned, r.Returned)
	lot.Requests = max(lot.Requests, r.Requests)
	turmericshed.Assert(lot.Used <= lot.Charge(), "lot_covers_use", "lot %s: drawn %d returned %d used %d",
		lot.ID, lot.Drawn, lot.Returned, lot.Used)
	return *lot != old
}

// chargeLot counts a lot that is no longer open as spent.
func (l *Ledger) chargeLot(lot Lot) {
	l.Spent += lot.Charge()
	l.Billed += lot.Used
	l.Forfeited += lot.Charge() - lot.Used
	l.Requests += lot.Requests
}

func unchargeLot(l *Ledger, lot Lot) {
	l.Spent -= lot.Charge()
	l.Billed -= lot.Used
	l.Forfeited -= lot.Charge() - lot.Used
	l.Requests -= lot.Requests
}

// Close returns the mutation that closes the lots of holders that are gone: the whole charge
// counts as spent. The holders need not be dead for certain, since an open lot is already charged
// in full. A lot that is not open is left unchanged, so each is closed once.
func Close(ids ...turmericshed.LotID) tsupdate.Mutation {
	return mutation(func(l *Ledger) (bool, error) {
		changed := false
		for _, id := range ids {
			i := indexOfLot(l.Lots, id)
			if i < 0 {
				continue
			}
			lot := l.Lots[i]
			l.Lots = append(l.Lots[:i], l.Lots[i+1:]...)
			l.Closed = append(l.Closed, lot)
			l.chargeLot(lot)
			changed = true
		}
		return changed, nil
	})
}

// Withdraw returns the mutation that cancels a draw whose answer was lost. read is the version on
// which the last ambiguous write was conditional. If the lot exists, it is removed unused. If it
// does not and the key still has that version, the ledger is written unchanged: after that write
// the draw can no longer succeed.
func Withdraw(id turmericshed.LotID, read turmericshed.Version) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		prev, err := Decode(cur)
		if err != nil {
			return nil, err
		}
		next := prev.clone()
		if i := indexOfLot(next.Lots, id); i >= 0 {
			next.Lots = append(next.Lots[:i], next.Lots[i+1:]...)
			return seal(&prev, &next)
		}
		if i := indexOfLot(next.Closed, id); i >= 0 {
			unchargeLot(&next, next.Closed[i])
			next.Closed = append(next.Closed[:i], next.Closed[i+1:]...)
			return seal(&prev, &next)
		}
		if cur.Version > read {
			return nil, nil
		}
		return seal(&prev, &next)
	}
}

// Recall returns the mutation that blocks new draws permanently.
func Recall() tsupdate.Mutation {
	return mutation(func(l *Ledger) (bool, error) {
		if l.Recalled {
			return false, nil
		}
		l.Recalled = true
		return true, nil
	})
}
