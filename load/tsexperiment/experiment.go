// Package tsexperiment measures the decisions on small fakes in one goroutine
// with a fake clock. Every experiment is one row of a table and gives one
// result, which is printed as JSON or as a table.
//
// # Usage
//
//	e, ok := tsexperiment.Find("fleet")
//	result, err := e.Run(ctx, tsexperiment.Options{Seed: 1, Quick: true})
package tsexperiment

import "context"

// Options are the settings of one run.
type Options struct {
	// Seed fixes everything random.
	Seed uint64
	// Scenario picks a part of the experiment; empty runs all.
	Scenario string
	// Quick takes smaller sizes.
	Quick bool
}

// Experiment is one row of the table.
type Experiment struct {
	Name string
	// Help is one line.
	Help string
	// Run returns a value that encodes as one JSON object.
	Run func(ctx context.Context, o Options) (any, error)
}

// Experiments returns the table.
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

// Find returns the experiment with the name.
func Find(name string) (Experiment, bool) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
