package outlier

import (
	"math"
	"time"
)

const (
	// PriorProbability is the share of servers that are faulty as a rule.
	PriorProbability = 0.03

	// HealthyFailureRate is the share of attempts that fails by chance at any healthy server.
	HealthyFailureRate = 0.05

	// MaxLogOdds bounds a suspicion: more would take too long to decay.
	MaxLogOdds = 8.0

	// faultyFailureRate is the share of attempts that fails at a faulty server.
	faultyFailureRate = 0.7
)

// Suspicion is the logarithm of the odds that a server, or a zone, is faulty, above that of PriorProbability. It never
// falls under the prior: what succeeded before a server became faulty says nothing against it. This is the CUSUM of
// change detection. It decays without samples.
type Suspicion struct {
	LogOdds             float64 // above the prior's
	updated             time.Duration
	ConsecutiveFailures float64 // since the last success
}

// Observe counts an attempt that ended; failed is 1 for a failure and 0 for a success, and baseline is the share of
// attempts that fails at healthy servers.
func (s *Suspicion) Observe(now, decayTime time.Duration, failed, baseline float64) {
	baseline = max(baseline, HealthyFailureRate)
	faulty := max(faultyFailureRate, (1+baseline)/2)
	s.Decay(now, decayTime)
	ifFailed := math.Log(faulty / baseline)
	ifServed := math.Log((1 - faulty) / (1 - baseline))
	s.LogOdds += failed*ifFailed + (1-failed)*ifServed
	s.LogOdds = max(0, min(s.LogOdds, MaxLogOdds))
}

// Decay lets the log odds decay until now, to 1/e of them within decayTime.
func (s *Suspicion) Decay(now, decayTime time.Duration) {
	s.LogOdds *= math.Exp(-float64(now-s.updated) / float64(decayTime))
	s.updated = now
}

// Probability is that of being faulty.
func (s *Suspicion) Probability() float64 {
	return 1 / (1 + (1-PriorProbability)/PriorProbability*math.Exp(-s.LogOdds))
}
