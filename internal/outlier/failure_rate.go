package outlier

import (
	"math"
	"time"
)

// DecayTime is the time in which counts of failures decay to 1/e: a server that has recovered gets its share of
// requests back within a few times this.
const DecayTime = 3 * time.Second

// FailureRate counts the attempts that ended and those of them that failed. Both counts decay.
type FailureRate struct {
	Attempts, Failures float64
	updated            time.Duration
}

// Observe decays the counts until now with DecayTime, then adds attempts that ended, and the failures among them.
func (r *FailureRate) Observe(now time.Duration, attempts, failures float64) {
	r.Decay(now, DecayTime)
	r.Attempts += attempts
	r.Failures += failures
}

// Decay decays the counts until now, to 1/e within decayTime.
func (r *FailureRate) Decay(now, decayTime time.Duration) {
	if now == r.updated {
		return
	}
	retention := math.Exp(-float64(now-r.updated) / float64(decayTime))
	r.Attempts *= retention
	r.Failures *= retention
	r.updated = now
}

// Rate returns the share of attempts that failed. It adds one success to the counts, so that few attempts give a lower
// estimate.
func (r *FailureRate) Rate() float64 { return r.Failures / (r.Attempts + 1) }
