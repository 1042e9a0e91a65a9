package agent

import (
	"sync/atomic"
	"time"

	"mulleinpier/internal/clock"
)

var (
	processStart = time.Now()
	// totalSleepOverride replaces clock.TotalSleep in fault tests; it is nil in production.
	totalSleepOverride atomic.Pointer[func() time.Duration]
)

// Now returns the time by the leases' clock: the time since the start of the process, plus how long the machine has
// slept since boot. Only the difference between two readings in the same process is meaningful.
func Now() time.Duration {
	totalSleep := clock.TotalSleep
	if override := totalSleepOverride.Load(); override != nil {
		totalSleep = *override
	}
	return time.Since(processStart) + totalSleep()
}

// OverrideTotalSleep replaces the function that reports how long the machine has slept since boot. Only fault tests use
// it; they call it at the start of a process.
func OverrideTotalSleep(totalSleep func() time.Duration) { totalSleepOverride.Store(&totalSleep) }
