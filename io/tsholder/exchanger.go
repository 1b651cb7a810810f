package tsholder

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

const (
	// exchangeInterval is the time between checks for something to write, unless the ledger writer
	// requests another time. While anything is held, the ceilings are written again at each check.
	exchangeInterval = time.Second
	// writeBatchDelay is the time for which waiting requests are collected into one requested
	// write.
	writeBatchDelay = 10 * time.Millisecond
	// commitTimeout is the deadline of one request to the ledger writer, congestedCommitTimeout the
	// deadline while its answer has to pass a congested link.
	commitTimeout          = 2500 * time.Millisecond
	congestedCommitTimeout = 4 * time.Second
	// ceilingsDueFraction is the fraction of an interval after which the ceilings are written
	// again.
	ceilingsDueFraction = 0.5
	// ceilingSpanIntervals is the number of intervals of expected demand that the ceilings cover,
	// which is most of a lease's length. Demand above the ceilings requests a write and, during a
	// partition, waits until the lease has expired. With a longer span, a crash loses more tokens.
	ceilingSpanIntervals = 3
	// leaseMargin allows for clocks that run at slightly different rates.
	leaseMargin = 100 * time.Millisecond
)

// exchanger writes the changes of the ledgers, the local lots and the ceilings to the store: all
// that is due is sent to the ledger writer in one request. It runs the rounds of all budgets.
type exchanger struct {
	h *Holder

	// mu is held during a request, since a drain closes lots concurrently with the loop.
	mu sync.Mutex
	// isCurrentProcess is true once this process has taken its entry VM over. predecessor is the
	// process to take it over from.
	isCurrentProcess bool
	predecessor      turmericshed.Incarnation
	cursor           tsbudget.Cursor
	// lease is the lease that the next declaration is bound to. This process learned of it at
	// leaseLearnedAt by its monotonic clock, and at leaseSince by the time of day.
	lease               turmericshed.LeaseID
	leaseLearnedAt      time.Time
	leaseSince          time.Time
	declarationSequence int64
	// holding is the highest version of the holding in a reply, and holdingBefore the highest one in an
	// earlier era of the store.
	holding, holdingBefore turmericshed.Version
	reentrySequence        int64
	// nextRequestAt is when the ledger writer expects the next request.
	nextRequestAt time.Time
	// strayLots are lots that the holding has for this process but that it does not hold: they come
	// from an abandoned draw that succeeded late.
	strayLots map[turmericshed.BudgetID][]tsbudget.Lot

	// lots are the lots of the holding, and pools the amounts that can be drawn from the domain's
	// pools without a write of the ledger. Both are guarded by the holder's mutex.
	lots  map[turmericshed.BudgetID][]tsbudget.Lot
	pools map[turmericshed.BudgetID]turmericshed.Tokens
}

func newExchanger(h *Holder) *exchanger { return &exchanger{h: h} }

// Serve writes until ctx ends. It records an event when writes start to fail and when they succeed
// again.
func (x *exchanger) Serve(ctx context.Context) error {
	failing := false
	for {
		err := x.exchange(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			event := turmericshed.Event{Name: turmericshed.EventStoreRecovered, Reason: "ledgers and ceilings written"}
			if failing {
				event.Name, event.Reason = turmericshed.EventStoreLost, "ledgers and ceilings not written: "+err.Error()
			}
			x.h.cfg.Recorder.Record(event)
		}
		x.h.grantAll()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(x.untilNextCheck(time.Now())):
		case <-x.h.writeRequested:
			time.Sleep(writeBatchDelay)
		}
	}
}

// untilNextCheck returns the time until the next check for something to write.
func (x *exchanger) untilNextCheck(now time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if wait := x.nextRequestAt.Sub(now); wait > 0 {
		return wait
	}
	return exchangeInterval
}

// requestWrite requests a write before the next check is due.
func (h *Holder) requestWrite() {
	select {
	case h.writeRequested <- struct{}{}:
	default:
	}
}

// grantAll grants waiting requests of all budgets, for example after the ceilings were raised.
func (h *Holder) grantAll() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		h.grantLocked(now, b)
	}
}

// requestPart is the part of a request that comes from one budget's round.
type requestPart struct {
	b      *budget
	change tsbudget.Change
	draw   *unansweredDraw
	// due is false if there is nothing to write.
	due bool
	// ledgerUnknown is true if the ledger had not been read when the round was planned.
	ledgerUnknown bool
}

// exchange runs the rounds that are due and sends one request if there is anything to write.
func (x *exchanger) exchange(ctx context.Context) error {
	parts := x.beginRounds()
	defer x.endRounds(ctx, parts)
	due := make([]requestPart, 0, len(parts))
	for _, p := range parts {
		if p.due {
			due = append(due, p)
		}
	}
	if len(due) == 0 && !x.ceilingsDue(time.Now()) && !x.hasForgottenLots() {
		return nil
	}
	return x.write(ctx, due)
}

