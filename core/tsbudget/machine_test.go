package tsbudget_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
	"turmericshed/standin/tsplatform"
)

// driver is an update or a sequence of store calls.
type driver interface {
	Finished() bool
	Step() tsupdate.Step
	Handle(r tsupdate.StepResult)
}

// machine interleaves the store calls of holders and operators, with lost answers, delayed writes,
// pauses, crashes and closed lots at every point.
type machine struct {
	t       *rapid.T
	now     time.Time
	store   *tsplatform.Store
	holders []*actor
	edits   []driver
	lots    int
	started int
	// dispatched is the actual usage of the requests that were sent, with unsettled ones counted
	// at their full amount.
	dispatched turmericshed.Tokens
	edited     int
}

// actor is one incarnation of a holder, with at most one change in progress.
type actor struct {
	h       *tsbudget.Holder
	id      turmericshed.Incarnation
	change  *tsupdate.Update
	lot     turmericshed.LotID
	reports []tsbudget.Report
	open    []turmericshed.Reservation
}

var profileP = turmericshed.Profile{Name: "p", Budget: budget, Prepaid: 1000}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, now: time.Unix(1_000_000, 0)}
	m.store = tsplatform.NewStore(tsplatform.Options{Now: func() time.Time { return m.now }})
	m.finish(tsbudget.NewEdit(tsbudget.Edit{Profile: profileP}))
	for range 3 {
		m.holders = append(m.holders, m.newActor())
	}
	return m
}

func (m *machine) newActor() *actor {
	m.started++
	id := turmericshed.Incarnation(fmt.Sprintf("holder-%d", m.started))
	return &actor{h: tsbudget.NewHolder(id), id: id}
}

func tokens(t *rapid.T, low, high int64) turmericshed.Tokens {
	return turmericshed.Tokens(rapid.Int64Range(low, high).Draw(t, "tokens"))
}

func (m *machine) finish(d driver) {
	for !d.Finished() {
		m.advance(d)
	}
}

func (m *machine) advance(d driver) {
	d.Handle(tsupdate.Do(context.Background(), m.store, d.Step()))
}

func (m *machine) actor(t *rapid.T) *actor {
	return rapid.SampledFrom(m.holders).Draw(t, "holder")
}

// actions returns the actions that rapid chooses from.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        func(*rapid.T) { m.check() },
		"begin":   m.begin,
		"step":    m.step,
		"reserve": m.reserve,
		"settle":  m.settle,
		"suspend": m.suspend,
		"retire":  func(t *rapid.T) { m.actor(t).h.ReturnSurplus(budget, tokens(t, 0, 100)) },
		"lend":    m.lend,
		"close":   m.closeLot,
		"edit":    m.edit,
		"crash": func(t *rapid.T) {
			m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "crashed")] = m.newActor()
		},
		"lose": func(*rapid.T) { m.store.ChangeFaults(func(f *tsplatform.Faults) { f.LoseAnswers = 1 }) },
		"hold": func(*rapid.T) { m.store.ChangeFaults(func(f *tsplatform.Faults) { f.HoldWrites = 1 }) },
		"land": func(*rapid.T) { m.store.ApplyHeldWrites() },
	}
}

// begin starts a change of the ledger: a draw, a report, or both.
func (m *machine) begin(t *rapid.T) {
	a := m.actor(t)
	if a.change != nil {
		t.Skip("busy")
	}
	a.reports = a.h.Reports(budget, rapid.IntRange(0, 9).Draw(t, "final") == 0)
	m.lots++
	a.lot = turmericshed.LotID(fmt.Sprintf("lot-%d", m.lots))
	r := tsbudget.DrawRequest{Lot: a.lot, Holder: a.id, Want: tokens(t, 1, 600), Min: 1, At: m.now}
	a.change = tsupdate.New(tsbudget.Key(budget), tsbudget.SettleAndDraw(r, a.reports...))
	if rapid.Bool().Draw(t, "alone") {
		m.finish(a.change)
		m.endChange(a)
	}
}

// step performs one store call of a holder or of an operator.
func (m *machine) step(t *rapid.T) {
	if len(m.edits) > 0 && rapid.Bool().Draw(t, "operator") {
		i := rapid.IntRange(0, len(m.edits)-1).Draw(t, "edit")
		if m.advance(m.edits[i]); m.edits[i].Finished() {
			m.edits = append(m.edits[:i], m.edits[i+1:]...)
		}
		return
	}
	a := m.actor(t)
	if a.change == nil {
		t.Skip("idle")
	}
	m.advance(a.change)
	if a.change.Finished() {
		m.endChange(a)
	}
}

// endChange applies the outcome of a change to the holder.
func (m *machine) endChange(a *actor) {
	item, err := a.change.Result()
	a.change = nil
	if err != nil {
		return
	}
	a.h.Acknowledge(budget, a.reports)
	l, err := tsbudget.Decode(item)
	assert.NilError(m.t, err)
	if lot, ok := l.Lot(a.lot); ok {
		a.h.AddLot(budget, lot, "")
	}
}

