package agent

import (
	"sync/atomic"
	"time"

	"mulleinpier/internal/clock"
)

var (
	processStart = time.Now()
	// sleepOverride replaces the machine's sleep in fault tests; nil in service.
	sleepOverride atomic.Pointer[func() time.Duration]
)

// Now returns the time by the leases' clock, since the start of the process. It counts the machine's sleep.
func Now() time.Duration {
	totalSleep := clock.TotalSleep
	if override := sleepOverride.Load(); override != nil {
		totalSleep = *override
	}
	return time.Since(processStart) + totalSleep()
}

// OverrideClockOffset replaces how far the clock that counts the machine's sleep is ahead of the one that does not. It
// is for fault tests, at the start of a process.
func OverrideClockOffset(offset func() time.Duration) { sleepOverride.Store(&offset) }
