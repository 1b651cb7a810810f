package tsexperiment

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// fixedSplit gives every entry VM an equal part at the start and never moves
// anything.
type fixedSplit struct{}

// Name returns the baseline's name.
func (fixedSplit) Name() string { return "fixed_split" }

// Decide does nothing.
func (fixedSplit) Decide(tsbudget.View) tsbudget.Decision { return tsbudget.Decision{} }

// fixedTopUp hands out equal parts of an amount to the entry VMs that can be
// reached.
func (w *budgetWorld) fixedTopUp(b int, n turmericshed.Tokens) {
	if _, ok := w.policy.placement.(fixedSplit); !ok || w.policy.perRequest {
		return
	}
	id := w.profiles[b].Budget
	for _, node := range w.nodes {
		if !w.reachable(node.domain) {
			continue
		}
		part := n / turmericshed.Tokens(len(w.nodes))
		lot := node.newID("lot")
		l, err := w.change(id, tsbudget.Draw(tsbudget.DrawRequest{Lot: lot, Holder: node.id, Want: part, Min: part, At: w.now}))
		if got, ok := l.Lot(lot); ok && err == nil {
			node.core.AddLot(id, got, "")
		}
	}
}

// arriveAtStore draws the worst case of one request from the ledger and ends
// the lot with it.
func (n *budgetNode) arriveAtStore(r *budgetRequest) {
	id := n.w.profiles[r.budget].Budget
	lot := n.newID("lot")
	draw := tsbudget.Draw(tsbudget.DrawRequest{Lot: lot, Holder: n.id, Want: r.worst, Min: r.worst, At: n.w.now})
	n.w.update(n, id, draw, func(_ tsbudget.Ledger, _ bool, err error) {
		if err != nil {
			n.w.refuse(r)
			return
		}
		n.running[r] = true
		n.w.dispatch(r)
		n.w.after(r.duration, func() {
			if n.dead {
				return
			}
			delete(n.running, r)
			n.w.finish(r)
			n.settleAtStore(id, tsbudget.Report{Lot: lot, Used: r.used, Returned: r.worst - r.used, Requests: 1, Final: true})
		})
	})
}

func (n *budgetNode) settleAtStore(id turmericshed.BudgetID, r tsbudget.Report) {
	n.w.update(n, id, tsbudget.Settle(r), func(_ tsbudget.Ledger, _ bool, err error) {
		if err != nil {
			n.w.after(time.Second, func() { n.settleAtStore(id, r) })
		}
	})
}

// idealRefusals returns how many of the requests a ledger would refuse that
// has the same reservations and patience, but no latency, no cut and no crash.
func idealRefusals(ctx context.Context, spec budgetSpec, requests []*budgetRequest) int {
	c := simClock{now: time.Unix(1_700_000_000, 0)}
	h := tsbudget.NewHolder("ideal")
	refused := 0
	queues := make([]tsbudget.Queue[*budgetRequest], spec.budgets)
	profile := func(b int) turmericshed.Profile {
		return turmericshed.Profile{Budget: turmericshed.BudgetID(rune('a' + b))}
	}
	give := func(b int, n turmericshed.Tokens) {
		c.started++
		h.AddLot(profile(b).Budget, tsbudget.Lot{ID: turmericshed.LotID(rune(c.started)), Holder: "ideal", Drawn: n}, "")
	}
	var start func(r *budgetRequest, res turmericshed.Reservation)
	grant := func(b int) {
		for _, g := range queues[b].Grant(c.now, h) {
			start(g.Owner, g.Reservation)
		}
	}
	start = func(r *budgetRequest, res turmericshed.Reservation) {
		c.after(r.duration, func() {
			h.Settle(c.now, res, r.used)
			grant(r.budget)
		})
	}
	for b := range spec.budgets {
		give(b, spec.prepaid-spec.spent)
	}
	if spec.topUp > 0 {
		c.after(spec.topUpAt, func() {
			give(0, spec.topUp)
			grant(0)
		})
	}
	for _, r := range requests {
		c.after(r.after, func() {
			queues[r.budget].Add(r, tsbudget.Waiter{Profile: profile(r.budget), Amount: r.worst})
			grant(r.budget)
			c.after(r.patience, func() {
				if queues[r.budget].Remove(r) {
					refused++
				}
			})
		})
	}
	c.run(ctx, c.now.Add(spec.duration+time.Minute))
	return refused
}
