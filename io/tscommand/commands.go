// Package tscommand implements the command line. A table lists the subcommands;
// each subcommand has a file of its own, and most have an options file beside it.
//
// # Usage
//
//	os.Exit(tscommand.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// Every flag has an environment variable: TURMERICSHED_ followed by the flag name
// in upper case with underscores. A flag overrides its variable.
package tscommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"turmericshed"
)

// Exit codes of the process.
const (
	exitOK         = 0
	exitFailed     = 1
	exitBadSetting = 2
)

// command is an entry in a table of subcommands.
type command struct {
	name string
	// help is the line that the overview of the subcommands shows.
	help string
	run  func(ctx context.Context, args []string, out, errOut io.Writer) error
}

// commands returns the table of subcommands in the order of the overview.
func commands() []command {
	return []command{
		{"entry", "serve callers as one entry VM", runEntry},
		{"gateway", "serve callers as one entry VM on the users' platform", runGateway},
		{"profile", "make, show, edit and delete profiles", runProfile},
		{"demo", "run the whole system in one process, with failures", runDemo},
		{"account", "make, list and delete client accounts", runAccount},
		{"report", "print the morning's report", runReport},
		{"doubts", "list and settle calls that may have run", runDoubts},
		{"quarantine", "list and lift quarantines", runQuarantine},
		{"standin", "stand in for the platform, an engine or a service", runStandin},
		{"load", "send open-loop load and keep the callers' books", runLoad},
		{"soak", "drive the decision code through seeded failures", runSoak},
		{"drill", "run entry VMs as processes through stops, kills and crashes", runDrill},
		{"timeline", "merge the events of all processes", runTimeline},
		{"check", "check a desired state before it is sent", runCheck},
		{"explain", "tell the story of a request, server or account from logs", runExplain},
		{"experiment", "measure decisions on small fakes", runExperiment},
	}
}

// Main runs the subcommand that args[0] names and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		usage(errOut)
		return exitBadSetting
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		usage(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return exitCode(c.run(ctx, args[1:], out, errOut), errOut)
		}
	}
	_, _ = fmt.Fprintf(errOut, "turmericshed: unknown command %q: see turmericshed -h\n", args[0])
	return exitBadSetting
}

// exitCode prints err on one line and returns the exit code for it. A SettingError
// or an error of KindBadRequest results in exitBadSetting.
func exitCode(err error, errOut io.Writer) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	_, _ = fmt.Fprintf(errOut, "turmericshed: %v\n", err)
	var setting *SettingError
	if errors.As(err, &setting) || turmericshed.KindOf(err) == turmericshed.KindBadRequest {
		return exitBadSetting
	}
	return exitFailed
}

func usage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "turmericshed routes requests under prepaid token budgets.")
	_, _ = fmt.Fprintln(w, "\nusage: turmericshed <command> [flags]     (<command> -h lists its flags)")
	_, _ = fmt.Fprintln(w)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-12s %s\n", c.name, c.help)
	}
}
