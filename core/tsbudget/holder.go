package tsbudget

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"turmericshed"
)

// lot is an amount that this holder may spend. What was drawn is either
// returned, used, held by reservations, lent to peers, or available.
type lot struct {
	Lot
	// lender is the incarnation that lent the amount; empty for a lot drawn
	// from the ledger.
	lender   turmericshed.Incarnation
	reserved turmericshed.Tokens
	// lent is held by peers; loans has the details.
	lent turmericshed.Tokens
	// reported is what the ledger, or the lender, has acknowledged.
	reported Report
	// retired lots take no new reservations or loans.
	retired bool
}

func (l *lot) available() turmericshed.Tokens {
	if l.retired {
		return 0
	}
	return l.free()
}

func (l *lot) free() turmericshed.Tokens {
	return l.Charge() - l.Used - l.reserved - l.lent
}

func (l *lot) check() {
	turmericshed.Assert(l.free() >= 0 && l.reserved >= 0 && l.lent >= 0 && l.Used >= 0 && l.Returned >= 0, "holder_within_lot",
		"lot %s: drawn %d returned %d used %d reserved %d lent %d", l.ID, l.Drawn, l.Returned, l.Used, l.reserved, l.lent)
}

// reservedPart is what a reservation takes from one lot.
type reservedPart struct {
	lot    *lot
	amount turmericshed.Tokens
}

type reservation struct {
	parts     []reservedPart
	amount    turmericshed.Tokens
	suspended bool
}

// loan is an amount lent to a peer, in the terms of the borrower's reports.
type loan struct {
	lot *lot
	Lot
}

// balance is what the holder has of one budget.
type balance struct {
	profile      turmericshed.ProfileName
	lots         []*lot
	reservations map[string]*reservation
	loans        map[turmericshed.LotID]*loan
	// endedLoans are the ids of the last loans that were repaid.
	endedLoans      []turmericshed.LotID
	demand          demand
	lastReservation int
}

// View is what a placement decides from, as far as the holder knows it.
func (h *Holder) View(now time.Time, budget turmericshed.BudgetID) View {
	v := View{Now: now}
	b, ok := h.balances[budget]
	if !ok {
		return v
	}
	for _, l := range b.lots {
		v.Available += l.available()
		v.Reserved += l.reserved
		v.Lent += l.lent
		v.Dirty = v.Dirty || l.Used != l.reported.Used || l.Returned != l.reported.Returned
	}
	for _, r := range b.reservations {
		if r.suspended {
			v.Suspended += r.amount
		}
	}
	v.Typical = turmericshed.Tokens(b.demand.typical)
	v.Rate, v.Largest, v.Arriving = b.demand.rate(now), turmericshed.Tokens(b.demand.largest), b.demand.recentRate(now)
	if !b.demand.lastSeen.IsZero() {
		v.Idle = now.Sub(b.demand.lastSeen)
	}
	return v
}

// Holder spends from lots in memory. It is pure and not safe for concurrent
// use. Every operation asserts that no lot gives out more than was drawn.
type Holder struct {
	self     turmericshed.Incarnation
	balances map[turmericshed.BudgetID]*balance
	// Ceilings bound the use of lots while the store may hold them.
	Ceilings Ceilings
}

// NewHolder returns the holder of one incarnation.
func NewHolder(self turmericshed.Incarnation) *Holder {
	return &Holder{self: self, balances: make(map[turmericshed.BudgetID]*balance)}
}

func (h *Holder) balance(id turmericshed.BudgetID) *balance {
	b := h.balances[id]
	if b == nil {
		b = &balance{reservations: make(map[string]*reservation), loans: make(map[turmericshed.LotID]*loan)}
		h.balances[id] = b
	}
	return b
}

