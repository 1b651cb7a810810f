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

// kickLocked asks for a round of a budget.
func (h *Holder) kickLocked(b *budget) {
	if b.running {
		b.again = true
		return
	}
	if h.cfg.Writer != nil {
		b.queued = true
		if b.queue.Len() > 0 {
			h.askRaise()
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
		// The scan comes back to it.
	}
}

// kickIfLowLocked asks for a round ahead of demand.
func (h *Holder) kickIfLowLocked(now time.Time, b *budget) {
	if b.running || b.queued {
		return
	}
	v := h.viewLocked(now, b)
	d := h.cfg.Placement.Decide(v)
	if d.Borrow || (d.Draw && !now.Before(b.nextDraw)) {
		h.kickLocked(b)
	}
}

// beginRound claims the budget for a round. While draining, only the rounds
// of the drain begin.
func (h *Holder) beginRound(id turmericshed.BudgetID, draining bool) (*budget, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[id]
	if b == nil || h.draining != draining {
		return nil, false
	}
	b.queued = false
	if b.running {
		b.again = true
		return nil, false
	}
	b.running, b.again = true, false
	b.begun++
	return b, true
}

func (h *Holder) endRound(b *budget) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b.running, b.ended = false, b.begun
	if b.waitRound != nil {
		close(b.waitRound)
		b.waitRound = nil
	}
	h.grantLocked(now, b)
	b.starved = b.queue.Len() > 0
	h.refuseLocked(now, b)
	if b.queue.Len() > 0 && h.core.Available(b.id) > 0 {
		h.askRaise()
	}
	if b.again && !h.draining {
		h.kickLocked(b)
	}
}

// round is one pass over a budget.
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
		h.core.Retire(b.id, d.Keep)
		h.mu.Unlock()
	}
	_ = h.repay(ctx, b, false)
	if d.Borrow {
		d.Draw = !h.borrowFromHome(ctx, b, d)
	}
	h.exchange(ctx, b, d, waiting)
	if h.stillShort(b) {
		missing = !h.borrowAnywhere(ctx, b)
	}
	h.collect(ctx, b)
	h.mu.Lock()
	b.peersMissing = missing
	h.mu.Unlock()
}

// decide returns what the placement wants, and whether requests wait.
func (h *Holder) decide(now time.Time, b *budget) (tsbudget.Decision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.viewLocked(now, b)
	d := h.cfg.Placement.Decide(v)
	if b.closed {
		h.core.Retire(b.id, 0)
		return tsbudget.Decision{}, false
	}
	return d, v.Waiting > 0
}

// stillShort reports whether requests wait for more than is available.
func (h *Holder) stillShort(b *budget) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grantLocked(now, b)
	return b.queue.Len() > 0 && !b.closed
}

// exchange draws a lot and reports usage, in one write.
func (h *Holder) exchange(ctx context.Context, b *budget, d tsbudget.Decision, waiting bool) {
	h.mu.Lock()
	p := h.planLocked(time.Now(), b, d, waiting)
	h.mu.Unlock()
	if p.mutation == nil || (!waiting && !h.limiter.Allow()) {
		return
	}
	item, err := h.update(ctx, b, p.mutation, p.reports)
	if p.draw != nil {
		h.afterDraw(b, p.draw, item, err)
	}
}

// plan is what a round writes to a ledger.
type plan struct {
	// mutation is nil when there is nothing to write.
	mutation tsupdate.Mutation
	draw     *unansweredDraw
	reports  []tsbudget.Report
}

func (h *Holder) planLocked(now time.Time, b *budget, d tsbudget.Decision, waiting bool) plan {
	p := plan{reports: h.core.Reports(b.id, false), draw: h.drawRequestLocked(now, b, d, waiting)}
	age := now.Sub(b.reportedAt)
	due := b.closed || d.Return || (d.Report && age >= edgeReport) || h.viewLocked(now, b).ReportDue(age)
	if p.draw != nil && p.draw != b.draw && h.knownEmptyLocked(now, b, p.draw.DrawRequest, waiting) {
		p.draw = nil
	}
	switch {
	case p.draw != nil:
		p.mutation = tsbudget.Exchange(p.draw.DrawRequest, p.reports...)
	case len(p.reports) > 0 && due:
		p.mutation = tsbudget.Settle(p.reports...)
	default:
		// What is not written must not be acknowledged.
		p.reports = nil
	}
	return p
}

// roomLocked returns what can be drawn of a budget: what its ledger has, and the
// failure domain's pool.
func (h *Holder) roomLocked(b *budget) turmericshed.Tokens {
	return b.ledger.Room + h.exchanger.pools[b.id]
}

// knownEmptyLocked reports whether the ledger as last read has no room for a
// draw, so that it is not asked again: at all for a draw ahead of demand, and
// for a while for one that requests wait for.
func (h *Holder) knownEmptyLocked(now time.Time, b *budget, r tsbudget.DrawRequest, waiting bool) bool {
	trusted, at := knownEmptyFor, b.ledger.At
	if h.toldAt.After(at) {
		trusted, at = toldEmptyFor, h.toldAt
	}
	if b.item.Version == 0 || (waiting && now.Sub(at) > trusted) {
		return false
	}
	if h.roomLocked(b) >= max(r.Min, 1) {
		return false
	}
	b.nextDraw = now.Add(exhaustedPause)
	return true
}

