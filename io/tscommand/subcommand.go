package tscommand

import (
	"context"
	"fmt"
	"io"
	"strings"
)

// dispatch runs the subcommand in subs that args[0] names, or prints an overview of
// them. It returns a SettingError if args is empty or names no subcommand.
func dispatch(ctx context.Context, name string, subs []command, args []string, out, errOut io.Writer) error {
	names := make([]string, 0, len(subs))
	for _, s := range subs {
		names = append(names, s.name)
	}
	if len(args) == 0 {
		return &SettingError{Setting: name, Want: "one of " + strings.Join(names, ", ")}
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		_, _ = fmt.Fprintf(out, "usage: turmericshed %s <command> [flags]     (<command> -h lists its flags)\n\n", name)
		for _, s := range subs {
			_, _ = fmt.Fprintf(out, "  %-12s %s\n", s.name, s.help)
		}
		return nil
	}
	for _, s := range subs {
		if s.name == args[0] {
			return s.run(ctx, args[1:], out, errOut)
		}
	}
	return &SettingError{Setting: name, Value: args[0], Want: "one of " + strings.Join(names, ", ")}
}
