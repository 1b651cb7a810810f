package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"turmericshed/io/tsadmin"
	"turmericshed/io/tsobserve"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsreport"
)

// runReport prints the operators' morning report: budgets, jobs, calls in doubt,
// quarantines and faults.
func runReport(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseReport(args, errOut)
	if err != nil {
		return err
	}
	r := &tsobserve.Reader{
		Addrs: o.addrs, OperatorKey: o.operatorKey, Client: &http.Client{},
		Warn: func(addr netip.AddrPort, err error) {
			_, _ = fmt.Fprintf(errOut, "report: %s not read, its faults are left out: %v\n", addr, err)
		},
	}
	return withStore(o.adminOptions, func(c *tsplatform.Client) error {
		rep, err := tsreport.Build(ctx, tsreport.Config{
			Store: c, Admin: tsadmin.New(tsadmin.Config{Store: c, Operator: o.Operator}),
			Events: r.Read(ctx), From: o.from,
		})
		if err != nil {
			return err
		}
		if o.format == formatJSON {
			return json.NewEncoder(out).Encode(rep)
		}
		return rep.WriteText(out)
	})
}
