// Package clock reads the system's clocks that the standard library doesn't give: how far the one
// that counts the machine's sleep is ahead of the monotonic one, which Go's times go by.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// TotalSleep returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC: the time that the machine
// has slept. Where either can't be read it is zero, as if it never slept. Between the two readings the
// process may be put off its core; then it seems less, by as much, for this once, and never more.
func TotalSleep() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// SimulatedSleep is Ahead of a machine that seems to sleep for a time once, so long after now, and whose clock that counts
// sleep runs off the monotonic one by a part of it, drift. It is for rehearsals: the monotonic clock of a real one
// stands meanwhile, and so do all timers.
func SimulatedSleep(at, d time.Duration, drift float64) func() time.Duration {
	begun := time.Now()
	return func() time.Duration {
		since := time.Since(begun)
		off := time.Duration(drift * float64(since))
		if since < at || d == 0 {
			return TotalSleep() + off
		}
		return TotalSleep() + off + d
	}
}
