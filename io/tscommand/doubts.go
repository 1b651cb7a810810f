package tscommand

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"turmericshed"
	"turmericshed/io/tscalls"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsreport"
)

// runDoubts runs the subcommands that list and settle the calls in doubt: calls that
// may have run but have no answer.
func runDoubts(ctx context.Context, args []string, out, errOut io.Writer) error {
	return dispatch(ctx, "doubts", []command{
		{"list", "list the calls in doubt", runDoubtsList},
		{"settle", "settle one as ran or not_run", runDoubtsSettle},
	}, args, out, errOut)
}

// withStore calls f with a client of the platform's key-value service and closes the
// client afterwards.
func withStore(o adminOptions, f func(c *tsplatform.Client) error) error {
	_, c, err := o.connect()
	if err != nil {
		return err
	}
	defer c.Close()
	return f(c)
}

func runDoubtsList(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseAdminOptions("doubts list", "Lists the calls that may have run and have no answer.", args, errOut)
	if err != nil {
		return err
	}
	return withStore(o, func(c *tsplatform.Client) error {
		doubts, err := tscalls.New(tscalls.Config{Store: c}).CallsInDoubt(ctx)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		tsreport.WriteDoubts(w, doubts)
		return w.Flush()
	})
}

func runDoubtsSettle(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseSettle(args, errOut)
	if err != nil {
		return err
	}
	answer := turmericshed.Answer{Status: o.Status, ContentType: o.ContentType}
	if o.AnswerFile != "" {
		if answer.Body, err = readDocument(o.AnswerFile); err != nil {
			return err
		}
	}
	return withStore(o.adminOptions, func(c *tsplatform.Client) error {
		calls := tscalls.New(tscalls.Config{Store: c})
		account := turmericshed.AccountID(o.Name)
		if o.Outcome == settleRan {
			err = calls.SettleRan(ctx, account, o.Key, o.Operator, answer)
		} else {
			err = calls.SettleNotRun(ctx, account, o.Key, o.Operator)
		}
		if err == nil {
			_, err = fmt.Fprintf(out, "call %s of account %s settled as %s\n", o.Key, o.Name, o.Outcome)
		}
		return err
	})
}
