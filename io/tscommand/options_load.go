package tscommand

import (
	"io"
	"net/netip"
	"strings"
	"time"

	"turmericshed/load/tsload"
)

// Values of -format; see also formatText.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// loadOptions holds the settings of the load subcommand.
type loadOptions struct {
	tsload.Options
	Spec   string
	Format string
}

// addrPorts is a flag.Value that holds comma-separated numeric addresses.
type addrPorts struct{ dst *[]netip.AddrPort }

// String returns the addresses, separated by commas.
func (a addrPorts) String() string {
	if a.dst == nil {
		return ""
	}
	var names []string
	for _, x := range *a.dst {
		names = append(names, x.String())
	}
	return strings.Join(names, ",")
}

// Set parses addresses such as 127.0.0.1:8080,127.0.0.1:8081.
func (a addrPorts) Set(s string) error {
	*a.dst = nil
	for part := range strings.SplitSeq(s, ",") {
		var v netip.AddrPort
		if err := (addrPort{&v}).Set(strings.TrimSpace(part)); err != nil {
			return err
		}
		*a.dst = append(*a.dst, v)
	}
	return nil
}

// checkFormat returns a SettingError unless format is formatTable or formatJSON.
func checkFormat(format string) error {
	if format != formatTable && format != formatJSON {
		return &SettingError{Setting: "-format", Value: format, Want: formatTable + " or " + formatJSON}
	}
	return nil
}

func parseLoad(args []string, errOut io.Writer) (loadOptions, error) {
	var o loadOptions
	f := newFlags("load", "Sends open-loop load to entry VMs and prints the callers' books.", errOut)
	f.Var(addrPorts{&o.Entries}, "entries", "`address:port`s of entry VMs, with commas")
	f.StringVar(&o.Spec, "spec", "", "JSON `file` with the profiles, their accounts and keys")
	f.Float64Var(&o.Rate, "rate", 10, "mean `number` of arrivals a second")
	f.DurationVar(&o.Duration, "duration", 30*time.Second, "`duration` of the arrivals")
	f.Uint64Var(&o.Seed, "seed", 1, "`number` that fixes arrivals and accounts")
	f.Float64Var(&o.ZipfExponent, "zipf", 1, "`exponent` of Zipf's law over accounts")
	f.IntVar(&o.Attempts, "attempts", 6, "`number` of attempts of a request")
	f.DurationVar(&o.Deadline, "deadline", 30*time.Second, "`duration` that a caller waits for one attempt")
	f.StringVar(&o.Name, "name", "load", "`name` at the beginning of idempotency keys")
	f.StringVar(&o.Format, "format", formatTable, "`form` of the result: table or json")
	if err := f.parse(args); err != nil {
		return o, err
	}
	switch {
	case len(o.Entries) == 0:
		return o, &SettingError{Setting: "-entries", Want: "at least one address:port by number"}
	case o.Spec == "":
		return o, &SettingError{Setting: "-spec", Want: "a JSON file"}
	case o.Rate <= 0 || o.Duration <= 0 || o.Attempts < 1 || o.Deadline <= 0 || o.ZipfExponent <= 0:
		return o, &SettingError{Setting: "-rate, -duration, -attempts, -deadline, -zipf", Want: "numbers above 0"}
	}
	return o, checkFormat(o.Format)
}
