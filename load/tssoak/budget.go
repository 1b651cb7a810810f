package tssoak

import (
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// drawPause is the wait after a draw that got nothing.
	drawPause = time.Second
	// closeAfter is the age at which the lot of a holder that is gone closes.
	closeAfter = 20 * time.Second
	// peerTimeout is how long a VM waits for another one.
	peerTimeout = time.Second
)

// balance is what one VM knows of one budget.
type balance struct {
	id      turmericshed.BudgetID
	profile turmericshed.Profile
	queue   tsbudget.Queue[*generation]
	running bool
	ledger  tsbudget.Summary
	lots    []tsbudget.Lot
	err     error
	// begun and ended count rounds; again asks for another one.
	begun, ended int
	again        bool
	closed       bool
	// draw is a draw whose answer was lost.
	draw     *tsbudget.DrawRequest
	seen     turmericshed.Version
	nextDraw time.Time
	// loan is a loan whose answer was lost.
	loan *tsbudget.LoanRequest
}

func (v *vm) balance(p turmericshed.Profile) *balance {
	b, ok := v.balances[p.Budget]
	if !ok {
		b = &balance{id: p.Budget, profile: p}
		v.balances[p.Budget] = b
		v.order = append(v.order, b)
	}
	return b
}

func (v *vm) view(b *balance) tsbudget.View {
	view := v.holder.View(v.w.now, b.id)
	b.queue.Fill(&view)
	neighbours := v.neighbours()
	home, ok := tsbudget.Home(b.id, neighbours)
	view.Ledger, view.Home = b.ledger, !ok || home.Incarnation == v.self.Incarnation
	view.EntryVMs, view.Peers = len(v.w.vms), len(neighbours)-1
	view.Edge, view.Bridge = b.profile.Edge, time.Duration(b.profile.CutBridge)
	return view
}

// kick starts a round of a budget unless one is under way.
func (v *vm) kick(b *balance) {
	if b.running {
		b.again = true
		return
	}
	b.running, b.again = true, false
	b.begun++
	v.round(b, func() {
		b.running, b.ended = false, b.begun
		v.grant(b)
		s := tsbudget.Situation{View: v.view(b), StoreErr: b.err, Round: b.ended, Closed: b.closed || b.profile.Closed}
		for _, r := range b.queue.Refuse(s) {
			r.Owner.refuse(r.Err)
		}
		if b.again {
			v.kick(b)
		}
	})
}

// grant gives waiting requests what is there.
func (v *vm) grant(b *balance) {
	for _, g := range b.queue.Grant(v.w.now, v.holder) {
		g.Owner.reserved(g.Reservation)
	}
}

// round is one pass over a budget: repair, return, repay, draw or borrow,
// close.
func (v *vm) round(b *balance, done func()) {
	v.repair(b, func() {
		d := tsbudget.ByDemand{}.Decide(v.view(b))
		if b.profile.Closed || b.closed || v.draining {
			v.holder.Retire(b.id, 0)
			d = tsbudget.Decision{}
		}
		if d.Return {
			v.holder.Retire(b.id, d.Keep)
		}
		v.repay(b, func() {
			v.borrow(b, d, func(d tsbudget.Decision) {
				v.exchange(b, d, func() { v.collect(b, done) })
			})
		})
	})
}

// repair finishes edits that were left half-made.
func (v *vm) repair(b *balance, done func()) {
	if !b.ledger.Read || b.ledger.Limit == b.profile.Prepaid || v.w.chance(0.5) {
		done()
		return
	}
	s := tsbudget.NewRepair(b.id, b.profile.Name)
	v.drive(s, done)
}

