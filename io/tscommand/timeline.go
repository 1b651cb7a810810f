package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"turmericshed"
	"turmericshed/core/tstimeline"
	"turmericshed/io/tsobserve"
)

// timelineOptions holds the settings of the timeline subcommand.
type timelineOptions struct {
	addrs       []netip.AddrPort
	operatorKey string
	filter      tstimeline.Filter
	follow      bool
	format      string
}

// runTimeline prints the merged events of the given processes.
func runTimeline(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseTimeline(args, errOut)
	if err != nil {
		return err
	}
	unread := 0
	r := &tsobserve.Reader{
		Addrs: o.addrs, OperatorKey: o.operatorKey, Client: &http.Client{},
		Warn: func(addr netip.AddrPort, err error) {
			unread++
			_, _ = fmt.Fprintf(errOut, "timeline: %s not read: %v\n", addr, err)
		},
	}
	enc := json.NewEncoder(out)
	emit := func(e turmericshed.Event) {
		switch {
		case !o.filter.Match(e):
		case o.format == formatJSON:
			_ = enc.Encode(e)
		default:
			_, _ = fmt.Fprintln(out, tstimeline.Text(e))
		}
	}
	if o.follow {
		r.Follow(ctx, emit)
		return nil
	}
	for _, e := range r.Read(ctx) {
		emit(e)
	}
	if unread > 0 {
		return turmericshed.NewError(turmericshed.KindNotFound, "%d of %d processes not read", unread, len(o.addrs))
	}
	return nil
}
