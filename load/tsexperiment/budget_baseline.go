package tsexperiment

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// fixedSplit is the baseline that gives every entry VM an equal share at the start and never moves
// tokens afterwards.
type fixedSplit struct{}

// Name returns the name of the baseline.
func (fixedSplit) Name() string { return "fixed_split" }

// Decide never draws, borrows or returns.
func (fixedSplit) Decide(tsbudget.View) tsbudget.Decision { return tsbudget.Decision{} }

// topUpFixedSplit draws an equal share of n for each entry VM that reaches the key-value service.
// It does nothing under policies other than fixedSplit.
func (sim *budgetSim) topUpFixedSplit(b int, n turmericshed.Tokens) {
	if _, ok := sim.policy.placement.(fixedSplit); !ok || sim.policy.chargesPerRequest {
		return
	}
	id := sim.profiles[b].Budget
	for _, node := range sim.nodes {
		if !sim.reachable(node.domain) {
			continue
		}
		part := n / turmericshed.Tokens(len(sim.nodes))
		lot := node.newID("lot")
		l, err := sim.applyNow(id, tsbudget.Draw(tsbudget.DrawRequest{Lot: lot, Holder: node.id, Want: part, Min: part, At: sim.now}))
		if got, ok := l.Lot(lot); ok && err == nil {
			node.holder.AddLot(id, got, "")
		}
	}
}

// reserveInStore draws the worst case of one request from the ledger and closes the lot when the
// request ends.
func (n *budgetNode) reserveInStore(r *budgetRequest) {
	id := n.sim.profiles[r.budget].Budget
	lot := n.newID("lot")
	draw := tsbudget.Draw(tsbudget.DrawRequest{Lot: lot, Holder: n.id, Want: r.worstCase, Min: r.worstCase, At: n.sim.now})
	n.sim.update(n, id, draw, func(_ tsbudget.Ledger, _ bool, err error) {
		if err != nil {
			n.sim.refuse(r)
			return
		}
		n.running[r] = true
		n.sim.dispatch(r)
		n.sim.after(r.duration, func() {
			if n.isDead {
				return
			}
			delete(n.running, r)
			n.sim.finish(r)
			n.settleInStore(id, tsbudget.Report{Lot: lot, Used: r.cost, Returned: r.worstCase - r.cost, Requests: 1, Final: true})
		})
	})
}

func (n *budgetNode) settleInStore(id turmericshed.BudgetID, r tsbudget.Report) {
	n.sim.update(n, id, tsbudget.Settle(r), func(_ tsbudget.Ledger, _ bool, err error) {
		if err != nil {
			n.sim.after(time.Second, func() { n.settleInStore(id, r) })
		}
	})
}

// idealRefusals returns how many of the requests a single ledger refuses that has the same
// reservations and waiting times, but no latency, cuts or crashes.
func idealRefusals(ctx context.Context, spec budgetSpec, requests []*budgetRequest) int {
	clock := simClock{now: time.Unix(1_700_000_000, 0)}
	holder := tsbudget.NewHolder("ideal")
	refused := 0
	queues := make([]tsbudget.Queue[*budgetRequest], spec.budgets)
	profile := func(b int) turmericshed.Profile {
		return turmericshed.Profile{Budget: turmericshed.BudgetID(rune('a' + b))}
	}
	addLot := func(b int, n turmericshed.Tokens) {
		clock.lastID++
		holder.AddLot(profile(b).Budget, tsbudget.Lot{ID: turmericshed.LotID(rune(clock.lastID)), Holder: "ideal", Drawn: n}, "")
	}
	var start func(r *budgetRequest, res turmericshed.Reservation)
	grant := func(b int) {
		for _, g := range queues[b].Grant(clock.now, holder) {
			start(g.Owner, g.Reservation)
		}
	}
	start = func(r *budgetRequest, res turmericshed.Reservation) {
		clock.after(r.duration, func() {
			holder.Settle(clock.now, res, r.cost)
			grant(r.budget)
		})
	}
	for b := range spec.budgets {
		addLot(b, spec.prepaid-spec.spent)
	}
	if spec.topUp > 0 {
		clock.after(spec.topUpAt, func() {
			addLot(0, spec.topUp)
			grant(0)
		})
	}
	for _, r := range requests {
		clock.after(r.arrivalOffset, func() {
			queues[r.budget].Add(r, tsbudget.Waiter{Profile: profile(r.budget), Amount: r.worstCase})
			grant(r.budget)
			clock.after(r.maxWait, func() {
				if queues[r.budget].Remove(r) {
					refused++
				}
			})
		})
	}
	clock.run(ctx, clock.now.Add(spec.duration+time.Minute))
	return refused
}
