package tsholder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

// maxPeersQueried limits the peers that are queried for tokens in one round.
const maxPeersQueried = 4

// Handler returns the path and the handler of the calls from peers.
func (h *Holder) Handler() (string, http.Handler) {
	return tspeerapi.NewBudgetServiceHandler(service{h})
}

// service serves the calls from peers.
type service struct{ h *Holder }

// Lend lends tokens from a local lot to a peer. If too few are available, it waits for a round that
// draws more and tries again, within the call's deadline.
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
		Amount: int64(amount), Ledger: s.h.ledgerSummary(turmericshed.BudgetID(m.Budget)),
	}), nil
}

// ledgerSummary returns the cached state of the ledger for a borrower, which then does not have to
// read it; nil if it is not known.
func (h *Holder) ledgerSummary(id turmericshed.BudgetID) *tspeerapi.LedgerSummary {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[id]
	if b == nil || !b.ledger.Read || b.storeErr != nil {
		return nil
	}
	l := b.ledger.FromLender(h.core.View(now, id).Rate)
	return &tspeerapi.LedgerSummary{
		Limit: int64(l.Limit), Room: int64(l.Undrawn), Open: int64(l.Others), Rate: l.OthersRate, AgeMs: now.Sub(l.At).Milliseconds(),
	}
}

// mergeSummaryLocked stores a lender's summary if it is newer than the cached one. It reports
// whether the summarized ledger was read at or after began.
func (h *Holder) mergeSummaryLocked(b *budget, began time.Time, m *tspeerapi.LedgerSummary) bool {
	if m == nil {
		return false
	}
	at := time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond)
	if at.After(b.ledger.At) {
		b.ledger = tsbudget.Summary{
			Read: true, At: at, Limit: turmericshed.Tokens(m.Limit), Undrawn: turmericshed.Tokens(m.Room),
			Others: turmericshed.Tokens(m.Open), OthersRate: m.Rate,
		}
		b.storeErr = nil
	}
	return !at.Before(began)
}

// Repay applies the reports of a borrower.
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

// lend tries to lend; if that fails, it waits for one round and tries again.
func (h *Holder) lend(ctx context.Context, id turmericshed.BudgetID, r tsbudget.LoanRequest) turmericshed.Tokens {
	lot, finished, ok := h.tryLend(id, r, true)
	if finished == nil {
		return lentAmount(lot, ok)
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
	lot, _, ok = h.tryLend(id, r, false)
	return lentAmount(lot, ok)
}

func lentAmount(l tsbudget.Lot, ok bool) turmericshed.Tokens {
	if !ok {
		return 0
	}
	return l.Drawn
}

// tryLend lends, or schedules a round if fetch is set and returns the channel that is closed after
// it.
func (h *Holder) tryLend(id turmericshed.BudgetID, r tsbudget.LoanRequest, fetch bool) (tsbudget.Lot, <-chan struct{}, bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[id]
	if b == nil || b.closed || h.draining {
		return tsbudget.Lot{}, nil, false
	}
	b.peerDemand = 0
	if lot, ok := h.core.Lend(now, id, r); ok {
		h.scheduleRoundIfLowLocked(now, b)
		h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventTokensMoved, Profile: b.profile.Name, Lot: r.Loan, Tokens: lot.Drawn})
		return lot, nil, true
	}
	if !fetch || now.Before(b.nextDraw) {
		return tsbudget.Lot{}, nil, false
	}
	b.peerDemand = r.Want
	if b.roundDone == nil {
		b.roundDone = make(chan struct{})
	}
	h.scheduleRoundLocked(b)
	return tsbudget.Lot{}, b.roundDone, false
}

// borrowFromHome borrows from the entry VM that holds the budget for this failure domain. It
// reports whether a draw is unnecessary: because tokens were borrowed, or because that entry VM has
// just found too little left in the ledger.
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
	// The home entry VM read the ledger during the call and found too little left to draw.
	return fresh && !b.ledger.At.Before(began) && b.ledger.Undrawn < d.Min
}

// borrowAnywhere borrows what the waiting requests need from the holders of open lots, those of
// this failure domain first. It reports whether every holder is reachable and no query failed.
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
	peers := h.lendersByPreference(holders)
	allAnswered := len(peers) == len(holders)
	for i, vm := range peers {
		if i >= maxPeersQueried || !h.hasUnservedRequests(b) {
			break
		}
		if _, _, err := h.borrow(ctx, b, vm, v.Needed-min(v.Available, v.Needed-1), 1); err != nil {
			allAnswered = false
		}
	}
	return allAnswered
}

