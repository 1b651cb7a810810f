package tsbudget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericshed"
)

// Where the store supports transactions over several keys, lots are not stored in the ledger. The
// lots of all holders in a failure domain, for all budgets, are stored in one document, the
// domain's holding, and the ledger stores only the sums over all holdings. The size of a ledger
// therefore does not depend on the size of the fleet, and one transaction can serve every holder
// of the domain. Both documents are written in the same transaction, so the sums always match.
//
// The holding also records the current process of each entry VM and the ceilings of its lots, see
// Ceilings. A new process takes an entry VM over from its predecessor, which it names in the
// request. The takeover succeeds once; from then on writes of any other process are rejected,
// however late they arrive.
//
// The holding also has a pool for each budget. No holder may spend from a pool: lots are drawn
// from it and returned to it without a write of the ledger, which all domains share. As a result,
// the ledger counts the domain's usage with a delay.
//
// Example: prepaid 1000, two domains with a lot of 300 each and a pool of 50 each. The ledger
// shows a charge of 700 in InHoldings and 300 left to draw. A holder of the first domain draws 40
// more from the pool; the ledger is unchanged. The next holder draws 40: since the pool has only
// 10, the missing 30 are drawn from the ledger, together with the amount that refills the pool.

const (
	// HoldingPrefix is followed by the failure domain's name.
	HoldingPrefix = "holdings/"
	// MarkerPrefix is followed by the failure domain's name and a lease. The key exists for as
	// long as that lease.
	MarkerPrefix = "leases/"
)

// HoldingKey returns the store's key of a failure domain's holding.
func HoldingKey(d turmericshed.FailureDomain) string { return HoldingPrefix + string(d) }

// MarkerKey returns the store's key that exists for as long as the lease.
func MarkerKey(d turmericshed.FailureDomain, l turmericshed.LeaseID) string {
	return MarkerPrefix + string(d) + "/" + string(l)
}

// HoldingTotals is the sum of the lots that are stored in holdings.
type HoldingTotals struct {
	Charge   turmericshed.Tokens `json:"charge,omitempty"`
	Used     turmericshed.Tokens `json:"used,omitempty"`
	Requests int64               `json:"requests,omitempty"`
	// Rate is the holders' demand in tokens per second.
	Rate int64 `json:"rate,omitempty"`
	// RateSquares is the sum of the squares of the holders' rates. It tells demand at a few entry
	// VMs from demand that is spread widely. It is a hint: a process of an earlier version drops it.
	RateSquares int64 `json:"rate_squares,omitempty"`
	// SquaresEpoch tells which domains RateSquares counts: those with the same epoch in their
	// Counted. It changes when an earlier version dropped the sum.
	SquaresEpoch int64 `json:"squares_epoch,omitempty"`
	// Holders counts the holders with lots.
	Holders int `json:"holders,omitempty"`
}

// sumLots returns the amounts that lots add to the ledger's sums.
func sumLots(lots []Lot) HoldingTotals {
	var e HoldingTotals
	rates := make(map[turmericshed.Incarnation]int64, len(lots))
	for _, l := range lots {
		e.Charge += l.Charge()
		e.Used += l.Used
		e.Requests += l.Requests
		// The newest lot has the most recent demand.
		rates[l.Holder] = l.Rate
	}
	for _, r := range rates {
		e.Rate += r
		e.RateSquares += min(r, maxSquaredRate) * min(r, maxSquaredRate)
	}
	e.Holders = len(rates)
	return e
}

func (e HoldingTotals) plus(o HoldingTotals) HoldingTotals {
	return HoldingTotals{
		Charge: e.Charge + o.Charge, Used: e.Used + o.Used, Requests: e.Requests + o.Requests, Rate: e.Rate + o.Rate, RateSquares: e.RateSquares + o.RateSquares, SquaresEpoch: e.SquaresEpoch,
		Holders: e.Holders + o.Holders,
	}
}

