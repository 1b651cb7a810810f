package tsholder

import (
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// mergeLedgerLocked stores a ledger that was read, unless its budget is unknown, has a round
// running, or already has this version or a newer one. Error: that of a ledger that cannot be
// decoded.
func (h *Holder) mergeLedgerLocked(item turmericshed.Item) error {
	l, err := h.decodeLedgerLocked(item)
	if err != nil {
		return err
	}
	b := h.budgets[l.Budget]
	if b == nil {
		return nil
	}
	// The store answers again, even if the ledger has not changed.
	b.storeErr = nil
	if b.running || item.Version <= b.ledgerVersion {
		return nil
	}
	h.setLedgerLocked(b, item, l, time.Now())
	b.item = item
	return nil
}

// setLedgerLocked stores the content of a ledger.
func (h *Holder) setLedgerLocked(b *budget, item turmericshed.Item, l tsbudget.Ledger, now time.Time) {
	b.ledger = tsbudget.Summarize(l, h.cfg.Self.Incarnation, now)
	b.noteEraLocked(item, l, now)
	b.lots, b.ledgerVersion = l.Lots, item.Version
	if l.Recalled {
		b.closed = true
	}
}

// budgetOf returns the budget to which a ledger's item belongs.
func budgetOf(item turmericshed.Item) turmericshed.BudgetID {
	return turmericshed.BudgetID(strings.TrimPrefix(item.Key, turmericshed.BudgetPrefix))
}
