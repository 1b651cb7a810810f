package tscommand

import (
	"io"
	"net/netip"
)

// checkOptions holds the settings of the check subcommand.
type checkOptions struct {
	file string
	// against is the file with the desired state in force; storeAddr is the store to read it
	// from. At most one of them is set.
	against   string
	storeAddr netip.AddrPort
	format    string
}

// parseCheck parses the settings of the check subcommand.
func parseCheck(args []string, errOut io.Writer) (checkOptions, error) {
	o := checkOptions{format: formatText}
	f := newFlags("check", "Checks a desired state before it is sent: errors, entries that can never match, limits that contradict each\n"+
		"other, and what differs from the one in force. The exit code is 1 if there are errors; warnings don't change it.", errOut)
	f.StringVar(&o.file, "file", "", "`path` of the desired state, or - for standard input")
	f.StringVar(&o.against, "against", "", "`path` of the desired state in force")
	f.Var(addrPort{&o.storeAddr}, "store-addr", "`address:port` of the store to read the desired state in force from")
	f.StringVar(&o.format, "format", o.format, "`text` or json")
	if err := f.parse(args); err != nil {
		return o, err
	}
	switch {
	case o.file == "":
		return o, &SettingError{Setting: "-file", Want: "the path of a desired state, or - for standard input"}
	case o.against != "" && o.storeAddr.IsValid():
		return o, &SettingError{Setting: "-against", Value: o.against, Want: "either -against or -store-addr"}
	case o.format != formatText && o.format != formatJSON:
		return o, &SettingError{Setting: "-format", Value: o.format, Want: "text or json"}
	}
	return o, nil
}
