// Package outlier estimates from few events whether something is sick: how often the well fail, and how
// the odds of one move with what is seen of it. It does no I/O and reads no clock.
//
// What it guarantees:
//  1. Odds never fall under what is assumed of any (Prior), and rise by MostAbove at the most.
//  2. Without samples they fade, and a Share with them; no sample counts for ever.
//  3. The zero values are of something of which nothing is known.
//
// It decides nothing: what counts as a failure, and what follows from the odds, is package policy's.
package outlier

import (
	"math"
	"time"
)

const (
	// DecayTime is that of failures: a server that is well again gets its part back within some.
	DecayTime = 3 * time.Second
	// PriorProbability is the share of servers that are sick as a rule.
	PriorProbability = 0.03
	// HealthyFailureRate fails at any well one: chance.
	HealthyFailureRate = 0.05
	// MaxLogOdds bounds a suspicion: more would take too long to fade.
	MaxLogOdds = 8.0
	sickShare  = 0.7 // of what a sick one is asked that fails
)

// FailureRate counts attempts that ended and those of them that failed, both fading.
type FailureRate struct {
	Attempts, Failures float64
	at                 time.Duration
}

// Observe enters attempts that ended, and those of them that failed.
func (h *FailureRate) Observe(now time.Duration, ended, failed float64) {
	h.Decay(now, DecayTime)
	h.Attempts, h.Failures = h.Attempts+ended, h.Failures+failed
}

// Decay forgets with time, all of it by 1/e within memory.
func (h *FailureRate) Decay(now, memory time.Duration) {
	if now != h.at {
		fade := math.Exp(-float64(now-h.at) / float64(memory))
		h.Attempts, h.Failures, h.at = h.Attempts*fade, h.Failures*fade, now
	}
}

// Rate is the share that failed; of few it is taken for smaller.
func (h *FailureRate) Rate() float64 { return h.Failures / (h.Attempts + 1) }

// Suspicion is the logarithm of the odds that a server, or a zone, is of the sick kind, above
// what is assumed of any. It never falls under that: what went well before a server fell
// sick says nothing against it (the CUSUM of change detection). It fades without samples.
type Suspicion struct {
	LogOdds             float64
	at                  time.Duration
	ConsecutiveFailures float64 // failures since the last one that went well
}

// Observe counts an attempt that ended, where rest of what the well are asked fails.
func (s *Suspicion) Observe(now, memory time.Duration, failed, rest float64) {
	rest = max(rest, HealthyFailureRate)
	bad := max(sickShare, (1+rest)/2)
	s.Decay(now, memory)
	s.LogOdds += failed*math.Log(bad/rest) + (1-failed)*math.Log((1-bad)/(1-rest))
	s.LogOdds = max(0, min(s.LogOdds, MaxLogOdds))
}

// Decay forgets with time.
func (s *Suspicion) Decay(now, memory time.Duration) {
	s.LogOdds, s.at = s.LogOdds*math.Exp(-float64(now-s.at)/float64(memory)), now
}

// Probability is that of being sick.
func (s *Suspicion) Probability() float64 {
	return 1 / (1 + (1-PriorProbability)/PriorProbability*math.Exp(-s.LogOdds))
}
