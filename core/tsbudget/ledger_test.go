package tsbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const budget turmericshed.BudgetID = "budget-1"

// document is a stored ledger with a version, changed by mutations.
type document struct {
	t *testing.T
	turmericshed.Item
}

func newDocument(t *testing.T, prepaid turmericshed.Tokens) *document {
	t.Helper()
	d := &document{t: t, Item: turmericshed.Item{Key: tsbudget.Key(budget)}}
	d.must(tsbudget.Create(budget, "p", prepaid))
	return d
}

func (d *document) apply(m tsupdate.Mutation) error {
	value, err := m(d.Item)
	if err == nil && value != nil {
		d.Value, d.Version = value, d.Version+1
	}
	return err
}

func (d *document) must(m tsupdate.Mutation) tsbudget.Ledger {
	d.t.Helper()
	assert.NilError(d.t, d.apply(m))
	return d.ledger()
}

func (d *document) ledger() tsbudget.Ledger {
	d.t.Helper()
	l, err := tsbudget.Decode(d.Item)
	assert.NilError(d.t, err)
	return l
}

func draw(id string, n turmericshed.Tokens) tsupdate.Mutation {
	return tsbudget.Draw(tsbudget.DrawRequest{Lot: turmericshed.LotID(id), Holder: "a", Want: n, Min: n, At: time.Unix(0, 0)})
}

// assertUnchangedBy checks that a repeated mutation writes nothing.
func (d *document) assertUnchangedBy(m tsupdate.Mutation) {
	d.t.Helper()
	before := d.Version
	d.must(m)
	assert.Equal(d.t, d.Version, before)
}

func assertInvariant(t *testing.T, name string, f func()) {
	t.Helper()
	defer func() {
		t.Helper()
		inv, ok := turmericshed.AsInvariant(recover())
		assert.Assert(t, ok, "no invariant violated")
		assert.Equal(t, inv.Name, name)
	}()
	f()
}

func TestLedger(t *testing.T) {
	t.Run("a draw takes no more than the room", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(draw("1", 60))
		assert.Equal(t, turmericshed.KindOf(d.apply(draw("2", 50))), turmericshed.KindBudgetExhausted)
		assert.Equal(t, d.must(draw("2", 40)).Undrawn(), turmericshed.Tokens(0))
	})
	t.Run("a draw under the same id changes nothing", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(draw("1", 60))
		d.assertUnchangedBy(draw("1", 60))
	})
	t.Run("a report repeated or overtaken changes nothing", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(draw("1", 60))
		first := tsbudget.Settle(tsbudget.Report{Lot: "1", Used: 10, Returned: 20, Requests: 1})
		d.must(first)
		d.assertUnchangedBy(first)
		last := tsbudget.Settle(tsbudget.Report{Lot: "1", Used: 15, Returned: 45, Requests: 2, Final: true})
		l := d.must(last)
		assert.Equal(t, l.Spent, turmericshed.Tokens(15))
		assert.Equal(t, l.TotalRequests(), int64(2))
		d.assertUnchangedBy(last)
		d.assertUnchangedBy(first)
	})
	t.Run("a lot is closed once and charged in full", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(draw("1", 60))
		assert.Equal(t, d.must(tsbudget.Close("1")).Forfeited, turmericshed.Tokens(60))
		d.assertUnchangedBy(tsbudget.Close("1"))
	})
	t.Run("a holder that was wrongly declared gone returns its tokens once", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(draw("1", 60))
		d.must(tsbudget.Close("1"))
		back := tsbudget.Settle(tsbudget.Report{Lot: "1", Used: 10, Returned: 50, Requests: 1, Final: true})
		assert.Equal(t, d.must(back).Spent, turmericshed.Tokens(10))
		d.assertUnchangedBy(back)
	})
	t.Run("a report for an unknown lot changes nothing", func(t *testing.T) {
		d := newDocument(t, 100)
		d.assertUnchangedBy(tsbudget.Settle(tsbudget.Report{Lot: "9", Returned: 50, Final: true}))
	})
	t.Run("a closed lot beyond the bound stays charged", func(t *testing.T) {
		d := newDocument(t, 1000)
		for i := range 300 {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			d.must(draw(id, 1))
			d.must(tsbudget.Close(turmericshed.LotID(id)))
		}
		assert.Assert(t, len(d.ledger().Closed) < 300)
		assert.Equal(t, d.ledger().Spent, turmericshed.Tokens(300))
		d.assertUnchangedBy(tsbudget.Settle(tsbudget.Report{Lot: "aa", Returned: 1, Final: true}))
	})
	t.Run("a withdrawn draw can't land later", func(t *testing.T) {
		d := newDocument(t, 100)
		late, err := draw("1", 60)(d.Item)
		assert.NilError(t, err)
		assert.Assert(t, late != nil)
		wanted := d.Version
		d.must(tsbudget.Withdraw("1", wanted))
		assert.Assert(t, d.Version != wanted, "the delayed write would still succeed")
	})
	t.Run("a withdrawn draw that took effect is returned in full", func(t *testing.T) {
		d := newDocument(t, 100)
		wanted := d.Version
		d.must(draw("1", 60))
		assert.Equal(t, d.must(tsbudget.Withdraw("1", wanted)).Undrawn(), turmericshed.Tokens(100))
	})
	t.Run("a recalled ledger grants no lot", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(tsbudget.Recall())
		assert.Equal(t, turmericshed.KindOf(d.apply(draw("1", 1))), turmericshed.KindNotFound)
	})
	t.Run("a report above the lot's amount is detected", func(t *testing.T) {
		d := newDocument(t, 100)
		d.must(draw("1", 60))
		assertInvariant(t, "lot_covers_use", func() { _ = d.apply(tsbudget.Settle(tsbudget.Report{Lot: "1", Used: 61})) })
	})
	t.Run("a ledger above its prepaid amount is never written", func(t *testing.T) {
		d := newDocument(t, 100)
		d.Value = []byte(`{"budget":"budget-1","profile":"p","prepaid":100,"spent":120,"billed":120}`)
		assertInvariant(t, "within_prepaid", func() { _ = d.apply(tsbudget.Recall()) })
	})
}

