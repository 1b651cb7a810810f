package tsexperiment

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// quickRow measures one policy in one short scenario.
func quickRow(t *testing.T, scenario, load, policy string) BudgetRow {
	t.Helper()
	return row(t, 1, true, scenario, load, policy)
}

func row(t *testing.T, seed uint64, quick bool, scenario, load, policy string) BudgetRow {
	t.Helper()
	for _, s := range budgetSpecs(quick) {
		for _, p := range budgetPolicies() {
			if s.scenario == scenario && s.load == load && p.name == policy {
				return measureBudget(t.Context(), seed, s, p)
			}
		}
	}
	t.Fatalf("no %s %s %s", scenario, load, policy)
	return BudgetRow{}
}

func TestBudgetExperiment(t *testing.T) {
	t.Run("nothing is overspent or falsely refused in steady state", func(t *testing.T) {
		r := quickRow(t, "steady", "heavy", "by_demand")
		assert.Assert(t, r.OverspendTokens <= 0)
		assert.Equal(t, r.FalseRefusals, 0)
		assert.Equal(t, r.AdmissionP50Micro, int64(0))
	})
	t.Run("a cut refuses at most a tenth of what the fixed split refuses", func(t *testing.T) {
		fixed, r := quickRow(t, "cut_top_up", "heavy", "fixed_split"), quickRow(t, "cut_top_up", "heavy", "by_demand")
		assert.Assert(t, fixed.FalseRefusals > 0)
		assert.Assert(t, r.FalseRefusals*10 <= fixed.FalseRefusals, "%d against %d", r.FalseRefusals, fixed.FalseRefusals)
		assert.Assert(t, r.OverspendTokens <= 0)
	})
	t.Run("the same seed gives the same row", func(t *testing.T) {
		a, b := quickRow(t, "crash_storm", "heavy", "by_demand"), quickRow(t, "crash_storm", "heavy", "by_demand")
		assert.Assert(t, reflect.DeepEqual(a, b), "%+v %+v", a, b)
	})
}

// Guards against more than one false refusal in 1,000 while the last 5% of a budget is spent.
func TestNearlySpentTarget(t *testing.T) {
	for _, load := range []string{"heavy", "light"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s seed %d", load, seed+1), func(t *testing.T) {
				t.Parallel()
				r := row(t, seed+1, false, "nearly_spent", load, "by_demand")
				assert.Assert(t, r.OverspendTokens <= 0)
				assert.Assert(t, r.FalseRefusals*1000 <= r.Requests, "%d of %d", r.FalseRefusals, r.Requests)
			})
		}
	}
}
