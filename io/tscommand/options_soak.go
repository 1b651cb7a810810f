package tscommand

import (
	"io"
	"time"

	"turmericshed/load/tssoak"
)

// soakOptions holds the settings of the soak subcommand.
type soakOptions struct {
	tssoak.Options
	Runs   int
	Trace  bool
	Format string
}

func parseSoak(args []string, errOut io.Writer) (soakOptions, error) {
	var o soakOptions
	f := newFlags("soak", "Drives the decision code through seeded failures in fake time, asserting the promises.", errOut)
	f.Uint64Var(&o.Seed, "seed", 1, "`number` that fixes the whole run")
	f.DurationVar(&o.Duration, "duration", time.Hour, "`duration` in fake time")
	f.IntVar(&o.Runs, "runs", 1, "`number` of runs, with seeds one above the other")
	f.Float64Var(&o.Rate, "rate", 3, "mean `number` of requests a second")
	f.DurationVar(&o.FaultInterval, "fault-interval", 4*time.Second, "mean `duration` between failures")
	f.BoolVar(&o.Trace, "trace", false, "print the whole time line")
	f.StringVar(&o.Format, "format", formatTable, "`form` of the result: table or json")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.Duration <= 0 || o.Runs < 1 || o.Rate <= 0 || o.FaultInterval <= 0 {
		return o, &SettingError{Setting: "-duration, -runs, -rate, -fault-interval", Want: "above 0"}
	}
	return o, checkFormat(o.Format)
}
