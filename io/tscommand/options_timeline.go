package tscommand

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"turmericshed"
)

// formatText is the value of -format for plain text.
const formatText = "text"

// parseTimeline parses the settings of the timeline subcommand.
func parseTimeline(args []string, errOut io.Writer) (timelineOptions, error) {
	var o timelineOptions
	f := newFlags("timeline", "Prints the events of all given processes in one order.", errOut)
	f.Func("addrs", "`address:port,...` of the processes", func(s string) error { return parseAddrs(s, &o.addrs) })
	f.StringVar(&o.operatorKey, "operator-key", "", "operators' `key`")
	f.StringVar(&o.filter.ID, "id", "", "`identifier` of a request, profile, account, lot, claim, server, member or process")
	f.Func("event", "`name,...` of the events to show", func(s string) error {
		for name := range strings.SplitSeq(s, ",") {
			o.filter.Names = append(o.filter.Names, turmericshed.EventName(name))
		}
		return nil
	})
	f.Func("from", "`time` of the first event, RFC 3339", func(s string) (err error) {
		o.filter.From, err = time.Parse(time.RFC3339, s)
		return err
	})
	f.BoolVar(&o.follow, "follow", false, "go on with events as they happen")
	f.StringVar(&o.format, "format", formatText, "`text or json`")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if len(o.addrs) == 0 {
		return o, &SettingError{Setting: "-addrs", Want: "address:port by number, separated by commas"}
	}
	if o.format != formatText && o.format != formatJSON {
		return o, &SettingError{Setting: "-format", Value: o.format, Want: "text or json"}
	}
	return o, nil
}

// parseAddrs appends the comma-separated numeric addresses in s to *dst.
func parseAddrs(s string, dst *[]netip.AddrPort) error {
	for part := range strings.SplitSeq(s, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return fmt.Errorf("want address:port by number")
		}
		*dst = append(*dst, a)
	}
	return nil
}
