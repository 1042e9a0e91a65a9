package takeover

import "time"

// Parameters are the rules that owners and holders must have in common.
type Parameters struct {
	// MaxClockDrift is the fraction by which a clock may run fast or slow.
	MaxClockDrift float64
	// SafetyMargin is subtracted from windows and permissions.
	SafetyMargin time.Duration
	// PermissionDuration is how long the permission to send lasts.
	PermissionDuration time.Duration
	// TakeoverInterval is the time from one holder's turn to take over an orphaned write to the next one's.
	TakeoverInterval time.Duration
	// OutcomeRetention is how long outcomes are kept.
	OutcomeRetention time.Duration
	// RecoveryPeriod follows the start or the return of a holder, which may not know yet what it should: clients that
	// repeat a write do so sooner.
	RecoveryPeriod time.Duration
	// MaxInFlightAge is the age at which a write without an outcome becomes one whose outcome is unknown.
	MaxInFlightAge time.Duration
	// MaxWrites bounds the writes in a registry, MaxBytes their payloads, MaxWaiters those who wait for one write.
	MaxWrites  int
	MaxBytes   int
	MaxWaiters int
}

// DefaultParameters are the parameters of all processes in service.
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

// atLeast returns how long a span lasts at least by this process's clock, if another's clock has measured it.
func (p Parameters) atLeast(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1-p.MaxClockDrift)) - p.SafetyMargin
}

// atMost returns how long an age is at most by this process's clock, if another's clock has measured it.
func (p Parameters) atMost(age time.Duration) time.Duration {
	return time.Duration(float64(age) * (1 + p.MaxClockDrift))
}
