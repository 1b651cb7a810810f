package tsholder

import (
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// takeLedgerLocked keeps what a reading tells, unless a newer one is known.
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
