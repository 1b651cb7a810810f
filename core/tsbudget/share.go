package tsbudget

import (
	"bytes"
	"slices"
	"time"

	"turmericshed"
)

// domainShare is a domain's part of a budget: its lots and its pool.
type domainShare struct {
	lots []Lot
	pool Pool
}

// applyToLedger makes several holders' changes of one ledger, in their order,
// and fills the domain's pool. It returns the ledger's value, the share after
// it, and an error for each change. Errors: KindNotFound without a ledger,
// KindInternal when ledger and holding don't fit together.
func applyToLedger(cur turmericshed.Item, own domainShare, changes []Change) (value []byte, after domainShare, errs []error, err error) {
	var prev *Ledger
	var next Ledger
	if cur.Version != 0 {
		old, err := Decode(cur)
		if err != nil {
			return nil, own, nil, err
		}
		prev, next = &old, old.clone()
	} else {
		i := slices.IndexFunc(changes, func(c Change) bool { return c.Prepaid > 0 })
		if i < 0 || len(own.lots) > 0 {
			return nil, own, nil, turmericshed.NewError(turmericshed.KindNotFound, "no ledger under %s, %d lots", cur.Key, len(own.lots))
		}
		next = Ledger{Budget: changes[i].Budget, Profile: changes[i].Profile}
	}
	others := next.Elsewhere.minus(own.pool.Counted)
	if !others.valid() || own.pool.totals(own.lots).Charge != own.pool.Counted.Charge {
		// One of them is older than the other.
		return nil, own, nil, turmericshed.NewError(turmericshed.KindInternal, "ledger %s does not count what a holding has: %+v are left for the others",
			next.Budget, others)
	}
	pool := own.pool
	next.chargeLot(Lot{Drawn: pool.Used, Used: pool.Used, Requests: pool.Requests})
	// What is free counts as room while the changes are made.
	next.Elsewhere, next.Lots = others, slices.Clone(own.lots)
	errs = make([]error, len(changes))
	for i, c := range changes {
		_, errs[i] = c.apply(&next)
	}
	lots := next.Lots
	target := poolTarget(next.Room(), sumLots(lots).Rate, others.Rate)
	pool = Pool{Free: target, Target: target}
	pool.Counted = pool.totals(lots)
	next.Elsewhere, next.Lots = others.plus(pool.Counted), nil
	value, err = seal(prev, &next)
	if bytes.Equal(value, cur.Value) {
		value = nil
	}
	return value, domainShare{lots: lots, pool: pool}, errs, err
}

const (
	// poolDemandSpan is the demand of the domain that its pool should cover, and
	// poolPart bounds it to a part of the domain's fair share of the room.
	poolDemandSpan        = 8 * time.Second
	poolFairShareFraction = 0.4
	// poolOverflowFactor is the multiple of its target above which a pool goes back.
	poolOverflowFactor = 2
)

// poolTarget returns what a domain's pool should have of the room. mine and
// others are rates of demand in tokens per second.
func poolTarget(room turmericshed.Tokens, mine, others int64) turmericshed.Tokens {
	if mine <= 0 || room <= 0 {
		return 0
	}
	fair := poolFairShareFraction * float64(room) * float64(mine) / float64(mine+max(others, 0))
	return turmericshed.Tokens(min(float64(mine)*poolDemandSpan.Seconds(), fair))
}

// applyLocally makes changes within the domain's share. It reports false when one
// of them needs the ledger.
func applyLocally(own domainShare, changes []Change) (domainShare, bool) {
	lots, pool := slices.Clone(own.lots), own.pool
	for _, c := range changes {
		if c.Prepaid > 0 || !c.applyToShare(&lots, &pool) {
			return own, false
		}
	}
	turmericshed.Assert(pool.totals(lots).Charge == own.pool.totals(own.lots).Charge, "pool_conserved", "pool %+v after %+v", pool, own.pool)
	// What goes back to a full pool is for all domains.
	if pool.Free > own.pool.Free && pool.Free > poolOverflowFactor*pool.Target {
		return own, false
	}
	return domainShare{lots: lots, pool: pool}, true
}

// applyToShare makes the change within the domain's share, if it can be.
func (c Change) applyToShare(lots *[]Lot, pool *Pool) bool {
	for _, r := range c.Reports {
		if !settleInShare(lots, pool, r) {
			return false
		}
	}
	if i := index(*lots, c.Withdraw); c.Withdraw != "" && i >= 0 {
		pool.Free += (*lots)[i].Charge()
		*lots = slices.Delete(*lots, i, i+1)
	}
	if c.Draw == nil || index(*lots, c.Draw.Lot) >= 0 {
		return true
	}
	n := max(c.Draw.Want, c.Draw.Min, 1)
	if pool.Free < n {
		return false
	}
	pool.Free -= n
	*lots = append(*lots, Lot{ID: c.Draw.Lot, Holder: c.Draw.Holder, Drawn: n, Rate: int64(c.Draw.Rate), At: c.Draw.At.UTC()})
	return true
}

// settleInShare takes a report into a lot of the domain. What goes back goes to
// the pool. A lot that ends with something forfeited needs the ledger.
func settleInShare(lots *[]Lot, pool *Pool, r Report) bool {
	i := index(*lots, r.Lot)
	if i < 0 {
		return true
	}
	lot := (*lots)[i]
	before := lot.Charge()
	mergeReport(&lot, r)
	pool.Free += before - lot.Charge()
	if !r.Final {
		(*lots)[i] = lot
		return true
	}
	if lot.Charge() != lot.Used {
		return false
	}
	pool.Used += lot.Used
	pool.Requests += lot.Requests
	*lots = slices.Delete(*lots, i, i+1)
	return true
}
