package tscommand

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"turmericshed"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsquarantine"
	"turmericshed/io/tsreport"
)

// runQuarantine runs the subcommands that list and lift quarantines.
func runQuarantine(ctx context.Context, args []string, out, errOut io.Writer) error {
	return dispatch(ctx, "quarantine", []command{
		{"list", "list the requests in quarantine", runQuarantineList},
		{"lift", "end a quarantine", runQuarantineLift},
	}, args, out, errOut)
}

func runQuarantineList(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseAdminOptions("quarantine list", "Lists the requests that crashed backend servers.", args, errOut)
	if err != nil {
		return err
	}
	return withStore(o, func(c *tsplatform.Client) error {
		list, err := tsquarantine.List(ctx, c)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		tsreport.WriteQuarantine(w, time.Now(), list)
		return w.Flush()
	})
}

func runQuarantineLift(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseLift(args, errOut)
	if err != nil {
		return err
	}
	return withStore(o.adminOptions, func(c *tsplatform.Client) error {
		err := tsquarantine.Lift(ctx, c, time.Now(), turmericshed.Digest(o.Digest), o.Operator)
		if err == nil {
			_, err = fmt.Fprintf(out, "quarantine of %s lifted\n", o.Digest)
		}
		return err
	})
}
