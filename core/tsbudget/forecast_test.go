package tsbudget_test

import (
	"encoding/json"
	"fmt"
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
				v.Ledger.Limit = 240
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
	t.Run("a rest is returned only while little is undrawn", func(t *testing.T) {
		rest := func(undrawn int64) func(v *tsbudget.View) {
			return func(v *tsbudget.View) { v.Available, v.Order, v.Ledger = 2, 0.99, ledgerOf(240, undrawn, 2) }
		}
		assert.Assert(t, forecastOf(rest(10)).Return)
		assert.Assert(t, !forecastOf(rest(90)).Return)
	})
	t.Run("a return that was not written is reported again", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) { v.Available, v.Returning = 27, 20 })
		assert.Assert(t, d.Return)
		assert.Equal(t, d.Keep, toTokens(27))
	})
	t.Run("ceilings permit one and a half large requests, and 5 s of demand", func(t *testing.T) {
		assert.Equal(t, forecastOf(func(*tsbudget.View) {}).Allowance, toTokens(22))
		assert.Equal(t, forecastOf(func(v *tsbudget.View) { v.RecentRate, v.LargestRequest = 10, 20 }).Allowance, toTokens(80))
	})
	t.Run("a draw ahead of demand leaves the reserve, one for a waiting request does not", func(t *testing.T) {
		assert.Equal(t, forecastOf(func(*tsbudget.View) {}).KeepUndrawn, toTokens(140))
		d := forecastOf(func(v *tsbudget.View) { v.Waiting, v.Needed = 30, 30 })
		assert.Equal(t, d.KeepUndrawn, toTokens(0))
	})
	t.Run("a draw for a waiting request takes only what it lacks while little is undrawn", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) { v.Waiting, v.Needed, v.Ledger = 30, 30, ledgerOf(2400, 60, 0) })
		assert.Equal(t, d.Want, toTokens(30))
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

// Guards against an entry VM that decides as in a small fleet when it is cut off and sees no other
// one, and against returns that can't be written, whose tokens would serve nobody.
func TestForecastInOutage(t *testing.T) {
	surplus := func(v *tsbudget.View) { v.Available, v.Ledger = 300, ledgerOf(2400, 300, 300) }
	t.Run("a surplus is returned while the store answers", func(t *testing.T) {
		assert.Assert(t, forecastOf(surplus).Return)
	})
	t.Run("nothing is returned while it does not answer", func(t *testing.T) {
		d := forecastOf(func(v *tsbudget.View) {
			surplus(v)
			v.Unreachable, v.Returning = true, 10
		})
		assert.Assert(t, !d.Return)
	})
	t.Run("an entry VM that sees no other one decides by the size of the fleet before", func(t *testing.T) {
		want := forecastOf(surplus)
		got := forecastOf(func(v *tsbudget.View) {
			surplus(v)
			v.EntryVMs, v.RecentEntryVMs = 1, forecastFleet
		})
		assert.DeepEqual(t, got, want)
	})
}

// Guards against draws ahead of demand of many holders that take all that is undrawn, each from the
// same reading of the ledger.
func TestKeepUndrawn(t *testing.T) {
	d := newDomainFixture(t)
	var requests []tsbudget.Request
	for _, process := range []string{"x1", "y1", "z1"} {
		d.takeOver("east", process, "")
		ch := drawing(process, 400, 100)
		ch.Draw.KeepUndrawn = 150
		requests = append(requests, request(process, ch))
	}
	err := d.commit("east", requests...)
	assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindBudgetExhausted)
	assert.Equal(t, d.ledger("east").Undrawn(), toTokens(200))
}

