package tsholder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tspeerapi"
)

// maxAsked is how many peers are asked for tokens in one round.
const maxAsked = 4

// Handler returns the path and handler of the peers' calls.
func (h *Holder) Handler() (string, http.Handler) {
	return tspeerapi.NewBudgetServiceHandler(service{h})
}

// service answers the peers' calls.
type service struct{ h *Holder }

// Lend takes tokens out of a lot for a peer; it fetches more and tries again
// within the call's deadline.
func (s service) Lend(ctx context.Context, r *connect.Request[tspeerapi.LendRequest]) (*connect.Response[tspeerapi.LendResponse], error) {
	m := r.Msg
	if m.Lender != string(s.h.cfg.Self.Incarnation) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, turmericshed.NewError(turmericshed.KindNotFound, "not this incarnation"))
	}
	amount := s.h.lend(ctx, turmericshed.BudgetID(m.Budget), tsbudget.LoanRequest{
		Loan: turmericshed.LotID(m.Loan), Borrower: turmericshed.Incarnation(m.Borrower), FailureDomain: turmericshed.FailureDomain(m.FailureDomain),
		Want: turmericshed.Tokens(m.Want), Min: turmericshed.Tokens(m.Min),
	})
	return connect.NewResponse(&tspeerapi.LendResponse{
		Amount: int64(amount), Ledger: s.h.summary(turmericshed.BudgetID(m.Budget)),
	}), nil
}

// summary tells a borrower what is known of the ledger, so that it need not
// read it.
func (h *Holder) summary(id turmericshed.BudgetID) *tspeerapi.LedgerSummary {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[id]
	if b == nil || !b.ledger.Read || b.storeErr != nil {
		return nil
	}
	l := b.ledger.FromLender(h.core.View(now, id).Rate)
	return &tspeerapi.LedgerSummary{
		Limit: int64(l.Limit), Room: int64(l.Room), Open: int64(l.Others), Rate: l.OthersRate, AgeMs: now.Sub(l.At).Milliseconds(),
	}
}

// takeSummaryLocked keeps a lender's summary that is newer than the own one.
// It reports whether the ledger was read while the call lasted.
func (h *Holder) takeSummaryLocked(b *budget, began time.Time, m *tspeerapi.LedgerSummary) bool {
	if m == nil {
		return false
	}
	at := time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond)
	if at.After(b.ledger.At) {
		b.ledger = tsbudget.Summary{
			Read: true, At: at, Limit: turmericshed.Tokens(m.Limit), Room: turmericshed.Tokens(m.Room),
			Others: turmericshed.Tokens(m.Open), OthersRate: m.Rate,
		}
		b.storeErr = nil
	}
	return !at.Before(began)
}

// Repay takes the reports of a borrower.
func (s service) Repay(_ context.Context, r *connect.Request[tspeerapi.RepayRequest]) (*connect.Response[tspeerapi.RepayResponse], error) {
	reports := make([]tsbudget.Report, 0, len(r.Msg.Reports))
	for _, m := range r.Msg.Reports {
		reports = append(reports, tsbudget.Report{
			Lot: turmericshed.LotID(m.Loan), Used: turmericshed.Tokens(m.Used), Returned: turmericshed.Tokens(m.Returned),
			Requests: m.Requests, Final: m.Final,
		})
	}
	out := &tspeerapi.RepayResponse{}
	if r.Msg.Lender != string(s.h.cfg.Self.Incarnation) {
		for _, rep := range reports {
			out.Unknown = append(out.Unknown, string(rep.Lot))
		}
		return connect.NewResponse(out), nil
	}
	now := time.Now()
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	id := turmericshed.BudgetID(r.Msg.Budget)
	taken, unknown := s.h.core.Repay(now, id, reports)
	if b := s.h.budgets[id]; b != nil {
		s.h.grantLocked(now, b)
	}
	for _, t := range taken {
		out.Taken = append(out.Taken, string(t))
	}
	for _, u := range unknown {
		out.Unknown = append(out.Unknown, string(u))
	}
	return connect.NewResponse(out), nil
}

