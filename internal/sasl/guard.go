package sasl

import "time"

// How often may be guessed from one source.
const (
	GuessBurst          = 8
	GuessRefillInterval = 2 * time.Second
	// Sources that are remembered. Past them all others share one allowance: a
	// guesser with many addresses must not take the memory of all.
	maxSources = 1024
)

// GuessLimiter says whether a guess is looked at. It reads no clock, and is not safe for
// concurrent use.
type GuessLimiter struct {
	sources map[string]*allowance
	others  allowance
}

type allowance struct {
	spent     float64
	updatedAt time.Time
}

// NewGuessLimiter returns a Guard that has seen nothing.
func NewGuessLimiter() *GuessLimiter { return &GuessLimiter{sources: make(map[string]*allowance)} }

// Allow takes one guess off a source's allowance, and tells whether there was one.
func (g *GuessLimiter) Allow(now time.Time, source string) bool {
	a := g.find(now, source)
	a.refill(now)
	if a.spent+1 > GuessBurst {
		return false
	}
	a.spent++
	return true
}

// Refund gives back what a guess took that was right: a till that comes back over and
// over is no guesser.
func (g *GuessLimiter) Refund(now time.Time, source string) {
	a := g.find(now, source)
	a.refill(now)
	a.spent = max(a.spent-1, 0)
}

func (g *GuessLimiter) find(now time.Time, source string) *allowance {
	if a := g.sources[source]; a != nil {
		return a
	}
	if len(g.sources) >= maxSources {
		for name, a := range g.sources {
			if a.refill(now); a.spent == 0 {
				delete(g.sources, name)
			}
		}
		if len(g.sources) >= maxSources {
			return &g.others
		}
	}
	a := &allowance{updatedAt: now}
	g.sources[source] = a
	return a
}

func (a *allowance) refill(now time.Time) {
	a.spent = max(a.spent-float64(now.Sub(a.updatedAt))/float64(GuessRefillInterval), 0)
	a.updatedAt = now
}
