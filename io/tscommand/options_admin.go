package tscommand

import (
	"io"
	"net/netip"
)

// adminOptions holds the settings that all operator commands share.
type adminOptions struct {
	PlatformAddr netip.AddrPort
	Operator     string
	// Name is the name of the client account or profile.
	Name string
}

// adminFlags declares the flags that all operator commands share.
func (o *adminOptions) adminFlags(f flags) {
	f.Var(addrPort{&o.PlatformAddr}, "platform-addr", "`address:port` of the platform's service")
	f.StringVar(&o.Operator, "operator", operatorName(), "`name` kept with the change")
}

func (o *adminOptions) check() error { return checkAddr("-platform-addr", o.PlatformAddr) }

func parseAdminOptions(name, summary string, args []string, errOut io.Writer) (adminOptions, error) {
	var o adminOptions
	f := newFlags(name, summary, errOut)
	o.adminFlags(f)
	if err := f.parse(args); err != nil {
		return o, err
	}
	return o, o.check()
}

func parseAccountOptions(name, summary string, args []string, errOut io.Writer) (adminOptions, error) {
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

// profileOptions holds the settings of the profile commands.
type profileOptions struct {
	adminOptions
	Version uint64
	File    string
	// Prepaid is the new number of prepaid tokens; below 0, the number is unchanged.
	Prepaid int64
}

func (o *profileOptions) versionFlag(f flags, help string) {
	f.Uint64Var(&o.Version, "version", 0, help)
}

func (o *profileOptions) nameFlag(f flags) {
	f.StringVar(&o.Name, "profile", "", "`name` of the profile")
}

func (o *profileOptions) checkWithName() error {
	if o.Name == "" {
		return &SettingError{Setting: "-profile", Want: "the profile's name"}
	}
	return o.check()
}

func parseProfilePut(args []string, errOut io.Writer) (profileOptions, error) {
	var o profileOptions
	f := newFlags("profile put", "Makes a profile from a document, or replaces a version of it.", errOut)
	o.adminFlags(f)
	o.versionFlag(f, "`number` of the version that is replaced; 0 makes a new profile")
	f.StringVar(&o.File, "file", "", "JSON `file` with the document, - for the input")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.File == "" {
		return o, &SettingError{Setting: "-file", Want: "a JSON file, or - for the input"}
	}
	return o, o.check()
}

func parseProfileOptions(name, summary string, args []string, errOut io.Writer) (profileOptions, error) {
	var o profileOptions
	f := newFlags(name, summary, errOut)
	o.adminFlags(f)
	o.nameFlag(f)
	o.versionFlag(f, "`number` of the version that the command is for; 0 takes any")
	if err := f.parse(args); err != nil {
		return o, err
	}
	return o, o.checkWithName()
}

func parseProfileEdit(args []string, errOut io.Writer) (profileOptions, error) {
	var o profileOptions
	f := newFlags("profile edit", "Changes some fields of a profile.", errOut)
	o.adminFlags(f)
	o.nameFlag(f)
	o.versionFlag(f, "`number` of the version that is changed; 0 takes the present one")
	f.Int64Var(&o.Prepaid, "prepaid", -1, "`number` of prepaid tokens; below 0 leaves them")
	f.StringVar(&o.File, "file", "", "JSON `file` with the fields to change, - for the input")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.File == "" && o.Prepaid < 0 {
		return o, &SettingError{Setting: "-file and -prepaid", Want: "at least one of them"}
	}
	return o, o.checkWithName()
}
