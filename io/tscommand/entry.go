package tscommand

import (
	"context"
	"io"

	"turmericshed/io/tsobserve"
	"turmericshed/io/tsprocess"
)

// runEntry runs an entry VM until ctx is done, then stops it gracefully.
func runEntry(ctx context.Context, args []string, out, errOut io.Writer) error {
	cfg, logs, err := parseEntry(args, errOut)
	if err != nil {
		return err
	}
	p, err := tsprocess.New(cfg, tsprocess.Options{Log: tsobserve.NewLogger(errOut, logs.format, logs.level)})
	if err != nil {
		return err
	}
	announceAddr(out, "entry", p.Addr())
	return p.Serve(ctx)
}
