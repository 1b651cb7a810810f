package tscommand

import (
	"errors"
	"io"
	"log/slog"
	"strconv"

	"turmericshed/core/tsspill"
	"turmericshed/io/tsobserve"
)

// gatewayOptions holds the settings of the gateway subcommand that are not in the
// platform's settings file.
type gatewayOptions struct {
	config string
	// metricsPort is the port for metrics on the entry VM's address. If it is 0,
	// metrics are served on the control address that the platform sets.
	metricsPort uint16
	spill       tsspill.Settings
	logs        logOptions
}

// parseGateway parses the settings of the gateway subcommand.
func parseGateway(args []string, errOut io.Writer) (gatewayOptions, error) {
	o := gatewayOptions{logs: logOptions{format: tsobserve.LogJSON, level: slog.LevelInfo}}
	f := newFlags("gateway", "Serves callers as one entry VM on the users' platform.", errOut)
	f.StringVar(&o.config, "config", "", "settings `file` that the platform renders from deploy/settings.json.tmpl")
	f.Func("metrics-port", "`port` of the metrics, named in deploy/system.toml as well; without one, the platform's control address", func(s string) error {
		n, err := strconv.ParseUint(s, 10, 16)
		if err != nil || n == 0 {
			return errors.New("want a port from 1 to 65535")
		}
		o.metricsPort = uint16(n)
		return nil
	})
	f.DurationVar(&o.spill.CostPerMegabyte, "spill-cost", tsspill.DefaultCostPerMegabyte,
		"`time` to first byte that a megabyte between failure domains is worth, where measurements decide about spillover; 0: bytes cost nothing")
	f.Func("log-format", "log `format`: json (default) or text", o.logs.setFormat)
	f.TextVar(&o.logs.level, "log-level", slog.LevelInfo, "log `level`: debug, info, warn or error")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.spill.CostPerMegabyte < 0 {
		return o, &SettingError{Setting: "-spill-cost", Value: o.spill.CostPerMegabyte.String(), Want: "0 or more"}
	}
	if o.config == "" {
		return o, &SettingError{Setting: "-config", Want: "the path of the settings file"}
	}
	return o, nil
}
