package tscommit

import (
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// settleTime is how long nothing is drawn from a ledger after a restore of the store, except from pools.
// Each holder calls its ledger writer at least once in tickInterval; the second call after the restore
// tells what it knows.
const settleTime = 3 * time.Second

// memory is what the committer remembers of the time before the store came back from an older copy.
type memory struct {
	// ledgers are the latest states of ledgers in earlier eras, as far as newer ones are cached.
	ledgers map[turmericshed.BudgetID]tsbudget.LedgerState
	// untold are the ledgers that may not include these states yet.
	untold map[turmericshed.BudgetID]bool
	// shares are the domain's latest shares in earlier eras, as of holdingVersion of its holding; 0 if
	// later versions may exist.
	shares         map[turmericshed.BudgetID]tsbudget.Share
	holdingVersion turmericshed.Version
	// settling is when this process first found a ledger settling.
	settling map[turmericshed.BudgetID]settlement
}

// settlement is when a ledger was found settling in an era.
type settlement struct {
	era   uint64
	since time.Time
}

func newMemory() memory {
	return memory{ledgers: make(map[turmericshed.BudgetID]tsbudget.LedgerState), untold: make(map[turmericshed.BudgetID]bool), shares: make(map[turmericshed.BudgetID]tsbudget.Share), settling: make(map[turmericshed.BudgetID]settlement)}
}

// addUntold adds the ledgers that don't include what this process remembers of them, unless they are
// listed already.
func (c *Committer) addUntold(ledgers, local []turmericshed.BudgetID) []turmericshed.BudgetID {
	for id := range c.memory.untold {
		cached := c.ledgers[id].Item
		l, err := tsbudget.Decode(cached)
		era := cached.Version.Era()
		if err != nil || l.Knows(c.memory.ledgers[id].Later(c.notes.get(id, era)), era) {
			delete(c.memory.untold, id)
			continue
		}
		if !slices.Contains(ledgers, id) && !slices.Contains(local, id) {
			ledgers = append(ledgers, id)
		}
	}
	return ledgers
}

// roundMemory is the memory of a committer for the requests of one round.
type roundMemory struct {
	c *Committer
	// holdingBefore is the latest version of the holding in an earlier era that any of the holders knew.
	holdingBefore turmericshed.Version
	// isUnanswered reports whether a transaction of this round got no answer.
	isUnanswered func() bool
}

var _ tsbudget.Memory = roundMemory{}

func (c *Committer) remember(requests []tsbudget.Request, isUnanswered func() bool) roundMemory {
	m := roundMemory{c: c, isUnanswered: isUnanswered}
	for _, r := range requests {
		m.holdingBefore = max(m.holdingBefore, r.HoldingBefore)
	}
	return m
}

// Ledger returns the latest known state of a ledger in an era before the given one.
func (m roundMemory) Ledger(id turmericshed.BudgetID, before uint64) tsbudget.LedgerState {
	cached := m.c.ledgers[id].Item
	if cached.Version.Era() == 0 || cached.Version.Era() >= before {
		return m.c.memory.ledgers[id].Later(m.c.notes.get(id, before))
	}
	l, err := tsbudget.Decode(cached)
	if err != nil {
		return tsbudget.LedgerState{}
	}
	return l.State(cached.Version, m.c.memory.ledgers[id]).Later(m.c.notes.get(id, before))
}

// Share returns the latest share of the domain in an era before the given one, unless a holder knew a later
// version of the holding, or this process may have written one.
func (m roundMemory) Share(id turmericshed.BudgetID, before uint64) tsbudget.Share {
	share, version := m.c.memory.shares[id], m.c.memory.holdingVersion
	if era := m.c.holdingItem.Version.Era(); era != 0 && era < before {
		version = m.c.holdingItem.Version
		if m.c.isHoldingUnknown || m.isUnanswered() {
			version = 0
		}
		share = m.c.shareWithRemembered(id)
	}
	if version.Era() == 0 || version < m.holdingBefore {
		return tsbudget.Share{}
	}
	return share
}

// rememberShares keeps the shares of the cached holding, which an older copy has replaced. isCertain is false
// if later versions may have existed.
func (c *Committer) rememberShares(isCertain bool) {
	if !isCertain {
		c.memory.holdingVersion = 0
		clear(c.memory.shares)
		return
	}
	c.memory.holdingVersion = c.holdingItem.Version
	for id := range c.holding.Pools {
		c.memory.shares[id] = c.shareWithRemembered(id)
	}
}

// shareWithRemembered returns the share in the cached holding, with the lots of the share that was remembered at
// the restore before and that were not entered since. A stale share was not written at all since.
func (c *Committer) shareWithRemembered(id turmericshed.BudgetID) tsbudget.Share {
	remembered := c.memory.shares[id]
	if c.holding.IsStale(id) {
		return remembered
	}
	lots := slices.Clone(c.holding.Lots[id])
	for _, l := range remembered.Lots {
		if !slices.ContainsFunc(lots, func(o tsbudget.Lot) bool { return o.ID == l.ID }) {
			lots = append(lots, l)
		}
	}
	return tsbudget.Share{Lots: lots, Free: c.holding.Pools[id].Free}
}

// IsSettled reports whether this process has seen the ledger settle for settleTime.
func (m roundMemory) IsSettled(id turmericshed.BudgetID, era uint64) bool {
	s := m.c.memory.settling[id]
	if s.era != era {
		s = settlement{era: era, since: time.Now()}
		m.c.memory.settling[id] = s
	}
	return time.Since(s.since) >= settleTime
}
