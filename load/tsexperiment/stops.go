package tsexperiment

import (
	"context"

	"turmericshed/load/tsdemo"
)

// The numbers of graceful stops.
const (
	fullStopCount  = 1000
	quickStopCount = 40
)

// runStops gracefully stops real entry VMs under load, over sockets.
func runStops(ctx context.Context, o Options) (any, error) {
	n := fullStopCount
	if o.Quick {
		n = quickStopCount
	}
	return tsdemo.RunStops(ctx, n)
}
