package tssoak

import (
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// drawPause is the wait after a draw that got nothing.
	drawRetryDelay = time.Second
	// closeAfter is the age at which the lot of a holder that is gone closes.
	lotCloseAge = 20 * time.Second
	// peerTimeout is how long a VM waits for another one.
	peerTimeout = time.Second
)

// balance is what one VM knows of one budget.
type budgetState struct {
	id           turmericshed.BudgetID
	profile      turmericshed.Profile
	queue        tsbudget.Queue[*generation]
	roundRunning bool
	ledger       tsbudget.Summary
	lots         []tsbudget.Lot
	storeErr     error
	// begun and ended count rounds; again asks for another one.
	roundsStarted, roundsEnded int
	roundRequested             bool
	closed                     bool
	// draw is a draw whose answer was lost.
	pendingDraw        *tsbudget.DrawRequest
	pendingDrawVersion turmericshed.Version
	nextDrawAt         time.Time
	// loan is a loan whose answer was lost.
	pendingLoan *tsbudget.LoanRequest
}

func (v *vm) budgetStateFor(p turmericshed.Profile) *budgetState {
	b, ok := v.budgets[p.Budget]
	if !ok {
		b = &budgetState{id: p.Budget, profile: p}
		v.budgets[p.Budget] = b
		v.budgetOrder = append(v.budgetOrder, b)
	}
	return b
}

func (v *vm) budgetView(b *budgetState) tsbudget.View {
	view := v.holder.View(v.w.now, b.id)
	b.queue.Fill(&view)
	neighbours := v.reachableInDomain()
	home, ok := tsbudget.Home(b.id, neighbours)
	view.Ledger, view.Home = b.ledger, !ok || home.Incarnation == v.self.Incarnation
	view.EntryVMs, view.Peers = len(v.w.vms), len(neighbours)-1
	view.Edge, view.Bridge = b.profile.Edge, time.Duration(b.profile.CutBridge)
	return view
}

// kick starts a round of a budget unless one is under way.
func (v *vm) startRound(b *budgetState) {
	if b.roundRunning {
		b.roundRequested = true
		return
	}
	b.roundRunning, b.roundRequested = true, false
	b.roundsStarted++
	v.runRound(b, func() {
		b.roundRunning, b.roundsEnded = false, b.roundsStarted
		v.grantWaiting(b)
		s := tsbudget.Situation{View: v.budgetView(b), StoreErr: b.storeErr, Round: b.roundsEnded, Closed: b.closed || b.profile.Closed}
		for _, r := range b.queue.Refuse(s) {
			r.Owner.refuse(r.Err)
		}
		if b.roundRequested {
			v.startRound(b)
		}
	})
}

// grant gives waiting requests what is there.
func (v *vm) grantWaiting(b *budgetState) {
	for _, g := range b.queue.Grant(v.w.now, v.holder) {
		g.Owner.dispatchReserved(g.Reservation)
	}
}

// round is one pass over a budget: repair, return, repay, draw or borrow,
// close.
func (v *vm) runRound(b *budgetState, done func()) {
	v.repairEdit(b, func() {
		d := tsbudget.ByDemand{}.Decide(v.budgetView(b))
		if b.profile.Closed || b.closed || v.draining {
			v.holder.Retire(b.id, 0)
			d = tsbudget.Decision{}
		}
		if d.Return {
			v.holder.Retire(b.id, d.Keep)
		}
		v.repay(b, func() {
			v.borrow(b, d, func(d tsbudget.Decision) {
				v.exchange(b, d, func() { v.closeGoneLots(b, done) })
			})
		})
	})
}

// repair finishes edits that were left half-made.
func (v *vm) repairEdit(b *budgetState, done func()) {
	if !b.ledger.Read || b.ledger.Limit == b.profile.Prepaid || v.w.chance(0.5) {
		done()
		return
	}
	s := tsbudget.NewRepair(b.id, b.profile.Name)
	v.runSteps(s, done)
}

// repay tells lenders what was used and what goes back.
func (v *vm) repay(b *budgetState, done func()) {
	lenders := v.holder.Lenders(b.id)
	if len(lenders) == 0 {
		done()
		return
	}
	lender := lenders[v.w.rnd.IntN(len(lenders))]
	reports := v.holder.ReportsTo(b.id, lender, false)
	if v.draining {
		reports = v.holder.ReportsTo(b.id, lender, true)
	}
	if to, ok := v.w.findVM(lender); ok && !v.isGone(lender) {
		v.callPeer(done, func(answer func(func())) {
			v.send(to, func() {
				taken, unknown := to.holder.Repay(v.w.now, b.id, reports)
				to.send(v, func() {
					answer(func() {
						v.acknowledge(b, reports, taken)
						v.settleAtLedger(b, reports, unknown, done)
					})
				})
			})
		})
		return
	}
	all := make([]turmericshed.LotID, 0, len(reports))
	for _, r := range reports {
		all = append(all, r.Lot)
	}
	v.settleAtLedger(b, reports, all, done)
}

// ask runs a call to a peer; when no answer comes in time, late is called
// instead of what the answer does.
func (v *vm) callPeer(late func(), call func(answer func(then func()))) {
	open := true
	call(func(then func()) {
		if open {
			open = false
			then()
		}
	})
	v.after(peerTimeout, func() {
		if open {
			open = false
			late()
		}
	})
}

func (v *vm) acknowledge(b *budgetState, reports []tsbudget.Report, lots []turmericshed.LotID) []tsbudget.Report {
	var taken []tsbudget.Report
	for _, r := range reports {
		for _, id := range lots {
			if r.Lot == id {
				taken = append(taken, r)
			}
		}
	}
	v.holder.Acknowledge(b.id, taken)
	return taken
}

