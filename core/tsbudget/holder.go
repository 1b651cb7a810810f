package tsbudget

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"turmericshed"
)

// heldLot is an amount that this holder may spend. Every drawn token is either returned, used,
// reserved, lent to a peer, or available.
type heldLot struct {
	Lot
	// lender is the incarnation that lent the amount; empty for a lot drawn from the ledger.
	lender   turmericshed.Incarnation
	reserved turmericshed.Tokens
	// lent is the amount lent to peers, see balance.loans.
	lent turmericshed.Tokens
	// reported is the last report that the ledger or the lender acknowledged.
	reported Report
	// retired lots accept no new reservations or loans.
	retired bool
	// era is the store's latest era in which the holding had the lot.
	era uint64
}

func (l *heldLot) available() turmericshed.Tokens {
	if l.retired {
		return 0
	}
	return l.free()
}

func (l *heldLot) free() turmericshed.Tokens {
	return l.Charge() - l.Used - l.reserved - l.lent
}

func (l *heldLot) check() {
	turmericshed.Assert(l.free() >= 0 && l.reserved >= 0 && l.lent >= 0 && l.Used >= 0 && l.Returned >= 0, "holder_within_lot",
		"lot %s: drawn %d returned %d used %d reserved %d lent %d", l.ID, l.Drawn, l.Returned, l.Used, l.reserved, l.lent)
}

// reservedPart is the amount that a reservation takes from one lot.
type reservedPart struct {
	lot    *heldLot
	amount turmericshed.Tokens
}

type reservation struct {
	parts     []reservedPart
	amount    turmericshed.Tokens
	suspended bool
}

// loan is an amount lent to a peer. Its Lot has the amounts that the borrower reported.
type loan struct {
	lot *heldLot
	Lot
}

// balance is the holder's state of one budget.
type balance struct {
	profile      turmericshed.ProfileName
	lots         []*heldLot
	reservations map[string]*reservation
	loans        map[turmericshed.LotID]*loan
	// endedLoans are the ids of the most recently ended loans.
	endedLoans      []turmericshed.LotID
	demand          demand
	lastReservation int
	// allowance is the least of the free amount that the ceilings permit to use.
	allowance turmericshed.Tokens
}

// View returns the input of a placement, as far as the holder has it.
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
		v.Unreported += l.Used - l.reported.Used
		v.Returning += l.Returned - l.reported.Returned
		v.HasUnreported = v.HasUnreported || l.Used != l.reported.Used || l.Returned != l.reported.Returned
	}
	for _, r := range b.reservations {
		if r.suspended {
			v.Suspended += r.amount
		}
	}
	v.TypicalRequest = turmericshed.Tokens(b.demand.typical)
	v.Rate, v.LargestRequest, v.RecentRate = b.demand.rate(now), turmericshed.Tokens(b.demand.largest), b.demand.recentRate(now)
	v.SteadyRate = b.demand.steadyRate(now)
	if !b.demand.lastSeen.IsZero() {
		v.Idle = now.Sub(b.demand.lastSeen)
	}
	return v
}

