package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"turmericshed/load/tsdrill"
)

// runDrill runs entry VMs as separate processes through seeded failures. It returns an
// error with the seeds of the runs that broke a promise.
func runDrill(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseDrill(args, errOut)
	if err != nil {
		return err
	}
	if o.Binary == "" {
		if o.Binary, err = os.Executable(); err != nil {
			return err
		}
	}
	var broken []uint64
	dir := o.Dir
	for i := range o.Runs {
		run := o.Options
		run.Seed += uint64(i)
		run.Dir = filepath.Join(dir, fmt.Sprint("seed-", run.Seed))
		r, err := tsdrill.Run(ctx, run)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
		if len(r.Violations) > 0 {
			broken = append(broken, run.Seed)
			continue
		}
		if !o.Keep {
			_ = os.RemoveAll(run.Dir)
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d of %d runs broke a promise: seeds %v; their logs are in %s", len(broken), o.Runs, broken, dir)
	}
	return nil
}
