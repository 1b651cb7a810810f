package tscommand

import (
	"io"
	"log/slog"

	"turmericshed/io/tsobserve"
)

// gatewayOptions are the settings of one entry VM on the users' platform that
// the platform's settings file does not hold.
type gatewayOptions struct {
	config string
	logs   logOptions
}

// parseGateway reads them.
func parseGateway(args []string, errOut io.Writer) (gatewayOptions, error) {
	o := gatewayOptions{logs: logOptions{format: tsobserve.LogJSON, level: slog.LevelInfo}}
	f := newFlags("gateway", "Serves callers as one entry VM on the users' platform.", errOut)
	f.StringVar(&o.config, "config", "", "settings `file` that the platform renders from deploy/settings.json.tmpl")
	f.Func("log-format", "log `format`: json (default) or text", o.logs.setFormat)
	f.TextVar(&o.logs.level, "log-level", slog.LevelInfo, "log `level`: debug, info, warn or error")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.config == "" {
		return o, &SettingError{Setting: "-config", Want: "the path of the settings file"}
	}
	return o, nil
}
