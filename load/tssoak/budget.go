package tssoak

import (
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// drawRetryDelay is the wait after a draw that yielded no lot.
	drawRetryDelay = time.Second
	// lotCloseAge is the age from which the lot of a gone holder may be closed.
	lotCloseAge = 20 * time.Second
	// peerTimeout is how long a VM waits for an answer from another VM.
	peerTimeout = time.Second
)

// budgetState is the state of one budget at one VM.
type budgetState struct {
	id           turmericshed.BudgetID
	profile      turmericshed.Profile
	queue        tsbudget.Queue[*generation]
	roundRunning bool
	ledger       tsbudget.Summary
	lots         []tsbudget.Lot
	storeErr     error
	// roundsEnded is the number of the last round that ended.
	roundsStarted, roundsEnded int
	// roundRequested is set when another round is to follow the current one.
	roundRequested bool
	// closed is set once the ledger was read as recalled.
	closed bool
	// pendingDraw is a draw whose outcome is unknown, and pendingDrawVersion the
	// highest version of the ledger that was returned for it.
	pendingDraw        *tsbudget.DrawRequest
	pendingDrawVersion turmericshed.Version
	nextDrawAt         time.Time
	// pendingLoan is a loan request that was not answered.
	pendingLoan *tsbudget.LoanRequest
}

// budgetStateFor returns the state of the profile's budget; it is created on
// first use.
func (v *vm) budgetStateFor(p turmericshed.Profile) *budgetState {
	b, ok := v.budgets[p.Budget]
	if !ok {
		b = &budgetState{id: p.Budget, profile: p}
		v.budgets[p.Budget] = b
		v.budgetOrder = append(v.budgetOrder, b)
	}
	return b
}

// budgetView returns the input of the decisions about a budget.
func (v *vm) budgetView(b *budgetState) tsbudget.View {
	view := v.holder.View(v.w.now, b.id)
	b.queue.Fill(&view)
	reachable := v.reachableInDomain()
	home, ok := tsbudget.Home(b.id, reachable)
	view.Ledger, view.Home = b.ledger, !ok || home.Incarnation == v.self.Incarnation
	view.EntryVMs, view.Peers = len(v.w.vms), len(reachable)-1
	view.Edge, view.Bridge = b.profile.Edge, time.Duration(b.profile.PartitionTolerance)
	return view
}

// startRound starts a round of a budget. If one is running, another one follows
// it.
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

// grantWaiting dispatches the queued requests that the held tokens can cover.
func (v *vm) grantWaiting(b *budgetState) {
	for _, g := range b.queue.Grant(v.w.now, v.holder) {
		g.Owner.dispatchReserved(g.Reservation)
	}
}

// runRound performs one round of a budget: it repairs the ledger, returns unneeded
// tokens, repays loans, borrows or draws, and closes lots of gone holders.
func (v *vm) runRound(b *budgetState, done func()) {
	v.repairEdit(b, func() {
		d := tsbudget.ByDemand{}.Decide(v.budgetView(b))
		if b.profile.Closed || b.closed || v.draining {
			v.holder.ReturnSurplus(b.id, 0)
			d = tsbudget.Decision{}
		}
		if d.Return {
			v.holder.ReturnSurplus(b.id, d.Keep)
		}
		v.repay(b, func() {
			v.borrow(b, d, func(d tsbudget.Decision) {
				v.exchange(b, d, func() { v.closeGoneLots(b, done) })
			})
		})
	})
}

// repairEdit completes an edit that was left unfinished: one after which the
// ledger's limit differs from the profile's prepaid amount. It skips half of the
// rounds at random.
func (v *vm) repairEdit(b *budgetState, done func()) {
	if !b.ledger.Read || b.ledger.Limit == b.profile.Prepaid || v.w.chance(0.5) {
		done()
		return
	}
	s := tsbudget.NewRepair(b.id, b.profile.Name)
	v.runSteps(s, done)
}

// repay reports to one lender the tokens that were used and those that are
// returned. When the lender is gone, the reports go to the ledger.
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
	lots := make([]turmericshed.LotID, 0, len(reports))
	for _, r := range reports {
		lots = append(lots, r.Lot)
	}
	v.settleAtLedger(b, reports, lots, done)
}

// callPeer performs call, which sends a request to a peer and passes the handler of
// the peer's answer to answer. If no answer arrives within peerTimeout, callPeer
// calls onTimeout and ignores a later answer.
func (v *vm) callPeer(onTimeout func(), call func(answer func(then func()))) {
	pending := true
	call(func(then func()) {
		if pending {
			pending = false
			then()
		}
	})
	v.after(peerTimeout, func() {
		if pending {
			pending = false
			onTimeout()
		}
	})
}

// acknowledge marks the reports about the given lots as received and returns
// them.
func (v *vm) acknowledge(b *budgetState, reports []tsbudget.Report, lots []turmericshed.LotID) []tsbudget.Report {
	var acknowledged []tsbudget.Report
	for _, r := range reports {
		for _, id := range lots {
			if r.Lot == id {
				acknowledged = append(acknowledged, r)
			}
		}
	}
	v.holder.Acknowledge(b.id, acknowledged)
	return acknowledged
}

// settleAtLedger writes the reports about the given lots to the ledger. Their
// lender no longer has the loans: the loans became lots of the ledger, or were
// closed together with the lender's lot.
func (v *vm) settleAtLedger(b *budgetState, reports []tsbudget.Report, lots []turmericshed.LotID, done func()) {
	var selected []tsbudget.Report
	for _, r := range reports {
		for _, id := range lots {
			if r.Lot == id {
				selected = append(selected, r)
			}
		}
	}
	if len(selected) == 0 {
		done()
		return
	}
	v.updateKey(tsbudget.Key(b.id), tsbudget.Settle(selected...), func(_ turmericshed.Item, err error) {
		if err == nil {
			v.holder.Acknowledge(b.id, selected)
		}
		done()
	})
}

// borrow requests a loan from the VM that is the home of the budget in this
// failure domain, when d requests one or an earlier request is pending. It passes
// the decision to then, and sets Draw in it when the loan was not granted.
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
	onTimeout := func() {
		if v.w.chance(0.3) {
			b.pendingLoan = nil
		}
		d.Draw = true
		then(d)
	}
	v.callPeer(onTimeout, func(answer func(func())) {
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

// exchange reports usage and draws a lot, in one write to the ledger. It retries
// a draw whose outcome is unknown with the same lot identifier.
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
		m = tsbudget.SettleAndDraw(*draw, reports...)
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

// handleExchange handles the outcome of exchange's write to the ledger.
func (v *vm) handleExchange(b *budgetState, draw *tsbudget.DrawRequest, reports []tsbudget.Report, item turmericshed.Item, err error) {
	l, decodeErr := tsbudget.Decode(item)
	kind := turmericshed.KindOf(err)
	wasRead := decodeErr == nil && (err == nil || kind == turmericshed.KindBudgetExhausted || kind == turmericshed.KindConflict || kind == turmericshed.KindNotFound)
	b.storeErr = err
	if wasRead {
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
		return // the write whose outcome is unknown may still be applied
	}
	b.pendingDraw, b.pendingDrawVersion = nil, 0
	if lot, ok := l.Lot(draw.Lot); ok && err == nil && decodeErr == nil {
		v.holder.AddLot(b.id, lot, "")
		return
	}
	b.nextDrawAt = v.w.now.Add(drawRetryDelay)
}

// closeGoneLots closes the lots of holders that the membership considers gone.
// Only the home of the budget does so, in a tenth of the rounds.
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
