package tsexperiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

// routingSeed differs from the seeds on which the settings were tuned.
const routingSeed = 17

// routingRow runs one policy in one scenario.
func routingRow(t *testing.T, scenario, policy string) RoutingRow {
	t.Helper()
	for _, sc := range routingScenarios(false) {
		for _, p := range routingPolicies() {
			if sc.name == scenario && p.name == policy {
				sim := newRoutingSim(routingSeed, sc, p)
				sim.run()
				return sim.book.result(sim)
			}
		}
	}
	t.Fatalf("no scenario %s or policy %s", scenario, policy)
	return RoutingRow{}
}

func TestRoutingTargets(t *testing.T) {
	const ours = "turmericshed"
	t.Run("time to first token at 80% load", func(t *testing.T) {
		got := routingRow(t, "steady_80", ours)
		assert.Equal(t, got.Answered, got.Requests)
		for _, baseline := range []string{"round_robin", "least_reported", "prefix_hash"} {
			row := routingRow(t, "steady_80", baseline)
			assert.Assert(t, got.TTFTP95 <= row.TTFTP95, "%v ms, %s has %v", got.TTFTP95, baseline, row.TTFTP95)
			switch baseline {
			case "round_robin":
				assert.Assert(t, got.TTFTP95 <= 0.8*row.TTFTP95, "%v ms against %v", got.TTFTP95, row.TTFTP95)
			case "prefix_hash":
				assert.Assert(t, got.PrefixHitShare >= 0.9*row.PrefixHitShare, "%v against %v", got.PrefixHitShare, row.PrefixHitShare)
			}
		}
	})
	t.Run("small accounts during a surge of a large account", func(t *testing.T) {
		quiet, surge := routingRow(t, "small_alone", ours), routingRow(t, "large_surge", ours)
		assert.Assert(t, surge.SmallAccountP95 <= 1.5*quiet.SmallAccountP95, "%v ms, without the surge %v", surge.SmallAccountP95, quiet.SmallAccountP95)
	})
	t.Run("a leaving server receives no late dispatches", func(t *testing.T) {
		row := routingRow(t, "server_leaving", ours)
		assert.Equal(t, row.WorkToLeaving, 0)
		assert.Equal(t, row.Answered, row.Requests)
		assert.Assert(t, routingRow(t, "server_leaving", "round_robin").WorkToLeaving > 0, "the baseline does not fail in this scenario")
	})
	t.Run("a server that fails every request costs no answer", func(t *testing.T) {
		row := routingRow(t, "black_hole", ours)
		assert.Equal(t, row.Answered, row.Requests)
	})
	t.Run("service recovers within 10 s of a surge with retrying callers", func(t *testing.T) {
		assert.Assert(t, routingRow(t, "metastable", ours).RecoverySeconds <= 10)
		assert.Assert(t, routingRow(t, "metastable", "naive_admission").RecoverySeconds > 10, "the baseline does not fail in this scenario")
	})
}
