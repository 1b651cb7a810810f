package tscommit

import (
	"context"
	"errors"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
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
		c.noteRestored(id, item)
		c.ledgerSequence++
		c.ledgers[id] = cachedLedger{Item: item, sequence: c.ledgerSequence, lastWrite: c.ledgers[id].lastWrite}
	}
}

// noteRestored remembers the cached ledger, and logs by how much it differs from the current one, if the
// store came back from an older copy since.
func (c *Committer) noteRestored(id turmericshed.BudgetID, item turmericshed.Item) {
	before := c.ledgers[id].Item
	if before.Version.Era() == 0 || item.Version.Era() == before.Version.Era() {
		return
	}
	was, err := tsbudget.Decode(before)
	is, nextErr := tsbudget.Decode(item)
	if err := errors.Join(err, nextErr); err != nil {
		c.cfg.Log.Error("ledger can't be decoded", "budget", string(id), "error", err.Error())
		return
	}
	c.memory.ledgers[id], c.memory.untold[id] = was.State(before.Version, c.memory.ledgers[id]), true
	c.cfg.Log.Warn("ledger came back from an older copy", "budget", string(id), "revision_before", before.Version.Revision(), "revision", item.Version.Revision(),
		"spent_before", int64(was.Spent), "spent", int64(is.Spent), "held_before", int64(was.OpenCharge()), "held", int64(is.OpenCharge()))
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