// endRounds ends the rounds: waiting requests are granted or refused.
func (x *exchanger) endRounds(ctx context.Context, parts []requestPart) {
	h := x.h
	for _, p := range parts {
		missing := h.hasUnservedRequests(p.b) && !h.borrowAnywhere(ctx, p.b)
		h.mu.Lock()
		p.b.peersMissing = missing
		read := p.b.ledger.Read
		h.mu.Unlock()
		h.endRound(p.b)
		if p.ledgerUnknown && read {
			// The ledger has been read now, so a draw can be planned.
			h.mu.Lock()
			h.scheduleRoundLocked(p.b)
			h.requestWrite()
			h.mu.Unlock()
		}
	}
}

// beginRounds starts the scheduled rounds. If there are any, budgets that would need a round soon
// join them.
func (x *exchanger) beginRounds() []requestPart {
	h := x.h
	h.mu.Lock()
	var ids, soon []turmericshed.BudgetID
	for id, b := range h.budgets {
		switch {
		case b.queued:
			ids = append(ids, id)
		case !b.running && b.ledger.Read && h.cfg.Placement.Decide(h.viewLocked(time.Now(), b)).TopUp:
			soon = append(soon, id)
		}
	}
	h.mu.Unlock()
	if len(ids) > 0 {
		ids = append(ids, soon...)
	}
	var parts []requestPart
	for _, id := range ids {
		if b, ok := h.beginRound(id, false); ok {
			parts = append(parts, h.planRound(b))
		}
	}
	return parts
}

// planRound decides what a budget's round writes.
func (h *Holder) planRound(b *budget) requestPart {
	now := time.Now()
	d, waiting := h.decide(now, b)
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Return {
		h.core.ReturnSurplus(b.id, d.Keep)
	}
	d.Draw = d.Draw || d.TopUp
	stale := h.cfg.Reconciler.Stale(b.ledger, b.profile)
	if stale {
		// The cached ledger says nothing about its content after the repair.
		b.item = turmericshed.Item{}
	}
	plan := h.planLocked(now, b, d, waiting)
	p := requestPart{
		b: b, ledgerUnknown: !b.ledger.Read, due: plan.mutation != nil || stale, draw: plan.draw,
		change: tsbudget.Change{Budget: b.id, Profile: b.profile.Name, Reports: plan.reports, Urgent: waiting},
	}
	if plan.draw != nil {
		p.change.Draw = &plan.draw.DrawRequest
	}
	if stale {
		p.change.Prepaid = b.profile.Prepaid
	}
	return p
}

// ceilingsDue reports whether the ceilings must be written even if no ledger is: because they are
// old, or because requests wait for higher ceilings or soon will.
func (x *exchanger) ceilingsDue(now time.Time) bool {
	h := x.h
	h.mu.Lock()
	defer h.mu.Unlock()
	anyHeld := false
	for id, b := range h.budgets {
		v := h.core.View(now, id)
		if v.Available+v.Reserved == 0 {
			continue
		}
		anyHeld = true
		spendable := h.core.Spendable(now, id)
		soon := turmericshed.Tokens(v.RecentRate * exchangeInterval.Seconds())
		if spendable < v.Available && (b.queue.Len() > 0 || spendable < soon) {
			return true
		}
	}
	return anyHeld && now.Sub(h.writtenAt).Seconds() >= ceilingsDueFraction*exchangeInterval.Seconds()
}

// write sends one request with the changes of the ledgers and the ceilings.
func (x *exchanger) write(ctx context.Context, parts []requestPart) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(x.h.cfg.Link, commitTimeout, congestedCommitTimeout))
	defer cancel()
	if err := x.takeOver(ctx); err != nil {
		x.recordFailure(parts, err)
		return err
	}
	r := x.request(parts)
	var ceilings []tsbudget.LotCeiling
	if x.lease != "" {
		ceilings = x.declare(&r, parts)
	}
	reply, err := x.commit(ctx, r)
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	x.recordReplyLocked(parts, reply, err)
	if err == nil {
		x.h.writtenAt = time.Now()
		if reply.Declared {
			x.h.core.Ceilings.ConfirmDeclaration(ceilings)
		}
	}
	return err
}

// request returns a request with the changes of the given ledgers, and with final reports that
// return the stray lots.
func (x *exchanger) request(parts []requestPart) tsbudget.Request {
	r := tsbudget.Request{VM: x.h.cfg.Self.Name, Incarnation: x.h.cfg.Self.Incarnation, Cursor: x.cursor, HoldingBefore: x.holdingBefore}
	x.h.mu.Lock()
	for _, b := range x.h.budgets {
		r.Urgent = r.Urgent || b.queue.Len() > 0
	}
	x.h.mu.Unlock()
	for _, p := range parts {
		r.Changes = append(r.Changes, p.change)
	}
	x.addReentries(&r)
	for id, lots := range x.strayLots {
		ch := tsbudget.Change{Budget: id}
		for _, l := range lots {
			ch.Reports = append(ch.Reports, tsbudget.Report{Lot: l.ID, Used: l.Used, Returned: l.Drawn - l.Used, Requests: l.Requests, Final: true})
		}
		r.Changes = append(r.Changes, ch)
	}
	return r
}

