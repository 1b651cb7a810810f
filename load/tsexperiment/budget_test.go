package tsexperiment

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// quickBudgetRow measures one policy in one short scenario.
func quickBudgetRow(t *testing.T, scenario, load, policy string) BudgetRow {
	t.Helper()
	return budgetRow(t, 1, true, scenario, load, policy)
}

func budgetRow(t *testing.T, seed uint64, quick bool, scenario, load, policy string) BudgetRow {
	t.Helper()
	for _, s := range budgetSpecs(quick) {
		for _, p := range budgetPolicies() {
			if s.scenario == scenario && s.load == load && p.name == policy {
				return measureBudget(t.Context(), seed, s, p)
			}
		}
	}
	t.Fatalf("no scenario %s with load %s or no policy %s", scenario, load, policy)
	return BudgetRow{}
}

func TestBudgetExperiment(t *testing.T) {
	t.Run("nothing is overspent or falsely refused in steady state", func(t *testing.T) {
		r := quickBudgetRow(t, "steady", "heavy", "by_demand")
		assert.Assert(t, r.OverspendTokens <= 0)
		assert.Equal(t, r.FalseRefusals, 0)
		assert.Equal(t, r.AdmissionP50Micro, int64(0))
	})
	t.Run("a cut causes at most a tenth of the false refusals of the fixed split", func(t *testing.T) {
		fixed, r := quickBudgetRow(t, "cut_top_up", "heavy", "fixed_split"), quickBudgetRow(t, "cut_top_up", "heavy", "by_demand")
		assert.Assert(t, fixed.FalseRefusals > 0)
		assert.Assert(t, r.FalseRefusals*10 <= fixed.FalseRefusals, "%d against %d", r.FalseRefusals, fixed.FalseRefusals)
		assert.Assert(t, r.OverspendTokens <= 0)
	})
	t.Run("the same seed gives the same row", func(t *testing.T) {
		a, b := quickBudgetRow(t, "crash_storm", "heavy", "by_demand"), quickBudgetRow(t, "crash_storm", "heavy", "by_demand")
		assert.Assert(t, reflect.DeepEqual(a, b), "%+v %+v", a, b)
	})
}

// TestNearlySpentTarget guards against more than one false refusal in 1,000 while the last 5% of a
// budget is spent.
func TestNearlySpentTarget(t *testing.T) {
	for _, load := range []string{"heavy", "light"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s seed %d", load, seed+1), func(t *testing.T) {
				t.Parallel()
				r := budgetRow(t, seed+1, false, "nearly_spent", load, "by_demand")
				assert.Assert(t, r.OverspendTokens <= 0)
				assert.Assert(t, r.FalseRefusals*1000 <= r.Requests, "%d of %d", r.FalseRefusals, r.Requests)
			})
		}
	}
}