// lend tries to lend, then fetches more in one round and tries again.
func (h *Holder) lend(ctx context.Context, id turmericshed.BudgetID, r tsbudget.LoanRequest) turmericshed.Tokens {
	lot, finished, ok := h.tryLend(id, r, true)
	if finished == nil {
		return amountOf(lot, ok)
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
	lot, _, ok = h.tryLend(id, r, false)
	return amountOf(lot, ok)
}

func amountOf(l tsbudget.Lot, ok bool) turmericshed.Tokens {
	if !ok {
		return 0
	}
	return l.Drawn
}

// tryLend lends, or asks for a round and returns the channel that is closed
// after it.
func (h *Holder) tryLend(id turmericshed.BudgetID, r tsbudget.LoanRequest, fetch bool) (tsbudget.Lot, <-chan struct{}, bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[id]
	if b == nil || b.closed || h.draining {
		return tsbudget.Lot{}, nil, false
	}
	b.wanted = 0
	if lot, ok := h.core.Lend(now, id, r); ok {
		h.kickIfLowLocked(now, b)
		h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventTokensMoved, Profile: b.profile.Name, Lot: r.Loan, Tokens: lot.Drawn})
		return lot, nil, true
	}
	if !fetch || now.Before(b.nextDraw) {
		return tsbudget.Lot{}, nil, false
	}
	b.wanted = r.Want
	if b.waitRound == nil {
		b.waitRound = make(chan struct{})
	}
	h.kickLocked(b)
	return tsbudget.Lot{}, b.waitRound, false
}

// borrowFromHome borrows from the entry VM that holds the budget in this
// failure domain. It reports whether there is no point in drawing as well.
func (h *Holder) borrowFromHome(ctx context.Context, b *budget, d tsbudget.Decision) bool {
	h.mu.Lock()
	home := b.home
	h.mu.Unlock()
	if h.cfg.Peers == nil || home.Incarnation == "" || home.Incarnation == h.cfg.Self.Incarnation {
		return false
	}
	began := time.Now()
	n, fresh, _ := h.borrow(ctx, b, home, d.Want, d.Min)
	if n > 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The home has just read the ledger and found too little in it.
	return fresh && !b.ledger.At.Before(began) && b.ledger.Room < d.Min
}

// borrowAnywhere asks the holders of open lots, those of this failure domain
// first, for what the waiting requests need. It reports whether every holder
// could be asked.
func (h *Holder) borrowAnywhere(ctx context.Context, b *budget) bool {
	h.mu.Lock()
	v := h.viewLocked(time.Now(), b)
	if h.cfg.Peers == nil {
		h.mu.Unlock()
		return v.Ledger.OthersUnused <= 0
	}
	holders := make(map[turmericshed.Incarnation]turmericshed.Tokens)
	for _, l := range b.lots {
		if l.Holder != h.cfg.Self.Incarnation && l.Charge() > l.Used {
			holders[l.Holder] += l.Charge() - l.Used
		}
	}
	h.mu.Unlock()
	peers := h.askOrder(holders)
	all := len(peers) == len(holders)
	for i, vm := range peers {
		if i >= maxAsked || !h.stillShort(b) {
			break
		}
		if _, _, err := h.borrow(ctx, b, vm, v.Needed-min(v.Available, v.Needed-1), 1); err != nil {
			all = false
		}
	}
	return all
}

// askOrder returns the reachable holders, near ones first, then those with
// the largest lots.
func (h *Holder) askOrder(holders map[turmericshed.Incarnation]turmericshed.Tokens) []turmericshed.EntryVM {
	var peers []turmericshed.EntryVM
	for _, vm := range h.cfg.Members.Reachable() {
		if holders[vm.Incarnation] > 0 {
			peers = append(peers, vm)
		}
	}
	slices.SortStableFunc(peers, func(x, y turmericshed.EntryVM) int {
		xNear, yNear := x.FailureDomain == h.cfg.Self.FailureDomain, y.FailureDomain == h.cfg.Self.FailureDomain
		if xNear != yNear {
			if xNear {
				return -1
			}
			return 1
		}
		return int(holders[y.Incarnation] - holders[x.Incarnation])
	})
	return peers
}

