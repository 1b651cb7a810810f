package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"turmericshed"
	"turmericshed/load/tsload"
)

// runLoad sends load and prints a summary of the callers' books. It returns an error
// if an answer was incomplete or contained data of another request.
func runLoad(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseLoad(args, errOut)
	if err != nil {
		return err
	}
	if o.Profiles, err = readLoadProfiles(o.Spec); err != nil {
		return err
	}
	l, err := tsload.New(o.Options)
	if err != nil {
		return err
	}
	l.Run(ctx)
	s := l.Book().Summary()
	if o.Format == formatJSON {
		err = json.NewEncoder(out).Encode(s)
	} else {
		err = writeLoadTable(out, s)
	}
	if err == nil && s.Partial+s.Foreign > 0 {
		err = fmt.Errorf("%d answers were incomplete and %d contained data of another request", s.Partial, s.Foreign)
	}
	return err
}

// readLoadProfiles reads the JSON file with the profiles that requests are sent under.
// It returns a SettingError if the file cannot be read, and an error of
// KindBadRequest if it is not valid.
func readLoadProfiles(path string) ([]tsload.Profile, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingError{Setting: "-spec", Value: path, Want: "a file that can be read"}
	}
	var doc struct {
		Profiles []tsload.Profile `json:"profiles"`
	}
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "%s", path)
	}
	return doc.Profiles, nil
}

func writeLoadTable(out io.Writer, s tsload.Summary) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "requests\tanswered\trefused\tfailed\tunknown\tunsent\tretries\tpartial\tforeign\ttokens\t\n")
	_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Requests, s.Answered, s.Refused, s.Failed,
		s.Unknown, s.Unsent, s.Retries, s.Partial, s.Foreign, s.Tokens)
	_, _ = fmt.Fprintf(w, "\nms\tcount\tp50\tp95\tp99\tmax\t\n")
	for _, row := range []struct {
		name string
		p    tsload.Percentiles
	}{{"answers", s.Answers}, {"first tokens", s.FirstTokens}, {"calls", s.Calls}} {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.name, row.p.Count, row.p.P50, row.p.P95, row.p.P99, row.p.Max)
	}
	for _, kind := range slices.Sorted(maps.Keys(s.Kinds)) {
		_, _ = fmt.Fprintf(w, "\n%s\t%d\t", kind, s.Kinds[kind])
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
