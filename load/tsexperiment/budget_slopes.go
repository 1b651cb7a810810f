package tsexperiment

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// BudgetSlopes are the per-unit costs from which docs/CAPACITY.md is computed.
type BudgetSlopes struct {
	LedgerBytes             int     `json:"ledger_bytes"`
	LedgerBytesPerOpenLot   float64 `json:"ledger_bytes_per_open_lot"`
	MemoryBytesPerBudget    float64 `json:"memory_bytes_per_held_budget"`
	MemoryBytesPerLot       float64 `json:"memory_bytes_per_held_lot"`
	ReserveSettleMicro      float64 `json:"reserve_settle_us"`
	LedgerChangeMicroAt15   float64 `json:"ledger_change_us_at_15_lots"`
	LedgerChangeMicroAt2600 float64 `json:"ledger_change_us_at_2600_lots"`
}

const (
	slopeBudgets = 20_000
	slopeRounds  = 200_000
)

func budgetSlopes() BudgetSlopes {
	empty, many := ledgerWithLots(0), ledgerWithLots(1000)
	s := BudgetSlopes{
		LedgerBytes:           len(empty.Value),
		LedgerBytesPerOpenLot: float64(len(many.Value)-len(empty.Value)) / 1000,
	}
	one, two := holderBytesPerBudget(1), holderBytesPerBudget(2)
	s.MemoryBytesPerBudget, s.MemoryBytesPerLot = one, two-one
	s.ReserveSettleMicro = reserveSettleMicros()
	s.LedgerChangeMicroAt15, s.LedgerChangeMicroAt2600 = ledgerChangeMicros(15, 2000), ledgerChangeMicros(2600, 50)
	return s
}

func slopeDraw(i int) tsbudget.DrawRequest {
	return tsbudget.DrawRequest{
		Lot: turmericshed.LotID(fmt.Sprintf("lot-%024x", i)), Holder: turmericshed.Incarnation(fmt.Sprintf("vm-%024x", i)),
		FailureDomain: "my-west-1", Want: 250_000, Min: 1, Rate: 1000, At: time.Unix(1_700_000_000, 123_456_789),
	}
}

// ledgerWithLots returns a ledger with the given number of open lots.
func ledgerWithLots(lots int) turmericshed.Item {
	item := turmericshed.Item{Key: tsbudget.Key("budget-0123456789abcdef01234567")}
	value, err := tsbudget.Create("budget-0123456789abcdef01234567", "profile", 1<<40)(item)
	for i := 0; err == nil; i++ {
		item.Value, item.Version = value, item.Version+1
		if i == lots {
			return item
		}
		value, err = tsbudget.Draw(slopeDraw(i))(item)
	}
	panic(err)
}

// holderBytesPerBudget returns the heap bytes of a holder per budget, with the given number of lots
// in each.
func holderBytesPerBudget(lots int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h := tsbudget.NewHolder("vm")
	for i := range slopeBudgets {
		id := turmericshed.BudgetID(fmt.Sprintf("budget-%024x", i))
		for j := range lots {
			h.AddLot(id, tsbudget.Lot{ID: turmericshed.LotID(fmt.Sprintf("lot-%d-%024x", j, i)), Holder: "vm", Drawn: 1000}, "")
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	per := float64(after.HeapAlloc-before.HeapAlloc) / slopeBudgets
	runtime.KeepAlive(h)
	return per
}

// reserveSettleMicros returns the mean time, in microseconds, of one reservation and settlement
// with the placement decision between them.
func reserveSettleMicros() float64 {
	h := tsbudget.NewHolder("vm")
	h.AddLot("b", tsbudget.Lot{ID: "1", Holder: "vm", Drawn: 1 << 50}, "")
	p := turmericshed.Profile{Budget: "b"}
	now := time.Unix(1_700_000_000, 0)
	began := time.Now()
	for range slopeRounds {
		now = now.Add(time.Millisecond)
		res, _ := h.Reserve(now, p, "r", 1400)
		tsbudget.ByDemand{}.Decide(h.View(now, "b"))
		h.Settle(now, res, 675)
	}
	return float64(time.Since(began).Microseconds()) / slopeRounds
}

// ledgerChangeMicros returns the mean time, in microseconds, of decoding, changing and encoding a
// ledger with the given number of open lots.
func ledgerChangeMicros(lots, rounds int) float64 {
	item := ledgerWithLots(lots)
	began := time.Now()
	for i := range rounds {
		if _, err := tsbudget.Draw(slopeDraw(1<<30 + i))(item); err != nil {
			panic(err)
		}
	}
	return float64(time.Since(began).Microseconds()) / float64(rounds)
}

// runCrashSweep compares lot sizes, with and without a witnessed ceiling, by the tokens that a
// crash burns.
func runCrashSweep(ctx context.Context, o Options) (any, error) {
	res := BudgetResult{Seed: o.Seed}
	for _, spec := range budgetSpecs(o.Quick) {
		if spec.scenario != "crash_storm" {
			continue
		}
		for _, bridge := range []time.Duration{15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 10 * time.Minute} {
			for _, gap := range []time.Duration{0, 5 * time.Second} {
				p := budgetPolicies()[2]
				p.witnessGap = gap
				p.name = fmt.Sprintf("%s_bridge_%s", p.name, bridge)
				if gap > 0 {
					p.name += "_witnessed_" + gap.String()
				}
				spec.bridge = bridge
				res.Rows = append(res.Rows, measureBudget(ctx, o.Seed, spec, p))
			}
		}
	}
	if ctx.Err() != nil {
		return nil, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "experiment")
	}
	return res, nil
}
