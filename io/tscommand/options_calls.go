package tscommand

import (
	"io"
	"net/http"
	"net/netip"
	"time"
)

// defaultReportPeriod is the period that a report covers without -from: one night.
const defaultReportPeriod = 15 * time.Hour

// settleOptions holds the settings of the doubts settle subcommand.
type settleOptions struct {
	adminOptions
	Key string
	// Outcome is settleRan or settleNotRun.
	Outcome     string
	Status      int
	ContentType string
	AnswerFile  string
}

// The outcomes with which a call in doubt can be settled.
const (
	settleRan    = "ran"
	settleNotRun = "not_run"
)

func parseSettle(args []string, errOut io.Writer) (settleOptions, error) {
	var o settleOptions
	f := newFlags("doubts settle", "Settles one call in doubt by a person's word.", errOut)
	o.adminFlags(f)
	f.StringVar(&o.Name, "account", "", "`name` of the client account")
	f.StringVar(&o.Key, "key", "", "idempotency `key` of the call")
	f.StringVar(&o.Outcome, "as", "", "`ran or not_run`")
	f.IntVar(&o.Status, "status", http.StatusOK, "HTTP `status` of the answer that retries get")
	f.StringVar(&o.ContentType, "content-type", "application/json", "`type` of the answer")
	f.StringVar(&o.AnswerFile, "answer", "", "`file` with the answer's body, - for the input; empty without it")
	if err := f.parse(args); err != nil {
		return o, err
	}
	switch {
	case o.Name == "":
		return o, &SettingError{Setting: "-account", Want: "the client account's name"}
	case o.Key == "":
		return o, &SettingError{Setting: "-key", Want: "the call's idempotency key"}
	case o.Outcome != settleRan && o.Outcome != settleNotRun:
		return o, &SettingError{Setting: "-as", Value: o.Outcome, Want: "ran or not_run"}
	case o.Outcome == settleNotRun && o.AnswerFile != "":
		return o, &SettingError{Setting: "-answer", Value: o.AnswerFile, Want: "none for a call that did not run"}
	}
	return o, o.check()
}

// liftOptions holds the settings of the quarantine lift subcommand.
type liftOptions struct {
	adminOptions
	Digest string
}

func parseLift(args []string, errOut io.Writer) (liftOptions, error) {
	var o liftOptions
	f := newFlags("quarantine lift", "Ends a quarantine in every failure domain.", errOut)
	o.adminFlags(f)
	f.StringVar(&o.Digest, "digest", "", "`digest` as quarantine list shows it")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.Digest == "" {
		return o, &SettingError{Setting: "-digest", Want: "a digest as quarantine list shows it"}
	}
	return o, o.check()
}

// reportOptions holds the settings of the report subcommand.
type reportOptions struct {
	adminOptions
	addrs       []netip.AddrPort
	operatorKey string
	from        time.Time
	format      string
}

func parseReport(args []string, errOut io.Writer) (reportOptions, error) {
	o := reportOptions{from: time.Now().Add(-defaultReportPeriod)}
	f := newFlags("report", "Prints the morning's report.", errOut)
	o.adminFlags(f)
	f.Func("addrs", "`address:port,...` of the entry VMs whose faults are told", func(s string) error { return parseAddrs(s, &o.addrs) })
	f.StringVar(&o.operatorKey, "operator-key", "", "operators' `key`")
	f.Func("from", "`time` that the report starts at, RFC 3339; 15 hours ago without it", func(s string) (err error) {
		o.from, err = time.Parse(time.RFC3339, s)
		return err
	})
	f.StringVar(&o.format, "format", formatText, "`text or json`")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.format != formatText && o.format != formatJSON {
		return o, &SettingError{Setting: "-format", Value: o.format, Want: "text or json"}
	}
	return o, o.check()
}
