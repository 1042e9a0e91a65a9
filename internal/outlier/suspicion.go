package outlier

import (
	"math"
	"time"
)

const (
	// PriorProbability is the assumed probability that a server is faulty before any attempt is observed.
	PriorProbability = 0.03

	// HealthyFailureRate is the share of attempts that fail by chance at a healthy server.
	HealthyFailureRate = 0.05

	// MaxLogOdds bounds Suspicion.LogOdds: larger values would take too long to decay.
	MaxLogOdds = 8.0

	// faultyFailureRate is the share of attempts that fail at a faulty server.
	faultyFailureRate = 0.7
)

// Suspicion estimates how likely a server, or a zone, is faulty, as log odds above those of PriorProbability. They
// never fall below the prior: attempts that succeeded before a server became faulty are no evidence against the fault.
// This is the CUSUM algorithm of change detection. The log odds decay without samples.
type Suspicion struct {
	LogOdds             float64 // above the log odds of PriorProbability
	updated             time.Duration
	ConsecutiveFailures float64 // failures since the last success
}

// Observe decays the log odds until now, then updates them with an attempt that ended: failed is 1 for a failure and 0
// for a success, and baseline is the share of attempts that fail at healthy servers, HealthyFailureRate at least.
func (s *Suspicion) Observe(now, decayTime time.Duration, failed, baseline float64) {
	baseline = max(baseline, HealthyFailureRate)
	faulty := max(faultyFailureRate, (1+baseline)/2)
	s.Decay(now, decayTime)
	ifFailed := math.Log(faulty / baseline)
	ifSucceeded := math.Log((1 - faulty) / (1 - baseline))
	s.LogOdds += failed*ifFailed + (1-failed)*ifSucceeded
	s.LogOdds = max(0, min(s.LogOdds, MaxLogOdds))
}

// Decay decays the log odds until now, to 1/e within decayTime.
func (s *Suspicion) Decay(now, decayTime time.Duration) {
	s.LogOdds *= math.Exp(-float64(now-s.updated) / float64(decayTime))
	s.updated = now
}

// Probability returns the probability that the server is faulty.
func (s *Suspicion) Probability() float64 {
	return 1 / (1 + (1-PriorProbability)/PriorProbability*math.Exp(-s.LogOdds))
}
