package tsexperiment

import "context"

// SlopesResult contains the slopes of every part, for docs/CAPACITY.md.
type SlopesResult struct {
	Budget  any `json:"budget"`
	Calls   any `json:"calls"`
	Routing any `json:"routing"`
	Fleet   any `json:"fleet"`
}

// runSlopes measures the slopes of every part, one after another. The fleet is measured at its
// smaller sizes.
func runSlopes(ctx context.Context, o Options) (any, error) {
	var r SlopesResult
	for _, part := range []struct {
		result   *any
		run      func(ctx context.Context, o Options) (any, error)
		scenario string
	}{
		{&r.Budget, runBudget, "slopes"},
		{&r.Calls, runCalls, "slopes"},
		{&r.Routing, runRouting, "slopes"},
		{&r.Fleet, runFleet, ""},
	} {
		v, err := part.run(ctx, Options{Seed: o.Seed, Scenario: part.scenario, Quick: true})
		if err != nil {
			return nil, err
		}
		*part.result = v
	}
	return r, nil
}