// declare adds a declaration to the request, with ceilings for the held lots and for those that the
// request draws. The holder stays within them from now on.
func (x *exchanger) declare(r *tsbudget.Request, parts []requestPart) []tsbudget.LotCeiling {
	h := x.h
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	drawn := make(map[turmericshed.BudgetID]tsbudget.Lot)
	for _, p := range parts {
		if d := p.change.Draw; d != nil {
			// The lot that is drawn may be smaller.
			drawn[p.b.id] = tsbudget.Lot{ID: d.Lot, Holder: d.Holder, Drawn: max(d.Want, d.Min)}
		}
	}
	waiting := make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, b := range h.budgets {
		var v tsbudget.View
		b.queue.Fill(&v)
		waiting[id] = v.Waiting
		h.core.SetAllowance(id, h.cfg.Placement.Decide(h.viewLocked(now, b)).Allowance)
	}
	ceilings := h.core.PlanCeilings(now, ceilingSpanIntervals*exchangeInterval, waiting, drawn)
	x.declarationSequence++
	r.Declaration = &tsbudget.Declaration{Sequence: x.declarationSequence, Lease: x.lease, Since: x.leaseSince, Ceilings: ceilings}
	h.core.Ceilings.BeginDeclaration(now, ceilings, x.leaseLearnedAt.Add(tsbudget.LeaseLength+leaseMargin))
	return ceilings
}

// commit sends one request to the ledger writer and records the cursor, the lease and the next
// request time of the reply. Errors: those of the writer; KindStoreUnavailable if another process
// is the current one of this entry VM.
func (x *exchanger) commit(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	reply, err := x.h.cfg.Writer.Commit(ctx, r)
	if err != nil {
		return reply, err
	}
	x.cursor = reply.Cursor
	x.nextRequestAt = time.Now().Add(reply.Next)
	x.setLease(reply.Lease)
	if self := r.Incarnation; reply.CurrentIncarnation != self && !r.Leave {
		x.isCurrentProcess, x.predecessor = false, reply.CurrentIncarnation
		return reply, turmericshed.NewError(turmericshed.KindStoreUnavailable, "process %q stands for this entry VM", reply.CurrentIncarnation)
	}
	return reply, nil
}

// setLease stores the lease that later declarations are bound to.
func (x *exchanger) setLease(l turmericshed.LeaseID) {
	if l == "" || l == x.lease {
		return
	}
	now := time.Now()
	x.lease, x.leaseLearnedAt, x.leaseSince = l, now, now.Round(0)
}

// recordReplyLocked records the outcome of a request.
func (x *exchanger) recordReplyLocked(parts []requestPart, reply tsbudget.Reply, err error) {
	h := x.h
	ledgers := make(map[turmericshed.BudgetID]turmericshed.Item, len(reply.Ledgers))
	if err == nil {
		h.notifiedAt = time.Now()
		x.lots, x.pools = reply.Lots, reply.Pools
		for _, b := range h.budgets {
			// The store answers again, even if no ledger has changed.
			b.storeErr = nil
		}
		for _, item := range reply.Ledgers {
			ledgers[budgetOf(item)] = item
		}
	}
	// A request that finds the store restored has reported on lots that the copy may lack. They are entered
	// again, and the reports repeated.
	isRestored := err == nil && x.holding != 0 && reply.Holding.Era() > x.holding.Era()
	for _, p := range parts {
		reports := p.change.Reports
		if isRestored {
			reports = nil
		}
		item, partErr := ledgers[p.b.id], err
		if partErr == nil {
			partErr = reply.Errs[p.b.id]
		}
		_ = h.recordWriteLocked(p.b, item, partErr, reports) // The error is stored in the budget.
		if p.draw != nil {
			h.recordDrawLocked(p.b, p.draw, item, partErr)
		}
		delete(ledgers, p.b.id)
	}
	for _, item := range ledgers {
		if err := h.mergeLedgerLocked(item); err != nil {
			h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Reason: err.Error()})
		}
	}
	if err == nil {
		x.confirmLotsLocked(reply.Holding)
		x.findStrayLotsLocked()
	}
}

// findStrayLotsLocked finds the lots in the holding that are neither held here nor the outcome of a
// pending draw.
func (x *exchanger) findStrayLotsLocked() {
	x.strayLots = make(map[turmericshed.BudgetID][]tsbudget.Lot)
	for id, lots := range x.lots {
		b := x.h.budgets[id]
		for _, l := range lots {
			if x.h.core.Holds(id, l.ID) || (b != nil && b.pendingDraw != nil && b.pendingDraw.Lot == l.ID) {
				continue
			}
			x.strayLots[id] = append(x.strayLots[id], l)
			x.h.cfg.Recorder.Record(turmericshed.Event{
				Name: turmericshed.EventLotClosed, Lot: l.ID, Tokens: l.Charge(), Reason: "drawn after the draw was given up; goes back",
			})
		}
	}
}

// recordFailure records for the rounds that the store was not reached.
func (x *exchanger) recordFailure(parts []requestPart, err error) {
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	for _, p := range parts {
		p.b.storeErr = err
		if p.draw != nil && p.draw != p.b.pendingDraw {
			p.b.nextDraw = time.Now().Add(exhaustedPause)
		}
	}
}
