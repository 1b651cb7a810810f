package tsexperiment

import (
	"context"

	"turmericshed/load/tsdemo"
)

// Numbers of graceful stops.
const (
	wholeStops = 1000
	quickStops = 40
)

// runStops stops real entry VMs under load, over sockets.
func runStops(ctx context.Context, o Options) (any, error) {
	n := wholeStops
	if o.Quick {
		n = quickStops
	}
	return tsdemo.Stops(ctx, n)
}
