package tsholder

import (
	"context"
	"errors"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// drainRetryDelay is the time between attempts to return lots.
const drainRetryDelay = 200 * time.Millisecond

// controller adapts a function to turmericshed.Controller.
type controller func(ctx context.Context) error

// Serve runs the controller.
func (c controller) Serve(ctx context.Context) error { return c(ctx) }

// Controllers returns the loops to run under supervision.
func (h *Holder) Controllers() []turmericshed.Controller {
	list := []turmericshed.Controller{controller(h.scanLoop)}
	if h.cfg.Writer != nil {
		return append(list, h.exchanger)
	}
	for range roundWorkers {
		list = append(list, controller(h.workLoop))
	}
	return list
}

// workLoop runs scheduled rounds until ctx ends.
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

// scanLoop periodically schedules the rounds that are needed and reads edited profiles.
func (h *Holder) scanLoop(ctx context.Context) error {
	t := time.NewTicker(waitingRoundInterval)
	defer t.Stop()
	var scanned time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			h.scheduleWaitingRounds()
			if now.Sub(scanned) >= scanInterval {
				scanned = now
				h.refreshProfiles(ctx)
				h.scan(now)
			}
		}
	}
}

// scheduleWaitingRounds refuses the waiting requests that have no prospect of tokens, and schedules
// rounds for the budgets with waiting requests.
func (h *Holder) scheduleWaitingRounds() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		if b.queue.Len() > 0 {
			h.refuseLocked(now, b)
			h.scheduleRoundLocked(b)
		}
	}
}

// refreshProfiles reads the profiles whose budgets are held and stores the newer versions.
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
				// The profile has a new budget: the old one is closed.
				old := b.profile
				old.Closed, old.Version = true, p.Version
				p = old
			}
			h.ensureBudgetLocked(p)
		}
		h.mu.Unlock()
	}
}

// scan schedules rounds for draws ahead of demand, due reports, and idle or recalled budgets. It
// drops unused budgets without lots.
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
		case b.pendingDraw != nil, b.pendingLoan != nil,
			b.closed && (held > 0 || v.HasUnreported),
			b.profile.Closed && !b.closed && b.ledger.Read,
			h.cfg.Reconciler.Stale(b.ledger, b.profile) && (held > 0 || !b.ledger.Read),
			d.Return, d.Borrow, d.Draw && !now.Before(b.nextDraw),
			d.Report && now.Sub(b.reportedAt) >= minReportInterval, v.ReportDue(now.Sub(b.reportedAt)):
			h.scheduleRoundLocked(b)
		case b.queue.Len() == 0 && v.Idle > forgetAfterIdle && h.core.Forget(id):
			delete(h.budgets, id)
		}
	}
}

// Drain returns the unspent tokens of every lot. It waits for the settlement of reservations as
// long as ctx allows; what is still reserved or suspended then is forfeited. If ctx ends before
// everything is written, it returns an error of the last attempts.
func (h *Holder) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	if h.cfg.Writer != nil {
		h.mu.Unlock()
		return h.exchanger.drainAll(ctx)
	}
	ids := h.core.Budgets()
	for id := range h.budgets {
		if h.budgets[id].pendingDraw != nil {
			ids = append(ids, id)
		}
	}
	h.mu.Unlock()
	var firstErr error
	for _, id := range ids {
		if err := h.drainBudget(ctx, id); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// drainBudget closes the lots of one budget, with retries until that is written.
func (h *Holder) drainBudget(ctx context.Context, id turmericshed.BudgetID) error {
	for {
		err := h.tryDrainBudget(ctx, id)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(drainRetryDelay):
		}
	}
}

// tryDrainBudget makes one attempt to close the lots of a budget.
func (h *Holder) tryDrainBudget(ctx context.Context, id turmericshed.BudgetID) error {
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
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > drainFinalPeriod {
			return turmericshed.NewError(turmericshed.KindBudgetUnavailable, "budget %s: %d tokens reserved by running requests", id, busy)
		}
	}
	// Two holders that lent to each other may stop at the same time: neither waits for the other
	// before it closes its own lots.
	return errors.Join(h.repay(ctx, b, true), h.closeOwnLots(ctx, b))
}

// closeOwnLots closes the lots that were drawn here and returns their unspent tokens.
func (h *Holder) closeOwnLots(ctx context.Context, b *budget) error {
	if err := h.withdrawDraw(ctx, b); err != nil {
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

// drainFinalPeriod is the time before the deadline of a drain in which reservations are no longer
// waited for.
const drainFinalPeriod = 5 * time.Second

// withdrawDraw cancels a draw whose answer was lost.
func (h *Holder) withdrawDraw(ctx context.Context, b *budget) error {
	h.mu.Lock()
	draw := b.pendingDraw
	h.mu.Unlock()
	if draw == nil {
		return nil
	}
	if _, err := h.updateLedger(ctx, b, tsbudget.Withdraw(draw.Lot, draw.seenVersion), nil); err != nil {
		return err
	}
	h.mu.Lock()
	b.pendingDraw = nil
	h.mu.Unlock()
	return nil
}
