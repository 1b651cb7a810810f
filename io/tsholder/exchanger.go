package tsholder

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

const (
	// exchangeInterval is the time between looks for something to write, where
	// the ledgers' writer asks for no other. The ceilings are written again at
	// each look while anything is held.
	exchangeInterval = time.Second
	// raisePause gathers requests that wait before a write that they asked
	// for.
	raisePause = 10 * time.Millisecond
	// commitTimeout bounds one request to the ledgers' writer,
	// crowdedCommitTimeout while its answer has to pass a crowded link.
	commitTimeout        = 2500 * time.Millisecond
	crowdedCommitTimeout = 4 * time.Second
	// ceilingsDue is the part of an interval from which the ceilings are
	// written again.
	ceilingsDue = 0.5
	// ceilingSpan is the demand that the ceilings allow for, in intervals: most
	// of a lease's length. What comes beyond asks for a write, and in a cut
	// waits for the lease's end; a longer span costs more at a crash.
	ceilingSpan = 3
	// leaseMargin allows for clocks that don't run quite evenly.
	leaseMargin = 100 * time.Millisecond
)

// exchanger keeps the ledgers, the own lots and the ceilings in step with the
// store: all that is due goes to the ledgers' writer in one request. It runs
// the rounds of all budgets.
type exchanger struct {
	h *Holder

	// mu is held for a request, since a stop ends lots beside the loop.
	mu sync.Mutex
	// standing is true once this process stands for its entry VM, previous is
	// the one to take it over from.
	standing bool
	previous turmericshed.Incarnation
	cursor   tsbudget.Cursor
	// lease is what the next declaration is bound to. It was learned of at
	// learned, by this process's clock, and at since by the time of day.
	lease    turmericshed.LeaseID
	learned  time.Time
	since    time.Time
	sequence int64
	// next is when the ledgers' writer expects the next request.
	next time.Time
	// strays are lots that stand in the holding and are not held here: a draw
	// that was given up was carried out late.
	strays map[turmericshed.BudgetID][]tsbudget.Lot

	// lots are those of the holding, and pools what the domain can give of
	// budgets without their ledgers, under the holder's mutex.
	lots  map[turmericshed.BudgetID][]tsbudget.Lot
	pools map[turmericshed.BudgetID]turmericshed.Tokens
}

func newExchanger(h *Holder) *exchanger { return &exchanger{h: h} }

// Serve writes until ctx ends.
func (x *exchanger) Serve(ctx context.Context) error {
	failing := false
	for {
		err := x.exchange(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			event := turmericshed.Event{Name: turmericshed.EventStoreBack, Reason: "ledgers and ceilings written"}
			if failing {
				event.Name, event.Reason = turmericshed.EventStoreLost, "ledgers and ceilings not written: "+err.Error()
			}
			x.h.cfg.Recorder.Record(event)
		}
		x.h.grantAll()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(x.untilNext(time.Now())):
		case <-x.h.raise:
			time.Sleep(raisePause)
		}
	}
}

// untilNext returns the time until the next look.
func (x *exchanger) untilNext(now time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if wait := x.next.Sub(now); wait > 0 {
		return wait
	}
	return exchangeInterval
}

// askRaise asks for a write before its time.
func (h *Holder) askRaise() {
	select {
	case h.raise <- struct{}{}:
	default:
	}
}

// grantAll serves the requests that waited for higher ceilings.
func (h *Holder) grantAll() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		h.grantLocked(now, b)
	}
}

// part is one budget's round in a request.
type part struct {
	b      *budget
	change tsbudget.Change
	draw   *unansweredDraw
	// due is false when there is nothing to write.
	due bool
	// blind is true when the ledger was not known at the decision.
	blind bool
}

// exchange writes what is due, if anything is.
func (x *exchanger) exchange(ctx context.Context) error {
	parts := x.begin()
	defer x.end(ctx, parts)
	due := make([]part, 0, len(parts))
	for _, p := range parts {
		if p.due {
			due = append(due, p)
		}
	}
	if len(due) == 0 && !x.ceilingsDue(time.Now()) {
		return nil
	}
	return x.write(ctx, due)
}

