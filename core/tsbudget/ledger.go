// Package tsbudget holds the decisions about prepaid token budgets: the
// ledger document in the platform's key-value service, and the holder that
// spends from memory what it drew from the ledger.
//
// A ledger has a prepaid amount, what was spent, and open lots. A lot is an
// amount that one holder (one incarnation of an entry VM) may spend without
// asking. It is charged in full from the write that draws it, so that
//
//	spent + sum(open lots) <= prepaid
//
// is all that has to hold, whoever is paused, cut off or believed dead. Every
// write of a ledger passes through one function, seal, which asserts it.
//
// Example: prepaid 1000, spent 100, two lots of 300 each: 300 are left to
// draw. The first holder is gone and its lot is closed: spent 400, one lot of
// 300, still 300 left. The holder turns out to be alive, having used 120; it
// gives 180 back, once: spent 220, 480 left.
//
// # Usage
//
//	u := tsupdate.New(tsbudget.Key(id), tsbudget.Draw(req))
//	item, err := tsupdate.Run(ctx, store, u)
//	ledger, err := tsbudget.Decode(item)
//	lot, ok := ledger.Lot(req.Lot)
//
//	h := tsbudget.NewHolder(self.Incarnation)
//	h.AddLot(now, budget, lot)
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
	// maxClosedLots bounds the closed lots that may still be given back;
	// the oldest are dropped first, which leaves them charged.
	maxClosedLots = 256
)

// Lot is an amount drawn from a budget by one holder. Used, Returned and
// Requests only ever grow.
type Lot struct {
	ID            turmericshed.LotID         `json:"id"`
	Holder        turmericshed.Incarnation   `json:"holder"`
	FailureDomain turmericshed.FailureDomain `json:"failure_domain,omitempty"`
	Drawn         turmericshed.Tokens        `json:"drawn"`
	// Returned is what the holder gave back so far.
	Returned turmericshed.Tokens `json:"returned,omitempty"`
	// Used is what the holder reported as billed so far.
	Used turmericshed.Tokens `json:"used,omitempty"`
	// Requests counts the billed requests.
	Requests int64 `json:"requests,omitempty"`
	// Rate is the holder's demand in tokens per second when it drew; a hint
	// for the others' fair shares.
	Rate int64     `json:"rate,omitempty"`
	At   time.Time `json:"at"`
}

// Charge is what the lot takes from the budget.
func (l Lot) Charge() turmericshed.Tokens { return l.Drawn - l.Returned }

// PendingEdit is a lowering of the prepaid amount that is not yet in the
// profile. It takes the room away at once.
type PendingEdit struct {
	Amount turmericshed.Tokens `json:"amount"`
	// Base is the profile's version that the edit was made for.
	Base turmericshed.Version `json:"base"`
	// Profile is the whole new profile, so that anybody can finish the edit.
	Profile json.RawMessage `json:"profile"`
}

// Ledger is the document under turmericshed.BudgetPrefix + Budget.
type Ledger struct {
	Budget  turmericshed.BudgetID    `json:"budget"`
	Profile turmericshed.ProfileName `json:"profile"`
	Prepaid turmericshed.Tokens      `json:"prepaid"`
	// Spent is Billed + Forfeited.
	Spent turmericshed.Tokens `json:"spent"`
	// Billed is the cost of settled requests from lots that are not open.
	Billed turmericshed.Tokens `json:"billed"`
	// Forfeited was charged without a settlement: the rest of lots whose
	// holder went away, and reservations that were never confirmed.
	Forfeited turmericshed.Tokens `json:"forfeited"`
	// Requests counts the billed requests of lots that are not open.
	Requests int64 `json:"requests"`
	// Lots are the open lots; those that stand in holdings are in Elsewhere.
	Lots      []Lot     `json:"lots,omitempty"`
	Elsewhere Elsewhere `json:"elsewhere,omitzero"`
	// Closed are lots that others closed; their charge is in Spent. Their
	// holder may still give back, once.
	Closed  []Lot        `json:"closed,omitempty"`
	Pending *PendingEdit `json:"pending,omitempty"`
	// Recalled stops new lots.
	Recalled bool `json:"recalled,omitempty"`
}

