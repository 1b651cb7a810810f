package tsbudget_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
	"turmericshed/standin/tsplatform"
)

// editFixture is a store with a profile of 1000 tokens, on which operators make edits.
type editFixture struct {
	t     *testing.T
	store *tsplatform.Store
}

func newEditFixture(t *testing.T) *editFixture {
	t.Helper()
	d := &editFixture{t: t, store: tsplatform.NewStore(tsplatform.Options{})}
	assert.NilError(t, d.finish(tsbudget.NewEdit(tsbudget.Edit{Profile: profileP})))
	return d
}

func (d *editFixture) get(key string) turmericshed.Item {
	d.t.Helper()
	item, err := d.store.Get(context.Background(), key)
	assert.NilError(d.t, err)
	return item
}

func (d *editFixture) profile() turmericshed.Profile {
	d.t.Helper()
	p, err := tsbudget.DecodeProfile(d.get(tsbudget.ProfileKey("p")))
	assert.NilError(d.t, err)
	return p
}

func (d *editFixture) ledger() tsbudget.Ledger {
	d.t.Helper()
	l, err := tsbudget.Decode(d.get(tsbudget.Key(budget)))
	assert.NilError(d.t, err)
	return l
}

// edit returns the sequence that sets the amount, based on the current version of the profile.
func (d *editFixture) edit(by string, amount turmericshed.Tokens) *tsbudget.EditSequence {
	p := d.profile()
	base := p.Version
	p.Prepaid, p.EditedBy = amount, by
	return tsbudget.NewEdit(tsbudget.Edit{Profile: p, Base: base})
}

func (d *editFixture) steps(s *tsbudget.EditSequence, n int) {
	for range n {
		s.Handle(tsupdate.Do(context.Background(), d.store, s.Step()))
	}
}

func (d *editFixture) finish(s *tsbudget.EditSequence) error {
	for !s.Finished() {
		d.steps(s, 1)
	}
	_, _, err := s.Result()
	return err
}

func (d *editFixture) draw(id string, n turmericshed.Tokens) error {
	_, err := tsupdate.Run(context.Background(), d.store, tsupdate.New(tsbudget.Key(budget), draw(id, n)))
	return err
}

// assertInForce checks that ledger and profile agree on the amount.
func (d *editFixture) assertInForce(amount turmericshed.Tokens) {
	d.t.Helper()
	l := d.ledger()
	assert.Assert(d.t, l.Pending == nil)
	assert.Equal(d.t, l.Prepaid, amount)
	assert.Equal(d.t, d.profile().Prepaid, amount)
}

func TestEdit(t *testing.T) {
	t.Run("raising and lowering take effect", func(t *testing.T) {
		d := newEditFixture(t)
		assert.NilError(t, d.finish(d.edit("x", 3000)))
		d.assertInForce(3000)
		assert.NilError(t, d.finish(d.edit("x", 500)))
		d.assertInForce(500)
	})
	t.Run("lowering below the outstanding amount is refused with the lowest possible one", func(t *testing.T) {
		d := newEditFixture(t)
		assert.NilError(t, d.draw("1", 700))
		err := d.finish(d.edit("x", 600))
		var lowest *tsbudget.AmountTooLowError
		assert.Assert(t, errors.As(err, &lowest))
		assert.Equal(t, lowest.Lowest, turmericshed.Tokens(700))
		d.assertInForce(1000)
		assert.NilError(t, d.finish(d.edit("x", lowest.Lowest)))
	})
	t.Run("lowering reserves the room at its first write", func(t *testing.T) {
		d := newEditFixture(t)
		d.steps(d.edit("x", 100), 3)
		assert.Assert(t, d.draw("1", 200) != nil)
		assert.Equal(t, d.profile().Prepaid, turmericshed.Tokens(1000))
	})
	t.Run("a repair finishes an edit that its operator abandoned", func(t *testing.T) {
		for n := 3; n < 9; n++ {
			d := newEditFixture(t)
			s := d.edit("x", 100)
			d.steps(s, min(n, 9))
			assert.NilError(t, d.finish(tsbudget.NewRepair(budget, "p")))
			d.assertInForce(100)
		}
	})
	t.Run("a late write of the profile does not exceed the ledger's room", func(t *testing.T) {
		d := newEditFixture(t)
		s := d.edit("x", 100)
		d.steps(s, 5)
		d.store.SetFaults(tsplatform.Faults{HoldWrites: 1})
		d.steps(s, 1)
		// The operator has terminated; a holder finds the unfinished edit and draws.
		assert.NilError(t, d.finish(tsbudget.NewRepair(budget, "p")))
		_ = d.draw("1", 900)
		d.store.ApplyHeldWrites()
		l := d.ledger()
		assert.Assert(t, l.Spent+l.OpenCharge() <= d.profile().Prepaid, "open lots %d, profile %d", l.OpenCharge(), d.profile().Prepaid)
	})
	t.Run("of two concurrent edits one applies and the other has no effect", func(t *testing.T) {
		for n := range 9 {
			d := newEditFixture(t)
			x, y := d.edit("x", 100), d.edit("y", 2000)
			d.steps(x, n)
			errY := d.finish(y)
			errX := x.Finished()
			if !errX {
				assert.Equal(t, (d.finish(x) == nil) != (errY == nil), true)
			}
			assert.NilError(t, d.finish(tsbudget.NewRepair(budget, "p")))
			d.assertInForce(d.profile().Prepaid)
		}
	})
	t.Run("a reopened profile gets a new budget without the old lots", func(t *testing.T) {
		d := newEditFixture(t)
		assert.NilError(t, d.draw("1", 700))
		p := d.profile()
		p.Closed = true
		assert.NilError(t, d.finish(tsbudget.NewEdit(tsbudget.Edit{Profile: p, Base: p.Version})))
		assert.Assert(t, d.ledger().Recalled)
		p = d.profile()
		base := p.Version
		p.Closed, p.Budget = false, "budget-2"
		assert.NilError(t, d.finish(tsbudget.NewEdit(tsbudget.Edit{Profile: p, Base: base})))
		second, err := tsbudget.Decode(d.get(tsbudget.Key("budget-2")))
		assert.NilError(t, err)
		assert.Equal(t, second.Undrawn(), turmericshed.Tokens(1000))
	})
}
