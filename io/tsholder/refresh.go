package tsholder

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tspause"
)

// refreshLoop reads all ledgers again and again.
func (h *Holder) refreshLoop(ctx context.Context) error {
	for tspause.For(ctx, refreshInterval+rand.N(refreshInterval)) {
		if err := h.refreshLedgers(ctx); err != nil && ctx.Err() == nil {
			h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventStoreLost, Reason: "ledgers not read: " + err.Error()})
		}
	}
	return ctx.Err()
}

// refreshLedgers takes in what the ledgers of known budgets say.
func (h *Holder) refreshLedgers(ctx context.Context) error {
	for after := ""; ; {
		items, err := h.cfg.Ledgers.ListStale(ctx, turmericshed.BudgetPrefix, after, refreshPage)
		if err != nil {
			return err
		}
		for _, item := range items {
			after = item.Key
			if err := h.takeLedger(item); err != nil {
				h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Reason: err.Error()})
			}
		}
		if len(items) < refreshPage {
			return nil
		}
	}
}

// takeLedger keeps what a reading tells, unless a newer one is known.
func (h *Holder) takeLedger(item turmericshed.Item) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeLedgerLocked(item)
}

func (h *Holder) takeLedgerLocked(item turmericshed.Item) error {
	l, err := h.decodeLocked(item)
	if err != nil {
		return err
	}
	b := h.budgets[l.Budget]
	if b == nil {
		return nil
	}
	// The store answers again, even where it tells nothing new.
	b.storeErr = nil
	if b.running || item.Version <= b.read {
		return nil
	}
	h.readLocked(b, item, l, time.Now())
	b.item = item
	return nil
}

// readLocked takes in a ledger.
func (h *Holder) readLocked(b *budget, item turmericshed.Item, l tsbudget.Ledger, now time.Time) {
	b.ledger = tsbudget.Summarize(l, h.cfg.Self.Incarnation, now)
	b.lots, b.read = l.Lots, item.Version
	if l.Recalled {
		b.closed = true
	}
}

// budgetOf returns the budget that a ledger's item is of.
func budgetOf(item turmericshed.Item) turmericshed.BudgetID {
	return turmericshed.BudgetID(strings.TrimPrefix(item.Key, turmericshed.BudgetPrefix))
}
