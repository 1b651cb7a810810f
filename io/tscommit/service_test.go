package tscommit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

func TestEncoding(t *testing.T) {
	at := time.UnixMilli(1_000_123).UTC()
	t.Run("a request", func(t *testing.T) {
		r := tsbudget.Request{
			VM: "vm-1", Incarnation: "in-1", Leave: true, Urgent: true, WriteUsage: true, Cursor: tsbudget.Cursor{Writer: "in-2", At: 7}, HoldingBefore: 11,
			Changes: []tsbudget.Change{{
				Budget: "b", Profile: "p", Prepaid: 9, Withdraw: "w", Urgent: true,
				Reports: []tsbudget.Report{{Lot: "l", Used: 1, Returned: 2, Requests: 3, Final: true}},
				Reentry: &tsbudget.Reentry{
					Era: 2, Sequence: 3, Holder: "in-1", Known: tsbudget.LedgerState{Version: 4, Charged: 5, Held: 6},
					Lots: []tsbudget.Lot{{ID: "o", Holder: "in-1", Drawn: 9, Returned: 1, Used: 2, Requests: 3, Rate: 4, At: at}},
				},
				Draw: &tsbudget.DrawRequest{Lot: "n", Holder: "in-1", Want: 4, Min: 5, Share: 0.5, KeepUndrawn: 7, Rate: 6.5, At: at},
			}},
			Takeover: &tsbudget.Takeover{From: "in-0", Now: at},
			Declaration: &tsbudget.Declaration{
				Sequence: 8, Lease: "77", Since: at, Ceilings: []tsbudget.LotCeiling{{Budget: "b", Lot: "l", Most: 10}},
			},
		}
		assert.DeepEqual(t, decodeRequest(encodeRequest(r)), r)
	})
	t.Run("a reply", func(t *testing.T) {
		r := tsbudget.Reply{
			CurrentIncarnation: "in-1", Lease: "77", Declared: true, Holding: 12, Next: 300 * time.Millisecond, Cursor: tsbudget.Cursor{Writer: "in-2", At: 7},
			Ledgers: []turmericshed.Item{{Key: "budgets/b", Value: []byte("{}"), Version: 4}},
			Lots: map[turmericshed.BudgetID][]tsbudget.Lot{
				"b": {{ID: "l", Holder: "in-1", Drawn: 9, Returned: 1, Used: 2, Requests: 3, Rate: 4, At: at}},
			},
			Pools: map[turmericshed.BudgetID]turmericshed.Tokens{"b": 5},
			Errs:  map[turmericshed.BudgetID]error{"b": turmericshed.NewError(turmericshed.KindBudgetExhausted, "nothing left")},
		}
		got := decodeReply(encodeReply(r), "in-1")
		assert.Equal(t, turmericshed.KindOf(got.Errs["b"]), turmericshed.KindBudgetExhausted)
		assert.Error(t, got.Errs["b"], "nothing left")
		got.Errs, r.Errs = nil, nil
		assert.DeepEqual(t, got, r)
	})
}
