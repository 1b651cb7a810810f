package tsbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

func TestCeilings(t *testing.T) {
	now := time.Now()
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	list := func(n int64) []tsbudget.LotCeiling { return []tsbudget.LotCeiling{{Lot: "a", Most: toTokens(n)}} }
	assertMost := func(t *testing.T, c *tsbudget.Ceilings, s int, want int64) {
		t.Helper()
		n, ok := c.Most(at(s), "a")
		assert.Equal(t, ok, want >= 0)
		assert.Equal(t, n, max(toTokens(want), 0))
	}
	t.Run("no ceiling applies before the first publication", func(t *testing.T) { assertMost(t, &tsbudget.Ceilings{}, 0, -1) })
	t.Run("a ceiling applies from the moment it is sent", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.BeginDeclaration(at(0), list(5), at(3))
		assertMost(t, &c, 1, 5)
	})
	t.Run("a higher ceiling applies only after it is stored", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.BeginDeclaration(at(0), list(5), at(3))
		c.ConfirmDeclaration(list(5))
		c.BeginDeclaration(at(1), list(9), at(4))
		assertMost(t, &c, 1, 5)
		c.ConfirmDeclaration(list(9))
		assertMost(t, &c, 1, 9)
	})
	t.Run("a lower ceiling applies at once", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.BeginDeclaration(at(0), list(9), at(3))
		c.ConfirmDeclaration(list(9))
		c.BeginDeclaration(at(1), list(4), at(4))
		assertMost(t, &c, 1, 4)
	})
	t.Run("a lot that is not listed may not be used", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.BeginDeclaration(at(0), nil, at(3))
		assertMost(t, &c, 1, 0)
		c.BeginDeclaration(at(1), list(5), at(4))
		assertMost(t, &c, 1, 0)
		c.ConfirmDeclaration(list(5))
		assertMost(t, &c, 1, 5)
	})
	t.Run("ceilings end when the last key that was sent expires", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.BeginDeclaration(at(0), list(5), at(3))
		c.ConfirmDeclaration(list(5))
		c.BeginDeclaration(at(1), list(9), at(4))
		assertMost(t, &c, 3, 5)
		assertMost(t, &c, 4, -1)
	})
	t.Run("a lease that expires earlier does not shorten the ceilings", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.BeginDeclaration(at(0), list(5), at(4))
		c.BeginDeclaration(at(1), list(5), at(3))
		assertMost(t, &c, 3, 5)
	})
}

func TestGrant(t *testing.T) {
	grant := func(t *testing.T, cur turmericshed.Item, n int64) turmericshed.Item {
		t.Helper()
		value, err := tsbudget.Grant("b", "p", toTokens(n))(cur)
		assert.NilError(t, err)
		if value == nil {
			return cur
		}
		return turmericshed.Item{Key: cur.Key, Value: value, Version: cur.Version + 1}
	}
	assertPrepaid := func(t *testing.T, cur turmericshed.Item, want int64) {
		t.Helper()
		l, err := tsbudget.Decode(cur)
		assert.NilError(t, err)
		assert.Equal(t, l.Prepaid, toTokens(want))
	}
	made := grant(t, turmericshed.Item{Key: tsbudget.Key("b")}, 100)
	t.Run("creates a ledger", func(t *testing.T) { assertPrepaid(t, made, 100) })
	t.Run("raises it", func(t *testing.T) { assertPrepaid(t, grant(t, made, 150), 150) })
	t.Run("never lowers it", func(t *testing.T) { assertPrepaid(t, grant(t, made, 50), 100) })
}
