package tsholder

import (
	"context"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tspause"
)

// drainAll returns the unspent tokens of all lots, in as few requests to the ledger writer as the
// running requests allow, and removes the entry VM from the holding.
func (x *exchanger) drainAll(ctx context.Context) error {
	for {
		done, err := x.drainIdle(ctx)
		if done && err == nil {
			return x.leave(ctx)
		}
		if !tspause.For(ctx, drainRetryDelay) {
			if err == nil {
				err = turmericshed.NewError(turmericshed.KindBudgetUnavailable, "tokens are reserved by running requests")
			}
			return err
		}
	}
}

// drainIdle closes the lots of the budgets that no running request uses. It reports whether all
// lots are closed.
func (x *exchanger) drainIdle(ctx context.Context) (done bool, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	parts, busy := x.drainParts(ctx)
	if len(parts) == 0 && len(x.strayLots) == 0 {
		return !busy, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := x.takeOver(ctx); err != nil {
		return false, err
	}
	r := x.request(parts)
	r.WriteUsage = true
	reply, err := x.commit(ctx, r)
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	x.recordReplyLocked(parts, reply, err)
	if err != nil {
		return false, err
	}
	for _, p := range parts {
		if failed := reply.Errs[p.b.id]; failed != nil {
			return false, failed
		}
		p.b.pendingDraw = nil
	}
	return !busy && len(x.strayLots) == 0, nil
}

// drainParts returns the final reports, and whether running requests keep some budgets busy.
func (x *exchanger) drainParts(ctx context.Context) (parts []requestPart, busy bool) {
	h := x.h
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := h.core.Budgets()
	for id, b := range h.budgets {
		if b.pendingDraw != nil && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		b := h.budgets[id]
		if b == nil {
			continue
		}
		v := h.core.View(now, id)
		deadline, ok := ctx.Deadline()
		if v.Reserved > v.Suspended && (!ok || time.Until(deadline) > drainFinalPeriod) {
			busy = true
			continue
		}
		ch := tsbudget.Change{Budget: id, Reports: h.core.Reports(id, true)}
		if b.pendingDraw != nil {
			ch.Withdraw = b.pendingDraw.Lot
		}
		if len(ch.Reports) > 0 || ch.Withdraw != "" {
			parts = append(parts, requestPart{b: b, change: ch, due: true})
		}
	}
	return parts, busy
}

// leave removes the entry VM from the holding after its lots are closed, and has the ledgers count
// its usage at once.
func (x *exchanger) leave(ctx context.Context) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isCurrentProcess {
		return nil
	}
	r := x.request(nil)
	r.Leave, r.WriteUsage = true, true
	x.h.mu.Lock()
	for id := range x.h.budgets {
		r.Changes = append(r.Changes, tsbudget.Change{Budget: id})
	}
	x.h.mu.Unlock()
	_, err := x.commit(ctx, r)
	return err
}