func (m *machine) reserve(t *rapid.T) {
	a := m.actor(t)
	if res, ok := a.h.Reserve(m.now, profileP, "r", tokens(t, 1, 300)); ok {
		// The request is sent now, even if the lot is closed in the meantime.
		m.dispatched += res.Amount
		a.open = append(a.open, res)
	}
}

func (m *machine) settle(t *rapid.T) {
	a := m.actor(t)
	if len(a.open) == 0 {
		t.Skip("nothing open")
	}
	res := a.open[0]
	a.open = a.open[1:]
	used := tokens(t, 0, int64(res.Amount))
	m.dispatched -= res.Amount - used
	a.h.Settle(m.now, res, used)
}

func (m *machine) suspend(t *rapid.T) {
	a := m.actor(t)
	if len(a.open) > 0 {
		a.h.Suspend(a.open[0])
	}
}

// lend moves tokens between two holders. The answer may be lost, and the borrower may or may not
// report.
func (m *machine) lend(t *rapid.T) {
	from, to := m.actor(t), m.actor(t)
	if from == to {
		t.Skip("one holder")
	}
	m.lots++
	id := turmericshed.LotID(fmt.Sprintf("loan-%d", m.lots))
	lot, ok := from.h.Lend(m.now, budget, tsbudget.LoanRequest{Loan: id, Borrower: to.id, Want: tokens(t, 1, 200)})
	if ok && rapid.Bool().Draw(t, "answered") {
		to.h.AddLot(budget, lot, from.id)
	}
	reports := to.h.ReportsTo(budget, from.id, false)
	taken, _ := from.h.Repay(m.now, budget, reports)
	for _, r := range reports {
		for _, id := range taken {
			if r.Lot == id {
				to.h.Acknowledge(budget, []tsbudget.Report{r})
			}
		}
	}
}

// closeLot closes any open lot, even of a holder that is alive.
func (m *machine) closeLot(t *rapid.T) {
	l, _ := m.read()
	if len(l.Lots) == 0 {
		t.Skip("no lot")
	}
	m.finish(tsupdate.New(tsbudget.Key(budget), tsbudget.Close(rapid.SampledFrom(l.Lots).Draw(t, "lot").ID)))
}

// edit starts an operator's edit of the amount, or a repair.
func (m *machine) edit(t *rapid.T) {
	_, p := m.read()
	m.edited++
	if rapid.IntRange(0, 3).Draw(t, "repair") == 0 {
		m.edits = append(m.edits, tsbudget.NewRepair(budget, "p"))
		return
	}
	base := p.Version
	p.Prepaid, p.EditedBy, p.Version = tokens(t, 0, 2000), fmt.Sprint(m.edited), 0
	m.edits = append(m.edits, tsbudget.NewEdit(tsbudget.Edit{Profile: p, Base: base}))
}

func (m *machine) read() (tsbudget.Ledger, turmericshed.Profile) {
	item, err := m.store.Get(context.Background(), tsbudget.Key(budget))
	assert.NilError(m.t, err)
	l, err := tsbudget.Decode(item)
	assert.NilError(m.t, err)
	item, err = m.store.Get(context.Background(), tsbudget.ProfileKey("p"))
	assert.NilError(m.t, err)
	p, err := tsbudget.DecodeProfile(item)
	assert.NilError(m.t, err)
	return l, p
}

// check runs after every step. It asserts that the amount sent to backend servers is within the
// ledger's charge, and that charge within the profile's prepaid amount.
func (m *machine) check() {
	l, p := m.read()
	assert.Assert(m.t, l.Spent+l.OpenCharge() <= p.Prepaid, "charged %d, the profile has %d", l.Spent+l.OpenCharge(), p.Prepaid)
	assert.Assert(m.t, m.dispatched <= l.Spent+l.OpenCharge(), "sent %d, charged %d", m.dispatched, l.Spent+l.OpenCharge())
}

// settleAll finishes all edits without faults and checks that ledger and profile are consistent.
func (m *machine) settleAll() {
	m.store.SetFaults(tsplatform.Faults{})
	m.store.ApplyHeldWrites()
	for _, e := range m.edits {
		m.finish(e)
	}
	m.finish(tsbudget.NewRepair(budget, "p"))
	m.check()
	l, p := m.read()
	assert.Assert(m.t, l.Pending == nil && l.Prepaid == p.Prepaid, "ledger %d, profile %d", l.Prepaid, p.Prepaid)
}

func TestMachine(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "4"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	assert.NilError(t, flag.Set("rapid.checks", "300"))
	assert.NilError(t, flag.Set("rapid.steps", "200"))
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		m.settleAll()
	})
}
