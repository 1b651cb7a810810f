package tsadmin_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tsadmin"
	"turmericshed/standin/tsplatform"
)

// newAdminWithProfile returns a store with one profile of 1000 prepaid tokens, an
// Admin for it, and the profile.
func newAdminWithProfile(t *testing.T) (*tsplatform.Store, *tsadmin.Admin, turmericshed.Profile) {
	t.Helper()
	s := tsplatform.NewStore(tsplatform.Options{})
	a := tsadmin.New(tsadmin.Config{Store: s, Operator: "ana"})
	p, err := a.PutProfile(t.Context(), validProfile(), 0)
	assert.NilError(t, err)
	return s, a, p
}

// setPrepaid returns an edit that sets the prepaid tokens.
func setPrepaid(n turmericshed.Tokens) func(p *turmericshed.Profile) error {
	return func(p *turmericshed.Profile) error {
		p.Prepaid = n
		return nil
	}
}

// assertPrepaid checks the prepaid tokens of both the profile and its ledger.
func assertPrepaid(t *testing.T, a *tsadmin.Admin, n turmericshed.Tokens) {
	t.Helper()
	p, err := a.Profile(t.Context(), "counter")
	assert.NilError(t, err)
	assert.Equal(t, p.Prepaid, n)
	l, err := a.Ledger(t.Context(), p)
	assert.NilError(t, err)
	assert.Equal(t, l.Prepaid, n)
}

// Guards against edits that overwrite another operator's edit, take effect twice or in
// part when an answer is lost or the store is unreachable, or lower the budget below
// the tokens already drawn.
func TestProfiles(t *testing.T) {
	t.Run("put fills in budget and editor", func(t *testing.T) {
		_, a, p := newAdminWithProfile(t)
		assert.Assert(t, p.Budget != "" && p.EditedBy == "ana" && p.Version != 0)
		assertPrepaid(t, a, 1000)
	})
	t.Run("a put over another version reports its editor and changes", func(t *testing.T) {
		_, a, p := newAdminWithProfile(t)
		q := validProfile()
		q.Prepaid = 5
		_, err := a.PutProfile(t.Context(), q, 0)
		assertKind(t, err, turmericshed.KindConflict)
		assert.ErrorContains(t, err, `edited by "ana"`)
		assert.ErrorContains(t, err, "prepaid: 1000 -> 5")
		_, err = a.PutProfile(t.Context(), q, p.Version)
		assert.NilError(t, err)
		assertPrepaid(t, a, 5)
	})
	t.Run("the rejected one of two concurrent puts gets the accepted version", func(t *testing.T) {
		s, a, _ := newAdminWithProfile(t)
		bela := tsadmin.New(tsadmin.Config{Store: s, Operator: "bela"})
		_, err := a.EditProfile(t.Context(), "counter", 0, func(p *turmericshed.Profile) error {
			_, err := bela.EditProfile(t.Context(), "counter", 0, setPrepaid(3000))
			assert.NilError(t, err)
			p.Prepaid = 10
			return nil
		})
		assertKind(t, err, turmericshed.KindConflict)
		assert.ErrorContains(t, err, `edited by "bela"`)
		assert.ErrorContains(t, err, "prepaid: 1000 -> 3000")
		assertPrepaid(t, a, 3000)
	})
	t.Run("an edit whose answer is lost is applied once", func(t *testing.T) {
		s, a, p := newAdminWithProfile(t)
		s.SetFaults(tsplatform.Faults{LoseAnswers: 2})
		_, err := a.EditProfile(t.Context(), "counter", p.Version, setPrepaid(2000))
		assert.NilError(t, err)
		assertPrepaid(t, a, 2000)
	})
	t.Run("an edit in an outage changes nothing", func(t *testing.T) {
		s, a, p := newAdminWithProfile(t)
		s.SetFaults(tsplatform.Faults{Outage: true})
		_, err := a.EditProfile(t.Context(), "counter", p.Version, setPrepaid(2000))
		assertKind(t, err, turmericshed.KindStoreUnavailable)
		s.SetFaults(tsplatform.Faults{})
		assertPrepaid(t, a, 1000)
	})
	t.Run("an amount below the lots handed out is rejected with the lowest allowed amount", func(t *testing.T) {
		s, a, p := newAdminWithProfile(t)
		l, err := a.Ledger(t.Context(), p)
		assert.NilError(t, err)
		assert.Equal(t, l.Prepaid, turmericshed.Tokens(1000))
		drawLot(t, s, p, 700)
		_, err = a.EditProfile(t.Context(), "counter", 0, setPrepaid(600))
		var lowest *tsbudget.AmountTooLowError
		assert.Assert(t, errors.As(err, &lowest))
		assert.Equal(t, lowest.Lowest, turmericshed.Tokens(700))
		assertPrepaid(t, a, 1000)
	})
	t.Run("a rejected edit leaves the profile unchanged", func(t *testing.T) {
		_, a, _ := newAdminWithProfile(t)
		_, err := a.EditProfile(t.Context(), "counter", 0, setPrepaid(-1))
		assertKind(t, err, turmericshed.KindBadRequest)
		_, err = a.EditProfile(t.Context(), "counter", 0, func(p *turmericshed.Profile) error {
			p.Name = "other"
			return nil
		})
		assertKind(t, err, turmericshed.KindBadRequest)
		assertPrepaid(t, a, 1000)
	})
	t.Run("a profile deleted and created again has a new budget", func(t *testing.T) {
		s, a, p := newAdminWithProfile(t)
		drawLot(t, s, p, 700)
		assert.NilError(t, a.DeleteProfile(t.Context(), "counter", p.Version))
		_, err := a.Profile(t.Context(), "counter")
		assertKind(t, err, turmericshed.KindUnknownProfile)
		old, err := a.Ledger(t.Context(), p)
		assert.Assert(t, err == nil && old.Recalled)
		q, err := a.PutProfile(t.Context(), validProfile(), 0)
		assert.NilError(t, err)
		assert.Assert(t, q.Budget != p.Budget)
		assertPrepaid(t, a, 1000)
	})
}

// drawLot draws a lot of n tokens from the profile's budget.
func drawLot(t *testing.T, s *tsplatform.Store, p turmericshed.Profile, n turmericshed.Tokens) {
	t.Helper()
	r := tsbudget.DrawRequest{Lot: "lot-1", Holder: "vm-1", Want: n, Min: n}
	_, err := tsupdate.Run(t.Context(), s, tsupdate.New(tsbudget.Key(p.Budget), tsbudget.Draw(r)))
	assert.NilError(t, err)
}