// borrow asks one peer. A request whose answer was lost is repeated first,
// under its old id. It returns what was borrowed, and whether the peer read
// the ledger meanwhile.
func (h *Holder) borrow(ctx context.Context, b *budget, vm turmericshed.EntryVM, want, least turmericshed.Tokens) (turmericshed.Tokens, bool, error) {
	began := time.Now()
	h.mu.Lock()
	r := b.loan
	if r == nil {
		r = &unansweredLoan{lender: vm, LoanRequest: tsbudget.LoanRequest{
			Loan: turmericshed.LotID(h.cfg.NewID("loan-")), Borrower: h.cfg.Self.Incarnation, FailureDomain: h.cfg.Self.FailureDomain,
			Want: want, Min: least,
		}}
	}
	b.loan = r
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := h.client(r.lender).Lend(ctx, connect.NewRequest(&tspeerapi.LendRequest{
		Budget: string(b.id), Loan: string(r.Loan), Borrower: string(r.Borrower), FailureDomain: string(r.FailureDomain),
		Want: int64(r.Want), Min: int64(r.Min), Lender: string(r.lender.Incarnation),
	}))
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		// A lender that is gone, or another process by now, will not answer
		// any more; its lot is charged in full.
		if connect.CodeOf(err) == connect.CodeFailedPrecondition || h.cfg.Members.State(r.lender.Incarnation) != turmericshed.MemberAlive {
			b.loan = nil
		}
		return 0, false, turmericshed.WrapError(turmericshed.KindBudgetUnavailable, err, "lend")
	}
	b.loan = nil
	fresh := h.takeSummaryLocked(b, began, res.Msg.Ledger)
	n := turmericshed.Tokens(res.Msg.Amount)
	if n <= 0 {
		return 0, fresh, nil
	}
	h.lenders[r.lender.Incarnation] = r.lender.PeerAddr
	h.core.AddLot(b.id, tsbudget.Lot{ID: r.Loan, Holder: r.Borrower, FailureDomain: r.FailureDomain, Drawn: n, At: time.Now()}, r.lender.Incarnation)
	return n, fresh, nil
}

func (h *Holder) client(vm turmericshed.EntryVM) tspeerapi.BudgetServiceClient {
	c, base := h.cfg.Peers.Client(vm.PeerAddr)
	return tspeerapi.NewBudgetServiceClient(c, base)
}

// repay reports to the lenders. With final set every loan ends. It returns
// the first error.
func (h *Holder) repay(ctx context.Context, b *budget, final bool) error {
	h.mu.Lock()
	lenders := h.core.Lenders(b.id)
	h.mu.Unlock()
	var first error
	for _, in := range lenders {
		if err := h.repayOne(ctx, b, in, final); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// lenderGone reports whether a lender that did not answer is given up. A stop
// gives it up after a few attempts too: with the rest of the fleet stopping,
// nobody is left to confirm that it is gone. What it lent then stays charged.
func (h *Holder) lenderGone(lender turmericshed.Incarnation, final bool) bool {
	if h.cfg.Members.State(lender) != turmericshed.MemberAlive {
		return true
	}
	if !final {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered[lender]++
	return h.unanswered[lender] >= finalRepayAttempts
}

func (h *Holder) repayOne(ctx context.Context, b *budget, lender turmericshed.Incarnation, final bool) error {
	h.mu.Lock()
	reports := h.core.ReportsTo(b.id, lender, final)
	addr := h.lenders[lender]
	h.mu.Unlock()
	if len(reports) == 0 {
		return nil
	}
	req := &tspeerapi.RepayRequest{Budget: string(b.id), Lender: string(lender)}
	for _, r := range reports {
		req.Reports = append(req.Reports, &tspeerapi.LoanReport{
			Loan: string(r.Lot), Used: int64(r.Used), Returned: int64(r.Returned), Requests: r.Requests, Final: r.Final,
		})
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := h.client(turmericshed.EntryVM{PeerAddr: addr}).Repay(callCtx, connect.NewRequest(req))
	if err != nil {
		if !h.lenderGone(lender, final) {
			return turmericshed.WrapError(turmericshed.KindBudgetUnavailable, err, "repay")
		}
		// The lender is gone: where it could still hand its loans on, they
		// stand in the ledger.
		return h.settleReports(ctx, b, reports)
	}
	var unknown, taken []tsbudget.Report
	for _, r := range reports {
		switch {
		case slices.Contains(res.Msg.Unknown, string(r.Lot)):
			unknown = append(unknown, r)
		case slices.Contains(res.Msg.Taken, string(r.Lot)):
			taken = append(taken, r)
		}
	}
	h.mu.Lock()
	h.core.Acknowledge(b.id, taken)
	h.mu.Unlock()
	if len(unknown) > 0 {
		return h.settleReports(ctx, b, unknown)
	}
	if len(taken) < len(reports) {
		return turmericshed.NewError(turmericshed.KindBudgetUnavailable, "the lender is ending its lot")
	}
	return nil
}

func (h *Holder) settleReports(ctx context.Context, b *budget, reports []tsbudget.Report) error {
	_, err := h.update(ctx, b, tsbudget.Settle(reports...), reports)
	return err
}