// end closes the rounds: requests are granted or refused.
func (x *exchanger) end(ctx context.Context, parts []part) {
	h := x.h
	for _, p := range parts {
		missing := h.stillShort(p.b) && !h.borrowAnywhere(ctx, p.b)
		h.mu.Lock()
		p.b.peersMissing = missing
		read := p.b.ledger.Read
		h.mu.Unlock()
		h.endRound(p.b)
		if p.blind && read {
			// Now it is known how much there is to draw.
			h.mu.Lock()
			h.kickLocked(p.b)
			h.askRaise()
			h.mu.Unlock()
		}
	}
}

// begin starts the rounds of the budgets that asked for one. When there are
// any, those that would ask soon are taken along.
func (x *exchanger) begin() []part {
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
	var parts []part
	for _, id := range ids {
		if b, ok := h.beginRound(id, false); ok {
			parts = append(parts, h.joinRound(b))
		}
	}
	return parts
}

// joinRound decides what a budget's round writes.
func (h *Holder) joinRound(b *budget) part {
	now := time.Now()
	d, waiting := h.decide(now, b)
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Return {
		h.core.Retire(b.id, d.Keep)
	}
	d.Draw = d.Draw || d.TopUp
	stale := h.cfg.Keeper.Stale(b.ledger, b.profile)
	if stale {
		// What is known of the ledger tells nothing of what it will have.
		b.item = turmericshed.Item{}
	}
	plan := h.planLocked(now, b, d, waiting)
	p := part{
		b: b, blind: !b.ledger.Read, due: plan.mutation != nil || stale, draw: plan.draw,
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

// ceilingsDue reports whether the ceilings must be written although no ledger
// is: they age, requests wait for higher ones, or soon will.
func (x *exchanger) ceilingsDue(now time.Time) bool {
	h := x.h
	h.mu.Lock()
	defer h.mu.Unlock()
	held := false
	for id, b := range h.budgets {
		v := h.core.View(now, id)
		if v.Available+v.Reserved == 0 {
			continue
		}
		held = true
		spendable := h.core.Spendable(now, id)
		soon := turmericshed.Tokens(v.Arriving * exchangeInterval.Seconds())
		if spendable < v.Available && (b.queue.Len() > 0 || spendable < soon) {
			return true
		}
	}
	return held && now.Sub(h.written).Seconds() >= ceilingsDue*exchangeInterval.Seconds()
}

// write sends one request: the changes of some ledgers, and the ceilings.
func (x *exchanger) write(ctx context.Context, parts []part) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, turmericshed.Patience(x.h.cfg.Link, commitTimeout, crowdedCommitTimeout))
	defer cancel()
	if err := x.stand(ctx); err != nil {
		x.fail(parts, err)
		return err
	}
	r := x.request(parts)
	var list []tsbudget.LotCeiling
	if x.lease != "" {
		list = x.declare(&r, parts)
	}
	reply, err := x.send(ctx, r)
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	x.takeLocked(parts, reply, err)
	if err == nil {
		x.h.written = time.Now()
		if reply.Declared {
			x.h.core.Ceilings.Sent(list)
		}
	}
	return err
}

// request returns a request with the changes of some ledgers. Strays are given
// back along with them.
func (x *exchanger) request(parts []part) tsbudget.Request {
	r := tsbudget.Request{VM: x.h.cfg.Self.Name, Incarnation: x.h.cfg.Self.Incarnation, Cursor: x.cursor}
	x.h.mu.Lock()
	for _, b := range x.h.budgets {
		r.Urgent = r.Urgent || b.queue.Len() > 0
	}
	x.h.mu.Unlock()
	for _, p := range parts {
		r.Changes = append(r.Changes, p.change)
	}
	for id, lots := range x.strays {
		ch := tsbudget.Change{Budget: id}
		for _, l := range lots {
			ch.Reports = append(ch.Reports, tsbudget.Report{Lot: l.ID, Used: l.Used, Returned: l.Drawn - l.Used, Requests: l.Requests, Final: true})
		}
		r.Changes = append(r.Changes, ch)
	}
	return r
}

