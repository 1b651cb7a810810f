package tscommand

import (
	"io"
)

// explainOptions holds the settings of the explain subcommand.
type explainOptions struct {
	id string
	// files are the paths of the log files; if there are none, standard input is read.
	files []string
}

// parseExplain parses the settings of the explain subcommand.
func parseExplain(args []string, errOut io.Writer) (explainOptions, error) {
	var o explainOptions
	f := newFlags("explain", "Prints what the log files of many entry VMs, or standard input, tell of one request, server, account,\n"+
		"lot, process, entry VM or version of the routing table, in the order of time. Flags come before the files.", errOut)
	f.StringVar(&o.id, "id", "", "`identifier`, or \"version N\"")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.id == "" {
		return o, &SettingError{Setting: "-id", Want: "the id of a request, server, account, lot, process or entry VM, or \"version N\""}
	}
	o.files = f.Args()
	return o, nil
}
