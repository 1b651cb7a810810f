package tsbudget

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

// A holder that dies leaves lots whose use nobody knows, and all of them would
// count as spent. Ceilings bound that loss.
//
// A holder declares how much of each lot it may have used, as long as a lease
// of the store lasts. The declaration stands in the holding of its failure
// domain. Until the lease has certainly ended the holder keeps to it, and does
// not use a lot that is not listed. It raises the ceilings ahead of its demand,
// and once it cannot reach the store it goes on within them until the lease has
// ended; only then it spends its lots to the end. So the next process on the
// same machine that finds the lease alive knows that the dead one never went
// beyond the ceilings, and gives the rest back. Without it, the lots are lost.
//
// Whoever writes the holding takes the leases; one lease serves all holders of
// the domain. A holder counts a lease's length from when it learned of it,
// which is later than the store does. A lease may stand still while the store
// is away, so that it proves nothing by itself: the entry VM's time of day must
// agree, see Commit. Leases are never renewed.
//
// Example: a lot of 1000 with 300 used has the ceiling 500. In a cut the holder
// spends 200 more; seconds later the lease has ended, and the other 500 are free
// for use. If it dies before that, the next process returns 500.

const (
	// LeaseLength is how long a declaration binds. It covers the time between
	// two declarations, that between two leases, a process's restart (up to
	// 1.5 s) and its first call. In a cut, requests beyond the ceilings wait
	// for its end.
	LeaseLength = 4 * time.Second
	// minAllowanceFraction is the part of what is free that may be used without known
	// demand; it is lost when the holder dies.
	minAllowanceFraction = 1.0 / 50
)

// LotCeiling is the most that may be used of a lot.
type LotCeiling struct {
	Budget turmericshed.BudgetID `json:"budget"`
	Lot    turmericshed.LotID    `json:"lot"`
	Most   turmericshed.Tokens   `json:"most"`
}

// Ceilings is what a holder keeps to: the lowest of all declarations that may
// stand. It is pure and not safe for concurrent use.
type Ceilings struct {
	byLot map[turmericshed.LotID]turmericshed.Tokens
	// boundUntil is when the last lease that was declared for has certainly ended.
	boundUntil time.Time
}

// Sending must be called before a declaration is sent: from now on it may
// stand, until lapse.
func (c *Ceilings) Sending(now time.Time, list []LotCeiling, lapse time.Time) {
	if c.Expired(now) {
		c.Sent(list)
	} else {
		lowest := make(map[turmericshed.LotID]turmericshed.Tokens, len(list))
		for _, l := range list {
			if old, ok := c.byLot[l.Lot]; ok {
				lowest[l.Lot] = min(old, l.Most)
			}
		}
		c.byLot = lowest
	}
	if lapse.After(c.boundUntil) {
		c.boundUntil = lapse
	}
}

// Sent tells that the declaration stands and replaced all before it.
func (c *Ceilings) Sent(list []LotCeiling) {
	c.byLot = make(map[turmericshed.LotID]turmericshed.Tokens, len(list))
	for _, l := range list {
		c.byLot[l.Lot] = l.Most
	}
}

// Expired reports whether no declaration can bind any more.
func (c *Ceilings) Expired(now time.Time) bool { return !now.Before(c.boundUntil) }

// Most returns the ceiling of a lot, 0 for one that is not listed. bound is
// false when there are no ceilings.
func (c *Ceilings) Most(now time.Time, id turmericshed.LotID) (n turmericshed.Tokens, bound bool) {
	if c.Expired(now) {
		return 0, false
	}
	return c.byLot[id], true
}

// WantCeilings returns the ceilings for the requests that wait and the next
// span of demand, in the order of budgets and lots. No less than quietCeiling
// of what is free is allowed, for demand that is not known yet. Lots that are
// drawn in the same transaction count as held.
func (h *Holder) WantCeilings(now time.Time, span time.Duration, waiting map[turmericshed.BudgetID]turmericshed.Tokens, drawn map[turmericshed.BudgetID]Lot) []LotCeiling {
	for id := range drawn {
		h.balance(id)
	}
	var list []LotCeiling
	for id, b := range h.balances {
		lots := b.lots
		if l, ok := drawn[id]; ok && !slices.ContainsFunc(lots, func(held *lot) bool { return held.ID == l.ID }) {
			lots = append(slices.Clone(lots), &lot{Lot: l})
		}
		allowance := b.demand.recentRate(now) * span.Seconds()
		if allowance > 0 {
			// Requests are few and large where an entry VM has a small part of
			// an account's demand.
			allowance = max(allowance, b.demand.largest)
		}
		var free turmericshed.Tokens
		for _, l := range lots {
			free += l.free()
		}
		rest := turmericshed.Tokens(max(allowance, minAllowanceFraction*float64(free))) + waiting[id]
		for _, l := range lots {
			taken := l.Used + l.reserved + l.lent
			more := min(l.free(), rest)
			rest -= more
			list = append(list, LotCeiling{Budget: id, Lot: l.ID, Most: taken + more})
		}
	}
	slices.SortFunc(list, func(a, b LotCeiling) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Lot, b.Lot))
	})
	return list
}
