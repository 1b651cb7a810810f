package tsbudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// parted is one ledger and the holdings of a small fleet.
type parted struct {
	t        *testing.T
	ledger   turmericshed.Item
	holdings [][]tsbudget.Lot
}

func newParted(t *testing.T, prepaid int64, vms int) *parted {
	t.Helper()
	p := &parted{t: t, ledger: turmericshed.Item{Key: tsbudget.Key("b")}, holdings: make([][]tsbudget.Lot, vms)}
	assert.NilError(t, p.change(0, tsbudget.Create("b", "p", toTokens(prepaid))))
	return p
}

// change applies m as the holder of one holding and returns its error.
func (p *parted) change(vm int, m tsupdate.Mutation) error {
	lots := p.holdings[vm]
	next, err := tsbudget.Parted(m, func() ([]tsbudget.Lot, error) { return p.holdings[vm], nil }, func(l []tsbudget.Lot) { lots = l })(p.ledger)
	if err == nil && next != nil {
		p.ledger.Value, p.ledger.Version = next, p.ledger.Version+1
		p.holdings[vm] = lots
	}
	return err
}

func (p *parted) decode() tsbudget.Ledger {
	p.t.Helper()
	l, err := tsbudget.Decode(p.ledger)
	assert.NilError(p.t, err)
	return l
}

func drawFor(vm int, lot string, want, least int64) tsupdate.Mutation {
	return tsbudget.Draw(tsbudget.DrawRequest{
		Lot: turmericshed.LotID(lot), Holder: turmericshed.Incarnation(fmt.Sprint("vm-", vm)), Want: toTokens(want), Min: toTokens(least), Rate: 7, At: time.Unix(1000, 0),
	})
}

func TestHoldings(t *testing.T) {
	t.Run("a ledger keeps sums of others' lots and no lots", func(t *testing.T) {
		p := newParted(t, 1000, 2)
		assert.NilError(t, p.change(0, drawFor(0, "a", 300, 1)))
		assert.NilError(t, p.change(1, drawFor(1, "b", 300, 1)))
		l := p.decode()
		assert.Equal(t, len(l.Lots), 0)
		assert.Equal(t, l.Room(), toTokens(400))
		assert.DeepEqual(t, l.Elsewhere, tsbudget.Elsewhere{Charge: 600, Rate: 14, Holders: 2})
		joined := l.Join(p.holdings[0])
		s := tsbudget.Summarize(joined, "vm-0", time.Now())
		assert.Equal(t, s.Mine, toTokens(300))
		assert.Equal(t, s.Others, toTokens(300))
		assert.Equal(t, s.OthersRate, 7.0)
	})
	t.Run("the size does not grow with the fleet", func(t *testing.T) {
		const fleet = 500
		p := newParted(t, 1_000_000, fleet)
		for vm := range fleet {
			assert.NilError(t, p.change(vm, drawFor(vm, fmt.Sprint("lot-", vm), 100, 1)))
		}
		assert.Assert(t, len(p.ledger.Value) < 300, "%d bytes", len(p.ledger.Value))
	})
	t.Run("a lot that stands is not drawn again", func(t *testing.T) {
		p := newParted(t, 1000, 1)
		assert.NilError(t, p.change(0, drawFor(0, "a", 300, 1)))
		before := p.ledger.Version
		assert.NilError(t, p.change(0, drawFor(0, "a", 500, 1)))
		assert.Equal(t, p.ledger.Version, before)
	})
	t.Run("a holding that the ledger does not count is refused", func(t *testing.T) {
		p := newParted(t, 1000, 2)
		assert.NilError(t, p.change(0, drawFor(0, "a", 300, 1)))
		p.holdings[1] = []tsbudget.Lot{{ID: "forged", Drawn: 400}}
		assert.Equal(t, turmericshed.KindOf(p.change(1, drawFor(1, "b", 10, 1))), turmericshed.KindInternal)
	})
	t.Run("an old reading counts less than nothing as nothing", func(t *testing.T) {
		l := tsbudget.Ledger{Prepaid: 100}
		assert.DeepEqual(t, l.Join([]tsbudget.Lot{{ID: "a", Drawn: 50, Used: 10}}).Elsewhere, tsbudget.Elsewhere{})
	})
	t.Run("a holding through the store", func(t *testing.T) {
		h, err := tsbudget.DecodeHolding(turmericshed.Item{})
		assert.NilError(t, err)
		h.Lots["b"] = []tsbudget.Lot{{ID: "a", Holder: "dead", Drawn: 5}}
		h.Lots["none"] = nil
		value, err := h.Encode()
		assert.NilError(t, err)
		h, err = tsbudget.DecodeHolding(turmericshed.Item{Value: value, Version: 1})
		assert.NilError(t, err)
		assert.DeepEqual(t, h.Foreign("alive"), []turmericshed.BudgetID{"b"})
		assert.Equal(t, len(h.Lots), 1)
		_, err = tsbudget.DecodeHolding(turmericshed.Item{Value: []byte("{"), Version: 1})
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindInternal)
	})
}

// TestPartedLedgersCountAsWholeOnes makes the same random changes of a ledger
// whose lots stand in holdings and of one that has them itself.
func TestPartedLedgersCountAsWholeOnes(t *testing.T) {
	const fleet = 4
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := newParted(t, 10_000, fleet)
		whole := p.ledger
		lots := 0
		for range 60 {
			vm := rng.IntN(fleet)
			var m tsupdate.Mutation
			held := p.holdings[vm]
			switch n := rng.IntN(4); {
			case n == 0 || len(held) == 0:
				lots++
				m = drawFor(vm, fmt.Sprint("lot-", lots), int64(1+rng.IntN(3000)), int64(1+rng.IntN(1000)))
			case n == 1:
				m = tsbudget.Grant("b", "p", toTokens(int64(10_000+rng.IntN(5000))))
			default:
				l := held[rng.IntN(len(held))]
				free := int(l.Charge() - l.Used)
				used := l.Used + toTokens(int64(rng.IntN(free+1)))
				m = tsbudget.Settle(tsbudget.Report{
					Lot: l.ID, Used: used, Returned: l.Returned + toTokens(int64(rng.IntN(int(l.Charge()-used)+1))), Requests: l.Requests + 1, Final: n == 2,
				})
			}
			next, wantErr := m(whole)
			err := p.change(vm, m)
			assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOf(wantErr), "seed %d", seed)
			if wantErr == nil && next != nil {
				whole.Value, whole.Version = next, whole.Version+1
			}
			want, err := tsbudget.Decode(whole)
			assert.NilError(t, err)
			got := p.decode()
			var stand int
			for _, h := range p.holdings {
				stand += len(h)
			}
			assert.Equal(t, stand, len(want.Lots), "seed %d", seed)
			assert.DeepEqual(t, []any{got.Prepaid, got.Spent, got.Billed, got.Forfeited, got.Open(), got.Room(), got.TotalBilled(), got.TotalRequests()},
				[]any{want.Prepaid, want.Spent, want.Billed, want.Forfeited, want.Open(), want.Room(), want.TotalBilled(), want.TotalRequests()})
		}
	}
}
