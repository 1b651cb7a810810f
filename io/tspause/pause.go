// Package tspause waits for a time or for the end of a context.
//
// # Usage
//
//	for tspause.For(ctx, interval) {
//		// once an interval, until ctx ends
//	}
package tspause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still alive. It does not wait
// when d is not above 0.
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
