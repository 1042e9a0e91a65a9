package takeover

import "time"

// Parameters are the settings that must be the same for all owners and holders.
type Parameters struct {
	// MaxClockDrift is the largest fraction by which a clock may run fast or slow.
	MaxClockDrift float64
	// SafetyMargin is subtracted from windows and permissions.
	SafetyMargin time.Duration
	// PermissionDuration is how long a permission to send lasts, from when the owner asked for it.
	PermissionDuration time.Duration
	// TakeoverInterval is the time between the turns of successive holders to take over an orphaned write.
	TakeoverInterval time.Duration
	// OutcomeRetention is how long outcomes are kept.
	OutcomeRetention time.Duration
	// RecoveryPeriod is how long after its start or return a holder may lack writes that were claimed without it.
	// Clients that retry a write do so within this time.
	RecoveryPeriod time.Duration
	// MaxInFlightAge is how long a registry keeps a write in flight before it records the outcome as unknown.
	MaxInFlightAge time.Duration
	// MaxWrites bounds the writes in a registry, MaxBytes their payloads, MaxWaiters the claims waiting for one write.
	MaxWrites  int
	MaxBytes   int
	MaxWaiters int
}

// DefaultParameters are the parameters in production.
var DefaultParameters = Parameters{
	MaxClockDrift:      0.05,
	SafetyMargin:       100 * time.Millisecond,
	PermissionDuration: 2 * time.Second,
	TakeoverInterval:   150 * time.Millisecond,
	OutcomeRetention:   2 * time.Minute,
	RecoveryPeriod:     15 * time.Second,
	MaxInFlightAge:     30 * time.Second,
	MaxWrites:          100_000,
	MaxBytes:           16 << 20,
	MaxWaiters:         8,
}

// atLeast returns the shortest time, by this process's clock, that a span measured by another process can be, less
// the safety margin.
func (p Parameters) atLeast(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1-p.MaxClockDrift)) - p.SafetyMargin
}

// atMost returns the longest time, by this process's clock, that an age measured by another process can be.
func (p Parameters) atMost(age time.Duration) time.Duration {
	return time.Duration(float64(age) * (1 + p.MaxClockDrift))
}