// Guards against sums of squares that stay wrong after a rollout: a process of an earlier version
// drops them from the ledgers that it writes, and from all of a holding.
func TestSquaresInMixedFleet(t *testing.T) {
	start := func(t *testing.T) *domainFixture {
		t.Helper()
		d := newDomainFixture(t)
		d.takeOver("east", "x1", "")
		d.takeOver("west", "y1", "")
		assert.NilError(t, d.commit("east", request("x1", atRate(7, drawing("a", 100, 1)))))
		assert.NilError(t, d.commit("west", request("y1", atRate(5, drawing("b", 100, 1)))))
		assert.Equal(t, d.ledger("east", "west").InHoldings.RateSquares, int64(74))
		return d
	}
	dropFromHolding := func(d *domainFixture, domain string) {
		h := d.holding(domain)
		p := h.Pools["b"]
		p.Counted.RateSquares, p.Counted.SquaresEpoch = 0, 0
		h.Pools = map[turmericshed.BudgetID]tsbudget.Pool{"b": p}
		value, err := h.Encode()
		assert.NilError(d.t, err)
		d.put(tsbudget.HoldingKey(turmericshed.FailureDomain(domain)), value)
	}
	dropFromLedger := func(d *domainFixture) {
		l := d.ledger("east", "west")
		l.InHoldings.RateSquares, l.InHoldings.SquaresEpoch = 0, 0
		value, err := json.Marshal(l)
		assert.NilError(d.t, err)
		d.put(tsbudget.Key("b"), value)
	}
	healed := func(t *testing.T, d *domainFixture) {
		t.Helper()
		for i := range 2 {
			assert.NilError(t, d.commit("east", request("x1", ending(fmt.Sprint("a", i-1), 0, 1), atRate(7, drawing(fmt.Sprint("a", i), 1, 1)))))
			assert.NilError(t, d.commit("west", request("y1", ending(fmt.Sprint("b", i-1), 0, 1), atRate(5, drawing(fmt.Sprint("b", i), 1, 1)))))
			d.ledger("east", "west")
		}
		assert.Equal(t, d.ledger("east", "west").InHoldings.RateSquares, int64(74))
	}
	t.Run("an earlier version writes the holding", func(t *testing.T) {
		d := start(t)
		dropFromHolding(d, "east")
		healed(t, d)
	})
	t.Run("an earlier version writes the ledger and the holding", func(t *testing.T) {
		d := start(t)
		dropFromHolding(d, "west")
		dropFromLedger(d)
		healed(t, d)
	})
}

// Guards against a crash that costs more than the ceilings permit, and a power loss that costs more
// than the lot: what is spent of a lot of 600 when its holder ends without a report.
func TestCostOfHolderEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	lose := func(t *testing.T, successorAt time.Time) (spent turmericshed.Tokens) {
		t.Helper()
		d := newDomainFixture(t)
		d.takeOver("east", "x1", "")
		assert.NilError(t, d.commit("east", request("x1", drawing("a", 600, 1))))
		h := tsbudget.NewHolder("x1")
		h.AddLot("b", d.holding("east").Lots["b"][0], "")
		h.SetAllowance("b", forecastOf(func(v *tsbudget.View) { v.RecentRate, v.LargestRequest = 10, 20 }).Allowance)
		assert.NilError(t, d.commit("east", declaring(request("x1"), 1, now, h.PlanCeilings(now, time.Second, nil, nil)...)))
		d.alive["l"] = true
		assert.NilError(t, d.commit("east", takeover("x2", "x1", successorAt)))
		l := d.ledger("east")
		assert.Equal(t, l.Undrawn()+d.holding("east").Pools["b"].Free+l.Spent, toTokens(1000))
		return l.Spent
	}
	t.Run("a crash with a successor within the lease costs what the ceilings permit", func(t *testing.T) {
		assert.Equal(t, lose(t, now.Add(tsbudget.LeaseLength-time.Second)), toTokens(80))
	})
	t.Run("a successor after the lease cannot rely on the ceilings, and the lot is lost", func(t *testing.T) {
		assert.Equal(t, lose(t, now.Add(tsbudget.LeaseLength)), toTokens(600))
	})
}

// Guards against requests that are held while tokens are with other holders only: on days with
// restarts they were held for most of their objective and then refused.
func TestNoWaitForReturns(t *testing.T) {
	arrived := time.Unix(1000, 0)
	s := tsbudget.Situation{Round: 2, PeersMissing: true}
	s.View = tsbudget.View{Now: arrived, EntryVMs: forecastFleet, Ledger: ledgerOf(2400, 5, 0)}
	s.Ledger.Others = 2000
	err := s.Judge(tsbudget.Waiter{
		Profile: turmericshed.Profile{Edge: turmericshed.PreferNoSurprise}, Amount: 10, Round: 1, Deadline: arrived.Add(10 * time.Second),
	})
	assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindBudgetUnavailable)
}

// Guards against tokens that are held ahead of demand while little is left of a budget.
func TestForecastOfANearlySpentBudget(t *testing.T) {
	v := tsbudget.View{EntryVMs: forecastFleet, Ledger: ledgerOf(2400, 5, 0)}
	v.Ledger.Limit = v.Ledger.Unspent * 3
	small := tsbudget.Bridging{UsualRequest: 10}
	assert.Equal(t, tsbudget.Forecast{UsualRequest: 10, Small: small}.Decide(v), small.Decide(v))
	v.Ledger.Limit = v.Ledger.Unspent * 2
	assert.Assert(t, tsbudget.Forecast{UsualRequest: 10, Small: small}.Decide(v) != small.Decide(v))
}
