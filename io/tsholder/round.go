package tsholder

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// scheduleRoundLocked schedules a round of a budget. If one is running, another one follows it.
func (h *Holder) scheduleRoundLocked(b *budget) {
	if b.running {
		b.rerun = true
		return
	}
	if h.cfg.Writer != nil {
		b.queued = true
		if b.queue.Len() > 0 {
			h.requestWrite()
		}
		return
	}
	if b.queued {
		return
	}
	select {
	case h.work <- b.id:
		b.queued = true
	default:
		// The work queue is full; a later scan schedules the round.
	}
}

// scheduleRoundIfLowLocked schedules a round if the placement requests tokens ahead of demand.
func (h *Holder) scheduleRoundIfLowLocked(now time.Time, b *budget) {
	if b.running || b.queued {
		return
	}
	v := h.viewLocked(now, b)
	d := h.cfg.Placement.Decide(v)
	if d.Borrow || (d.Draw && !now.Before(b.nextDraw)) {
		h.scheduleRoundLocked(b)
	}
}

// beginRound marks a round of the budget as running and reports whether the caller may run it.
// While draining, only the rounds of the drain start.
func (h *Holder) beginRound(id turmericshed.BudgetID, draining bool) (*budget, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[id]
	if b == nil || h.draining != draining {
		return nil, false
	}
	b.queued = false
	if b.running {
		b.rerun = true
		return nil, false
	}
	b.running, b.rerun = true, false
	b.roundsStarted++
	return b, true
}

// endRound marks the round as ended, grants or refuses the waiting requests, and schedules the next
// round if one was requested meanwhile.
func (h *Holder) endRound(b *budget) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b.running, b.lastEndedRound = false, b.roundsStarted
	if b.roundDone != nil {
		close(b.roundDone)
		b.roundDone = nil
	}
	h.grantLocked(now, b)
	b.starved = b.queue.Len() > 0
	h.refuseLocked(now, b)
	if b.queue.Len() > 0 && h.core.Available(b.id) > 0 {
		h.requestWrite()
	}
	if b.rerun && !h.draining {
		h.scheduleRoundLocked(b)
	}
}

// round runs one pass over a budget.
func (h *Holder) round(ctx context.Context, id turmericshed.BudgetID) {
	b, ok := h.beginRound(id, false)
	if !ok {
		return
	}
	defer h.endRound(b)
	begin := time.Now()
	h.repair(ctx, b)
	d, waiting := h.decide(begin, b)
	missing := false
	if d.Return {
		h.mu.Lock()
		h.core.ReturnSurplus(b.id, d.Keep)
		h.mu.Unlock()
	}
	_ = h.repay(ctx, b, false)
	if d.Borrow {
		d.Draw = !h.borrowFromHome(ctx, b, d)
	}
	h.exchange(ctx, b, d, waiting)
	if h.hasUnservedRequests(b) {
		missing = !h.borrowAnywhere(ctx, b)
	}
	h.closeDeadLots(ctx, b)
	h.mu.Lock()
	b.peersMissing = missing
	h.mu.Unlock()
}

// decide returns the decision of the placement, and whether requests wait. For a closed budget it
// retires all lots and returns no decision.
func (h *Holder) decide(now time.Time, b *budget) (tsbudget.Decision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.viewLocked(now, b)
	d := h.cfg.Placement.Decide(v)
	if b.closed {
		h.core.ReturnSurplus(b.id, 0)
		return tsbudget.Decision{}, false
	}
	return d, v.Waiting > 0
}

// hasUnservedRequests grants the waiting requests that fit, and reports whether others still wait.
// It returns false for a closed budget.
func (h *Holder) hasUnservedRequests(b *budget) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grantLocked(now, b)
	return b.queue.Len() > 0 && !b.closed
}

// exchange draws a lot and reports usage in one write.
func (h *Holder) exchange(ctx context.Context, b *budget, d tsbudget.Decision, waiting bool) {
	h.mu.Lock()
	p := h.planLocked(time.Now(), b, d, waiting)
	h.mu.Unlock()
	if p.mutation == nil || (!waiting && !h.limiter.Allow()) {
		return
	}
	item, err := h.updateLedger(ctx, b, p.mutation, p.reports)
	if p.draw != nil {
		h.recordDraw(b, p.draw, item, err)
	}
}

// plan is the write of a round to a ledger.
type plan struct {
	// mutation is nil if there is nothing to write.
	mutation tsupdate.Mutation
	draw     *unansweredDraw
	reports  []tsbudget.Report
}

