package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"turmericshed"
	"turmericshed/io/tsadmin"
)

// maxDocumentBytes bounds the size of an input document.
const maxDocumentBytes = 1 << 20

// runProfile runs the subcommands that create, show, edit and delete profiles.
func runProfile(ctx context.Context, args []string, out, errOut io.Writer) error {
	return dispatch(ctx, "profile", []command{
		{"put", "make a profile from a document, or replace a version of it", runProfilePut},
		{"get", "print a profile's document, its version and its budget", runProfileGet},
		{"list", "list profiles", runProfileList},
		{"edit", "change some fields of a profile", runProfileEdit},
		{"delete", "close a profile and delete it", runProfileDelete},
	}, args, out, errOut)
}

// readDocument reads a document from a file, or from standard input if path is "-". It
// returns a SettingError if the file cannot be opened or the document is too large.
func readDocument(path string) ([]byte, error) {
	var in io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &SettingError{Setting: "-file", Value: path, Want: "a file that can be read"}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxDocumentBytes+1))
	if err == nil && len(b) > maxDocumentBytes {
		err = &SettingError{Setting: "-file", Value: path, Want: fmt.Sprintf("at most %d bytes", maxDocumentBytes)}
	}
	return b, err
}

// withAdmin calls f with an Admin and closes its platform client afterwards.
func withAdmin(o adminOptions, f func(a *tsadmin.Admin) error) error {
	a, c, err := o.connect()
	if err != nil {
		return err
	}
	defer c.Close()
	return f(a)
}

func runProfilePut(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseProfilePut(args, errOut)
	if err != nil {
		return err
	}
	text, err := readDocument(o.File)
	if err != nil {
		return err
	}
	p, err := tsadmin.DecodeProfile(text, turmericshed.Profile{})
	if err != nil {
		return err
	}
	return withAdmin(o.adminOptions, func(a *tsadmin.Admin) error {
		p, err := a.PutProfile(ctx, p, turmericshed.Version(o.Version))
		return printVersion(out, p, err)
	})
}

// printVersion prints the version that a change produced. If err is set, it prints
// nothing and returns err.
func printVersion(out io.Writer, p turmericshed.Profile, err error) error {
	if err == nil {
		_, err = fmt.Fprintf(out, "profile %s version %d\n", p.Name, p.Version)
	}
	return err
}

func runProfileGet(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseProfileOptions("profile get", "Prints a profile's document; its version and budget go to the error output.", args, errOut)
	if err != nil {
		return err
	}
	return withAdmin(o.adminOptions, func(a *tsadmin.Admin) error {
		p, err := a.Profile(ctx, turmericshed.ProfileName(o.Name))
		if err != nil {
			return err
		}
		l, err := a.Ledger(ctx, p)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(errOut, "version %d: prepaid %d, spent %d, in open lots %d, left to draw %d\n", p.Version, l.Prepaid, l.Spent, l.OpenCharge(), l.Undrawn())
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(p)
	})
}

func runProfileList(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseAdminOptions("profile list", "Lists profiles.", args, errOut)
	if err != nil {
		return err
	}
	return withAdmin(o, func(a *tsadmin.Admin) error {
		profiles, err := a.Profiles(ctx)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "PROFILE\tVERSION\tWORK\tPREPAID\tACCOUNTS\tCLOSED\tEDITED BY")
		for _, p := range profiles {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%t\t%s\n", p.Name, p.Version, p.Work, p.Prepaid, len(p.Accounts), p.Closed, p.EditedBy)
		}
		return w.Flush()
	})
}

func runProfileEdit(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseProfileEdit(args, errOut)
	if err != nil {
		return err
	}
	var text []byte
	if o.File != "" {
		if text, err = readDocument(o.File); err != nil {
			return err
		}
	}
	return withAdmin(o.adminOptions, func(a *tsadmin.Admin) error {
		p, err := a.EditProfile(ctx, turmericshed.ProfileName(o.Name), turmericshed.Version(o.Version), func(p *turmericshed.Profile) error {
			if text != nil {
				next, err := tsadmin.DecodeProfile(text, *p)
				if err != nil {
					return err
				}
				*p = next
			}
			if o.Prepaid >= 0 {
				p.Prepaid = turmericshed.Tokens(o.Prepaid)
			}
			return nil
		})
		return printVersion(out, p, err)
	})
}

func runProfileDelete(ctx context.Context, args []string, _, errOut io.Writer) error {
	o, err := parseProfileOptions("profile delete", "Closes a profile, which recalls its budget, and deletes it.", args, errOut)
	if err != nil {
		return err
	}
	return withAdmin(o.adminOptions, func(a *tsadmin.Admin) error {
		return a.DeleteProfile(ctx, turmericshed.ProfileName(o.Name), turmericshed.Version(o.Version))
	})
}