// declare adds the ceilings for the lots held and those that the request
// draws. From now on they are kept to.
func (x *exchanger) declare(r *tsbudget.Request, parts []part) []tsbudget.LotCeiling {
	h := x.h
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	drawn := make(map[turmericshed.BudgetID]tsbudget.Lot)
	for _, p := range parts {
		if d := p.change.Draw; d != nil {
			// The lot may turn out smaller.
			drawn[p.b.id] = tsbudget.Lot{ID: d.Lot, Holder: d.Holder, Drawn: max(d.Want, d.Min)}
		}
	}
	waiting := make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, b := range h.budgets {
		var v tsbudget.View
		b.queue.Fill(&v)
		waiting[id] = v.Waiting
	}
	list := h.core.WantCeilings(now, ceilingSpan*exchangeInterval, waiting, drawn)
	x.sequence++
	r.Declaration = &tsbudget.Declaration{Sequence: x.sequence, Lease: x.lease, Since: x.since, Ceilings: list}
	h.core.Ceilings.Sending(now, list, x.learned.Add(tsbudget.LeaseLength+leaseMargin))
	return list
}

// send makes one request of the process that stands for the entry VM.
func (x *exchanger) send(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	reply, err := x.h.cfg.Writer.Commit(ctx, r)
	if err != nil {
		return reply, err
	}
	x.cursor = reply.Cursor
	x.next = time.Now().Add(reply.Next)
	x.learn(reply.Lease)
	if self := r.Incarnation; reply.Standing != self && !r.Leave {
		x.standing, x.previous = false, reply.Standing
		return reply, turmericshed.NewError(turmericshed.KindStoreUnavailable, "process %q stands for this entry VM", reply.Standing)
	}
	return reply, nil
}

// learn keeps the lease that declarations are bound to from now on.
func (x *exchanger) learn(l turmericshed.LeaseID) {
	if l == "" || l == x.lease {
		return
	}
	now := time.Now()
	x.lease, x.learned, x.since = l, now, now.Round(0)
}

// takeLocked takes in the outcome of a request.
func (x *exchanger) takeLocked(parts []part, reply tsbudget.Reply, err error) {
	h := x.h
	ledgers := make(map[turmericshed.BudgetID]turmericshed.Item, len(reply.Ledgers))
	if err == nil {
		h.toldAt = time.Now()
		x.lots, x.pools = reply.Lots, reply.Pools
		for _, b := range h.budgets {
			// The store answers again, also where it tells nothing new.
			b.storeErr = nil
		}
		for _, item := range reply.Ledgers {
			ledgers[budgetOf(item)] = item
		}
	}
	for _, p := range parts {
		item, partErr := ledgers[p.b.id], err
		if partErr == nil {
			partErr = reply.Errs[p.b.id]
		}
		_ = h.takeWriteLocked(p.b, item, partErr, p.change.Reports) // Each budget keeps its own error.
		if p.draw != nil {
			h.takeDrawLocked(p.b, p.draw, item, partErr)
		}
		delete(ledgers, p.b.id)
	}
	for _, item := range ledgers {
		if err := h.takeLedgerLocked(item); err != nil {
			h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Reason: err.Error()})
		}
	}
	if err == nil {
		x.findStraysLocked()
	}
}

// findStraysLocked looks for lots in the holding that are not held here, and
// that no draw without an answer may still turn out to be.
func (x *exchanger) findStraysLocked() {
	x.strays = make(map[turmericshed.BudgetID][]tsbudget.Lot)
	for id, lots := range x.lots {
		b := x.h.budgets[id]
		for _, l := range lots {
			if x.h.core.Holds(id, l.ID) || (b != nil && b.draw != nil && b.draw.Lot == l.ID) {
				continue
			}
			x.strays[id] = append(x.strays[id], l)
			x.h.cfg.Recorder.Record(turmericshed.Event{
				Name: turmericshed.EventLotClosed, Lot: l.ID, Tokens: l.Charge(), Reason: "drawn after the draw was given up; goes back",
			})
		}
	}
}

// fail tells the rounds of ledgers that the store was not reached.
func (x *exchanger) fail(parts []part, err error) {
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	for _, p := range parts {
		p.b.storeErr = err
		if p.draw != nil && p.draw != p.b.draw {
			p.b.nextDraw = time.Now().Add(exhaustedPause)
		}
	}
}
