// Package tsbudget makes the decisions about prepaid token budgets: it defines the ledger document
// in the platform's key-value service, and the holder that spends tokens from memory after it has
// drawn them from the ledger.
//
// A ledger has a prepaid amount, the amount spent, and open lots. A lot is an amount that one
// holder (one incarnation of an entry VM) may spend without another write. It is charged in full
// by the write that draws it. The only invariant is therefore
//
//	spent + sum(open lots) <= prepaid
//
// and it holds whether a holder is paused, partitioned or considered dead. Every write of a ledger
// passes through one function, seal, which asserts it.
//
// Example: prepaid 1000, spent 100, two lots of 300 each: 300 are left to draw. The first holder
// is considered dead and its lot is closed: spent 400, one lot of 300, still 300 left. If that
// holder is alive after all and has used 120, it returns 180, once: spent 220, 480 left.
//
// # Usage
//
//	u := tsupdate.New(tsbudget.Key(id), tsbudget.Draw(req))
//	item, err := tsupdate.Run(ctx, store, u)
//	ledger, err := tsbudget.Decode(item)
//	lot, ok := ledger.Lot(req.Lot)
//
//	h := tsbudget.NewHolder(self.Incarnation)
//	h.AddLot(budget, lot, "")
//	res, ok := h.Reserve(now, profile, request, worstCase)
//	h.Settle(now, res, used)
package tsbudget

import (
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

const (
	// maxOpenLots bounds the open lots of one ledger.
	maxOpenLots = 3000
	// maxClosedLots bounds the closed lots of which tokens can still be returned. The oldest are
	// dropped first; they stay charged.
	maxClosedLots = 256
)

// Lot is an amount drawn from a budget by one holder. Used, Returned and Requests never decrease.
type Lot struct {
	ID            turmericshed.LotID         `json:"id"`
	Holder        turmericshed.Incarnation   `json:"holder"`
	FailureDomain turmericshed.FailureDomain `json:"failure_domain,omitempty"`
	Drawn         turmericshed.Tokens        `json:"drawn"`
	// Returned is the amount that the holder has returned.
	Returned turmericshed.Tokens `json:"returned,omitempty"`
	// Used is the amount that the holder has reported as billed.
	Used turmericshed.Tokens `json:"used,omitempty"`
	// Requests counts the billed requests.
	Requests int64 `json:"requests,omitempty"`
	// Rate is the holder's demand in tokens per second when it drew the lot. It is a hint from
	// which other holders compute fair shares.
	Rate int64     `json:"rate,omitempty"`
	At   time.Time `json:"at"`
}

// Charge is the amount that the lot takes from the budget.
func (l Lot) Charge() turmericshed.Tokens { return l.Drawn - l.Returned }

// PendingEdit is a reduction of the prepaid amount that has not been written to the profile yet.
// It limits draws at once.
type PendingEdit struct {
	Amount turmericshed.Tokens `json:"amount"`
	// Base is the version of the profile that the edit is based on.
	Base turmericshed.Version `json:"base"`
	// Profile is the complete new profile, so that any process can finish the edit.
	Profile json.RawMessage `json:"profile"`
}

// Ledger is the document under turmericshed.BudgetPrefix + Budget.
type Ledger struct {
	Budget  turmericshed.BudgetID    `json:"budget"`
	Profile turmericshed.ProfileName `json:"profile"`
	Prepaid turmericshed.Tokens      `json:"prepaid"`
	// Spent is Billed + Forfeited.
	Spent turmericshed.Tokens `json:"spent"`
	// Billed is the cost of settled requests from lots that are no longer open.
	Billed turmericshed.Tokens `json:"billed"`
	// Forfeited was charged without a settlement: the unsettled part of lots whose holder is gone,
	// and reservations that were never settled.
	Forfeited turmericshed.Tokens `json:"forfeited"`
	// Requests counts the billed requests of lots that are no longer open.
	Requests int64 `json:"requests"`
	// Lots are the open lots that are stored in the ledger itself. InHoldings has the sums of those
	// that are stored in holdings.
	Lots       []Lot         `json:"lots,omitempty"`
	InHoldings HoldingTotals `json:"elsewhere,omitzero"`
	// Closed are lots that another process closed. Their charge is included in Spent. Their holder
	// may still return tokens, once.
	Closed  []Lot        `json:"closed,omitempty"`
	Pending *PendingEdit `json:"pending,omitempty"`
	// Recalled blocks new draws.
	Recalled bool `json:"recalled,omitempty"`
	// Era is the store's era in which the ledger was last written; 0 if it is not known.
	Era uint64 `json:"era,omitempty"`
	// Restored is set once the store came back from an older copy of the ledger.
	Restored *Restored `json:"restored,omitempty"`
}

// Key returns the store's key of a budget.
func Key(id turmericshed.BudgetID) string { return turmericshed.BudgetPrefix + string(id) }

// Decode reads a ledger. Errors: KindNotFound for an absent key, KindInternal for a value that is
// not a ledger.
func Decode(item turmericshed.Item) (Ledger, error) {
	var l Ledger
	if item.Version == 0 {
		return l, turmericshed.NewError(turmericshed.KindNotFound, "no ledger under %s", item.Key)
	}
	if err := json.Unmarshal(item.Value, &l); err != nil {
		return l, turmericshed.WrapError(turmericshed.KindInternal, err, "ledger %s", item.Key)
	}
	return l, nil
}

// OpenCharge returns the sum of the charges of all open lots.
func (l Ledger) OpenCharge() turmericshed.Tokens {
	sum := l.InHoldings.Charge
	for _, lot := range l.Lots {
		sum += lot.Charge()
	}
	return sum
}

// Limit returns the amount in force: the prepaid amount, or that of a pending reduction.
func (l Ledger) Limit() turmericshed.Tokens {
	if l.Pending != nil {
		return min(l.Prepaid, l.Pending.Amount)
	}
	return l.Prepaid
}

// Undrawn returns the amount that can still be drawn.
func (l Ledger) Undrawn() turmericshed.Tokens { return l.Limit() - l.Spent - l.OpenCharge() }

// Lot returns the open lot with the id.
func (l Ledger) Lot(id turmericshed.LotID) (Lot, bool) {
	return findLot(l.Lots, id)
}

// ClosedLot returns the closed lot with the id.
func (l Ledger) ClosedLot(id turmericshed.LotID) (Lot, bool) {
	return findLot(l.Closed, id)
}

func findLot(lots []Lot, id turmericshed.LotID) (Lot, bool) {
	if i := indexOfLot(lots, id); i >= 0 {
		return lots[i], true
	}
	return Lot{}, false
}

func indexOfLot(lots []Lot, id turmericshed.LotID) int {
	for i := range lots {
		if lots[i].ID == id {
			return i
		}
	}
	return -1
}

// TotalBilled returns the settled cost of all lots, open ones included.
func (l Ledger) TotalBilled() turmericshed.Tokens {
	sum := l.Billed + l.InHoldings.Used
	for _, lot := range l.Lots {
		sum += lot.Used
	}
	return sum
}

// TotalRequests returns the number of billed requests of all lots, open ones included.
func (l Ledger) TotalRequests() int64 {
	sum := l.Requests + l.InHoldings.Requests
	for _, lot := range l.Lots {
		sum += lot.Requests
	}
	return sum
}

// clone returns a copy that shares no slice with l.
func (l Ledger) clone() Ledger {
	l.Lots = append([]Lot(nil), l.Lots...)
	l.Closed = append([]Lot(nil), l.Closed...)
	if l.Pending != nil {
		p := *l.Pending
		l.Pending = &p
	}
	if l.Restored != nil {
		r := *l.Restored
		l.Restored = &r
	}
	return l
}

// mutation returns the store mutation that applies change to a ledger. change modifies the copy
// that it is given and reports whether it changed anything.
func mutation(change func(l *Ledger) (bool, error)) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		prev, err := Decode(cur)
		if err != nil {
			return nil, err
		}
		next := prev.clone()
		changed, err := change(&next)
		if err != nil || !changed {
			return nil, err
		}
		return seal(&prev, &next)
	}
}

