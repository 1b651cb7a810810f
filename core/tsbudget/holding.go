package tsbudget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericshed"
)

// Where the store writes several keys at once, lots need not stand in the
// ledger. All holders of a failure domain keep their lots of all budgets in one
// document, the domain's holding, and the ledger has only the sums over all
// holdings. So a ledger's size does not grow with the fleet, and one
// transaction can serve every holder of the domain. Both documents change
// together, which keeps the sums true.
//
// The holding also says which process stands for each entry VM, and how far
// each lot may be used, see Ceilings. A process takes its entry VM over from
// its predecessor by name, once; writes for any other process are refused from
// then on, whenever they arrive.
//
// The holding has a pool of each budget as well, which nobody may use: lots are
// drawn from it and go back to it without a write of the ledger, which all
// domains share. The ledger then counts what the domain used a little late.
//
// Example: prepaid 1000, two domains with a lot of 300 each and a pool of 50.
// The ledger says charge 700 elsewhere, room 300. A holder of the first domain
// draws 40 more, from the pool: the ledger stays as it is. The next one draws
// 40: 30 are drawn from the ledger along with what fills the pool up.

const (
	// HoldingPrefix is followed by the failure domain's name.
	HoldingPrefix = "holdings/"
	// MarkerPrefix is followed by the failure domain's name and a lease. The
	// key stands as long as that lease.
	MarkerPrefix = "leases/"
)

// HoldingKey returns the store's key of a failure domain's holding.
func HoldingKey(d turmericshed.FailureDomain) string { return HoldingPrefix + string(d) }

// MarkerKey returns the store's key that stands as long as a lease.
func MarkerKey(d turmericshed.FailureDomain, l turmericshed.LeaseID) string {
	return MarkerPrefix + string(d) + "/" + string(l)
}

// Elsewhere sums up the lots that stand in holdings.
type Elsewhere struct {
	Charge   turmericshed.Tokens `json:"charge,omitempty"`
	Used     turmericshed.Tokens `json:"used,omitempty"`
	Requests int64               `json:"requests,omitempty"`
	// Rate is the holders' demand in tokens per second.
	Rate int64 `json:"rate,omitempty"`
	// Holders counts the holders with lots.
	Holders int `json:"holders,omitempty"`
}

// sumLots returns what lots add to the sums.
func sumLots(lots []Lot) Elsewhere {
	var e Elsewhere
	rates := make(map[turmericshed.Incarnation]int64, len(lots))
	for _, l := range lots {
		e.Charge += l.Charge()
		e.Used += l.Used
		e.Requests += l.Requests
		// The newest lot tells the demand of now.
		rates[l.Holder] = l.Rate
	}
	for _, r := range rates {
		e.Rate += r
	}
	e.Holders = len(rates)
	return e
}

func (e Elsewhere) plus(o Elsewhere) Elsewhere {
	return Elsewhere{
		Charge: e.Charge + o.Charge, Used: e.Used + o.Used, Requests: e.Requests + o.Requests, Rate: e.Rate + o.Rate, Holders: e.Holders + o.Holders,
	}
}

func (e Elsewhere) minus(o Elsewhere) Elsewhere {
	return Elsewhere{
		Charge: e.Charge - o.Charge, Used: e.Used - o.Used, Requests: e.Requests - o.Requests, Rate: e.Rate - o.Rate, Holders: e.Holders - o.Holders,
	}
}

// valid reports whether lots may have these sums.
func (e Elsewhere) valid() bool {
	return e.Charge >= 0 && e.Used >= 0 && e.Used <= e.Charge && e.Requests >= 0 && e.Holders >= 0
}

// HoldingVM is what a holding says of one entry VM.
type HoldingVM struct {
	// Incarnation is the process that stands for the entry VM.
	Incarnation turmericshed.Incarnation `json:"incarnation"`
	// Sequence is that of the process's last declaration, Lease the lease that
	// it is bound to, and Since when the process learned of that lease, by the
	// entry VM's time of day.
	Sequence int64                `json:"sequence,omitempty"`
	Lease    turmericshed.LeaseID `json:"lease,omitempty"`
	Since    time.Time            `json:"since,omitzero"`
}

// Holding is what the holders of one failure domain hold.
type Holding struct {
	VMs  map[string]HoldingVM
	Lots map[turmericshed.BudgetID][]Lot
	// Most is how far a lot may be used; nothing of a lot that is not listed.
	Most  map[turmericshed.LotID]turmericshed.Tokens
	Pools map[turmericshed.BudgetID]Pool
}

// Pool is what a domain has of a budget beside its holders' lots.
type Pool struct {
	// Free was drawn from the ledger and is nobody's, Target what it was when
	// the ledger was last written.
	Free   turmericshed.Tokens `json:"free,omitempty"`
	Target turmericshed.Tokens `json:"target,omitempty"`
	// Used and Requests are of lots that ended, which the ledger counts as open.
	Used     turmericshed.Tokens `json:"used,omitempty"`
	Requests int64               `json:"requests,omitempty"`
	// Counted is what the ledger counts for this holding.
	Counted Elsewhere `json:"counted"`
}

// totals returns what the holding has of the budget.
func (p Pool) totals(lots []Lot) Elsewhere {
	return sumLots(lots).plus(Elsewhere{Charge: p.Free + p.Used, Used: p.Used, Requests: p.Requests})
}

// clone returns a copy whose maps are its own; the lists of lots are shared
// and never changed in place.
func (h Holding) clone() Holding {
	return Holding{VMs: maps.Clone(h.VMs), Lots: maps.Clone(h.Lots), Most: maps.Clone(h.Most), Pools: maps.Clone(h.Pools)}
}

// Of returns the lots of one process, by budget.
func (h Holding) Of(in turmericshed.Incarnation) map[turmericshed.BudgetID][]Lot {
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

// Join returns the ledger with lots of a holding in it, which are part of its
// sums. A ledger that was read at another time than the holding may count
// less; then the rest counts as nothing.
func (l Ledger) Join(lots []Lot) Ledger {
	l = l.clone()
	rest := l.Elsewhere.minus(sumLots(lots))
	l.Elsewhere = Elsewhere{
		Charge: max(rest.Charge, 0), Used: max(rest.Used, 0), Requests: max(rest.Requests, 0), Rate: max(rest.Rate, 0), Holders: max(rest.Holders, 0),
	}
	l.Lots = append(l.Lots, lots...)
	return l
}

// Change is what one holder wants written to one ledger.
type Change struct {
	Budget  turmericshed.BudgetID
	Profile turmericshed.ProfileName
	// Prepaid makes the ledger or raises its amount; a lower amount, as in an
	// older edit, changes nothing.
	Prepaid turmericshed.Tokens
	Reports []Report
	// Draw asks for a lot, if set.
	Draw *DrawRequest
	// Withdraw, if set, ends a lot unused that may have been drawn.
	Withdraw turmericshed.LotID
	// Urgent is true when callers wait for the outcome.
	Urgent bool
}

// apply makes the change. A draw that is refused does not hold up the rest:
// then the error is returned only if nothing else changes.
func (c Change) apply(l *Ledger) (bool, error) {
	changed := false
	if c.Prepaid > l.Prepaid {
		l.Prepaid, changed = c.Prepaid, true
	}
	for _, r := range c.Reports {
		changed = settleReport(l, r) || changed
	}
	if i := index(l.Lots, c.Withdraw); c.Withdraw != "" && i >= 0 {
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

// sortedBudgets returns the budgets in order.
func sortedBudgets[V any](m map[turmericshed.BudgetID]V) []turmericshed.BudgetID {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[turmericshed.BudgetID])
}
