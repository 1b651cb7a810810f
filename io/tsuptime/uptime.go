// Package tsuptime reads the machine's boot-time clock. Clock adjustments don't change
// it, and it is the same for all processes. It also counts while the machine is
// suspended, unlike the monotonic clock of package time.
//
// # Usage
//
//	since := tsuptime.SinceBoot()          // may be stored for the next process
//	age := tsuptime.SinceBoot() - since    // negative after a restart of the machine
//	slept := tsuptime.Suspended()          // total since the machine started
package tsuptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started; 0 if the clock can't be read.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Suspended returns the total time for which the machine was suspended since it
// started, in whole milliseconds; 0 if the clocks can't be read.
func Suspended() time.Duration {
	const (
		// Up to maxReadings are taken, until one takes less than maxReadingTime: an
		// interruption between the reads of the clocks distorts the difference.
		maxReadings    = 3
		maxReadingTime = time.Millisecond
	)
	var total time.Duration
	for range maxReadings {
		var before, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil {
			return 0
		}
		now := SinceBoot()
		if now == 0 || unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		total = (now - time.Duration(after.Nano())).Round(maxReadingTime)
		if after.Nano()-before.Nano() < int64(maxReadingTime) {
			break
		}
	}
	return max(total, 0)
}