// planLocked decides what a round writes: a draw with all reports, or the reports that are due.
func (h *Holder) planLocked(now time.Time, b *budget, d tsbudget.Decision, waiting bool) plan {
	p := plan{reports: h.core.Reports(b.id, false), draw: h.drawRequestLocked(now, b, d, waiting)}
	age := now.Sub(b.reportedAt)
	due := b.closed || d.Return || (d.Report && age >= minReportInterval) || h.viewLocked(now, b).ReportDue(age)
	if p.draw != nil && p.draw != b.pendingDraw && h.knownEmptyLocked(now, b, p.draw.DrawRequest, waiting) {
		p.draw = nil
	}
	switch {
	case p.draw != nil:
		p.mutation = tsbudget.SettleAndDraw(p.draw.DrawRequest, p.reports...)
	case len(p.reports) > 0 && due:
		p.mutation = tsbudget.Settle(p.reports...)
	default:
		// Reports that are not written must not be acknowledged.
		p.reports = nil
	}
	return p
}

// drawableAmountLocked returns the amount of a budget that can be drawn: from its ledger, and from
// the pool of the failure domain.
func (h *Holder) drawableAmountLocked(b *budget) turmericshed.Tokens {
	return b.ledger.Undrawn + h.exchanger.pools[b.id]
}

// knownEmptyLocked reports whether the cached ledger has too little left for a draw, so that the
// store is not queried; if so, it delays the next draw. A draw ahead of demand relies on the cached
// ledger at any age, one that requests wait for only up to a maximum age.
func (h *Holder) knownEmptyLocked(now time.Time, b *budget, r tsbudget.DrawRequest, waiting bool) bool {
	maxAge, at := emptyLedgerMaxAge, b.ledger.At
	if h.notifiedAt.After(at) {
		maxAge, at = notifiedEmptyLedgerMaxAge, h.notifiedAt
	}
	if b.item.Version == 0 || (waiting && now.Sub(at) > maxAge) {
		return false
	}
	if h.drawableAmountLocked(b) >= max(r.Min, 1) {
		return false
	}
	b.nextDraw = now.Add(exhaustedPause)
	return true
}

// drawRequestLocked returns the draw to make, or nil. A draw whose answer was lost is repeated
// first.
func (h *Holder) drawRequestLocked(now time.Time, b *budget, d tsbudget.Decision, waiting bool) *unansweredDraw {
	if b.closed {
		return nil
	}
	if b.pendingDraw != nil {
		return b.pendingDraw
	}
	if !d.Draw || (now.Before(b.nextDraw) && !waiting) || now.Before(b.nextDraw.Add(waitingPause-exhaustedPause)) {
		return nil
	}
	return &unansweredDraw{DrawRequest: tsbudget.DrawRequest{
		Lot: h.newLotLocked(), Holder: h.cfg.Self.Incarnation, FailureDomain: h.cfg.Self.FailureDomain,
		Want: d.Want, Min: d.Min, Share: d.Share, KeepUndrawn: d.KeepUndrawn, Rate: max(d.Rate, h.core.View(now, b.id).Rate), At: now,
	}}
}

// newLotLocked returns the id of a new lot. In a holding ids are short: the sequence number
// suffices, since no other process has this incarnation.
func (h *Holder) newLotLocked() turmericshed.LotID {
	if h.cfg.Writer == nil {
		return turmericshed.LotID(h.cfg.NewID("lot-"))
	}
	h.lotSequence++
	return tsbudget.NewLotID(h.cfg.Self.Incarnation, strconv.Itoa(h.lotSequence))
}

// updateLedger applies one mutation to the ledger and records what was read. The reports are
// acknowledged if the write succeeded.
func (h *Holder) updateLedger(ctx context.Context, b *budget, m tsupdate.Mutation, reports []tsbudget.Report) (turmericshed.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h.mu.Lock()
	u := tsupdate.New(tsbudget.Key(b.id), m)
	if b.item.Version != 0 {
		u = tsupdate.NewFrom(b.item, m)
	}
	h.mu.Unlock()
	item, err := tsupdate.Run(ctx, h.cfg.Store, u)
	h.mu.Lock()
	defer h.mu.Unlock()
	return item, h.recordWriteLocked(b, item, err, reports)
}

// recordWriteLocked records the outcome of a ledger's change. It returns err, or the reason why the
// ledger cannot be decoded.
func (h *Holder) recordWriteLocked(b *budget, item turmericshed.Item, err error, reports []tsbudget.Report) error {
	now := time.Now()
	l, decodeErr := h.decodeLedgerLocked(item)
	b.item = turmericshed.Item{}
	if err == nil {
		b.item = item
	}
	read := decodeErr == nil && (err == nil || ledgerWasRead(err))
	b.storeErr = nil
	if !read {
		b.storeErr = err
		if err == nil {
			b.storeErr = decodeErr
		}
		return b.storeErr
	}
	h.setLedgerLocked(b, item, l, now)
	if err == nil && len(reports) > 0 {
		h.acknowledgeLocked(b, reports)
		b.reportedAt = now
	}
	return err
}

// decodeLedgerLocked decodes a ledger and adds the local lots, which a Writer stores separately.
func (h *Holder) decodeLedgerLocked(item turmericshed.Item) (tsbudget.Ledger, error) {
	l, err := tsbudget.Decode(item)
	if err == nil && h.cfg.Writer != nil {
		l = l.WithLots(h.exchanger.lots[l.Budget])
	}
	return l, err
}

