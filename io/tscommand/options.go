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

// environmentPrefix is the prefix of the environment variable of every flag.
const environmentPrefix = "TURMERICSHED_"

// SettingError reports an invalid setting: its name, its value and what is valid.
type SettingError struct {
	Setting string
	Value   string
	Want    string
}

// Error describes the setting on one line.
func (e *SettingError) Error() string {
	return fmt.Sprintf("bad setting %s=%q: want %s", e.Setting, e.Value, e.Want)
}

// flags is a flag set whose flags also have environment variables.
type flags struct {
	*flag.FlagSet
	// help prints the usage text.
	help func()
}

func newFlags(name, summary string, errOut io.Writer) flags {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	// An invalid flag is reported on one line instead, see parseError.
	fs.Usage = func() {}
	help := func() {
		_, _ = fmt.Fprintf(errOut, "usage: turmericshed %s [flags]\n%s\n\n", name, summary)
		fs.SetOutput(errOut)
		fs.PrintDefaults()
		fs.SetOutput(io.Discard)
	}
	return flags{FlagSet: fs, help: help}
}

// parse sets the flags from the environment and then from args, which override it. It
// returns a SettingError for an invalid value, and flag.ErrHelp after printing the
// usage text.
func (f flags) parse(args []string) error {
	var firstErr error
	f.VisitAll(func(fl *flag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(fl.Name, "-", "_"))
		v, ok := os.LookupEnv(name)
		if !ok || firstErr != nil {
			return
		}
		if err := fl.Value.Set(v); err != nil {
			firstErr = &SettingError{Setting: name, Value: v, Want: describeValues(fl)}
		}
	})
	if firstErr != nil {
		return firstErr
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

// parseError converts an error of the flag package to a SettingError. The flag package
// reports the flag only in its message, so the message is matched against args.
func (f flags) parseError(err error, args []string) error {
	for i, a := range args {
		name, v, hasInlineValue := strings.Cut(strings.TrimLeft(a, "-"), "=")
		fl := f.Lookup(name)
		if fl == nil || !strings.HasPrefix(a, "-") {
			continue
		}
		if !hasInlineValue && i+1 < len(args) {
			v = args[i+1]
		}
		if strings.Contains(err.Error(), "-"+name) || strings.Contains(err.Error(), `"`+v+`"`) {
			return &SettingError{Setting: "-" + name, Value: v, Want: describeValues(fl)}
		}
	}
	return &SettingError{Setting: "flags", Value: strings.Join(args, " "), Want: fmt.Sprintf("known flags (%v)", err)}
}

// describeValues returns a description of the values that a flag accepts.
func describeValues(fl *flag.Flag) string {
	kind, help := flag.UnquoteUsage(fl)
	if kind == "" {
		kind = "true or false"
	}
	return kind + ": " + help
}

// addrPort is a flag.Value that holds a numeric IP address with a port.
type addrPort struct{ dst *netip.AddrPort }

// String returns the address, or an empty string when it is unset.
func (a addrPort) String() string {
	if a.dst == nil || !a.dst.IsValid() {
		return ""
	}
	return a.dst.String()
}

// Set parses an address such as 127.0.0.1:8080.
func (a addrPort) Set(s string) error {
	v, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("want address:port by number")
	}
	*a.dst = v
	return nil
}
