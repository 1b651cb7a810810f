package tstimeline

import (
	"fmt"
	"strings"

	"turmericshed"
)

// wallFormat is an RFC 3339 UTC timestamp with microseconds.
const wallFormat = "2006-01-02T15:04:05.000000Z"

// Text returns e as one line: time, process, event, identifiers, reason.
func Text(e turmericshed.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s.%d  %-12s %-18s", e.Wall.UTC().Format(wallFormat), e.Logical, e.Process, e.Name)
	for _, f := range []struct{ name, value string }{
		{"failure_domain", string(e.FailureDomain)},
		{"request", string(e.Request)},
		{"profile", string(e.Profile)},
		{"account", string(e.Account)},
		{"lot", string(e.Lot)},
		{"claim", string(e.Claim)},
		{"server", string(e.Server)},
		{"member", e.Member},
	} {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%s", f.name, f.value)
		}
	}
	if e.Tokens != 0 {
		fmt.Fprintf(&b, " tokens=%d", e.Tokens)
	}
	if e.Reason != "" {
		fmt.Fprintf(&b, " reason=%q", e.Reason)
	}
	return b.String()
}
