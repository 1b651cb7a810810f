package tscommit

import (
	"context"
	"strings"
	"time"

	"turmericshed"
)

// noted is a ledger and its place in the order of news.
type noted struct {
	turmericshed.Item
	at uint64
	// wrote is when this process last wrote it.
	wrote time.Time
}

// note keeps a ledger unless a newer one is known.
func (c *Committer) note(id turmericshed.BudgetID, item turmericshed.Item) {
	if item.Version > c.ledgers[id].Version {
		c.notes++
		c.ledgers[id] = noted{Item: item, at: c.notes, wrote: c.ledgers[id].wrote}
	}
}

func (c *Committer) cached(id turmericshed.BudgetID) turmericshed.Item {
	return c.ledgers[id].Item
}

// refresh reads all ledgers a little late, unless the last reading is younger
// than an age. What it misses is told by conflicts.
func (c *Committer) refresh(ctx context.Context, age time.Duration) {
	if c.cfg.Ledgers == nil || time.Since(c.refreshed) < age {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for after := ""; ; {
		items, err := c.cfg.Ledgers.ListStale(ctx, turmericshed.BudgetPrefix, after, refreshPage)
		if err != nil {
			c.cfg.Log.Debug("ledgers not read", "error", err.Error())
			return
		}
		for _, item := range items {
			after = item.Key
			c.note(turmericshed.BudgetID(strings.TrimPrefix(item.Key, turmericshed.BudgetPrefix)), item)
		}
		if len(items) < refreshPage {
			break
		}
	}
	c.refreshed = time.Now()
}
