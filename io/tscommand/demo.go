package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"turmericshed"
	"turmericshed/load/tsdemo"
)

// runDemo runs the whole system in one process and prints the result computed from
// the callers' books. It returns an error of KindInternal if a guarantee was broken.
func runDemo(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseDemo(args, errOut)
	if err != nil {
		return err
	}
	if o.timelineFile != "" {
		f, err := os.Create(o.timelineFile)
		if err != nil {
			return &SettingError{Setting: "-timeline-file", Value: o.timelineFile, Want: "a file that can be written"}
		}
		defer func() { _ = f.Close() }()
		o.Timeline = f
	}
	o.Progress = errOut
	res, err := tsdemo.Run(ctx, o.Options)
	if err != nil {
		return err
	}
	if o.format == formatJSON {
		err = json.NewEncoder(out).Encode(res)
	} else {
		err = printDemo(out, res)
	}
	if err == nil && !res.PromisesKept() {
		err = turmericshed.NewError(turmericshed.KindInternal, "a promise broke, see the table")
	}
	return err
}

// printDemo prints the result as a table.
func printDemo(out io.Writer, r tsdemo.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"requests", r.Requests},
		{"answered", r.Answered},
		{"refused", r.Refused},
		{"failed", r.Failed},
		{"unknown", r.Unknown},
		{"overspend_tokens", r.OverspendTokens},
		{"false_refusals", r.FalseRefusals},
		{"doubled_calls", r.DoubledCalls},
		{"lost_calls", r.LostCalls},
		{"false_not_run", r.FalseNotRun},
		{"billed_twice", r.BilledTwice},
		{"unbilled", r.Unbilled},
		{"partial_answers", r.PartialAnswers},
		{"foreign_frames", r.ForeignFrames},
		{"consumed_tokens", r.ConsumedTokens},
		{"burnt_tokens", r.BurntTokens},
		{"crashes_by_poison", r.CrashesByPoison},
		{"invariants_broken", r.InvariantsBroken},
		{"stop_failures", r.StopFailures},
		{"first_token_p50_ms", r.FirstTokens.P50},
		{"first_token_p95_ms", r.FirstTokens.P95},
		{"first_token_p99_ms", r.FirstTokens.P99},
		{"answer_p95_ms", r.Answers.P95},
		{"call_p50_ms", r.Calls.P50},
		{"call_p95_ms", r.Calls.P95},
	} {
		_, _ = fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return w.Flush()
}
