package tscommit

import (
	"context"
	"strings"
	"time"

	"turmericshed"
)

// cachedLedger is a ledger and its place in the order of news.
type cachedLedger struct {
	turmericshed.Item
	sequence uint64
	// lastWrite is when this process last lastWrite it.
	lastWrite time.Time
}

// cacheLedger keeps a ledger unless a newer one is known.
func (c *Committer) cacheLedger(id turmericshed.BudgetID, item turmericshed.Item) {
	if item.Version > c.ledgers[id].Version {
		c.ledgerSequence++
		c.ledgers[id] = cachedLedger{Item: item, sequence: c.ledgerSequence, lastWrite: c.ledgers[id].lastWrite}
	}
}

func (c *Committer) cachedItem(id turmericshed.BudgetID) turmericshed.Item {
	return c.ledgers[id].Item
}

// refresh reads all ledgers a little late, unless the last reading is younger
// than an age. What it misses is told by conflicts.
func (c *Committer) refresh(ctx context.Context, age time.Duration) {
	if c.cfg.Ledgers == nil || time.Since(c.lastRefresh) < age {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for after := ""; ; {
		items, err := c.cfg.Ledgers.ListStale(ctx, turmericshed.BudgetPrefix, after, refreshPageSize)
		if err != nil {
			c.cfg.Log.Debug("ledgers not read", "error", err.Error())
			return
		}
		for _, item := range items {
			after = item.Key
			c.cacheLedger(turmericshed.BudgetID(strings.TrimPrefix(item.Key, turmericshed.BudgetPrefix)), item)
		}
		if len(items) < refreshPageSize {
			break
		}
	}
	c.lastRefresh = time.Now()
}
