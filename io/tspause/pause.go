// Package tspause waits for a duration or until a context ends.
//
// # Usage
//
//	for tspause.For(ctx, interval) {
//		// runs once per interval until ctx ends
//	}
package tspause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether ctx is still active. It
// returns at once if d is not above 0.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
