package tsexperiment

import (
	"slices"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// requestRound starts a round, or requests another one if a round is already running.
func (s *budgetState) requestRound() {
	if s.inRound {
		s.roundRequested = true
		return
	}
	s.inRound, s.roundRequested = true, false
	s.roundsBegun++
	s.round()
}

// round borrows, draws and reports in the same order as io/tsholder.
func (s *budgetState) round() {
	sim := s.node.sim
	began := sim.now
	v := s.view()
	d := sim.policy.placement.Decide(v)
	s.returnUnneeded(d)
	home := s.homeNode()
	if d.Borrow && home != s.node {
		s.borrow(home, d.Want, d.Min, func(got turmericshed.Tokens, _ bool) {
			exhausted := !s.ledger.At.Before(began) && s.ledger.Undrawn < d.Min
			d.Draw = got == 0 && !exhausted
			s.exchange(d, v.Waiting > 0)
		})
		return
	}
	d.Draw = d.Draw || d.Borrow
	s.exchange(d, v.Waiting > 0)
}

// returnUnneeded retires the tokens that are not needed and repays lenders immediately.
func (s *budgetState) returnUnneeded(d tsbudget.Decision) {
	id := s.node.sim.profiles[s.budget].Budget
	if d.Return {
		s.node.holder.ReturnSurplus(id, d.Keep)
	}
	for _, lender := range s.node.holder.Lenders(id) {
		s.repay(lender, false)
	}
}

// exchange draws and reports in one write and then borrows from peers if requests are still
// waiting.
func (s *budgetState) exchange(d tsbudget.Decision, waiting bool) {
	n, sim := s.node, s.node.sim
	id := sim.profiles[s.budget].Budget
	reports := n.holder.Reports(id, false)
	draw := d.Draw && (waiting || !sim.now.Before(s.nextDrawAt))
	due := d.Return || s.view().ReportDue(sim.now.Sub(s.reportedAt))
	if !draw && (len(reports) == 0 || !due) {
		s.grantWaiting()
		if s.queue.Len() > 0 && !sim.policy.skipsPeers {
			s.borrowFromPeers()
			return
		}
		s.endRound()
		return
	}
	lot := n.newID("lot")
	m := tsbudget.Settle(reports...)
	if draw {
		m = tsbudget.SettleAndDraw(tsbudget.DrawRequest{
			Lot: lot, Holder: n.id, Want: d.Want, Min: d.Min, Share: d.Share, Rate: n.holder.View(sim.now, id).Rate, At: sim.now,
		}, reports...)
	}
	sim.update(n, id, m, func(l tsbudget.Ledger, read bool, err error) {
		s.handleExchange(l, read, err, lot, draw, reports)
	})
}

func (s *budgetState) handleExchange(l tsbudget.Ledger, read bool, err error, lot turmericshed.LotID, draw bool, reports []tsbudget.Report) {
	n, sim := s.node, s.node.sim
	id := sim.profiles[s.budget].Budget
	if turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable || !read {
		s.storeErr = err
	} else {
		s.storeErr, s.lots = nil, l.Lots
		s.ledger = tsbudget.Summarize(l, n.id, sim.now)
		if err == nil {
			n.holder.Acknowledge(id, reports)
			s.reportedAt = sim.now
		}
	}
	if draw {
		if got, ok := l.Lot(lot); ok && err == nil {
			n.holder.AddLot(id, got, "")
		} else {
			s.nextDrawAt = sim.now.Add(budgetExhaustedPause)
		}
	}
	s.grantWaiting()
	if s.queue.Len() == 0 || sim.policy.skipsPeers {
		s.endRound()
		return
	}
	s.borrowFromPeers()
}

// borrowFromPeers queries the holders of open lots one after another: those of the same failure
// domain first, then those with the most unused tokens.
func (s *budgetState) borrowFromPeers() {
	holders := make(map[*budgetNode]turmericshed.Tokens)
	s.peersMissing = false
	for _, l := range s.lots {
		n := s.node.sim.byID[l.Holder]
		switch {
		case n == s.node || l.Charge() <= l.Used:
		case n.isDead || !s.node.sim.connected(n.domain, s.node.domain):
			s.peersMissing = true
		default:
			holders[n] += l.Charge() - l.Used
		}
	}
	var order []*budgetNode
	for n := range holders {
		order = append(order, n)
	}
	slices.SortFunc(order, func(a, b *budgetNode) int {
		if sameDomain := (b.domain == s.node.domain); sameDomain != (a.domain == s.node.domain) {
			if sameDomain {
				return 1
			}
			return -1
		}
		if d := holders[b] - holders[a]; d != 0 {
			return int(d)
		}
		return a.index - b.index
	})
	s.borrowFromNext(order, 0)
}

func (s *budgetState) borrowFromNext(order []*budgetNode, i int) {
	if i >= len(order) || i >= budgetMaxPeers || s.queue.Len() == 0 {
		s.endRound()
		return
	}
	v := s.view()
	s.borrow(order[i], v.Needed-min(v.Available, v.Needed-1), 1, func(_ turmericshed.Tokens, answered bool) {
		s.peersMissing = s.peersMissing || !answered
		s.grantWaiting()
		s.borrowFromNext(order, i+1)
	})
}

// borrow requests a loan from one peer. done receives the amount and whether the peer answered.
func (s *budgetState) borrow(lender *budgetNode, want, minAmount turmericshed.Tokens, done func(got turmericshed.Tokens, answered bool)) {
	sim := s.node.sim
	id := sim.profiles[s.budget].Budget
	r := tsbudget.LoanRequest{Loan: s.node.newID("loan"), Borrower: s.node.id, Want: want, Min: minAmount}
	sim.callPeer(s.node, lender, func(reply func(func())) {
		lender.state(s.budget).lend(r, func(l tsbudget.Lot, ok bool) {
			lenderState := lender.state(s.budget)
			lenderLedger := lenderState.ledger.FromLender(lender.holder.View(sim.now, id).Rate)
			lenderErr := lenderState.storeErr
			reply(func() {
				if ok {
					s.node.holder.AddLot(id, l, lender.id)
				}
				if lenderLedger.Read && lenderErr == nil && lenderLedger.At.After(s.ledger.At) {
					s.ledger, s.storeErr = lenderLedger, nil
				}
				done(l.Drawn, true)
			})
		})
	}, func() { done(0, false) })
}

// lend answers a loan request. If the node has too few tokens, it answers after one more round.
func (s *budgetState) lend(r tsbudget.LoanRequest, reply func(tsbudget.Lot, bool)) {
	sim := s.node.sim
	id := sim.profiles[s.budget].Budget
	s.loanRequested = 0
	if l, ok := s.node.holder.Lend(sim.now, id, r); ok {
		reply(l, true)
		s.requestRoundIfLow()
		return
	}
	if sim.now.Before(s.nextDrawAt) {
		reply(tsbudget.Lot{}, false)
		return
	}
	s.loanRequested = r.Want
	s.afterRound = append(s.afterRound, func() {
		s.loanRequested = 0
		l, ok := s.node.holder.Lend(sim.now, id, r)
		reply(l, ok)
	})
	s.requestRound()
}

func (s *budgetState) endRound() {
	s.inRound, s.roundsEnded = false, s.roundsBegun
	pending := s.afterRound
	s.afterRound = nil
	for _, f := range pending {
		f()
	}
	s.grantWaiting()
	s.isStarved = s.queue.Len() > 0
	s.refuseWaiting()
	switch {
	case s.roundRequested:
		s.requestRound()
	case s.queue.Len() > 0 && !s.retryScheduled:
		s.retryScheduled = true
		s.node.sim.after(budgetRetryInterval, func() {
			s.retryScheduled = false
			if !s.node.isDead && s.queue.Len() > 0 {
				s.refuseWaiting()
				s.requestRound()
			}
		})
	}
}
