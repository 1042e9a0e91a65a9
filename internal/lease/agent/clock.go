package agent

import (
	"sync/atomic"
	"time"

	"mulleinpier/internal/clock"
)

var (
	processStart = time.Now()
	// totalSleepOverride replaces clock.TotalSleep in fault tests; nil in service.
	totalSleepOverride atomic.Pointer[func() time.Duration]
)

// Now returns the time by the leases' clock, since the start of the process. It counts the machine's sleep.
func Now() time.Duration {
	totalSleep := clock.TotalSleep
	if override := totalSleepOverride.Load(); override != nil {
		totalSleep = *override
	}
	return time.Since(processStart) + totalSleep()
}

// OverrideTotalSleep replaces how long the machine has slept in all. It is for fault tests, at the start of a process.
func OverrideTotalSleep(totalSleep func() time.Duration) { totalSleepOverride.Store(&totalSleep) }
