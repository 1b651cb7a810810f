package tscommand

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"text/tabwriter"
	"time"

	"turmericshed"
	"turmericshed/io/tsadmin"
	"turmericshed/io/tsplatform"
)

// runAccount runs the subcommands that create, list and delete client accounts.
func runAccount(ctx context.Context, args []string, out, errOut io.Writer) error {
	return dispatch(ctx, "account", []command{
		{"add", "make a key for a client account and print it once", runAccountAdd},
		{"list", "list client accounts", runAccountList},
		{"delete", "make every key of a client account invalid", runAccountDelete},
	}, args, out, errOut)
}

// connect returns an Admin and the platform client that it uses. The caller must close
// the client.
func (o adminOptions) connect() (*tsadmin.Admin, *tsplatform.Client, error) {
	c, err := tsplatform.NewClient(o.PlatformAddr, tsplatform.Options{Caller: "operator " + o.Operator})
	if err != nil {
		return nil, nil, err
	}
	return tsadmin.New(tsadmin.Config{Store: c, Operator: o.Operator}), c, nil
}

// operatorName returns the name of the user who runs the process, or "unknown".
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func runAccountAdd(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseAccountOptions("account add", "Makes a key for a client account and prints it once.", args, errOut)
	if err != nil {
		return err
	}
	a, c, err := o.connect()
	if err != nil {
		return err
	}
	defer c.Close()
	key, err := a.AddAccount(ctx, turmericshed.AccountID(o.Name))
	if err == nil {
		_, err = fmt.Fprintln(out, key)
	}
	return err
}

func runAccountList(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseAdminOptions("account list", "Lists client accounts.", args, errOut)
	if err != nil {
		return err
	}
	a, c, err := o.connect()
	if err != nil {
		return err
	}
	defer c.Close()
	accounts, err := a.Accounts(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ACCOUNT\tKEYS\tCREATED")
	for _, account := range accounts {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", account.ID, len(account.KeyHashes), account.CreatedAt.UTC().Format(time.RFC3339))
	}
	return w.Flush()
}

func runAccountDelete(ctx context.Context, args []string, _, errOut io.Writer) error {
	o, err := parseAccountOptions("account delete", "Makes every key of a client account invalid.", args, errOut)
	if err != nil {
		return err
	}
	a, c, err := o.connect()
	if err != nil {
		return err
	}
	defer c.Close()
	return a.DeleteAccount(ctx, turmericshed.AccountID(o.Name))
}
