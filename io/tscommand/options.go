package tscommand

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
)

// environmentPrefix starts the environment variable of every flag.
const environmentPrefix = "TURMERICSHED_"

// SettingError names a bad setting, its value and what would be right.
type SettingError struct {
	Setting string
	Value   string
	Want    string
}

// Error describes the setting in one line.
func (e *SettingError) Error() string {
	return fmt.Sprintf("bad setting %s=%q: want %s", e.Setting, e.Value, e.Want)
}

// flags is a flag set whose flags also have environment variables.
type flags struct {
	*flag.FlagSet
	// help prints the usage.
	help func()
}

func newFlags(name, summary string, errOut io.Writer) flags {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	// A bad flag ends in one line of its own, see parseError.
	fs.Usage = func() {}
	help := func() {
		_, _ = fmt.Fprintf(errOut, "usage: turmericshed %s [flags]\n%s\n\n", name, summary)
		fs.SetOutput(errOut)
		fs.PrintDefaults()
		fs.SetOutput(io.Discard)
	}
	return flags{FlagSet: fs, help: help}
}

// parse reads the environment first and the command line over it.
func (f flags) parse(args []string) error {
	var bad error
	f.VisitAll(func(fl *flag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(fl.Name, "-", "_"))
		v, ok := os.LookupEnv(name)
		if !ok || bad != nil {
			return
		}
		if err := fl.Value.Set(v); err != nil {
			bad = &SettingError{Setting: name, Value: v, Want: describeValues(fl)}
		}
	})
	if bad != nil {
		return bad
	}
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		f.help()
		return err
	}
	if err == nil {
		return nil
	}
	return f.parseError(err, args)
}

// parseError turns the flag package's message into a SettingError.
func (f flags) parseError(err error, args []string) error {
	for i, a := range args {
		name, v, inline := strings.Cut(strings.TrimLeft(a, "-"), "=")
		fl := f.Lookup(name)
		if fl == nil || !strings.HasPrefix(a, "-") {
			continue
		}
		if !inline && i+1 < len(args) {
			v = args[i+1]
		}
		if strings.Contains(err.Error(), "-"+name) || strings.Contains(err.Error(), `"`+v+`"`) {
			return &SettingError{Setting: "-" + name, Value: v, Want: describeValues(fl)}
		}
	}
	return &SettingError{Setting: "flags", Value: strings.Join(args, " "), Want: fmt.Sprintf("known flags (%v)", err)}
}

// wantOf describes the values that a flag takes.
func describeValues(fl *flag.Flag) string {
	kind, help := flag.UnquoteUsage(fl)
	if kind == "" {
		kind = "true or false"
	}
	return kind + ": " + help
}

// addrPort is a flag value holding an address by number with a port.
type addrPort struct{ to *netip.AddrPort }

// String returns the address, empty when unset.
func (a addrPort) String() string {
	if a.to == nil || !a.to.IsValid() {
		return ""
	}
	return a.to.String()
}

// Set parses an address such as 127.0.0.1:8080.
func (a addrPort) Set(s string) error {
	v, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("want address:port by number")
	}
	*a.to = v
	return nil
}
