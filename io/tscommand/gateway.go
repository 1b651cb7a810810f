package tscommand

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"turmericshed/io/tsgateway"
	"turmericshed/io/tsobserve"
	"turmericshed/platform"
)

const (
	// settingsPoll is the time between looks at the settings file, which may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// memoryPart of the process's memory limit is where the garbage collector
	// works harder; the rest is for sockets and stacks.
	memoryLimitShare = 0.6
)

// runGateway serves as one entry VM on the users' platform until ctx ends,
// then stops gracefully.
func runGateway(ctx context.Context, args []string, out, errOut io.Writer) error {
	// Never given back: its default ends the process, also in a stop.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	o, err := parseGateway(args, errOut)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(o.config)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitShare))
	}
	lines := tsobserve.NewAsyncWriter(out)
	log := tsobserve.NewLogger(lines, o.logs.format, o.logs.level).With("vm", settings.Name)
	g, err := tsgateway.New(tsgateway.Config{Settings: settings, MetricsPort: o.metricsPort, Log: log})
	if err != nil {
		return errors.Join(err, lines.Close())
	}
	reloadCtx, stopReload := context.WithCancel(ctx)
	defer stopReload()
	go watchSettings(reloadCtx, hangup, o.config, log, g.Reload)
	err = g.Serve(ctx)
	if n := lines.Dropped(); n > 0 {
		log.Warn("log lines dropped", "count", n)
	}
	return errors.Join(err, lines.Close())
}

// followSettings reloads the settings file at SIGHUP and when it changed.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, path string, log *slog.Logger, reload func(platform.Settings)) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	var last []byte
	for {
		data, err := os.ReadFile(path)
		switch {
		case err != nil:
			log.Warn("settings file not read; the last settings stay", "error", err.Error())
		case last != nil && !bytes.Equal(last, data):
			if s, err := platform.ParseSettings(data); err != nil {
				log.Error("settings refused; the last settings stay", "error", err.Error())
			} else {
				reload(s)
			}
		}
		if err == nil {
			last = data
		}
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("asked to reload settings")
		case <-t.C:
		}
	}
}
