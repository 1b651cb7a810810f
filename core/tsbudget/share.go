package tsbudget

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"turmericshed"
)

// domainShare is a domain's part of a budget: its lots and its pool.
type domainShare struct {
	lots []Lot
	pool Pool
}

// shareWriter writes the ledgers together with one domain's shares.
type shareWriter struct {
	entryVMs int
	// era is the store's era.
	era    uint64
	memory Memory
}

// applyToLedger applies several holders' changes to one ledger, in order, and refills the domain's
// pool. It returns the ledger's new value, nil if that is unchanged, the domain's share after the
// changes, and an error for each change. Errors: KindNotFound without a ledger, KindInternal if
// ledger and holding are inconsistent.
func (w shareWriter) applyToLedger(cur turmericshed.Item, own domainShare, changes []Change) (value []byte, after domainShare, errs []error, err error) {
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
	for _, c := range changes {
		next.Prepaid = max(next.Prepaid, c.Prepaid)
	}
	own = w.restore(&next, own, cur.Version.Revision(), changes)
	others := next.InHoldings.minus(own.pool.Counted)
	others.RateSquares, others.SquaresEpoch = next.InHoldings.othersSquares(own.pool.Counted, cur.Version)
	if !others.valid() || own.pool.totals(own.lots).Charge != own.pool.Counted.Charge {
		// The ledger and the holding are from different revisions.
		return nil, own, nil, turmericshed.NewError(turmericshed.KindInternal, "ledger %s does not count what a holding has: %+v are left for the others",
			next.Budget, others)
	}
	pool := own.pool
	next.chargeLot(Lot{Drawn: pool.Used, Used: pool.Used, Requests: pool.Requests})
	// The free amount of the pool can be drawn while the changes are applied.
	next.InHoldings, next.Lots = others, slices.Clone(own.lots)
	entered := w.enterLots(&next, pool.Entered, changes)
	if next.isSettling() {
		next.InHoldings.Charge += max(next.Undrawn()-pool.Free, 0)
	}
	errs = make([]error, len(changes))
	for i, c := range changes {
		_, errs[i] = c.apply(&next)
		if next.isSettling() && turmericshed.KindOf(errs[i]) == turmericshed.KindBudgetExhausted {
			errs[i] = errSettling(next.Budget)
		}
	}
	lots := next.Lots
	target := poolTarget(next.Undrawn(), sumLots(lots).Rate, others.Rate, w.entryVMs)
	if next.isSettling() {
		target = max(next.Undrawn(), 0)
	}
	pool = Pool{Free: target, Target: target, Era: w.era, Entered: entered}
	if isLargeFleet(w.entryVMs) {
		pool.Target *= largePoolOverflowFactor
	}
	pool.Counted = pool.totals(lots)
	pool.Counted.SquaresEpoch = others.SquaresEpoch
	next.InHoldings, next.Lots = others.plus(pool.Counted), nil
	next.lowerOverdraft()
	value, err = seal(prev, &next)
	if bytes.Equal(value, cur.Value) {
		value = nil
	}
	return value, domainShare{lots: lots, pool: pool}, errs, err
}

// enterLots enters the lots that the store has forgotten. It returns the sequence numbers of the last
// reentries, given those before.
func (w shareWriter) enterLots(l *Ledger, before map[turmericshed.Incarnation]int64, changes []Change) map[turmericshed.Incarnation]int64 {
	entered := before
	for _, c := range changes {
		e := c.Reentry
		if e == nil || e.Era != w.era || e.Sequence <= entered[e.Holder] {
			continue
		}
		remembered := w.memory.Share(l.Budget, w.era).Lots
		for _, lot := range e.Lots {
			was, _ := findLot(remembered, lot.ID)
			l.enter(lot, was.Charge())
		}
		entered = maps.Clone(entered)
		if entered == nil {
			entered = make(map[turmericshed.Incarnation]int64)
		}
		entered[e.Holder] = e.Sequence
	}
	return entered
}

const (
	// poolDemandSpan is the time for which a pool covers the domain's demand.
	// poolFairShareFraction limits the pool to a fraction of the domain's fair share of the
	// undrawn amount.
	poolDemandSpan        = 8 * time.Second
	poolFairShareFraction = 0.4
	// poolOverflowFactor is the multiple of its target above which a pool's surplus is returned to
	// the ledger.
	poolOverflowFactor = 2
	// In a large fleet most requests draw, and holders return tokens all the time. Larger pools, and
	// a higher limit from which their surplus is returned, keep both within the domain: in TestReplay
	// with 195 entry VMs, about a tenth fewer ledgers are written.
	largePoolFraction       = 1
	largePoolOverflowFactor = 6
)

// poolTarget returns the size that a domain's pool should have, given the undrawn amount of the
// ledger. mine and others are rates of demand in tokens per second.
func poolTarget(room turmericshed.Tokens, mine, others int64, entryVMs int) turmericshed.Tokens {
	if mine <= 0 || room <= 0 {
		return 0
	}
	fraction := poolFairShareFraction
	if isLargeFleet(entryVMs) {
		fraction = largePoolFraction
	}
	fair := fraction * float64(room) * float64(mine) / float64(mine+max(others, 0))
	return turmericshed.Tokens(min(float64(mine)*poolDemandSpan.Seconds(), fair))
}

// applyLocally applies changes within the domain's share. It returns false if one of them requires
// a write of the ledger.
func applyLocally(own domainShare, changes []Change) (domainShare, bool) {
	lots, pool := slices.Clone(own.lots), own.pool
	for _, c := range changes {
		if c.Prepaid > 0 || c.Reentry != nil || !c.applyToShare(&lots, &pool) {
			return own, false
		}
	}
	turmericshed.Assert(pool.totals(lots).Charge == own.pool.totals(own.lots).Charge, "pool_conserved", "pool %+v after %+v", pool, own.pool)
	// A surplus of the pool is returned to the ledger, where all domains can draw it.
	if pool.Free > own.pool.Free && pool.Free > poolOverflowFactor*pool.Target {
		return own, false
	}
	return domainShare{lots: lots, pool: pool}, true
}

// applyToShare applies the change within the domain's share. It returns false if the change
// requires a write of the ledger.
func (c Change) applyToShare(lots *[]Lot, pool *Pool) bool {
	for _, r := range c.Reports {
		if !settleInShare(lots, pool, r) {
			return false
		}
	}
	if i := indexOfLot(*lots, c.Withdraw); c.Withdraw != "" && i >= 0 {
		pool.Free += (*lots)[i].Charge()
		*lots = slices.Delete(*lots, i, i+1)
	}
	if c.Draw == nil || indexOfLot(*lots, c.Draw.Lot) >= 0 {
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

// settleInShare applies a report to a lot of the domain. Returned tokens go to the pool. It
// returns false for a final report that forfeits tokens, which requires a write of the ledger.
func settleInShare(lots *[]Lot, pool *Pool, r Report) bool {
	i := indexOfLot(*lots, r.Lot)
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
