package agent

import (
	"sync/atomic"
	"time"

	"mulleinpier/internal/clock"
)

var (
	processStart = time.Now()
	// clockOffsetOverride replaces clock.TotalSleep in fault tests; nil in service.
	clockOffsetOverride atomic.Pointer[func() time.Duration]
)

// Now returns the time by the leases' clock, since the start of the process. It counts the machine's sleep.
func Now() time.Duration {
	offset := clock.TotalSleep
	if override := clockOffsetOverride.Load(); override != nil {
		offset = *override
	}
	return time.Since(processStart) + offset()
}

// OverrideClockOffset replaces how far the clock that counts the machine's sleep is ahead of the one that does not. It
// is for fault tests, at the start of a process.
func OverrideClockOffset(offset func() time.Duration) { clockOffsetOverride.Store(&offset) }
