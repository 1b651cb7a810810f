package tscommand

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"turmericshed/load/tsdrill"
)

// minDrillDuration is the shortest run in which callers must be served again after the
// last failure.
const minDrillDuration = 45 * time.Second

// drillOptions holds the settings of the drill subcommand.
type drillOptions struct {
	tsdrill.Options
	Runs int
	Keep bool
}

func parseDrill(args []string, errOut io.Writer) (drillOptions, error) {
	var o drillOptions
	f := newFlags("drill", "Runs entry VMs as separate processes through seeded stops, kills and requests that crash servers.", errOut)
	f.Uint64Var(&o.Seed, "seed", 1, "`number` that fixes the schedule of failures")
	f.DurationVar(&o.Duration, "duration", time.Minute, "`duration` of a run")
	f.IntVar(&o.Runs, "runs", 1, "`number` of runs, with seeds one above the other")
	f.IntVar(&o.EntryVMs, "entry-vms", 6, "`number` of entry VM processes")
	f.IntVar(&o.Callers, "callers", 24, "`number` of callers")
	f.StringVar(&o.Dir, "dir", filepath.Join(os.TempDir(), "turmericshed-drill"), "`directory` for settings files and logs")
	f.StringVar(&o.Binary, "binary", "", "`file` with the gateway to run; by default, this program")
	f.BoolVar(&o.Keep, "keep", false, "keep the logs of runs that broke no promise")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.Duration < minDrillDuration || o.Runs < 1 || o.EntryVMs < 2 || o.Callers < 1 {
		return o, &SettingError{Setting: "-duration, -runs, -entry-vms, -callers", Want: "at least 45s, 1, 2 and 1"}
	}
	return o, nil
}