// drawRequestLocked returns the draw to make, if any: first of all one whose
// answer was lost.
func (h *Holder) drawRequestLocked(now time.Time, b *budget, d tsbudget.Decision, waiting bool) *unansweredDraw {
	if b.closed {
		return nil
	}
	if b.draw != nil {
		return b.draw
	}
	if !d.Draw || (now.Before(b.nextDraw) && !waiting) || now.Before(b.nextDraw.Add(waitingPause-exhaustedPause)) {
		return nil
	}
	return &unansweredDraw{DrawRequest: tsbudget.DrawRequest{
		Lot: h.newLotLocked(), Holder: h.cfg.Self.Incarnation, FailureDomain: h.cfg.Self.FailureDomain,
		Want: d.Want, Min: d.Min, Share: d.Share, Rate: max(d.Rate, h.core.View(now, b.id).Rate), At: now,
	}}
}

// newLotLocked returns the id of a new lot. In a holding a short one is wanted,
// and no other process uses this one's incarnation.
func (h *Holder) newLotLocked() turmericshed.LotID {
	if h.cfg.Writer == nil {
		return turmericshed.LotID(h.cfg.NewID("lot-"))
	}
	h.lots++
	return tsbudget.NewLotID(h.cfg.Self.Incarnation, strconv.Itoa(h.lots))
}

// update runs one change of the ledger and takes in what it read. The reports
// are acknowledged when the change stands.
func (h *Holder) update(ctx context.Context, b *budget, m tsupdate.Mutation, reports []tsbudget.Report) (turmericshed.Item, error) {
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
	return item, h.takeWriteLocked(b, item, err, reports)
}

// takeWriteLocked takes in the outcome of a ledger's change. It returns err,
// or why the ledger can't be read.
func (h *Holder) takeWriteLocked(b *budget, item turmericshed.Item, err error, reports []tsbudget.Report) error {
	now := time.Now()
	l, decodeErr := h.decodeLocked(item)
	b.item = turmericshed.Item{}
	if err == nil {
		b.item = item
	}
	read := decodeErr == nil && (err == nil || readKind(err))
	b.storeErr = nil
	if !read {
		b.storeErr = err
		if err == nil {
			b.storeErr = decodeErr
		}
		return b.storeErr
	}
	h.readLocked(b, item, l, now)
	if err == nil && len(reports) > 0 {
		h.acknowledgeLocked(b, reports)
		b.reportedAt = now
	}
	return err
}

// decodeLocked reads a ledger, with the own lots in it.
func (h *Holder) decodeLocked(item turmericshed.Item) (tsbudget.Ledger, error) {
	l, err := tsbudget.Decode(item)
	if err == nil && h.cfg.Writer != nil {
		l = l.Join(h.exchanger.lots[l.Budget])
	}
	return l, err
}

// readKind reports whether the error is the ledger's own answer, after it was
// read.
func readKind(err error) bool {
	switch turmericshed.KindOf(err) {
	case turmericshed.KindBudgetExhausted, turmericshed.KindConflict, turmericshed.KindNotFound:
		return true
	default:
		return false
	}
}

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

// afterDraw takes the outcome of a draw: the lot, a certain refusal, or an
// answer that was lost.
func (h *Holder) afterDraw(b *budget, draw *unansweredDraw, item turmericshed.Item, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeDrawLocked(b, draw, item, err)
}

func (h *Holder) takeDrawLocked(b *budget, draw *unansweredDraw, item turmericshed.Item, err error) {
	now := time.Now()
	l, decodeErr := h.decodeLocked(item)
	if turmericshed.KindOf(err) == turmericshed.KindStoreUnknown {
		draw.seen = max(draw.seen, item.Version)
		b.draw = draw
		return
	}
	if b.draw != nil && err != nil && item.Version <= b.draw.seen {
		// The write whose answer was lost may still land.
		return
	}
	b.draw = nil
	event := turmericshed.Event{Profile: b.profile.Name, Lot: draw.Lot}
	if err == nil && decodeErr == nil {
		if lot, ok := l.Lot(draw.Lot); ok {
			h.core.AddLot(b.id, lot, "")
			event.Name, event.Tokens = turmericshed.EventLotDrawn, lot.Drawn
			event.Reason = fmt.Sprintf("version %d: room %d, unspent %d of %d, held by others %d, forfeited %d", item.Version, l.Room(), b.ledger.Unspent, b.ledger.Limit, b.ledger.Others, l.Forfeited)
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

// repair brings the ledger in line with an edited or closed profile.
func (h *Holder) repair(ctx context.Context, b *budget) {
	h.mu.Lock()
	p, known := b.profile, b.ledger
	stale := h.cfg.Keeper.Stale(known, p) || (known.Read && p.Closed && !b.closed)
	h.mu.Unlock()
	if !stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := h.cfg.Keeper.Repair(ctx, h.cfg.Store, p)
	l, decodeErr := tsbudget.Decode(item)
	if err != nil || decodeErr != nil {
		h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Profile: p.Name, Reason: "ledger not brought in line: " + errors.Join(err, decodeErr).Error()})
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readLocked(b, item, l, time.Now())
}

// collect closes the lots of holders that are gone. That frees nothing and
// only keeps the ledger small, so it may wait.
func (h *Holder) collect(ctx context.Context, b *budget) {
	now := time.Now()
	h.mu.Lock()
	ids := h.deadLotsLocked(now, b)
	home := len(ids) > 0 && h.viewLocked(now, b).Home
	h.mu.Unlock()
	if !home || !h.limiter.Allow() {
		return
	}
	if _, err := h.update(ctx, b, tsbudget.Close(ids...), nil); err != nil {
		return
	}
	for _, id := range ids {
		h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotClosed, Profile: b.profile.Name, Lot: id})
	}
}

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
			if ok && now.Sub(since) >= closeAfter {
				ids = append(ids, l.ID)
			}
		case turmericshed.MemberUnknown:
			if now.Sub(l.At) >= unknownCloseAfter {
				ids = append(ids, l.ID)
			}
		default:
			delete(h.goneSince, l.Holder)
		}
	}
	return ids
}