// lendersByPreference returns the reachable holders, those in this failure domain first, and within
// each group those with the largest unused amount first.
func (h *Holder) lendersByPreference(holders map[turmericshed.Incarnation]turmericshed.Tokens) []turmericshed.EntryVM {
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

// borrow requests a loan from one peer. A request whose answer was lost is repeated first, with its
// old id and lender. It returns the borrowed amount, and whether the peer read the ledger during
// the call.
func (h *Holder) borrow(ctx context.Context, b *budget, vm turmericshed.EntryVM, want, minAmount turmericshed.Tokens) (turmericshed.Tokens, bool, error) {
	began := time.Now()
	h.mu.Lock()
	r := b.pendingLoan
	if r == nil {
		r = &unansweredLoan{lender: vm, LoanRequest: tsbudget.LoanRequest{
			Loan: turmericshed.LotID(h.cfg.NewID("loan-")), Borrower: h.cfg.Self.Incarnation, FailureDomain: h.cfg.Self.FailureDomain,
			Want: want, Min: minAmount,
		}}
	}
	b.pendingLoan = r
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
		// A lender that is gone or was replaced by another process will not answer any more; its
		// lot is charged in full.
		if connect.CodeOf(err) == connect.CodeFailedPrecondition || h.cfg.Members.State(r.lender.Incarnation) != turmericshed.MemberAlive {
			b.pendingLoan = nil
		}
		return 0, false, turmericshed.WrapError(turmericshed.KindBudgetUnavailable, err, "lend")
	}
	b.pendingLoan = nil
	fresh := h.mergeSummaryLocked(b, began, res.Msg.Ledger)
	n := turmericshed.Tokens(res.Msg.Amount)
	if n <= 0 {
		return 0, fresh, nil
	}
	h.lenderAddrs[r.lender.Incarnation] = r.lender.PeerAddr
	h.core.AddLot(b.id, tsbudget.Lot{ID: r.Loan, Holder: r.Borrower, FailureDomain: r.FailureDomain, Drawn: n, At: time.Now()}, r.lender.Incarnation)
	return n, fresh, nil
}

func (h *Holder) client(vm turmericshed.EntryVM) tspeerapi.BudgetServiceClient {
	c, base := h.cfg.Peers.Client(vm.PeerAddr)
	return tspeerapi.NewBudgetServiceClient(c, base, tspeer.BoundAnswers())
}

// repay sends the reports to the lenders. If final is set, every loan is ended. It returns the
// first error.
func (h *Holder) repay(ctx context.Context, b *budget, final bool) error {
	h.mu.Lock()
	lenders := h.core.Lenders(b.id)
	h.mu.Unlock()
	var firstErr error
	for _, lender := range lenders {
		if err := h.repayOne(ctx, b, lender, final); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// shouldAbandonLender reports whether to abandon a lender that did not answer: it is not alive, or,
// during a stop, it did not answer several attempts. When the whole fleet stops, no other process
// may be left to confirm that the lender is gone. What it lent then stays charged.
func (h *Holder) shouldAbandonLender(lender turmericshed.Incarnation, final bool) bool {
	if h.cfg.Members.State(lender) != turmericshed.MemberAlive {
		return true
	}
	if !final {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unansweredRepays[lender]++
	return h.unansweredRepays[lender] >= finalRepayAttempts
}

// repayOne sends the reports to one lender. Reports on loans that the lender does not have any
// more are written to the ledger.
func (h *Holder) repayOne(ctx context.Context, b *budget, lender turmericshed.Incarnation, final bool) error {
	h.mu.Lock()
	reports := h.core.ReportsTo(b.id, lender, final)
	addr := h.lenderAddrs[lender]
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
		if !h.shouldAbandonLender(lender, final) {
			return turmericshed.WrapError(turmericshed.KindBudgetUnavailable, err, "repay")
		}
		// The lender is gone. If it handed its loans over at its stop, they are lots in the ledger.
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

// settleReports writes reports to the ledger.
func (h *Holder) settleReports(ctx context.Context, b *budget, reports []tsbudget.Report) error {
	_, err := h.updateLedger(ctx, b, tsbudget.Settle(reports...), reports)
	return err
}
