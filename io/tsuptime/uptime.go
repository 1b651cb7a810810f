// Package tsuptime reads the machine's clock that nobody sets: it counts on
// between processes, and while the machine is suspended, which the steady clock
// of package time does not.
//
// # Usage
//
//	since := tsuptime.Now()           // may be kept for the next process
//	age := tsuptime.Now() - since     // negative after a restart of the machine
//	slept := tsuptime.Suspended()     // in all
package tsuptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started; 0 if it can't be told.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Suspended returns for how long the machine has been suspended in all, in
// whole milliseconds.
func Suspended() time.Duration {
	const (
		// readings are taken until one was not interrupted for longer than brief.
		readings = 3
		brief    = time.Millisecond
	)
	var total time.Duration
	for range readings {
		var before, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil {
			return 0
		}
		now := Now()
		if now == 0 || unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		total = (now - time.Duration(after.Nano())).Round(brief)
		if after.Nano()-before.Nano() < int64(brief) {
			break
		}
	}
	return max(total, 0)
}
