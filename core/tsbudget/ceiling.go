package tsbudget

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

// When a holder dies, the usage of its lots is unknown, and without further measures all of their
// charge would count as spent. Ceilings limit that loss.
//
// A holder declares a ceiling for each lot, the most that it may have used, and binds the
// declaration to a lease of the store. The declaration is stored in the holding of the failure
// domain. Until the lease has certainly expired, the holder stays within the ceilings and does not
// use a lot that is not listed. It raises the ceilings ahead of its demand. When it cannot reach
// the store it continues within them until the lease has expired, and only then uses its lots in
// full. A new process on the same machine that finds the lease alive can therefore rely on the
// ceilings of the dead process, and returns what is above them. If the lease has expired, the
// whole charge is lost.
//
// The process that writes the holding acquires the leases; one lease serves all holders of the
// domain. A holder measures the lease's length from when it learned of the lease, which is later
// than when the store granted it. A lease may stop counting down while the store is down, so it
// proves nothing by itself: the entry VM's time of day must agree, see Commit. Leases are never
// renewed.
//
// Example: a lot of 1000 with 300 used has the ceiling 500. During a partition the holder uses 200
// more. Seconds later the lease has expired, and the other 500 can be used. If the holder dies
// before that, the next process returns 500.

const (
	// LeaseLength is how long a declaration is binding. It covers the time between two
	// declarations, the time between two leases, the restart of a process (up to 1.5 s) and its
	// first call. During a partition, requests beyond the ceilings wait until it has passed.
	LeaseLength = 4 * time.Second
	// minAllowanceFraction is the fraction of the free amount that may be used without known
	// demand. It is lost when the holder dies.
	minAllowanceFraction = 1.0 / 50
)

// LotCeiling is the most that may be used of a lot.
type LotCeiling struct {
	Budget turmericshed.BudgetID `json:"budget"`
	Lot    turmericshed.LotID    `json:"lot"`
	Most   turmericshed.Tokens   `json:"most"`
}

// Ceilings are the limits that a holder observes: for each lot the lowest ceiling of all
// declarations that may be in force. It does no I/O and is not safe for concurrent use.
type Ceilings struct {
	byLot map[turmericshed.LotID]turmericshed.Tokens
	// boundUntil is when the last lease with a declaration has certainly expired.
	boundUntil time.Time
}

// BeginDeclaration must be called before a declaration is sent: from then until lapse it may be in force.
func (c *Ceilings) BeginDeclaration(now time.Time, list []LotCeiling, lapse time.Time) {
	if c.Expired(now) {
		c.ConfirmDeclaration(list)
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

// ConfirmDeclaration records that the declaration is in force and has replaced all earlier ones.
func (c *Ceilings) ConfirmDeclaration(list []LotCeiling) {
	c.byLot = make(map[turmericshed.LotID]turmericshed.Tokens, len(list))
	for _, l := range list {
		c.byLot[l.Lot] = l.Most
	}
}

// Expired reports whether no declaration can be in force any more.
func (c *Ceilings) Expired(now time.Time) bool { return !now.Before(c.boundUntil) }

// Most returns the ceiling of a lot, 0 for one that is not listed. bound is false when no ceilings
// apply.
func (c *Ceilings) Most(now time.Time, id turmericshed.LotID) (n turmericshed.Tokens, bound bool) {
	if c.Expired(now) {
		return 0, false
	}
	return c.byLot[id], true
}

// SetAllowance sets the least of a budget's free amount that PlanCeilings permits to use.
func (h *Holder) SetAllowance(budget turmericshed.BudgetID, n turmericshed.Tokens) {
	if b, ok := h.balances[budget]; ok || n > 0 {
		if !ok {
			b = h.balance(budget)
		}
		b.allowance = n
	}
}

// PlanCeilings returns the ceilings to declare, sorted by budget and lot. They cover the waiting
// requests and the demand expected within span, but at least minAllowanceFraction of the free
// amount and the amount of SetAllowance, for demand that is not known yet. Lots that are drawn in
// the same transaction count as held.
func (h *Holder) PlanCeilings(now time.Time, span time.Duration, waiting map[turmericshed.BudgetID]turmericshed.Tokens, drawn map[turmericshed.BudgetID]Lot) []LotCeiling {
	for id := range drawn {
		h.balance(id)
	}
	var list []LotCeiling
	for id, b := range h.balances {
		lots := b.lots
		if l, ok := drawn[id]; ok && !slices.ContainsFunc(lots, func(held *heldLot) bool { return held.ID == l.ID }) {
			lots = append(slices.Clone(lots), &heldLot{Lot: l})
		}
		allowance := b.demand.recentRate(now) * span.Seconds()
		if allowance > 0 {
			// At an entry VM with a small part of an account's demand, requests are few and large.
			allowance = max(allowance, b.demand.largest)
		}
		allowance = max(allowance, float64(b.allowance))
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
