package tscommand

import (
	"context"
	"io"

	"turmericshed/io/tsentry"
)

// runEntry serves as one entry VM until ctx ends.
func runEntry(ctx context.Context, args []string, _, errOut io.Writer) error {
	cfg, err := parseEntry(args, errOut)
	if err != nil {
		return err
	}
	_ = cfg
	_ = tsentry.Config{}
	<-ctx.Done()
	return nil
}
