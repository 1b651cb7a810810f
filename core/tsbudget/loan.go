package tsbudget

import (
	"slices"
	"time"

	"turmericshed"
)

// A peer may borrow tokens from a lot. The loan stays inside the lender's
// lot in the ledger, so that no write is needed; the borrower reports to the
// lender as a holder reports to the ledger, in cumulative amounts under the
// loan's id. A lost answer burns at most the loan, and only until the
// borrower asks again under the same id. A lender that stops hands its loans
// to the ledger as lots of the borrowers.

// LoanRequest asks a peer for tokens. The id is made before the first call
// and kept over retries.
type LoanRequest struct {
	Loan          turmericshed.LotID
	Borrower      turmericshed.Incarnation
	FailureDomain turmericshed.FailureDomain
	Want          turmericshed.Tokens
	Min           turmericshed.Tokens
	// Keep is what the lender does not lend of its available tokens.
	Keep turmericshed.Tokens
}

// Lend takes tokens out of one lot for a peer. A known loan is answered as it
// was. It reports false when less than Min can be lent.
func (h *Holder) Lend(now time.Time, budget turmericshed.BudgetID, r LoanRequest) (Lot, bool) {
	b, ok := h.balances[budget]
	if !ok {
		return Lot{}, false
	}
	if known, ok := b.loans[r.Loan]; ok {
		return known.Lot, known.Holder == r.Borrower
	}
	best := b.lendable()
	if best == nil || slices.Contains(b.endedLoans, r.Loan) {
		return Lot{}, false
	}
	n := min(max(r.Want, r.Min), best.available(), h.Available(budget)-r.Keep)
	if n < max(r.Min, 1) {
		return Lot{}, false
	}
	best.lent += n
	best.check()
	l := &loan{lot: best, Lot: Lot{ID: r.Loan, Holder: r.Borrower, FailureDomain: r.FailureDomain, Drawn: n, At: now.UTC()}}
	b.loans[r.Loan] = l
	b.demand.reserve(now, max(r.Min, 1))
	b.demand.settle(now, n)
	return l.Lot, true
}

// lendable returns the drawn lot with the most available tokens. Borrowed
// lots are not lent on.
func (b *balance) lendable() *lot {
	var best *lot
	for _, l := range b.lots {
		if l.lender == "" && l.available() > 0 && (best == nil || l.available() > best.available()) {
			best = l
		}
	}
	return best
}

// Repay takes a borrower's reports. It returns the ids of those that were
// taken, and of those whose loan is not known here any more: they go to the
// ledger, where the loan became a lot of its own or was closed with the
// lender's lot. Reports in neither list come again later, since their lot is
// being ended.
func (h *Holder) Repay(now time.Time, budget turmericshed.BudgetID, reports []Report) (taken, unknown []turmericshed.LotID) {
	b, ok := h.balances[budget]
	for _, r := range reports {
		switch {
		case !ok || b.loans[r.Lot] == nil:
			unknown = append(unknown, r.Lot)
		case !b.loans[r.Lot].lot.retired:
			b.repay(now, b.loans[r.Lot], r)
			taken = append(taken, r.Lot)
		}
	}
	return taken, unknown
}

func (b *balance) repay(now time.Time, n *loan, r Report) {
	old := n.Lot
	mergeReport(&n.Lot, r)
	l := n.lot
	used, back := n.Used-old.Used, n.Returned-old.Returned
	l.lent -= used + back
	l.Used += used
	l.Requests += n.Requests - old.Requests
	b.demand.settle(now, -back)
	if r.Final {
		// What was neither used nor returned stays charged to the lot, as
		// a reservation that nothing will settle.
		rest := n.Charge() - n.Used
		l.lent -= rest
		l.reserved += rest
		b.endLoan(n.ID)
	}
	l.check()
}

// maxEndedLoans bounds the ids kept against requests that arrive late.
const maxEndedLoans = 64

// endLoan drops a loan and remembers its id, so that a late copy of the
// request does not take it out again.
func (b *balance) endLoan(id turmericshed.LotID) {
	delete(b.loans, id)
	b.endedLoans = append(b.endedLoans, id)
	if over := len(b.endedLoans) - maxEndedLoans; over > 0 {
		b.endedLoans = b.endedLoans[over:]
	}
}

// Lent returns what peers hold of the budget.
func (h *Holder) Lent(budget turmericshed.BudgetID) turmericshed.Tokens {
	var sum turmericshed.Tokens
	if b, ok := h.balances[budget]; ok {
		for _, l := range b.lots {
			sum += l.lent
		}
	}
	return sum
}
