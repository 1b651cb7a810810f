package tsbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsbudget"
)

// TestByDemandNearlySpentBudget guards against tokens idle at one entry VM while callers wait at others.
// In the last seconds of a busy budget, an entry VM whose few callers were served kept the tokens
// that their requests released, while hundreds of requests waited elsewhere until their deadlines.
func TestByDemandNearlySpentBudget(t *testing.T) {
	decide := func(change func(v *tsbudget.View)) tsbudget.Decision {
		v := tsbudget.View{
			EntryVMs: 9, Rate: 816, LargestRequest: 1610, Available: 6000, Idle: time.Second,
			Ledger: tsbudget.Summary{Read: true, Limit: 43_200_000, Undrawn: 470, Others: 840_000, OthersRate: 31_000},
		}
		change(&v)
		return tsbudget.ByDemand{}.Decide(v)
	}
	t.Run("tokens that no request waits for are returned", func(t *testing.T) {
		d := decide(func(*tsbudget.View) {})
		assert.Assert(t, d.Return && !d.Draw && !d.Borrow, "%+v", d)
		assert.Equal(t, d.Keep, toTokens(0))
	})
	t.Run("no tokens are drawn ahead of demand", func(t *testing.T) {
		for _, home := range []bool{true, false} {
			d := decide(func(v *tsbudget.View) { v.Available, v.Home = 0, home })
			assert.Assert(t, !d.Return && !d.Draw && !d.Borrow, "%+v", d)
		}
	})
	t.Run("the amount that a waiting request lacks is drawn", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) { v.Waiting, v.Needed, v.Available, v.Home = 1500, 1500, 600, true })
		assert.Assert(t, d.Draw && !d.Return, "%+v", d)
		assert.Equal(t, d.Want, toTokens(900))
		assert.Equal(t, d.Min, toTokens(900))
	})
	t.Run("a remainder too small for any request is returned and the full amount is drawn", func(t *testing.T) {
		d := decide(func(v *tsbudget.View) {
			v.Waiting, v.Needed, v.Available, v.Starved, v.Home = 1500, 1500, 600, true, true
		})
		assert.Assert(t, d.Draw && d.Return, "%+v", d)
		assert.Equal(t, d.Min, toTokens(1500))
	})
	t.Run("tokens above the reserve stay with the holder that has demand", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.Available, v.Rate, v.Home = 60_000, 13_000, true }).Return)
	})
	t.Run("a ledger that can refill the reserve changes nothing", func(t *testing.T) {
		assert.Assert(t, !decide(func(v *tsbudget.View) { v.Ledger.Undrawn = 10_000 }).Return)
	})
}
