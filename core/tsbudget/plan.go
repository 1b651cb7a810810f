package tsbudget

import (
	"slices"
	"time"

	"turmericshed"
)

// PlanWrites returns the budgets that the requests change, in ascending order: ledgers are those whose
// ledgers must be written, local those for which the domain's share is sufficient. due reports
// whether the domain's usage should be written to the ledger again.
func PlanWrites(h Holding, requests []Request, due func(id turmericshed.BudgetID) bool) (ledgers, local []turmericshed.BudgetID) {
	set := make(map[turmericshed.BudgetID]bool)
	for _, r := range requests {
		for _, ch := range r.Changes {
			set[ch.Budget] = true
		}
		if r.Takeover != nil && r.Takeover.From != r.Incarnation {
			for id := range h.LotsByBudget(r.Takeover.From) {
				set[id] = true
			}
		}
	}
	never := func(turmericshed.LeaseID) bool { return false }
	for _, id := range sortedBudgets(set) {
		var changes []Change
		hasTakeover, mustCount := false, false
		for _, r := range requests {
			if h.CheckIncarnation(r) != nil {
				continue
			}
			own := h.changesOf(r, id, never)
			changes = append(changes, own...)
			hasTakeover = hasTakeover || (r.Takeover != nil && len(own) > 0)
			mustCount = mustCount || (r.WriteUsage && len(own) > 0)
		}
		own, ok := applyLocally(h.share(id), changes)
		ok = ok && !h.IsStale(id)
		uncounted := own.pool.totals(own.lots).Used != own.pool.Counted.Used
		if !ok || hasTakeover || (due(id) && uncounted) || (mustCount && (uncounted || own.pool.Used > 0)) {
			ledgers = append(ledgers, id)
		} else {
			local = append(local, id)
		}
	}
	return ledgers, local
}

// ChooseLedgers returns the ledgers to write in this round, and those to write later: all urgent ones
// now, plus the least recently written of the others, up to n in total. If a request has a
// Takeover, all are written now. After a partition, every holder is short of every budget and all
// domains need to write all ledgers at once. Waiting callers are then served first, and tokens
// held ahead of demand are refilled over the next rounds.
func ChooseLedgers(ledgers []turmericshed.BudgetID, requests []Request, n int, lastWrite func(id turmericshed.BudgetID) time.Time) (now, later []turmericshed.BudgetID) {
	urgent := make(map[turmericshed.BudgetID]bool)
	for _, r := range requests {
		for _, ch := range r.Changes {
			if ch.Urgent || ch.Prepaid > 0 || ch.Reentry != nil || r.WriteUsage || r.Leave {
				urgent[ch.Budget] = true
			}
		}
	}
	var rest []turmericshed.BudgetID
	for _, id := range ledgers {
		if urgent[id] {
			now = append(now, id)
		} else {
			rest = append(rest, id)
		}
	}
	for _, r := range requests {
		if r.Takeover != nil {
			return ledgers, nil
		}
	}
	slices.SortStableFunc(rest, func(a, b turmericshed.BudgetID) int { return lastWrite(a).Compare(lastWrite(b)) })
	n = min(max(n-len(now), 0), len(rest))
	return append(now, rest[:n]...), rest[n:]
}
