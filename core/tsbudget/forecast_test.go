package tsbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

const forecastFleet = 80

// forecastOf returns the decision of an entry VM of a large fleet with a typical request of 10.
func forecastOf(change func(v *tsbudget.View)) tsbudget.Decision {
	v := tsbudget.View{EntryVMs: forecastFleet, Ledger: ledgerOf(2400, 2400, 0), Order: 0.5}
	change(&v)
	return tsbudget.Forecast{UsualRequest: 10}.Decide(v)
}

func TestForecast(t *testing.T) {
	t.Run("draws a part of the unspent amount before any demand", func(t *testing.T) {
		d := forecastOf(func(*tsbudget.View) {})
		assert.Assert(t, d.Draw)
		assert.Equal(t, d.Want, toTokens(27))
	})
	t.Run("a small fleet is decided by Bridging", func(t *testing.T) {
		v := tsbudget.View{EntryVMs: 39, Ledger: ledgerOf(2400, 2400, 0)}
		assert.DeepEqual(t, tsbudget.Forecast{UsualRequest: 10}.Decide(v), tsbudget.Bridging{UsualRequest: 10}.Decide(v))
	})
	t.Run("some holders have a slot if a part is too small for a request", func(t *testing.T) {
		held := 0
		for i := range forecastFleet {
			d := forecastOf(func(v *tsbudget.View) {
				v.Ledger = ledgerOf(240, 240, 0)
				v.Order = (float64(i) + 0.5) / forecastFleet
			})
			if d.Draw {
				assert.Equal(t, d.Want, toTokens(12))
				held++
			}
		}
		assert.Equal(t, held, 18)
	})
	t.Run("a holder with demand has more than one without", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) {
			v.SteadyRate, v.RecentRate, v.TypicalRequest, v.LargestRequest = 10, 10, 10, 10
		})
		assert.Assert(t, d.Want > 200, "want %d", d.Want)
	})
	t.Run("a holder has no more than three spans of its demand and two large requests", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) {
			v.SteadyRate, v.RecentRate, v.TypicalRequest, v.LargestRequest, v.Ledger = 1000, 10, 10, 15, ledgerOf(1_000_000, 1_000_000, 0)
		})
		assert.Equal(t, d.Want, toTokens(3*90+2*15))
	})
	t.Run("a holder without demand returns all of an account that uses one other entry VM", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) {
			v.Available, v.Ledger = 27, ledgerOf(2400, 300, 27)
			v.Ledger.OthersRate, v.Ledger.OthersRateSquares = 20, 400
		})
		assert.Assert(t, d.Return)
		assert.Equal(t, d.Keep, toTokens(0))
	})
	t.Run("a holder without demand keeps its part of an account that uses all entry VMs", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) {
			v.Available, v.Ledger = 22, ledgerOf(2400, 300, 22)
			v.Ledger.OthersRate, v.Ledger.OthersRateSquares = 40, 20
		})
		assert.Assert(t, !d.Return)
	})
	t.Run("the reserve stays undrawn unless a request waits", func(t *testing.T) {
		low := func(v *tsbudget.View) { v.Ledger = ledgerOf(2400, 120, 0) }
		assert.Assert(t, !forecastOf(low).Draw)
		d := forecastOf(func(v *tsbudget.View) {
			low(v)
			v.Waiting, v.Needed = 30, 30
		})
		assert.Assert(t, d.Draw)
		assert.Equal(t, d.Min, toTokens(30))
	})
	t.Run("holders return tokens while less than the reserve is undrawn", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) { v.Available, v.Ledger = 30, ledgerOf(2400, 10, 30) })
		assert.Assert(t, d.Return)
	})
	t.Run("a return that was not written is reported again", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) { v.Available, v.Returning = 27, 20 })
		assert.Assert(t, d.Return)
		assert.Equal(t, d.Keep, toTokens(27))
	})
	t.Run("ceilings permit two large requests without demand, and twice a lease of demand", func(t *testing.T) {
		assert.Equal(t, forecastOf(func(*tsbudget.View) {}).Allowance, toTokens(30))
		assert.Equal(t, forecastOf(func(v *tsbudget.View) { v.RecentRate, v.LargestRequest = 10, 20 }).Allowance, toTokens(120))
	})
}

// Guards against a first request of a partition that waits until the lease has expired, because no
// demand was known when the ceilings were declared.
func TestAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	h := tsbudget.NewHolder("i")
	h.AddLot("b", tsbudget.Lot{ID: "l", Holder: "i", Drawn: 100}, "")
	h.SetAllowance("b", 40)
	list := h.PlanCeilings(now, time.Second, nil, nil)
	h.Ceilings.BeginDeclaration(now, list, now.Add(tsbudget.LeaseLength))
	assert.Equal(t, h.Spendable(now, "b"), toTokens(40))
}

// Guards against slots that move when a process restarts, or that several holders count as theirs.
func TestOrder(t *testing.T) {
	var vms []turmericshed.EntryVM
	for _, name := range []string{"a", "b", "c", "d"} {
		vms = append(vms, turmericshed.EntryVM{Name: name, Incarnation: turmericshed.Incarnation(name + "1")})
	}
	seen := map[float64]bool{}
	for _, vm := range vms {
		order := tsbudget.Order("budget", vm, vms)
		seen[order] = true
		vm.Incarnation = "other"
		assert.Equal(t, tsbudget.Order("budget", vm, vms), order)
	}
	assert.DeepEqual(t, seen, map[float64]bool{0.125: true, 0.375: true, 0.625: true, 0.875: true})
}
