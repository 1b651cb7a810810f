package tscommit

import (
	"context"
	"strings"
	"time"

	"turmericshed"
)

// cachedLedger is a ledger and its number in the order in which ledger versions
// were learned.
type cachedLedger struct {
	turmericshed.Item
	sequence uint64
	// lastWrite is when this process last wrote the ledger.
	lastWrite time.Time
}

// cacheLedger caches a ledger if it is newer than the cached version.
func (c *Committer) cacheLedger(id turmericshed.BudgetID, item turmericshed.Item) {
	if item.Version > c.ledgers[id].Version {
		c.ledgerSequence++
		c.ledgers[id] = cachedLedger{Item: item, sequence: c.ledgerSequence, lastWrite: c.ledgers[id].lastWrite}
	}
}

func (c *Committer) cachedItem(id turmericshed.BudgetID) turmericshed.Item {
	return c.ledgers[id].Item
}

// refresh reads all ledgers with stale reads, unless the last such read is younger
// than maxAge. Changes that it misses cause conflicts, which are resolved as usual.
func (c *Committer) refresh(ctx context.Context, maxAge time.Duration) {
	if c.cfg.StaleLedgers == nil || time.Since(c.lastRefresh) < maxAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for after := ""; ; {
		items, err := c.cfg.StaleLedgers.ListStale(ctx, turmericshed.BudgetPrefix, after, refreshPageSize)
		if err != nil {
			c.cfg.Log.Debug("reading the ledgers failed, using the cached ones", "error", err.Error())
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
