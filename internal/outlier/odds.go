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
	// Memory is that of failures: a server that is well again gets its part back within some.
	Memory = 3 * time.Second
	// Prior is the share of servers that are sick as a rule.
	Prior = 0.03
	// WellShare fails at any well one: chance.
	WellShare = 0.05
	// MostAbove bounds a suspicion: more would take too long to fade.
	MostAbove = 8.0
	sickShare = 0.7 // of what a sick one is asked that fails
)

// Share counts attempts that ended and those of them that failed, both fading.
type Share struct {
	Ended, Failed float64
	at            time.Duration
}

// Count enters attempts that ended, and those of them that failed.
func (h *Share) Count(now time.Duration, ended, failed float64) {
	h.Fade(now, Memory)
	h.Ended, h.Failed = h.Ended+ended, h.Failed+failed
}

// Fade forgets with time, all of it by 1/e within memory.
func (h *Share) Fade(now, memory time.Duration) {
	if now != h.at {
		fade := math.Exp(-float64(now-h.at) / float64(memory))
		h.Ended, h.Failed, h.at = h.Ended*fade, h.Failed*fade, now
	}
}

// Of is the share that failed; of few it is taken for smaller.
func (h *Share) Of() float64 { return h.Failed / (h.Ended + 1) }

// Odds is the logarithm of the odds that a server, or a zone, is of the sick kind, above
// what is assumed of any. It never falls under that: what went well before a server fell
// sick says nothing against it (the CUSUM of change detection). It fades without samples.
type Odds struct {
	Above float64
	at    time.Duration
	Row   float64 // failures since the last one that went well
}

// Add counts an attempt that ended, where rest of what the well are asked fails.
func (s *Odds) Add(now, memory time.Duration, failed, rest float64) {
	rest = max(rest, WellShare)
	bad := max(sickShare, (1+rest)/2)
	s.Fade(now, memory)
	s.Above += failed*math.Log(bad/rest) + (1-failed)*math.Log((1-bad)/(1-rest))
	s.Above = max(0, min(s.Above, MostAbove))
}

// Fade forgets with time.
func (s *Odds) Fade(now, memory time.Duration) {
	s.Above, s.at = s.Above*math.Exp(-float64(now-s.at)/float64(memory)), now
}

// Chance is that of being sick.
func (s *Odds) Chance() float64 {
	return 1 / (1 + (1-Prior)/Prior*math.Exp(-s.Above))
}
