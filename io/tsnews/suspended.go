package tsnews

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long the machine has been suspended in all: the
// steady clock, by which ages are counted, does not count that time.
func suspended() time.Duration {
	const (
		// readings are taken until one was not interrupted for longer than brief.
		readings = 3
		brief    = time.Millisecond
	)
	var total time.Duration
	for range readings {
		var before, boot, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		total = time.Duration(boot.Nano() - after.Nano()).Round(brief)
		if after.Nano()-before.Nano() < int64(brief) {
			break
		}
	}
	return max(total, 0)
}
