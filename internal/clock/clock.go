// Package clock reads how long the machine has slept (been suspended). The standard library does not report it: Go
// measures durations by the monotonic clock, which stops during sleep.
//
// The package has no state and starts no goroutine.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// TotalSleep returns how long the machine has slept since boot: the difference of CLOCK_BOOTTIME and CLOCK_MONOTONIC,
// or zero if either cannot be read. If the process is preempted between the two readings, the result is too small by
// the length of the preemption. It is never too large.
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

// SimulatedSleep returns a replacement for TotalSleep for fault tests. Its results include one sleep of the given
// duration once the interval after has passed since the call to SimulatedSleep. They always include drift times the
// time since that call, as if CLOCK_BOOTTIME ran faster (drift above 0) or slower than the monotonic clock. Unlike in a
// real sleep, the monotonic clock and all timers go on.
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
