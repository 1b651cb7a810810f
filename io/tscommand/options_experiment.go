package tscommand

import (
	"io"
	"strings"

	"turmericshed/load/tsexperiment"
)

// experimentOptions holds the settings of the experiment subcommand.
type experimentOptions struct {
	tsexperiment.Options
	Experiment tsexperiment.Experiment
	Format     string
}

// parseExperiment parses the experiment's name and the flags that follow it.
func parseExperiment(args []string, errOut io.Writer) (experimentOptions, error) {
	var o experimentOptions
	var names []string
	for _, e := range tsexperiment.Experiments() {
		names = append(names, e.Name)
	}
	list := strings.Join(names, ", ")
	f := newFlags("experiment <name>", "Measures decisions on small fakes: "+list+".", errOut)
	f.Uint64Var(&o.Seed, "seed", 1, "`number` that fixes everything random")
	f.StringVar(&o.Scenario, "scenario", "", "`name` of one part; all without it")
	f.BoolVar(&o.Quick, "quick", false, "take smaller sizes")
	f.StringVar(&o.Format, "format", formatTable, "`form` of the result: table or json")
	name := ""
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, args = args[0], args[1:]
	}
	if err := f.parse(args); err != nil {
		return o, err
	}
	e, ok := tsexperiment.Find(name)
	if !ok {
		return o, &SettingError{Setting: "experiment", Value: name, Want: "one of " + list}
	}
	o.Experiment = e
	return o, checkFormat(o.Format)
}
