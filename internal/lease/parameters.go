package lease

import "time"

// Parameters are the timing rules of leases. Holders and voters must use the same values.
type Parameters struct {
	// MaxClockDrift is the fraction by which a process's clock may run fast or slow.
	MaxClockDrift float64
	// SafetyMargin shortens a lease on its holder and extends it on the voters: the lease ends on the holder first.
	SafetyMargin time.Duration
	// MinDuration and MaxDuration bound the duration of a lease.
	MinDuration time.Duration
	MaxDuration time.Duration
}

// DefaultParameters are the parameters of all processes in production.
var DefaultParameters = Parameters{
	MaxClockDrift: 0.05,
	SafetyMargin:  20 * time.Millisecond,
	MinDuration:   200 * time.Millisecond,
	MaxDuration:   time.Hour,
}

// voterDuration returns how long a voter keeps a grant, by the voter's clock. The holder stops before the grant ends,
// even if the holder's clock runs slow by MaxClockDrift.
func (p Parameters) voterDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*(1+p.MaxClockDrift)) + p.SafetyMargin
}

// holderDuration returns how long a holder may act, by the holder's clock, counted from when it sent its request.
func (p Parameters) holderDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*(1-p.MaxClockDrift)) - p.SafetyMargin
}
