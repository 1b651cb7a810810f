package tscommand

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/io/tsentry"
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
}

func newFlags(name, summary string, errOut io.Writer) flags {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {
		_, _ = fmt.Fprintf(errOut, "usage: turmericshed %s [flags]\n%s\n\n", name, summary)
		fs.SetOutput(errOut)
		fs.PrintDefaults()
		fs.SetOutput(io.Discard)
	}
	return flags{FlagSet: fs}
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
			bad = &SettingError{Setting: name, Value: v, Want: wantOf(fl)}
		}
	})
	if bad != nil {
		return bad
	}
	err := f.Parse(args)
	if err == nil || err == flag.ErrHelp { //nolint:errorlint // flag returns the value itself.
		return err
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
			return &SettingError{Setting: "-" + name, Value: v, Want: wantOf(fl)}
		}
	}
	return &SettingError{Setting: "flags", Value: strings.Join(args, " "), Want: fmt.Sprintf("known flags (%v)", err)}
}

// wantOf describes the values that a flag takes.
func wantOf(fl *flag.Flag) string {
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

// parseEntry reads the settings of one entry VM.
func parseEntry(args []string, errOut io.Writer) (tsentry.Config, error) {
	var cfg tsentry.Config
	f := newFlags("entry", "Serves callers as one entry VM.", errOut)
	f.StringVar(&cfg.Name, "name", "", "`name` of this entry VM, unique in the fleet")
	f.Func("region", "region `name`", func(s string) error { cfg.Region = turmericshed.Region(s); return nil })
	f.Func("failure-domain", "failure domain `name`", func(s string) error { cfg.FailureDomain = turmericshed.FailureDomain(s); return nil })
	f.Var(addrPort{&cfg.CallerAddr}, "caller-addr", "`address:port` for callers and operators")
	f.Var(addrPort{&cfg.PeerAddr}, "peer-addr", "`address:port` for other entry VMs")
	f.Var(addrPort{&cfg.PlatformAddr}, "platform-addr", "`address:port` of the platform's service")
	f.StringVar(&cfg.OperatorKeyHash, "operator-key-hash", "", "hex `SHA-256` of the operators' key")
	f.StringVar(&cfg.CertFile, "cert-file", "", "PEM `file` with the certificate for peers")
	f.StringVar(&cfg.KeyFile, "key-file", "", "PEM `file` with the certificate's key")
	f.StringVar(&cfg.CAFile, "ca-file", "", "PEM `file` with the authority for peers")
	f.DurationVar(&cfg.DrainLimit, "drain-limit", 60*time.Second, "`duration` allowed for a graceful stop")
	f.DurationVar(&cfg.DefaultDeadline, "default-deadline", 60*time.Second, "`duration` for requests that name no deadline")
	f.IntVar(&cfg.MaxRunning, "max-running", 256, "`number` of requests running at once")
	if err := f.parse(args); err != nil {
		return cfg, err
	}
	return cfg, checkEntry(cfg)
}

// checkEntry names the first setting that is missing or out of range.
func checkEntry(cfg tsentry.Config) error {
	if cfg.Name == "" {
		return &SettingError{Setting: "-name", Want: "a name, unique in the fleet"}
	}
	if cfg.FailureDomain == "" {
		return &SettingError{Setting: "-failure-domain", Want: "the failure domain's name"}
	}
	for _, a := range []struct {
		name string
		addr netip.AddrPort
	}{{"-caller-addr", cfg.CallerAddr}, {"-peer-addr", cfg.PeerAddr}, {"-platform-addr", cfg.PlatformAddr}} {
		if !a.addr.IsValid() {
			return &SettingError{Setting: a.name, Want: "address:port by number"}
		}
	}
	if cfg.MaxRunning < 1 {
		return &SettingError{Setting: "-max-running", Value: fmt.Sprint(cfg.MaxRunning), Want: "at least 1"}
	}
	if (cfg.CertFile == "") != (cfg.KeyFile == "") || (cfg.CertFile == "") != (cfg.CAFile == "") {
		return &SettingError{Setting: "-cert-file", Value: cfg.CertFile, Want: "-cert-file, -key-file and -ca-file together"}
	}
	return nil
}
