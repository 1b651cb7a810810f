package tsholder

import (
	"context"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tspause"
)

// drainAll returns the unspent tokens of all lots, in as few requests to the
// ledgers' writer as running requests allow, and takes the entry VM out of the
// holding.
func (x *exchanger) drainAll(ctx context.Context) error {
	for {
		done, err := x.drainSome(ctx)
		if done && err == nil {
			return x.leave(ctx)
		}
		if !tspause.For(ctx, drainPause) {
			if err == nil {
				err = turmericshed.NewError(turmericshed.KindBudgetUnavailable, "tokens are reserved by running requests")
			}
			return err
		}
	}
}

// drainSome ends the lots of the budgets that no request uses. It reports
// whether these were all.
func (x *exchanger) drainSome(ctx context.Context) (done bool, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	parts, busy := x.drainParts(ctx)
	if len(parts) == 0 && len(x.strays) == 0 {
		return !busy, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := x.stand(ctx); err != nil {
		return false, err
	}
	r := x.request(parts)
	r.Count = true
	reply, err := x.send(ctx, r)
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	x.takeLocked(parts, reply, err)
	if err != nil {
		return false, err
	}
	for _, p := range parts {
		if failed := reply.Errs[p.b.id]; failed != nil {
			return false, failed
		}
		p.b.draw = nil
	}
	return !busy && len(x.strays) == 0, nil
}

// drainParts returns the final reports, and whether running requests hold some
// budgets up.
func (x *exchanger) drainParts(ctx context.Context) (parts []part, busy bool) {
	h := x.h
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := h.core.Budgets()
	for id, b := range h.budgets {
		if b.draw != nil && !slices.Contains(ids, id) {
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
		if v.Reserved > v.Suspended && (!ok || time.Until(deadline) > drainReserve) {
			busy = true
			continue
		}
		ch := tsbudget.Change{Budget: id, Reports: h.core.Reports(id, true)}
		if b.draw != nil {
			ch.Withdraw = b.draw.Lot
		}
		if len(ch.Reports) > 0 || ch.Withdraw != "" {
			parts = append(parts, part{b: b, change: ch, due: true})
		}
	}
	return parts, busy
}

// leave takes the entry VM out of the holding, when no lot is left, and lets the
// ledgers count what it used.
func (x *exchanger) leave(ctx context.Context) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.standing {
		return nil
	}
	r := x.request(nil)
	r.Leave, r.Count = true, true
	x.h.mu.Lock()
	for id := range x.h.budgets {
		r.Changes = append(r.Changes, tsbudget.Change{Budget: id})
	}
	x.h.mu.Unlock()
	_, err := x.send(ctx, r)
	return err
}