// Budgets returns the budgets that the holder knows, in order.
func (h *Holder) Budgets() []turmericshed.BudgetID {
	ids := make([]turmericshed.BudgetID, 0, len(h.balances))
	for id := range h.balances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Forget drops a budget in which nothing is held. It reports whether it did.
func (h *Holder) Forget(id turmericshed.BudgetID) bool {
	if b, ok := h.balances[id]; ok && len(b.lots) > 0 {
		return false
	}
	delete(h.balances, id)
	return true
}

// AddLot takes a lot that was drawn from the ledger, or borrowed from lender
// when that is set. A known lot is left as it is.
func (h *Holder) AddLot(budget turmericshed.BudgetID, l Lot, lender turmericshed.Incarnation) {
	turmericshed.Assert(l.Holder == h.self, "own_lot", "lot %s of %s at %s", l.ID, l.Holder, h.self)
	turmericshed.Assert(l.Drawn > 0 && l.Used == 0 && l.Returned == 0, "fresh_lot", "lot %s drawn %d used %d", l.ID, l.Drawn, l.Used)
	b := h.balance(budget)
	for _, known := range b.lots {
		if known.ID == l.ID {
			return
		}
	}
	b.lots = append(b.lots, &lot{Lot: l, lender: lender})
	if b.demand.lastSeen.Before(l.At) {
		b.demand.lastSeen = l.At
	}
}

// Holds reports whether a lot is held.
func (h *Holder) Holds(budget turmericshed.BudgetID, id turmericshed.LotID) bool {
	b, ok := h.balances[budget]
	return ok && slices.ContainsFunc(b.lots, func(l *lot) bool { return l.ID == id })
}

// Available returns what can be reserved now.
func (h *Holder) Available(budget turmericshed.BudgetID) turmericshed.Tokens {
	var sum turmericshed.Tokens
	if b, ok := h.balances[budget]; ok {
		for _, l := range b.lots {
			sum += l.available()
		}
	}
	return sum
}

// Reserve takes n tokens, over several lots if need be, or nothing. It
// reports whether there were enough.
func (h *Holder) Reserve(now time.Time, p turmericshed.Profile, request turmericshed.RequestID, n turmericshed.Tokens) (turmericshed.Reservation, bool) {
	var none turmericshed.Reservation
	if n < 0 {
		return none, false
	}
	b := h.balance(p.Budget)
	b.profile = p.Name
	if h.spendableOf(now, b) < n {
		return none, false
	}
	r := &reservation{amount: n}
	for _, l := range b.lots {
		if n == 0 {
			break
		}
		if take := min(n, h.spendableIn(now, l)); take > 0 {
			l.reserved += take
			l.check()
			r.parts = append(r.parts, reservedPart{lot: l, amount: take})
			n -= take
		}
	}
	turmericshed.Assert(n == 0, "reservation_covered", "budget %s: %d tokens not covered", p.Budget, n)
	b.lastReservation++
	id := string(h.self) + "/" + strconv.Itoa(b.lastReservation)
	b.reservations[id] = r
	b.demand.reserve(now, r.amount)
	res := turmericshed.Reservation{ID: id, Profile: p.Name, Budget: p.Budget, Request: request, Amount: r.amount}
	if len(r.parts) > 0 {
		res.Lot = r.parts[0].lot.ID
	}
	return res, true
}

// Missed counts a request that was refused as demand, so that tokens are
// fetched for those that follow.
func (h *Holder) Missed(now time.Time, budget turmericshed.BudgetID, n turmericshed.Tokens) {
	h.balance(budget).demand.reserve(now, n)
}

// spendableIn returns what may be taken from a lot now.
func (h *Holder) spendableIn(now time.Time, l *lot) turmericshed.Tokens {
	n := l.available()
	if most, ok := h.Ceilings.Most(now, l.ID); ok {
		n = min(n, max(most-l.Used-l.reserved-l.lent, 0))
	}
	return n
}

func (h *Holder) spendableOf(now time.Time, b *balance) turmericshed.Tokens {
	var sum turmericshed.Tokens
	for _, l := range b.lots {
		sum += h.spendableIn(now, l)
	}
	return sum
}

// Spendable returns what can be reserved now: what is available below the
// ceilings.
func (h *Holder) Spendable(now time.Time, budget turmericshed.BudgetID) turmericshed.Tokens {
	if b, ok := h.balances[budget]; ok {
		return h.spendableOf(now, b)
	}
	return 0
}

// Settle bills a reservation, once: used tokens are charged to its lots and
// the rest is available again.
func (h *Holder) Settle(now time.Time, res turmericshed.Reservation, used turmericshed.Tokens) {
	b := h.balance(res.Budget)
	r, ok := b.reservations[res.ID]
	turmericshed.Assert(ok, "billed_once", "reservation %s of request %s is not open", res.ID, res.Request)
	turmericshed.Assert(used >= 0 && used <= r.amount, "usage_within_reservation", "reservation %s: used %d of %d", res.ID, used, r.amount)
	delete(b.reservations, res.ID)
	b.demand.settle(now, used)
	rest := used
	for i, p := range r.parts {
		n := min(rest, p.amount)
		rest -= n
		p.lot.reserved -= p.amount
		p.lot.Used += n
		if i == 0 {
			p.lot.Requests++
		}
		p.lot.check()
	}
	turmericshed.Assert(rest == 0, "usage_charged", "reservation %s: %d tokens not charged", res.ID, rest)
}

// Suspend marks a reservation whose true usage is not known. Its whole amount
// stays charged until Settle.
func (h *Holder) Suspend(res turmericshed.Reservation) {
	r, ok := h.balance(res.Budget).reservations[res.ID]
	turmericshed.Assert(ok, "suspend_open", "reservation %s of request %s is not open", res.ID, res.Request)
	r.suspended = true
}

// Retire gives back what is available beyond keep. It takes effect here at
// once and reaches the ledger with the next report.
func (h *Holder) Retire(budget turmericshed.BudgetID, keep turmericshed.Tokens) turmericshed.Tokens {
	b, ok := h.balances[budget]
	if !ok {
		return 0
	}
	excess := max(h.Available(budget)-max(keep, 0), 0)
	total := excess
	// The newest lots are given back first, so that old ones empty and end.
	for i := len(b.lots) - 1; i >= 0 && excess > 0; i-- {
		l := b.lots[i]
		n := min(excess, l.available())
		l.Returned += n
		excess -= n
		l.check()
	}
	return total
}

// Reports returns what the ledger has not acknowledged about drawn lots, in
// the order of their ids. Lots in which nothing is left are final. With
// final set every lot ends: what is reserved or suspended is forfeited, and
// what peers borrowed goes on as lots of theirs.
func (h *Holder) Reports(budget turmericshed.BudgetID, final bool) []Report {
	b, ok := h.balances[budget]
	if !ok {
		return nil
	}
	return b.reports("", final)
}

// ReportsTo returns the reports about lots that the lender lent.
func (h *Holder) ReportsTo(budget turmericshed.BudgetID, lender turmericshed.Incarnation, final bool) []Report {
	b, ok := h.balances[budget]
	if !ok || lender == "" {
		return nil
	}
	return b.reports(lender, final)
}

// Lenders returns the incarnations that lent this holder tokens, in order.
func (h *Holder) Lenders(budget turmericshed.BudgetID) []turmericshed.Incarnation {
	var ids []turmericshed.Incarnation
	if b, ok := h.balances[budget]; ok {
		for _, l := range b.lots {
			if l.lender != "" && !slices.Contains(ids, l.lender) {
				ids = append(ids, l.lender)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

func (b *balance) reports(lender turmericshed.Incarnation, final bool) []Report {
	var reports []Report
	for _, l := range b.lots {
		if l.lender != lender {
			continue
		}
		if final {
			l.retired = true
			l.Returned += l.free()
			l.check()
		}
		r := Report{Lot: l.ID, Used: l.Used, Returned: l.Returned, Requests: l.Requests}
		r.Final = final || (l.free() == 0 && l.reserved == 0 && l.lent == 0)
		if final {
			r.Split = b.split(l)
		}
		if r.Final || r.Used != l.reported.Used || r.Returned != l.reported.Returned {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Lot, b.Lot) })
	return reports
}

// split returns the loans of a lot that ends, as lots of the borrowers.
func (b *balance) split(l *lot) []Lot {
	var parts []Lot
	for _, n := range b.loans {
		if n.lot == l && n.Charge() > 0 {
			parts = append(parts, n.Lot)
		}
	}
	slices.SortFunc(parts, func(a, b Lot) int { return cmp.Compare(a.ID, b.ID) })
	return parts
}

// Acknowledge takes note that reports stand in the ledger, or at the lender.
// Final lots are dropped.
func (h *Holder) Acknowledge(budget turmericshed.BudgetID, reports []Report) {
	b, ok := h.balances[budget]
	if !ok {
		return
	}
	for _, r := range reports {
		i := slices.IndexFunc(b.lots, func(l *lot) bool { return l.ID == r.Lot })
		if i < 0 {
			continue
		}
		l := b.lots[i]
		l.reported = r
		if r.Final {
			l.retired = true
			b.lots = append(b.lots[:i], b.lots[i+1:]...)
			b.dropLoans(l)
		}
	}
}

func (b *balance) dropLoans(l *lot) {
	for id, n := range b.loans {
		if n.lot == l {
			b.endLoan(id)
		}
	}
}