// ledgerWasRead reports whether the error was returned after the ledger had been read, such as a
// refused draw, rather than by an unreachable store.
func ledgerWasRead(err error) bool {
	switch turmericshed.KindOf(err) {
	case turmericshed.KindBudgetExhausted, turmericshed.KindConflict, turmericshed.KindNotFound:
		return true
	default:
		return false
	}
}

// acknowledgeLocked records that the ledger has taken the reports.
func (h *Holder) acknowledgeLocked(b *budget, reports []tsbudget.Report) {
	h.core.Acknowledge(b.id, reports)
	for _, r := range reports {
		name := turmericshed.EventLotSettled
		if r.Final {
			name = turmericshed.EventLotReturned
		}
		h.cfg.Recorder.Record(turmericshed.Event{Name: name, Profile: b.profile.Name, Lot: r.Lot, Tokens: r.Used})
	}
}

// recordDraw records the outcome of a draw: the lot, a definite refusal, or a lost answer.
func (h *Holder) recordDraw(b *budget, draw *unansweredDraw, item turmericshed.Item, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordDrawLocked(b, draw, item, err)
}

func (h *Holder) recordDrawLocked(b *budget, draw *unansweredDraw, item turmericshed.Item, err error) {
	now := time.Now()
	l, decodeErr := h.decodeLedgerLocked(item)
	if turmericshed.KindOf(err) == turmericshed.KindStoreUnknown {
		draw.seenVersion = max(draw.seenVersion, item.Version)
		b.pendingDraw = draw
		return
	}
	if b.pendingDraw != nil && err != nil && item.Version <= b.pendingDraw.seenVersion {
		// The write whose answer was lost may still succeed.
		return
	}
	b.pendingDraw = nil
	event := turmericshed.Event{Profile: b.profile.Name, Lot: draw.Lot}
	if err == nil && decodeErr == nil {
		if lot, ok := l.Lot(draw.Lot); ok {
			h.core.AddLot(b.id, lot, "")
			event.Name, event.Tokens = turmericshed.EventLotDrawn, lot.Drawn
			event.Reason = fmt.Sprintf("version %d: room %d, unspent %d of %d, held by others %d, forfeited %d", item.Version, l.Undrawn(), b.ledger.Unspent, b.ledger.Limit, b.ledger.Others, l.Forfeited)
			h.cfg.Recorder.Record(event)
			return
		}
	}
	b.nextDraw = now.Add(exhaustedPause)
	event.Name, event.Tokens = turmericshed.EventLotRefused, draw.Min
	if err != nil {
		event.Reason = err.Error()
	}
	h.cfg.Recorder.Record(event)
}

// repair aligns the ledger with an edited or closed profile.
func (h *Holder) repair(ctx context.Context, b *budget) {
	h.mu.Lock()
	p, known := b.profile, b.ledger
	stale := h.cfg.Reconciler.Stale(known, p) || (known.Read && p.Closed && !b.closed)
	h.mu.Unlock()
	if !stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := h.cfg.Reconciler.Repair(ctx, h.cfg.Store, p)
	l, decodeErr := tsbudget.Decode(item)
	if err != nil || decodeErr != nil {
		h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Profile: p.Name, Reason: "ledger not brought in line: " + errors.Join(err, decodeErr).Error()})
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLedgerLocked(b, item, l, time.Now())
}

// closeDeadLots closes the lots of holders that are gone. This frees no tokens and only keeps the
// ledger small, so it has low priority.
func (h *Holder) closeDeadLots(ctx context.Context, b *budget) {
	now := time.Now()
	h.mu.Lock()
	ids := h.deadLotsLocked(now, b)
	isHome := len(ids) > 0 && h.viewLocked(now, b).Home
	h.mu.Unlock()
	if !isHome || !h.limiter.Allow() {
		return
	}
	if _, err := h.updateLedger(ctx, b, tsbudget.Close(ids...), nil); err != nil {
		return
	}
	for _, id := range ids {
		h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotClosed, Profile: b.profile.Name, Lot: id})
	}
}

// deadLotsLocked returns the lots whose holders have been gone, or unknown, for long enough.
func (h *Holder) deadLotsLocked(now time.Time, b *budget) []turmericshed.LotID {
	var ids []turmericshed.LotID
	for _, l := range b.lots {
		if l.Holder == h.cfg.Self.Incarnation {
			continue
		}
		switch h.cfg.Members.State(l.Holder) {
		case turmericshed.MemberGone, turmericshed.MemberLeft:
			since, ok := h.goneSince[l.Holder]
			if !ok {
				h.goneSince[l.Holder] = now
			}
			if ok && now.Sub(since) >= closeLotAfterGone {
				ids = append(ids, l.ID)
			}
		case turmericshed.MemberUnknown:
			if now.Sub(l.At) >= closeLotUnknownHolderAge {
				ids = append(ids, l.ID)
			}
		default:
			delete(h.goneSince, l.Holder)
		}
	}
	return ids
}
