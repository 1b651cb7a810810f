package tscommand

import (
	"io"
	"net/netip"
)

// adminOptions holds the settings of the operators' commands.
type adminOptions struct {
	PlatformAddr netip.AddrPort
	Operator     string
	// Name is of the account or profile.
	Name string
}

// adminFlags declares the settings that every operators' command has.
func (o *adminOptions) adminFlags(f flags) {
	f.Var(addrPort{&o.PlatformAddr}, "platform-addr", "`address:port` of the platform's service")
	f.StringVar(&o.Operator, "operator", operatorName(), "`name` kept with the change")
}

func (o *adminOptions) check() error { return checkAddr("-platform-addr", o.PlatformAddr) }

func parseAdmin(name, summary string, args []string, errOut io.Writer) (adminOptions, error) {
	var o adminOptions
	f := newFlags(name, summary, errOut)
	o.adminFlags(f)
	if err := f.parse(args); err != nil {
		return o, err
	}
	return o, o.check()
}

func parseAccountName(name, summary string, args []string, errOut io.Writer) (adminOptions, error) {
	var o adminOptions
	f := newFlags(name, summary, errOut)
	o.adminFlags(f)
	f.StringVar(&o.Name, "account", "", "`name` of the client account")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.Name == "" {
		return o, &SettingError{Setting: "-account", Want: "the client account's name"}
	}
	return o, o.check()
}
