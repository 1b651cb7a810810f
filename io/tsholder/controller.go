package tsholder

import (
	"context"
	"errors"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// drainPause is the time between attempts to return lots.
const drainPause = 200 * time.Millisecond

type controller func(ctx context.Context) error

// Serve runs the controller.
func (c controller) Serve(ctx context.Context) error { return c(ctx) }

// Controllers returns the loops to be supervised.
func (h *Holder) Controllers() []turmericshed.Controller {
	list := []turmericshed.Controller{controller(h.scanLoop)}
	if h.cfg.Writer != nil {
		return append(list, h.exchanger)
	}
	for range workers {
		list = append(list, controller(h.workLoop))
	}
	return list
}

// workLoop runs rounds.
func (h *Holder) workLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-h.work:
			h.round(ctx, id)
		}
	}
}

// scanLoop looks for budgets that need a round.
func (h *Holder) scanLoop(ctx context.Context) error {
	t := time.NewTicker(waitRound)
	defer t.Stop()
	var scanned time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			h.kickWaiting()
			if now.Sub(scanned) >= scanInterval {
				scanned = now
				h.refreshProfiles(ctx)
				h.scan(now)
			}
		}
	}
}

// kickWaiting asks for rounds of the budgets that requests wait for.
func (h *Holder) kickWaiting() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		if b.queue.Len() > 0 {
			h.refuseLocked(now, b)
			h.kickLocked(b)
		}
	}
}

// refreshProfiles takes in edits of the profiles whose budgets are held.
func (h *Holder) refreshProfiles(ctx context.Context) {
	if h.cfg.Profiles == nil {
		return
	}
	h.mu.Lock()
	names := make(map[turmericshed.BudgetID]turmericshed.ProfileName, len(h.budgets))
	for id, b := range h.budgets {
		names[id] = b.profile.Name
	}
	h.mu.Unlock()
	for id, name := range names {
		p, _, err := h.cfg.Profiles.Get(ctx, name)
		if err != nil {
			continue
		}
		h.mu.Lock()
		if b := h.budgets[id]; b != nil && p.Version > b.profile.Version {
			if p.Budget != id {
				// The name has a new budget: this one is closed.
				old := b.profile
				old.Closed, old.Version = true, p.Version
				p = old
			}
			h.noteLocked(p)
		}
		h.mu.Unlock()
	}
}

// scan asks for rounds ahead of demand, for reports that are due, for idle
// and recalled budgets, and drops budgets in which nothing is held.
func (h *Holder) scan(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, b := range h.budgets {
		if b.running || b.queued {
			continue
		}
		v := h.viewLocked(now, b)
		d := h.cfg.Placement.Decide(v)
		held := v.Available + v.Reserved + v.Lent
		switch {
		case b.draw != nil, b.loan != nil,
			b.closed && (held > 0 || v.Dirty),
			b.profile.Closed && !b.closed && b.ledger.Read,
			h.cfg.Keeper.Stale(b.ledger, b.profile) && (held > 0 || !b.ledger.Read),
			d.Return, d.Borrow, d.Draw && !now.Before(b.nextDraw),
			d.Report && now.Sub(b.reportedAt) >= edgeReport, v.ReportDue(now.Sub(b.reportedAt)):
			h.kickLocked(b)
		case b.queue.Len() == 0 && v.Idle > forgetAfter && h.core.Forget(id):
			delete(h.budgets, id)
		}
	}
}

// Drain returns the unspent tokens of every lot. It waits for reservations to
// be settled as long as ctx allows; what is still reserved or suspended then
// is forfeited. Errors: the last one met, when ctx ended before everything
// was written.
func (h *Holder) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	if h.cfg.Writer != nil {
		h.mu.Unlock()
		return h.exchanger.drainAll(ctx)
	}
	ids := h.core.Budgets()
	for id := range h.budgets {
		if h.budgets[id].draw != nil {
			ids = append(ids, id)
		}
	}
	h.mu.Unlock()
	var first error
	for _, id := range ids {
		if err := h.drainOne(ctx, id); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// drainOne ends the lots of one budget, again and again until it is written.
func (h *Holder) drainOne(ctx context.Context, id turmericshed.BudgetID) error {
	for {
		err := h.tryDrain(ctx, id)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(drainPause):
		}
	}
}

func (h *Holder) tryDrain(ctx context.Context, id turmericshed.BudgetID) error {
	b, ok := h.beginRound(id, true)
	if !ok {
		h.mu.Lock()
		b = h.budgets[id]
		h.mu.Unlock()
		if b == nil {
			return nil
		}
		return turmericshed.NewError(turmericshed.KindBudgetUnavailable, "budget %s: a round is running", id)
	}
	defer h.endRound(b)
	h.mu.Lock()
	v := h.core.View(time.Now(), id)
	h.mu.Unlock()
	if busy := v.Reserved - v.Suspended; busy > 0 && ctx.Err() == nil {
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > drainReserve {
			return turmericshed.NewError(turmericshed.KindBudgetUnavailable, "budget %s: %d tokens reserved by running requests", id, busy)
		}
	}
	// Two holders that lent to each other may stop at once: neither waits for
	// the other before it ends its own lots.
	return errors.Join(h.repay(ctx, b, true), h.endOwnLots(ctx, b))
}

// endOwnLots returns what is left of the lots that were drawn here.
func (h *Holder) endOwnLots(ctx context.Context, b *budget) error {
	if err := h.withdraw(ctx, b); err != nil {
		return err
	}
	h.mu.Lock()
	reports := h.core.Reports(b.id, true)
	h.mu.Unlock()
	if len(reports) == 0 {
		return nil
	}
	return h.settleReports(ctx, b, reports)
}

// drainReserve is the time before the end of a drain when reservations are
// no longer waited for.
const drainReserve = 5 * time.Second

// withdraw ends a draw whose answer was lost.
func (h *Holder) withdraw(ctx context.Context, b *budget) error {
	h.mu.Lock()
	draw := b.draw
	h.mu.Unlock()
	if draw == nil {
		return nil
	}
	if _, err := h.update(ctx, b, tsbudget.Withdraw(draw.Lot, draw.seen), nil); err != nil {
		return err
	}
	h.mu.Lock()
	b.draw = nil
	h.mu.Unlock()
	return nil
}