func (e HoldingTotals) minus(o HoldingTotals) HoldingTotals {
	return HoldingTotals{
		Charge: e.Charge - o.Charge, Used: e.Used - o.Used, Requests: e.Requests - o.Requests, Rate: e.Rate - o.Rate, RateSquares: max(e.RateSquares-o.RateSquares, 0),
		SquaresEpoch: e.SquaresEpoch, Holders: e.Holders - o.Holders,
	}
}

// valid reports whether e can be the sum of lots.
func (e HoldingTotals) valid() bool {
	return e.Charge >= 0 && e.Used >= 0 && e.Used <= e.Charge && e.Requests >= 0 && e.Holders >= 0
}

// maxSquaredRate bounds the rates that RateSquares counts, so that the sum over maxOpenLots holders
// does not overflow.
const maxSquaredRate = 1 << 25

// othersSquares returns the squares of the rates of the other domains, and their epoch. counted is
// what the sums have of this domain, and version that of the ledger to replace.
//
// A process of an earlier version drops the squares of a ledger, or of all that is counted in a
// domain's holding. Differences would then be wrong for good, so a new epoch begins, and each domain
// is counted again with its next write.
func (e HoldingTotals) othersSquares(counted HoldingTotals, version turmericshed.Version) (squares, epoch int64) {
	switch {
	case e.SquaresEpoch != 0 && counted.SquaresEpoch == e.SquaresEpoch:
		return max(e.RateSquares-counted.RateSquares, 0), e.SquaresEpoch
	case e.SquaresEpoch != 0 && (counted.SquaresEpoch != 0 || counted.Holders == 0):
		return e.RateSquares, e.SquaresEpoch
	default:
		return 0, int64(version) + 1 //nolint:gosec // Versions are far below the limit.
	}
}

// HoldingVM is a holding's record of one entry VM.
type HoldingVM struct {
	// Incarnation is the current process of the entry VM.
	Incarnation turmericshed.Incarnation `json:"incarnation"`
	// Sequence is the number of the process's last declaration, Lease the lease that the
	// declaration is bound to, and Since the time at which the process learned of that lease, by
	// the entry VM's time of day.
	Sequence int64                `json:"sequence,omitempty"`
	Lease    turmericshed.LeaseID `json:"lease,omitempty"`
	Since    time.Time            `json:"since,omitzero"`
}

// Holding is the document with the lots of all holders of one failure domain.
type Holding struct {
	VMs  map[string]HoldingVM
	Lots map[turmericshed.BudgetID][]Lot
	// Ceilings has the ceiling of each lot, the most that may be used of it; 0 for a lot that is not
	// listed.
	Ceilings map[turmericshed.LotID]turmericshed.Tokens
	Pools    map[turmericshed.BudgetID]Pool
	// Era is the store's era in which the document was read or written. It is not part of it.
	Era uint64
}

// Pool is the part of a budget that a domain has in addition to its holders' lots.
type Pool struct {
	// Free was drawn from the ledger and belongs to no holder. Target is the size of the pool
	// after the last write of the ledger.
	Free   turmericshed.Tokens `json:"free,omitempty"`
	Target turmericshed.Tokens `json:"target,omitempty"`
	// Used and Requests sum up closed lots that the ledger still counts as open.
	Used     turmericshed.Tokens `json:"used,omitempty"`
	Requests int64               `json:"requests,omitempty"`
	// Counted is the part of the ledger's sums that belongs to this holding.
	Counted HoldingTotals `json:"counted"`
	// Era is the store's era in which the budget's lots and pool were last written together with the
	// ledger; 0 if it is not known.
	Era uint64 `json:"era,omitempty"`
	// Entered has the sequence number of the last Reentry of each process in this era.
	Entered map[turmericshed.Incarnation]int64 `json:"entered,omitempty"`
}

// totals returns the sum of the pool and the domain's lots.
func (p Pool) totals(lots []Lot) HoldingTotals {
	return sumLots(lots).plus(HoldingTotals{Charge: p.Free + p.Used, Used: p.Used, Requests: p.Requests})
}