// repay tells lenders what was used and what goes back.
func (v *vm) repay(b *balance, done func()) {
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
	if to, ok := v.w.find(lender); ok && !v.gone(lender) {
		v.ask(done, func(answer func(func())) {
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
func (v *vm) ask(late func(), call func(answer func(then func()))) {
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

func (v *vm) acknowledge(b *balance, reports []tsbudget.Report, lots []turmericshed.LotID) []tsbudget.Report {
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
func (v *vm) settleAtLedger(b *balance, reports []tsbudget.Report, lots []turmericshed.LotID, done func()) {
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
	v.update(tsbudget.Key(b.id), tsbudget.Settle(rest...), func(_ turmericshed.Item, err error) {
		if err == nil {
			v.holder.Acknowledge(b.id, rest)
		}
		done()
	})
}

// borrow asks the home of the budget in the failure domain for tokens, and
// turns to the ledger when that fails.
func (v *vm) borrow(b *balance, d tsbudget.Decision, then func(tsbudget.Decision)) {
	if !d.Borrow && b.loan == nil {
		then(d)
		return
	}
	home, ok := tsbudget.Home(b.id, v.neighbours())
	to, found := v.w.find(home.Incarnation)
	if !ok || !found || to == v {
		d.Draw = true
		then(d)
		return
	}
	if b.loan == nil {
		b.loan = &tsbudget.LoanRequest{
			Loan: turmericshed.LotID(v.w.id("loan-")), Borrower: v.self.Incarnation, FailureDomain: v.self.FailureDomain, Want: d.Want, Min: max(d.Min, 1),
		}
	}
	r := *b.loan
	late := func() {
		if v.w.chance(0.3) {
			b.loan = nil
		}
		d.Draw = true
		then(d)
	}
	v.ask(late, func(answer func(func())) {
		v.send(to, func() {
			lot, ok := to.holder.Lend(v.w.now, b.id, r)
			to.send(v, func() {
				answer(func() {
					b.loan = nil
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
func (v *vm) exchange(b *balance, d tsbudget.Decision, done func()) {
	reports := v.holder.Reports(b.id, v.draining && v.running == 0)
	draw := b.draw
	if draw == nil && d.Draw && !v.w.now.Before(b.nextDraw) && !b.closed && !v.draining {
		draw = &tsbudget.DrawRequest{
			Lot: turmericshed.LotID(v.w.id("lot-")), Holder: v.self.Incarnation, FailureDomain: v.self.FailureDomain,
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
	v.update(tsbudget.Key(b.id), m, func(item turmericshed.Item, err error) {
		v.exchanged(b, draw, reports, item, err)
		done()
	})
}

// exchanged takes in the outcome of a write of the ledger.
func (v *vm) exchanged(b *balance, draw *tsbudget.DrawRequest, reports []tsbudget.Report, item turmericshed.Item, err error) {
	l, decodeErr := tsbudget.Decode(item)
	kind := turmericshed.KindOf(err)
	read := decodeErr == nil && (err == nil || kind == turmericshed.KindBudgetExhausted || kind == turmericshed.KindConflict || kind == turmericshed.KindNotFound)
	b.err = err
	if read {
		b.err = nil
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
		b.draw, b.seen = draw, max(b.seen, item.Version)
		return
	}
	if b.draw != nil && err != nil && item.Version <= b.seen {
		return // the write whose answer was lost may still land
	}
	b.draw, b.seen = nil, 0
	if lot, ok := l.Lot(draw.Lot); ok && err == nil && decodeErr == nil {
		v.holder.AddLot(b.id, lot, "")
		return
	}
	b.nextDraw = v.w.now.Add(drawPause)
}

// collect closes the lots of holders that are believed gone.
func (v *vm) collect(b *balance, done func()) {
	var ids []turmericshed.LotID
	for _, l := range b.lots {
		if v.gone(l.Holder) && v.w.now.Sub(l.At) > closeAfter {
			ids = append(ids, l.ID)
		}
	}
	if len(ids) == 0 || !v.view(b).Home || v.w.chance(0.9) {
		done()
		return
	}
	v.update(tsbudget.Key(b.id), tsbudget.Close(ids...), func(_ turmericshed.Item, err error) {
		if err == nil {
			v.w.logf("%s closes lots %v of %s", v.self.Incarnation, ids, b.id)
		}
		done()
	})
}