// seal asserts all invariants of a ledger and returns the value to write. Every write of a ledger
// passes through here.
func seal(prev, next *Ledger) ([]byte, error) {
	for len(next.Closed) > maxClosedLots {
		next.Closed = next.Closed[1:]
	}
	assertLots(next.Lots)
	assertLots(next.Closed)
	open := next.OpenCharge()
	turmericshed.Assert(next.Prepaid >= 0 && next.Billed >= 0 && next.Forfeited >= 0, "amounts_not_negative",
		"budget %s: prepaid %d billed %d forfeited %d", next.Budget, next.Prepaid, next.Billed, next.Forfeited)
	turmericshed.Assert(next.Spent == next.Billed+next.Forfeited, "spent_is_accounted",
		"budget %s: spent %d billed %d forfeited %d", next.Budget, next.Spent, next.Billed, next.Forfeited)
	e := next.InHoldings
	turmericshed.Assert(e.Used >= 0 && e.Used <= e.Charge && e.Holders >= 0, "sums_of_lots", "budget %s: %+v", next.Budget, e)
	turmericshed.Assert(next.Spent+open <= next.Limit()+next.overdrawn(), "within_prepaid",
		"budget %s: spent %d + open lots %d > %d, overdrawn %d", next.Budget, next.Spent, open, next.Limit(), next.overdrawn())
	turmericshed.Assert(len(next.Lots) <= maxOpenLots, "lots_bounded", "budget %s: %d lots", next.Budget, len(next.Lots))
	if prev != nil {
		// What was billed of held lots is counted again when their holders enter them.
		isSameEra := prev.Era == 0 || prev.Era == next.Era
		turmericshed.Assert(!isSameEra || next.TotalBilled() >= prev.TotalBilled() && next.TotalRequests() >= prev.TotalRequests(),
			"billed_never_shrinks", "budget %s: billed %d after %d", next.Budget, next.TotalBilled(), prev.TotalBilled())
		turmericshed.Assert(next.Budget == prev.Budget, "budget_identity", "%s after %s", next.Budget, prev.Budget)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "ledger %s", next.Budget)
	}
	turmericshed.Assert(len(value) <= turmericshed.MaxValueBytes, "value_bounded", "budget %s: %d bytes", next.Budget, len(value))
	return value, nil
}

func assertLots(lots []Lot) {
	seen := make(map[turmericshed.LotID]bool, len(lots))
	for _, lot := range lots {
		turmericshed.Assert(!seen[lot.ID], "lot_once", "lot %s is listed twice", lot.ID)
		seen[lot.ID] = true
		turmericshed.Assert(lot.Drawn > 0 && lot.Returned >= 0 && lot.Used >= 0 && lot.Used <= lot.Charge(), "lot_covers_use",
			"lot %s: drawn %d returned %d used %d", lot.ID, lot.Drawn, lot.Returned, lot.Used)
	}
}
