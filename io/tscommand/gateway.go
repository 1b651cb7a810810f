package tscommand

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"turmericshed/io/tsgateway"
	"turmericshed/io/tsobserve"
	"turmericshed/platform"
)

const (
	// settingsPollInterval is the time between reads of the settings file, which may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
)

// runGateway runs an entry VM on the users' platform until ctx is done, then stops it
// gracefully.
func runGateway(ctx context.Context, args []string, out, errOut io.Writer) error {
	// SIGHUP stays captured until the process exits: its default action terminates
	// the process and would interrupt a graceful stop.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	o, err := parseGateway(args, errOut)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(o.config)
	if err != nil {
		return err
	}
	limitHeap(settings.MemoryBytes)
	logWriter := tsobserve.NewAsyncWriter(out)
	log := tsobserve.NewLogger(logWriter, o.logs.format, o.logs.level).With("vm", settings.Name)
	g, err := tsgateway.New(tsgateway.Config{Settings: settings, MetricsPort: o.metricsPort, Spill: &o.spill, Log: log})
	if err != nil {
		return errors.Join(err, logWriter.Close())
	}
	reloadCtx, stopReload := context.WithCancel(ctx)
	defer stopReload()
	go watchSettings(reloadCtx, sighup, o.config, log, g.Reload)
	err = g.Serve(ctx)
	if n := logWriter.Dropped(); n > 0 {
		log.Warn("log lines dropped: the log output was too slow or failed", "count", n)
	}
	return errors.Join(err, logWriter.Close())
}

// watchSettings reads the settings file every settingsPollInterval and on SIGHUP, and
// calls reload when its content has changed and is valid. It returns when ctx is done.
func watchSettings(ctx context.Context, sighup <-chan os.Signal, path string, log *slog.Logger, reload func(platform.Settings)) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	var lastData []byte
	for {
		data, err := os.ReadFile(path)
		switch {
		case err != nil:
			log.Warn("cannot read the settings file; keeping the current settings", "error", err.Error())
		case lastData != nil && !bytes.Equal(lastData, data):
			if s, err := platform.ParseSettings(data); err != nil {
				log.Error("changed settings file is invalid; keeping the current settings", "error", err.Error())
			} else {
				reload(s)
			}
		}
		if err == nil {
			lastData = data
		}
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			log.Info("received SIGHUP; reading the settings file")
		case <-t.C:
		}
	}
}