// settleAtLedger reports loans whose lender is gone: their lots stand in the
// ledger by themselves, or were closed with the lender's.
func (v *vm) settleAtLedger(b *budgetState, reports []tsbudget.Report, lots []turmericshed.LotID, done func()) {
	var rest []tsbudget.Report
	for _, r := range reports {
		for _, id := range lots {
			if r.Lot == id {
				rest = append(rest, r)
			}
		}
	}
	if len(rest) == 0 {
		done()
		return
	}
	v.updateKey(tsbudget.Key(b.id), tsbudget.Settle(rest...), func(_ turmericshed.Item, err error) {
		if err == nil {
			v.holder.Acknowledge(b.id, rest)
		}
		done()
	})
}

// borrow asks the home of the budget in the failure domain for tokens, and
// turns to the ledger when that fails.
func (v *vm) borrow(b *budgetState, d tsbudget.Decision, then func(tsbudget.Decision)) {
	if !d.Borrow && b.pendingLoan == nil {
		then(d)
		return
	}
	home, ok := tsbudget.Home(b.id, v.reachableInDomain())
	to, found := v.w.findVM(home.Incarnation)
	if !ok || !found || to == v {
		d.Draw = true
		then(d)
		return
	}
	if b.pendingLoan == nil {
		b.pendingLoan = &tsbudget.LoanRequest{
			Loan: turmericshed.LotID(v.w.newID("loan-")), Borrower: v.self.Incarnation, FailureDomain: v.self.FailureDomain, Want: d.Want, Min: max(d.Min, 1),
		}
	}
	r := *b.pendingLoan
	late := func() {
		if v.w.chance(0.3) {
			b.pendingLoan = nil
		}
		d.Draw = true
		then(d)
	}
	v.callPeer(late, func(answer func(func())) {
		v.send(to, func() {
			lot, ok := to.holder.Lend(v.w.now, b.id, r)
			to.send(v, func() {
				answer(func() {
					b.pendingLoan = nil
					if ok {
						v.holder.AddLot(b.id, lot, to.self.Incarnation)
					}
					d.Draw = !ok
					then(d)
				})
			})
		})
	})
}

// exchange reports usage and draws, in one write.
func (v *vm) exchange(b *budgetState, d tsbudget.Decision, done func()) {
	reports := v.holder.Reports(b.id, v.draining && v.openRequests == 0)
	draw := b.pendingDraw
	if draw == nil && d.Draw && !v.w.now.Before(b.nextDrawAt) && !b.closed && !v.draining {
		draw = &tsbudget.DrawRequest{
			Lot: turmericshed.LotID(v.w.newID("lot-")), Holder: v.self.Incarnation, FailureDomain: v.self.FailureDomain,
			Want: d.Want, Min: d.Min, Share: d.Share, At: v.w.now,
		}
	}
	var m tsupdate.Mutation
	switch {
	case draw != nil:
		m = tsbudget.Exchange(*draw, reports...)
	case len(reports) > 0:
		m = tsbudget.Settle(reports...)
	default:
		done()
		return
	}
	v.updateKey(tsbudget.Key(b.id), m, func(item turmericshed.Item, err error) {
		v.handleExchange(b, draw, reports, item, err)
		done()
	})
}

// exchanged takes in the outcome of a write of the ledger.
func (v *vm) handleExchange(b *budgetState, draw *tsbudget.DrawRequest, reports []tsbudget.Report, item turmericshed.Item, err error) {
	l, decodeErr := tsbudget.Decode(item)
	kind := turmericshed.KindOf(err)
	read := decodeErr == nil && (err == nil || kind == turmericshed.KindBudgetExhausted || kind == turmericshed.KindConflict || kind == turmericshed.KindNotFound)
	b.storeErr = err
	if read {
		b.storeErr = nil
		b.ledger, b.lots = tsbudget.Summarize(l, v.self.Incarnation, v.w.now), l.Lots
		b.closed = b.closed || l.Recalled
	}
	if err == nil {
		v.holder.Acknowledge(b.id, reports)
	}
	if draw == nil {
		return
	}
	if kind == turmericshed.KindStoreUnknown {
		b.pendingDraw, b.pendingDrawVersion = draw, max(b.pendingDrawVersion, item.Version)
		return
	}
	if b.pendingDraw != nil && err != nil && item.Version <= b.pendingDrawVersion {
		return // the write whose answer was lost may still land
	}
	b.pendingDraw, b.pendingDrawVersion = nil, 0
	if lot, ok := l.Lot(draw.Lot); ok && err == nil && decodeErr == nil {
		v.holder.AddLot(b.id, lot, "")
		return
	}
	b.nextDrawAt = v.w.now.Add(drawRetryDelay)
}

// collect closes the lots of holders that are believed gone.
func (v *vm) closeGoneLots(b *budgetState, done func()) {
	var ids []turmericshed.LotID
	for _, l := range b.lots {
		if v.isGone(l.Holder) && v.w.now.Sub(l.At) > lotCloseAge {
			ids = append(ids, l.ID)
		}
	}
	if len(ids) == 0 || !v.budgetView(b).Home || v.w.chance(0.9) {
		done()
		return
	}
	v.updateKey(tsbudget.Key(b.id), tsbudget.Close(ids...), func(_ turmericshed.Item, err error) {
		if err == nil {
			v.w.logf("%s closes lots %v of %s", v.self.Incarnation, ids, b.id)
		}
		done()
	})
}