// Holder spends from lots in memory. It does no I/O and is not safe for concurrent use. Every
// operation asserts that no more than the drawn amount of a lot is spent.
type Holder struct {
	self     turmericshed.Incarnation
	balances map[turmericshed.BudgetID]*balance
	// Ceilings limit the use of lots while a declaration may be in force in the store.
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

// Budgets returns the holder's budgets in ascending order.
func (h *Holder) Budgets() []turmericshed.BudgetID {
	ids := make([]turmericshed.BudgetID, 0, len(h.balances))
	for id := range h.balances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Forget drops a budget unless the holder has lots of it, and reports whether the budget is
// dropped.
func (h *Holder) Forget(id turmericshed.BudgetID) bool {
	if b, ok := h.balances[id]; ok && len(b.lots) > 0 {
		return false
	}
	delete(h.balances, id)
	return true
}

// AddLot adds a lot that was drawn from the ledger, or borrowed from lender if that is set. A lot
// that the holder already has is left unchanged.
func (h *Holder) AddLot(budget turmericshed.BudgetID, l Lot, lender turmericshed.Incarnation) {
	turmericshed.Assert(l.Holder == h.self, "own_lot", "lot %s of %s at %s", l.ID, l.Holder, h.self)
	turmericshed.Assert(l.Drawn > 0 && l.Used == 0 && l.Returned == 0, "fresh_lot", "lot %s drawn %d used %d", l.ID, l.Drawn, l.Used)
	b := h.balance(budget)
	for _, known := range b.lots {
		if known.ID == l.ID {
			return
		}
	}
	b.lots = append(b.lots, &heldLot{Lot: l, lender: lender})
	if b.demand.lastSeen.Before(l.At) {
		b.demand.lastSeen = l.At
	}
}

// Holds reports whether the holder has the lot.
func (h *Holder) Holds(budget turmericshed.BudgetID, id turmericshed.LotID) bool {
	b, ok := h.balances[budget]
	return ok && slices.ContainsFunc(b.lots, func(l *heldLot) bool { return l.ID == id })
}

// ConfirmLots records that the holding has the lots in an era of the store.
func (h *Holder) ConfirmLots(budget turmericshed.BudgetID, lots []Lot, era uint64) {
	b, ok := h.balances[budget]
	if !ok {
		return
	}
	for _, l := range b.lots {
		if l.era < era && indexOfLot(lots, l.ID) >= 0 {
			l.era = era
		}
	}
}

// ForgottenLots returns the drawn lots that the holding had in earlier eras of the store only.
func (h *Holder) ForgottenLots(budget turmericshed.BudgetID, era uint64) []Lot {
	b, ok := h.balances[budget]
	if !ok {
		return nil
	}
	var lots []Lot
	for _, l := range b.lots {
		if l.lender == "" && l.era < era {
			lots = append(lots, l.Lot)
		}
	}
	return lots
}

// Available returns the amount that is neither used, reserved, lent nor returned, regardless of
// ceilings.
func (h *Holder) Available(budget turmericshed.BudgetID) turmericshed.Tokens {
	var sum turmericshed.Tokens
	if b, ok := h.balances[budget]; ok {
		for _, l := range b.lots {
			sum += l.available()
		}
	}
	return sum
}

// Reserve reserves n tokens, over several lots if necessary, or nothing. It reports whether there
// were enough.
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

// CountRefused counts a refused request as demand, so that tokens are drawn for later requests.
func (h *Holder) CountRefused(now time.Time, budget turmericshed.BudgetID, n turmericshed.Tokens) {
	h.balance(budget).demand.reserve(now, n)
}

// spendableIn returns the amount of a lot that can be reserved now.
func (h *Holder) spendableIn(now time.Time, l *heldLot) turmericshed.Tokens {
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

// Spendable returns the amount that can be reserved now: the available amount below the ceilings.
func (h *Holder) Spendable(now time.Time, budget turmericshed.BudgetID) turmericshed.Tokens {
	if b, ok := h.balances[budget]; ok {
		return h.spendableOf(now, b)
	}
	return 0
}

// Settle bills a reservation, once: the used tokens are charged to its lots and the others become
// available again.
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

// Suspend marks a reservation whose actual usage is unknown. Its whole amount stays charged until
// Settle.
func (h *Holder) Suspend(res turmericshed.Reservation) {
	r, ok := h.balance(res.Budget).reservations[res.ID]
	turmericshed.Assert(ok, "suspend_open", "reservation %s of request %s is not open", res.ID, res.Request)
	r.suspended = true
}

// ReturnSurplus releases the available tokens beyond keep to the budget and returns their number. They
// are unavailable to this holder at once and reach the ledger with the next report.
func (h *Holder) ReturnSurplus(budget turmericshed.BudgetID, keep turmericshed.Tokens) turmericshed.Tokens {
	b, ok := h.balances[budget]
	if !ok {
		return 0
	}
	excess := max(h.Available(budget)-max(keep, 0), 0)
	total := excess
	// The newest lots are returned first, so that older ones are used up and closed.
	for i := len(b.lots) - 1; i >= 0 && excess > 0; i-- {
		l := b.lots[i]
		n := min(excess, l.available())
		l.Returned += n
		excess -= n
		l.check()
	}
	return total
}

// Reports returns the unacknowledged reports on drawn lots, in the order of lot ids. A lot with no
// token left is reported as final. If final is set, every lot is closed: reserved and suspended
// amounts are forfeited, and loans become lots of the borrowers.
func (h *Holder) Reports(budget turmericshed.BudgetID, final bool) []Report {
	b, ok := h.balances[budget]
	if !ok {
		return nil
	}
	return b.reports("", final)
}

// ReportsTo returns the reports on lots that the lender lent.
func (h *Holder) ReportsTo(budget turmericshed.BudgetID, lender turmericshed.Incarnation, final bool) []Report {
	b, ok := h.balances[budget]
	if !ok || lender == "" {
		return nil
	}
	return b.reports(lender, final)
}

// Lenders returns the incarnations that lent tokens to this holder, in ascending order.
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

// split returns the loans of a lot that is being closed, as lots of the borrowers.
func (b *balance) split(l *heldLot) []Lot {
	var parts []Lot
	for _, n := range b.loans {
		if n.lot == l && n.Charge() > 0 {
			parts = append(parts, n.Lot)
		}
	}
	slices.SortFunc(parts, func(a, b Lot) int { return cmp.Compare(a.ID, b.ID) })
	return parts
}

// Acknowledge records that the ledger or the lender has taken the reports. Final lots are dropped.
func (h *Holder) Acknowledge(budget turmericshed.BudgetID, reports []Report) {
	b, ok := h.balances[budget]
	if !ok {
		return
	}
	for _, r := range reports {
		i := slices.IndexFunc(b.lots, func(l *heldLot) bool { return l.ID == r.Lot })
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

func (b *balance) dropLoans(l *heldLot) {
	for id, n := range b.loans {
		if n.lot == l {
			b.endLoan(id)
		}
	}
}
