package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"turmericshed/load/tssoak"
)

// runSoak runs the decision code through seeded failures in fake time. It stops at the
// first run that breaks a guarantee and returns an error with its seed.
func runSoak(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseSoak(args, errOut)
	if err != nil {
		return err
	}
	for i := range o.Runs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		run := o.Options
		run.Seed += uint64(i)
		if o.Trace {
			run.Trace = out
		}
		r := tssoak.Run(run)
		if err := writeSoak(out, r, o.Format); err != nil {
			return err
		}
		if r.Failure != "" {
			_, _ = fmt.Fprint(errOut, r.TraceTail)
			return fmt.Errorf("seed %d over %s broke: %s", r.Seed, time.Duration(r.Duration), r.Failure)
		}
	}
	return nil
}

func writeSoak(out io.Writer, r tssoak.Report, format string) error {
	if format == formatJSON {
		return json.NewEncoder(out).Encode(r)
	}
	_, err := fmt.Fprintf(out, "seed %d over %s: %d steps, %d requests: %d answered, %d failed, %d unknown; %d calls, %d edits (%d refused); %d tokens consumed, %d burnt; digest %s\n",
		r.Seed, time.Duration(r.Duration), r.Steps, r.Requests, r.Answered, r.Failed, r.Unknown, r.Calls, r.Edits, r.RejectedEdits, r.Consumed, r.ForfeitedTokens, r.Digest)
	for _, kind := range slices.Sorted(maps.Keys(r.Refused)) {
		_, _ = fmt.Fprintf(out, "  refused %-20s %d\n", kind, r.Refused[kind])
	}
	return err
}
