package tsbudget

import (
	"slices"
	"time"

	"turmericshed"
)

// A peer may borrow tokens from a lot. In the ledger the loan stays part of the lender's lot, so
// no write is needed. The borrower reports to the lender as a holder reports to the ledger, in
// cumulative amounts under the loan's id. A lost answer makes at most the loan unusable, and only
// until the borrower retries under the same id. A lender that stops hands its loans over to the
// ledger as lots of the borrowers.

// LoanRequest requests tokens from a peer. The id is chosen before the first call and reused for
// retries.
type LoanRequest struct {
	Loan          turmericshed.LotID
	Borrower      turmericshed.Incarnation
	FailureDomain turmericshed.FailureDomain
	Want          turmericshed.Tokens
	Min           turmericshed.Tokens
	// Keep is the part of its available tokens that the lender does not lend.
	Keep turmericshed.Tokens
}

// Lend lends tokens of one lot to a peer. A request for a known loan gets the same answer again.
// It returns false if less than Min can be lent.
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

// lendable returns the drawn lot with the most available tokens. Borrowed lots are not lent to
// others.
func (b *balance) lendable() *heldLot {
	var best *heldLot
	for _, l := range b.lots {
		if l.lender == "" && l.available() > 0 && (best == nil || l.available() > best.available()) {
			best = l
		}
	}
	return best
}

// Repay applies a borrower's reports. It returns the ids of the reports that were applied, and of
// those whose loan does not exist here any more: the borrower sends these to the ledger, where the
// loan became a separate lot or was closed with the lender's lot. Reports in neither list are
// about a lot that is being closed; the borrower retries them later.
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
		// Tokens that were neither used nor returned stay charged to the lot, like a reservation
		// that is never settled.
		rest := n.Charge() - n.Used
		l.lent -= rest
		l.reserved += rest
		b.endLoan(n.ID)
	}
	l.check()
}

// maxEndedLoans bounds the stored ids of ended loans, with which delayed requests are recognized.
const maxEndedLoans = 64

// endLoan drops a loan and stores its id, so that a delayed duplicate of the request does not lend
// the tokens again.
func (b *balance) endLoan(id turmericshed.LotID) {
	delete(b.loans, id)
	b.endedLoans = append(b.endedLoans, id)
	if over := len(b.endedLoans) - maxEndedLoans; over > 0 {
		b.endedLoans = b.endedLoans[over:]
	}
}

// Lent returns the amount of the budget that is lent to peers.
func (h *Holder) Lent(budget turmericshed.BudgetID) turmericshed.Tokens {
	var sum turmericshed.Tokens
	if b, ok := h.balances[budget]; ok {
		for _, l := range b.lots {
			sum += l.lent
		}
	}
	return sum
}
