// Package clock reads how long the machine has slept, which the standard library does not report: Go measures
// durations by the monotonic clock, which stops meanwhile.
//
// The package has no state and starts no goroutine.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// TotalSleep returns how long the machine has slept since boot: by how much CLOCK_BOOTTIME is ahead of
// CLOCK_MONOTONIC. Where either can't be read it is zero. If the process loses its processor between the two
// readings the result is too small by as much, for this once; it is never too large.
func TotalSleep() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// SimulatedSleep returns a replacement of TotalSleep for fault tests. By it the machine sleeps once for a
// duration, some time after now, and its clock that counts sleep deviates from the monotonic one by the share
// drift. Unlike in a real sleep the monotonic clock and all timers go on.
func SimulatedSleep(after, duration time.Duration, drift float64) func() time.Duration {
	start := time.Now()
	return func() time.Duration {
		elapsed := time.Since(start)
		total := TotalSleep() + time.Duration(drift*float64(elapsed))
		if elapsed >= after {
			total += duration
		}
		return total
	}
}