// Key returns the store's key of a budget.
func Key(id turmericshed.BudgetID) string { return turmericshed.BudgetPrefix + string(id) }

// Decode reads a ledger. Errors: KindNotFound for an absent key,
// KindInternal for a value that is not a ledger.
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

// Open returns the sum of the open lots.
func (l Ledger) Open() turmericshed.Tokens {
	sum := l.Elsewhere.Charge
	for _, lot := range l.Lots {
		sum += lot.Charge()
	}
	return sum
}

// Limit returns the amount in force: the prepaid amount, or a pending lower
// one.
func (l Ledger) Limit() turmericshed.Tokens {
	if l.Pending != nil {
		return min(l.Prepaid, l.Pending.Amount)
	}
	return l.Prepaid
}

// Room returns what can still be drawn.
func (l Ledger) Room() turmericshed.Tokens { return l.Limit() - l.Spent - l.Open() }

// Lot returns the open lot with the id.
func (l Ledger) Lot(id turmericshed.LotID) (Lot, bool) {
	return lookup(l.Lots, id)
}

// ClosedLot returns the closed lot with the id.
func (l Ledger) ClosedLot(id turmericshed.LotID) (Lot, bool) {
	return lookup(l.Closed, id)
}

func lookup(lots []Lot, id turmericshed.LotID) (Lot, bool) {
	if i := index(lots, id); i >= 0 {
		return lots[i], true
	}
	return Lot{}, false
}

func index(lots []Lot, id turmericshed.LotID) int {
	for i := range lots {
		if lots[i].ID == id {
			return i
		}
	}
	return -1
}

// TotalBilled returns the settled cost of all lots, open ones included.
func (l Ledger) TotalBilled() turmericshed.Tokens {
	sum := l.Billed + l.Elsewhere.Used
	for _, lot := range l.Lots {
		sum += lot.Used
	}
	return sum
}

// TotalRequests returns the number of billed requests, of open lots too.
func (l Ledger) TotalRequests() int64 {
	sum := l.Requests + l.Elsewhere.Requests
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
	return l
}

// mutation makes a store mutation of a change. change edits its copy and
// reports whether anything differs.
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

// seal checks a ledger against all that must hold and returns the value to
// write. Every write of a ledger passes through here.
func seal(prev, next *Ledger) ([]byte, error) {
	for len(next.Closed) > maxClosedLots {
		next.Closed = next.Closed[1:]
	}
	assertLots(next.Lots)
	assertLots(next.Closed)
	open := next.Open()
	turmericshed.Assert(next.Prepaid >= 0 && next.Billed >= 0 && next.Forfeited >= 0, "amounts_not_negative",
		"budget %s: prepaid %d billed %d forfeited %d", next.Budget, next.Prepaid, next.Billed, next.Forfeited)
	turmericshed.Assert(next.Spent == next.Billed+next.Forfeited, "spent_is_accounted",
		"budget %s: spent %d billed %d forfeited %d", next.Budget, next.Spent, next.Billed, next.Forfeited)
	e := next.Elsewhere
	turmericshed.Assert(e.Used >= 0 && e.Used <= e.Charge && e.Holders >= 0, "sums_of_lots", "budget %s: %+v", next.Budget, e)
	turmericshed.Assert(next.Spent+open <= next.Limit(), "within_prepaid",
		"budget %s: spent %d + open lots %d > %d", next.Budget, next.Spent, open, next.Limit())
	turmericshed.Assert(len(next.Lots) <= maxOpenLots, "lots_bounded", "budget %s: %d lots", next.Budget, len(next.Lots))
	if prev != nil {
		turmericshed.Assert(next.TotalBilled() >= prev.TotalBilled() && next.TotalRequests() >= prev.TotalRequests(),
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
		turmericshed.Assert(!seen[lot.ID], "lot_once", "lot %s stands twice", lot.ID)
		seen[lot.ID] = true
		turmericshed.Assert(lot.Drawn > 0 && lot.Returned >= 0 && lot.Used >= 0 && lot.Used <= lot.Charge(), "lot_covers_use",
			"lot %s: drawn %d returned %d used %d", lot.ID, lot.Drawn, lot.Returned, lot.Used)
	}
}