// clone returns a copy with maps of its own. The slices of lots are shared; they are never
// modified in place.
func (h Holding) clone() Holding {
	return Holding{VMs: maps.Clone(h.VMs), Lots: maps.Clone(h.Lots), Ceilings: maps.Clone(h.Ceilings), Pools: maps.Clone(h.Pools), Era: h.Era}
}

// IsStale reports whether the lots and the pool of a budget are from before the store came back from an
// older copy. Only a write of the ledger tells what has become of them.
func (h Holding) IsStale(id turmericshed.BudgetID) bool {
	era := h.Pools[id].Era
	return era != 0 && era < h.Era
}

// CurrentLots is like LotsByBudget, without those that are stale.
func (h Holding) CurrentLots(in turmericshed.Incarnation) map[turmericshed.BudgetID][]Lot {
	own := h.LotsByBudget(in)
	maps.DeleteFunc(own, func(id turmericshed.BudgetID, _ []Lot) bool { return h.IsStale(id) })
	return own
}

// LotsByBudget returns the lots of one process, by budget.
func (h Holding) LotsByBudget(in turmericshed.Incarnation) map[turmericshed.BudgetID][]Lot {
	own := make(map[turmericshed.BudgetID][]Lot)
	for id := range h.Lots {
		if lots := h.LotsOf(in, id); len(lots) > 0 {
			own[id] = lots
		}
	}
	return own
}

// LotsOf returns the lots of one process in one budget.
func (h Holding) LotsOf(in turmericshed.Incarnation, id turmericshed.BudgetID) []Lot {
	var own []Lot
	for _, l := range h.Lots[id] {
		if l.Holder == in {
			own = append(own, l)
		}
	}
	return own
}

// WithLots returns the ledger with the lots of a holding moved from its sums to its list of lots. A
// ledger that was read at another time than the holding may count less than these lots; the sums
// are then 0.
func (l Ledger) WithLots(lots []Lot) Ledger {
	l = l.clone()
	rest := l.InHoldings.minus(sumLots(lots))
	l.InHoldings = HoldingTotals{
		Charge: max(rest.Charge, 0), Used: max(rest.Used, 0), Requests: max(rest.Requests, 0), Rate: max(rest.Rate, 0), RateSquares: rest.RateSquares,
		SquaresEpoch: rest.SquaresEpoch, Holders: max(rest.Holders, 0),
	}
	l.Lots = append(l.Lots, lots...)
	return l
}

// Change is one holder's requested change of one ledger.
type Change struct {
	Budget  turmericshed.BudgetID
	Profile turmericshed.ProfileName
	// Prepaid creates the ledger or raises its prepaid amount. A lower amount, from an older edit,
	// changes nothing.
	Prepaid turmericshed.Tokens
	Reports []Report
	// Draw requests a lot, if set.
	Draw *DrawRequest
	// Withdraw, if set, closes the unused lot of an abandoned draw, in case that draw was written.
	Withdraw turmericshed.LotID
	// Reentry, if set, has lots that the store has forgotten.
	Reentry *Reentry
	// Urgent is true when callers wait for the outcome.
	Urgent bool
}

// apply makes the change. A refused draw does not block the other parts of the change: its error
// is returned only if nothing else changes.
func (c Change) apply(l *Ledger) (bool, error) {
	changed := false
	if c.Prepaid > l.Prepaid {
		l.Prepaid, changed = c.Prepaid, true
	}
	for _, r := range c.Reports {
		changed = settleReport(l, r) || changed
	}
	if i := indexOfLot(l.Lots, c.Withdraw); c.Withdraw != "" && i >= 0 {
		l.Lots, changed = slices.Delete(l.Lots, i, i+1), true
	}
	if c.Draw == nil {
		return changed, nil
	}
	drawn, err := draw(l, *c.Draw)
	if changed {
		return true, nil
	}
	return drawn, err
}

// sortedBudgets returns the map's keys in ascending order.
func sortedBudgets[V any](m map[turmericshed.BudgetID]V) []turmericshed.BudgetID {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[turmericshed.BudgetID])
}
