package tsbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// domainFixture is a store with a budget whose lots are stored in the holdings of failure domains.
type domainFixture struct {
	t      *testing.T
	stored map[string]turmericshed.Item
	rev    turmericshed.Version
	// era is the store's era, in which the fixture assigns versions.
	era   uint64
	alive map[turmericshed.LeaseID]bool
	// due makes PlanWrites choose every ledger that lacks some of a domain's usage.
	due bool
	// decoded caches the decoded holdings by version.
	decoded map[turmericshed.Version]tsbudget.Holding
}

func newDomainFixture(t *testing.T) *domainFixture {
	t.Helper()
	return &domainFixture{t: t, stored: map[string]turmericshed.Item{}, alive: map[turmericshed.LeaseID]bool{}, due: true, decoded: map[turmericshed.Version]tsbudget.Holding{}}
}

func (d *domainFixture) MaxKeys() int { return 16 }

// commit applies the requests of a domain's holders in one transaction, and returns the first
// error of a change.
func (d *domainFixture) commit(domain string, requests ...tsbudget.Request) error {
	d.t.Helper()
	key := tsbudget.HoldingKey(turmericshed.FailureDomain(domain))
	budgets, local := tsbudget.PlanWrites(d.holding(domain), requests, func(turmericshed.BudgetID) bool { return d.due })
	c := tsbudget.NewCommit(tsbudget.CommitConfig{
		Requests: requests, Budgets: budgets, Local: local, Decode: d.decode,
		LeaseAlive: func(l turmericshed.LeaseID) bool { return d.alive[l] },
	})
	b := tsupdate.NewBatch(c.Changes(func(id turmericshed.BudgetID) turmericshed.Item { return d.stored[tsbudget.Key(id)] }, turmericshed.Item{Key: key}))
	c.Run(b)
	assert.NilError(d.t, tsupdate.RunBatch(d.t.Context(), transactorFunc(d.transact), b))
	for i := range requests {
		for _, id := range append(budgets, local...) {
			if err := c.Err(i, id); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *domainFixture) transact(t turmericshed.Transaction) (turmericshed.Version, error) {
	checks := t.Checks
	for _, w := range t.Writes {
		checks = append(checks, turmericshed.Check{Key: w.Key, ExpectedVersion: w.ExpectedVersion})
	}
	var current []turmericshed.Item
	holds := true
	for _, c := range checks {
		item := d.stored[c.Key]
		item.Key = c.Key
		current = append(current, item)
		holds = holds && item.Version == c.ExpectedVersion
	}
	if !holds {
		return 0, turmericshed.WithCurrentItems(turmericshed.NewError(turmericshed.KindConflict, "version"), current...)
	}
	d.rev++
	version := turmericshed.NewVersion(d.era, uint64(d.rev))
	for _, w := range t.Writes {
		d.stored[w.Key] = turmericshed.Item{Key: w.Key, Value: w.Value, Version: version}
	}
	return version, nil
}

// put writes a value without a check of its version.
func (d *domainFixture) put(key string, value []byte) {
	d.rev++
	d.stored[key] = turmericshed.Item{Key: key, Value: value, Version: d.rev}
}

func (d *domainFixture) holding(domain string) tsbudget.Holding {
	d.t.Helper()
	h, err := d.decode(d.stored[tsbudget.HoldingKey(turmericshed.FailureDomain(domain))])
	assert.NilError(d.t, err)
	return h
}

// decode decodes each version of a holding once.
func (d *domainFixture) decode(item turmericshed.Item) (tsbudget.Holding, error) {
	if h, ok := d.decoded[item.Version]; ok && item.Version != 0 {
		return h, nil
	}
	h, err := tsbudget.DecodeHolding(item)
	if err == nil {
		d.decoded[item.Version] = h
	}
	return h, err
}

// ledger returns the budget's ledger and checks that its sums match the holdings.
func (d *domainFixture) ledger(names ...string) tsbudget.Ledger {
	d.t.Helper()
	l, err := tsbudget.Decode(d.stored[tsbudget.Key("b")])
	assert.NilError(d.t, err)
	var sum tsbudget.HoldingTotals
	for _, name := range names {
		h := d.holding(name)
		for _, lot := range h.Lots["b"] {
			sum.Charge += lot.Charge()
			sum.Used += lot.Used
		}
		sum.Charge += h.Pools["b"].Free + h.Pools["b"].Used
		sum.Used += h.Pools["b"].Used
	}
	assert.Equal(d.t, l.InHoldings.Charge, sum.Charge)
	assert.Assert(d.t, l.InHoldings.Used <= sum.Used, "%d used, %d counted", sum.Used, l.InHoldings.Used)
	assert.Equal(d.t, len(l.Lots), 0)
	return l
}

// uncounted returns the domain's usage that the ledger does not include yet.
func (d *domainFixture) uncounted(domain string) tsbudget.HoldingTotals {
	d.t.Helper()
	h := d.holding(domain)
	e := tsbudget.HoldingTotals{Used: h.Pools["b"].Used, Requests: h.Pools["b"].Requests}
	for _, l := range h.Lots["b"] {
		e.Used += l.Used
		e.Requests += l.Requests
	}
	e.Used -= h.Pools["b"].Counted.Used
	e.Requests -= h.Pools["b"].Counted.Requests
	return e
}

// takeOver makes a process the current one of its entry VM.
func (d *domainFixture) takeOver(domain, vm, from string) {
	d.t.Helper()
	assert.NilError(d.t, d.commit(domain, takeover(vm, from, time.Unix(1000, 0))))
	assert.Equal(d.t, string(d.holding(domain).VMs[vmOf(vm)].Incarnation), vm)
}

// vmOf returns the entry VM of a process: "x2" is the second process of "x".
func vmOf(process string) string { return process[:1] }

func takeover(process, from string, now time.Time) tsbudget.Request {
	return tsbudget.Request{
		VM: vmOf(process), Incarnation: turmericshed.Incarnation(process), Takeover: &tsbudget.Takeover{From: turmericshed.Incarnation(from), Now: now},
	}
}

func request(process string, changes ...tsbudget.Change) tsbudget.Request {
	for i := range changes {
		changes[i].Budget, changes[i].Profile = "b", "p"
		if changes[i].Draw != nil {
			changes[i].Draw.Holder = turmericshed.Incarnation(process)
		}
	}
	return tsbudget.Request{VM: vmOf(process), Incarnation: turmericshed.Incarnation(process), Changes: changes}
}

func drawing(lot string, want, least int64) tsbudget.Change {
	return tsbudget.Change{Prepaid: 1000, Draw: &tsbudget.DrawRequest{
		Lot: turmericshed.LotID(lot), Want: toTokens(want), Min: toTokens(least), At: time.Unix(1000, 0),
	}}
}

// atRate sets the demand of the holder that draws.
func atRate(rate float64, ch tsbudget.Change) tsbudget.Change {
	ch.Draw.Rate = rate
	return ch
}

func ending(lot string, used, returned int64) tsbudget.Change {
	return tsbudget.Change{Reports: []tsbudget.Report{{Lot: turmericshed.LotID(lot), Used: toTokens(used), Returned: toTokens(returned), Final: true}}}
}

func declaring(r tsbudget.Request, sequence int64, since time.Time, list ...tsbudget.LotCeiling) tsbudget.Request {
	r.Declaration = &tsbudget.Declaration{Sequence: sequence, Lease: "l", Since: since, Ceilings: list}
	return r
}
