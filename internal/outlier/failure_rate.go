package outlier

import (
	"math"
	"time"
)

// DecayTime is the time in which counts of failures fall to 1/e: a server that has recovered gets its share of requests
// back within some of it.
const DecayTime = 3 * time.Second

// FailureRate counts attempts that ended, and of them those that failed. Both decay.
type FailureRate struct {
	Attempts, Failures float64
	updated            time.Duration
}

// Observe counts attempts that ended, and of them those that failed.
func (r *FailureRate) Observe(now time.Duration, attempts, failures float64) {
	r.Decay(now, DecayTime)
	r.Attempts += attempts
	r.Failures += failures
}

// Decay lets the counts decay until now, to 1/e of them within decayTime.
func (r *FailureRate) Decay(now, decayTime time.Duration) {
	if now == r.updated {
		return
	}
	retention := math.Exp(-float64(now-r.updated) / float64(decayTime))
	r.Attempts *= retention
	r.Failures *= retention
	r.updated = now
}

// Rate is the share that failed; of few attempts it is estimated lower.
func (r *FailureRate) Rate() float64 { return r.Failures / (r.Attempts + 1) }
