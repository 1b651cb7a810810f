package tsreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"turmericshed/core/tspoison"
	"turmericshed/io/tscalls"
)

// WriteText writes the report as plain-text tables.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "Report since %s\n\nBUDGETS\n", r.From.Format(time.RFC3339))
	_, _ = fmt.Fprintln(w, "profile\tprepaid\tspent\tin lots\tforfeited\tleft")
	for _, b := range r.Budgets {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", b.Profile, b.Prepaid, b.Spent, b.InLots, b.Forfeited, b.Left)
	}
	_, _ = fmt.Fprintln(w, "\nJOBS")
	_, _ = fmt.Fprintln(w, "profile\tservice\tplaced\tfailed\tsettled after doubt\trunning\tin doubt\tnot run")
	for _, j := range r.Jobs {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", j.Profile, j.Service, j.Placed, j.Failed, j.Resolved, j.Running, j.InDoubt, j.NotRun)
	}
	_, _ = fmt.Fprintln(w, "\nIN DOUBT")
	WriteDoubts(w, r.InDoubt)
	_, _ = fmt.Fprintln(w, "\nQUARANTINE")
	WriteQuarantine(w, time.Now(), r.Quarantined)
	_, _ = fmt.Fprintln(w, "\nFAULTS")
	if len(r.Faults) == 0 {
		_, _ = fmt.Fprintln(w, "none")
	}
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(w, "%d x\t%s to %s\t%s\t%s\t%s\n", f.Count, f.First.Format(time.TimeOnly), f.Last.Format(time.TimeOnly), f.Description, f.Response, strings.Join(f.Subjects, " "))
	}
	return w.Flush()
}

// WriteDoubts writes a tab-separated row for each call in doubt.
func WriteDoubts(w io.Writer, doubts []tscalls.CallInDoubt) {
	if len(doubts) == 0 {
		_, _ = fmt.Fprintln(w, "none")
		return
	}
	_, _ = fmt.Fprintln(w, "since\taccount\tkey\tservice\tprofile\tstate\trunner\treason")
	for _, d := range doubts {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.At.Format(time.RFC3339), d.Account, d.Key, d.Service, d.Profile, d.State, d.Runner, d.Reason)
	}
}

// WriteQuarantine writes a tab-separated row for each quarantine with its state at now.
func WriteQuarantine(w io.Writer, now time.Time, list []tspoison.Evidence) {
	if len(list) == 0 {
		_, _ = fmt.Fprintln(w, "none")
		return
	}
	_, _ = fmt.Fprintln(w, "digest\tstate\tuntil\tcrashes")
	for _, e := range list {
		state, until := "ended", "-"
		if e.IsQuarantined(now) {
			state, until = "barred", e.QuarantinedUntil().Format(time.RFC3339)
		}
		if e.ClearedBy != "" {
			state = "lifted: " + e.ClearedBy
		}
		var crashes []string
		for _, c := range e.Crashes {
			crashes = append(crashes, fmt.Sprintf("%s at %s", c.Server, c.At.Format(time.RFC3339)))
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Digest, state, until, strings.Join(crashes, ", "))
	}
}
