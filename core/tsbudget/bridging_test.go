package tsbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

func ledgerOf(unspent, room, mine int64) tsbudget.Summary {
	return tsbudget.Summary{
		Read: true, Limit: 900, Unspent: toTokens(unspent), Undrawn: toTokens(room), Mine: toTokens(mine), Others: toTokens(unspent - room - mine),
	}
}

func TestBridging(t *testing.T) {
	p := tsbudget.Bridging{Span: 10 * time.Second}
	decide := func(change func(v *tsbudget.View)) tsbudget.Decision {
		v := tsbudget.View{EntryVMs: 9, Ledger: ledgerOf(900, 900, 0)}
		change(&v)
		return p.Decide(v)
	}
	t.Run("draws an equal share before any demand", func(t *testing.T) {
		d := decide(func(*tsbudget.View) {})
		assert.Assert(t, d.Draw)
		assert.Equal(t, d.Want, toTokens(35))
	})
	t.Run("the equal share is drawn only once", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.Ledger.Mine, v.Available = 35, 0 }).Draw)
	})
	t.Run("no equal share is drawn from a ledger that runs low", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.Ledger = ledgerOf(900, 100, 0) }).Draw)
	})
	t.Run("draws the demand of the span", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) { v.RecentRate, v.Available, v.Ledger = 12, 35, ledgerOf(900, 500, 35) })
		assert.Assert(t, d.Draw)
		assert.Equal(t, d.Want, toTokens(85))
		assert.Equal(t, d.Rate, 12.0)
	})
	t.Run("draws no more than the fair share of the unspent amount", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) {
			v.RecentRate, v.Ledger = 12, ledgerOf(100, 100, 0)
			v.Ledger.OthersRate = 36
		})
		assert.Assert(t, d.Want <= toTokens(25), "want %d", d.Want)
	})
	t.Run("no draw while the available amount covers the span", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.RecentRate, v.Available = 12, 120 }).Draw)
	})
	t.Run("draws the amount that a waiting request lacks", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) { v.Waiting, v.Needed, v.Available, v.Ledger = 50, 50, 20, ledgerOf(900, 40, 20) })
		assert.Assert(t, d.Draw)
		assert.Equal(t, d.Min, toTokens(30))
	})
	t.Run("no draw for a request that only the ceilings delay", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.Waiting, v.Needed, v.Available, v.Ledger.Mine = 50, 50, 60, 60 }).Draw)
	})
	t.Run("a holder without demand returns tokens when the ledger runs low", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) { v.Available, v.Idle, v.Ledger = 35, time.Minute, ledgerOf(900, 100, 35) })
		assert.Assert(t, d.Return)
		assert.Assert(t, d.Keep <= 9, "keeps %d", d.Keep)
	})
	t.Run("a holder without demand retains tokens while the ledger has enough", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.Available, v.Idle, v.Ledger = 35, time.Minute, ledgerOf(900, 500, 35) }).Return)
	})
	t.Run("usage is reported once the ledger's room is below the largest request", func(t *testing.T) {
		for room, want := range map[int64]bool{29: true, 30: false} {
			d := decide(func(v *tsbudget.View) {
				v.HasUnreported, v.LargestRequest, v.Ledger = true, 30, ledgerOf(200, room, 100)
			})
			assert.Equal(t, d.Report, want, "room %d", room)
		}
	})
	t.Run("an equal share below the usual request is not drawn", func(t *testing.T) {
		for usual, want := range map[int64]bool{35: true, 36: false} {
			p := tsbudget.Bridging{UsualRequest: toTokens(usual)}
			d := p.Decide(tsbudget.View{EntryVMs: 9, Ledger: ledgerOf(900, 900, 0)})
			assert.Equal(t, d.Draw, want, "a usual request of %d", usual)
		}
	})
	t.Run("a holder with low demand returns all tokens of a budget that runs low", func(t *testing.T) {
		thin := func(v *tsbudget.View) {
			v.EntryVMs, v.Available, v.RecentRate, v.TypicalRequest, v.LargestRequest, v.Ledger = 195, 20, 3, 40, 60, ledgerOf(900, 50, 20)
			v.Ledger.OthersRate = 300
		}
		d := decide(thin)
		assert.Assert(t, !d.Draw && !d.TopUp)
		assert.Assert(t, d.Return)
		assert.Equal(t, d.Keep, toTokens(0))
	})
	t.Run("a holder with low demand draws for a waiting request", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) {
			v.EntryVMs, v.RecentRate, v.TypicalRequest, v.LargestRequest, v.Ledger = 195, 3, 40, 60, ledgerOf(900, 50, 0)
			v.Waiting, v.Needed = 45, 45
		})
		assert.Assert(t, d.Draw)
		assert.Equal(t, d.Min, toTokens(45))
	})
	t.Run("the reserve shrinks with the ledger's room", func(t *testing.T) {
		want := func(room int64) turmericshed.Tokens {
			return decide(func(v *tsbudget.View) {
				v.RecentRate, v.LargestRequest, v.TypicalRequest, v.Ledger = 12, 30, 30, ledgerOf(900, room, 0)
			}).Want
		}
		assert.Equal(t, want(600), toTokens(165))
		assert.Equal(t, want(180), toTokens(82))
		assert.Equal(t, want(36), toTokens(44))
	})
	t.Run("amounts too small for a request are not drawn ahead of demand", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) { v.RecentRate, v.LargestRequest, v.Ledger = 12, 30, ledgerOf(200, 3, 0) })
		assert.Assert(t, !d.Draw)
	})
}

func toTokens(n int64) turmericshed.Tokens { return turmericshed.Tokens(n) }
