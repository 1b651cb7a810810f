package tsbudget

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// A holder that dies leaves lots whose use nobody knows, and all of them would
// count as spent. Ceilings bound that loss.
//
// A holder publishes, under a key that lapses with a lease of the store, how
// much of each lot it may have used. While the key may be there it keeps to
// that, and does not use a lot that is not listed. It raises the ceilings ahead of its demand, and once it cannot reach
// the store it goes on within them until the key has certainly lapsed; only
// then it spends its lots to the end. So the next process on the same machine
// that still finds the key knows that the dead one never went beyond the
// ceilings, and gives the rest back. Without the key, the lots are lost.
//
// Leases are never renewed, since a renewal without an answer may be carried
// out late and keep the key for longer than anybody knows. Each lease is new,
// and ends at the latest its length after the store's answer came: that takes
// one clock that runs evenly, and no two clocks that agree.
//
// Example: a lot of 1000 with 300 used has the ceiling 500. In a cut the holder
// spends 200 more; three seconds later the key has lapsed, and the other 500
// are free for use. If it dies before the cut, the next process returns 500.

// quietCeiling is the part of what is free that may be used without known
// demand; it is lost when the holder dies.
const quietCeiling = 1.0 / 50

// CeilingPrefix is followed by the entry VM's name.
const CeilingPrefix = "ceilings/"

// LotCeiling is the most that may be used of a lot.
type LotCeiling struct {
	Budget turmericshed.BudgetID `json:"budget"`
	Lot    turmericshed.LotID    `json:"lot"`
	Most   turmericshed.Tokens   `json:"most"`
}

// CeilingDocument is what a holder publishes.
type CeilingDocument struct {
	Holder turmericshed.Incarnation `json:"holder"`
	// Sequence makes each writing of a holder a different one.
	Sequence int          `json:"sequence"`
	Ceilings []LotCeiling `json:"ceilings"`
}

// DecodeCeilings reads a document. KindInternal when it cannot be read.
func DecodeCeilings(item turmericshed.Item) (CeilingDocument, error) {
	var d CeilingDocument
	err := json.Unmarshal(item.Value, &d)
	return d, turmericshed.WrapError(turmericshed.KindInternal, err, "ceilings %s", item.Key)
}

// Ceilings is what a holder keeps to: the lowest of all documents that may be
// in the store. It is pure and not safe for concurrent use.
type Ceilings struct {
	most map[turmericshed.LotID]turmericshed.Tokens
	// until is when the last key that was sent has certainly lapsed.
	until time.Time
}

// Sending must be called before a document is sent: from now on it may be in
// the store, until lapse.
func (c *Ceilings) Sending(now time.Time, list []LotCeiling, lapse time.Time) {
	if c.Lifted(now) {
		c.Sent(list)
	} else {
		lowest := make(map[turmericshed.LotID]turmericshed.Tokens, len(list))
		for _, l := range list {
			if old, ok := c.most[l.Lot]; ok {
				lowest[l.Lot] = min(old, l.Most)
			}
		}
		c.most = lowest
	}
	if lapse.After(c.until) {
		c.until = lapse
	}
}

// Sent tells that the document stands and replaced all before it.
func (c *Ceilings) Sent(list []LotCeiling) {
	c.most = make(map[turmericshed.LotID]turmericshed.Tokens, len(list))
	for _, l := range list {
		c.most[l.Lot] = l.Most
	}
}

// Lifted reports whether no document can be in the store any more.
func (c *Ceilings) Lifted(now time.Time) bool { return !now.Before(c.until) }

// Most returns the ceiling of a lot, 0 for one that is not listed. bound is
// false when there are no ceilings.
func (c *Ceilings) Most(now time.Time, id turmericshed.LotID) (n turmericshed.Tokens, bound bool) {
	if c.Lifted(now) {
		return 0, false
	}
	return c.most[id], true
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
		allowance := b.demand.arriving(now) * span.Seconds()
		var free turmericshed.Tokens
		for _, l := range lots {
			free += l.free()
		}
		rest := turmericshed.Tokens(max(allowance, quietCeiling*float64(free))) + waiting[id]
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

// Inherit returns the mutation that ends the lots of a dead holder, whose
// ceilings were found in the store: what is above them goes back, and lots
// that are not listed go back whole.
func Inherit(holder turmericshed.Incarnation, list []LotCeiling) tsupdate.Mutation {
	return mutation(func(l *Ledger) (bool, error) {
		most := make(map[turmericshed.LotID]turmericshed.Tokens, len(list))
		for _, c := range list {
			if c.Budget == l.Budget {
				most[c.Lot] = c.Most
			}
		}
		changed := false
		for _, lot := range slices.Clone(l.Lots) {
			if lot.Holder != holder {
				continue
			}
			charge := min(max(most[lot.ID], lot.Used), lot.Charge())
			changed = settleOne(l, Report{Lot: lot.ID, Used: lot.Used, Returned: lot.Drawn - charge, Requests: lot.Requests, Final: true}) || changed
		}
		return changed, nil
	})
}