func TestHolderAsserts(t *testing.T) {
	now := time.Unix(1000, 0)
	profile := turmericshed.Profile{Name: "p", Budget: budget}
	fresh := func(t *testing.T) (*tsbudget.Holder, turmericshed.Reservation) {
		h := tsbudget.NewHolder("a")
		h.AddLot(budget, tsbudget.Lot{ID: "1", Holder: "a", Drawn: 100}, "")
		res, ok := h.Reserve(now, profile, "r", 60)
		assert.Assert(t, ok)
		return h, res
	}
	t.Run("a reservation needs its amount", func(t *testing.T) {
		h, _ := fresh(t)
		_, ok := h.Reserve(now, profile, "r", 41)
		assert.Assert(t, !ok)
	})
	t.Run("used tokens are not spent again", func(t *testing.T) {
		h, res := fresh(t)
		h.Settle(now, res, 60)
		_, ok := h.Reserve(now, profile, "r", 41)
		assert.Assert(t, !ok)
		assert.Equal(t, h.Reports(budget, true)[0].Returned, turmericshed.Tokens(40))
	})
	t.Run("a request is billed once", func(t *testing.T) {
		h, res := fresh(t)
		h.Settle(now, res, 10)
		assertInvariant(t, "billed_once", func() { h.Settle(now, res, 10) })
	})
	t.Run("usage above the reservation is detected", func(t *testing.T) {
		h, res := fresh(t)
		assertInvariant(t, "usage_within_reservation", func() { h.Settle(now, res, 61) })
	})
	t.Run("a lot of another incarnation is not spent from", func(t *testing.T) {
		h, _ := fresh(t)
		assertInvariant(t, "own_lot", func() { h.AddLot(budget, tsbudget.Lot{ID: "2", Holder: "b", Drawn: 1}, "") })
	})
	t.Run("a used lot is not taken again", func(t *testing.T) {
		h, _ := fresh(t)
		assertInvariant(t, "fresh_lot", func() { h.AddLot(budget, tsbudget.Lot{ID: "2", Holder: "a", Drawn: 9, Used: 1}, "") })
	})
}
