// Package tsexperiment contains experiments that measure the decision code of the core packages
// on fakes: budget, routing, frames and quarantine on simulated time, claims and stops on the
// real clock, and the fleet on both. Each experiment returns one result, which is printed as JSON
// or as a table.
//
// # Usage
//
//	e, ok := tsexperiment.Find("fleet")
//	result, err := e.Run(ctx, tsexperiment.Options{Seed: 1, Quick: true})
package tsexperiment

import "context"

// Options are the settings of one run.
type Options struct {
	// Seed is the seed of all random numbers.
	Seed uint64
	// Scenario selects a part of the experiment; empty runs all.
	Scenario string
	// Quick selects smaller sizes.
	Quick bool
}

// Experiment is one experiment that can be run by name.
type Experiment struct {
	Name string
	// Help is a one-line description.
	Help string
	// Run returns a value that encodes as one JSON object.
	Run func(ctx context.Context, o Options) (any, error)
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		{"calls", "claims, whole answers and quarantine, against baselines", runCalls},
		{"routing", "choice of servers and admission against baselines", runRouting},
		{"budget", "holding and moving tokens: policies, scenarios, slopes, crash_sweep", runBudget},
		{"slopes", "the slopes of every part, for the page on capacity", runSlopes},
		{"stops", "graceful stops of real entry VMs with streams open", runStops},
		{"fleet", "membership and profile edits at several fleet sizes", runFleet},
	}
}

// Find returns the experiment with the given name and whether it exists.
func Find(name string) (Experiment, bool) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
