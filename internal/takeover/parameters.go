package takeover

import "time"

// Parameters are the rules that owners and holders must have in common.
type Parameters struct {
	// MaxClockDrift is the fraction by which a clock may run fast or slow.
	MaxClockDrift float64
	// SafetyMargin is left of windows and permissions.
	SafetyMargin time.Duration
	// PermissionDuration is how long the permission to send lasts.
	PermissionDuration time.Duration
	// TakeoverInterval separates the turns in which holders take an orphaned write over.
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

// DefaultParameters are the parameters in service.
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

// atLeast returns the part of a span that surely lies within it by another's clock.
func (p Parameters) atLeast(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1-p.MaxClockDrift)) - p.SafetyMargin
}

// atMost returns what an age by another's clock may be by one's own.
func (p Parameters) atMost(age time.Duration) time.Duration {
	return time.Duration(float64(age) * (1 + p.MaxClockDrift))
}
