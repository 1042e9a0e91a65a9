package sasl

import "time"

// How often one source may guess.
const (
	GuessBurst          = 8
	GuessRefillInterval = 2 * time.Second
	// maxSources bounds the sources that are remembered. All others share one allowance: a guesser with many
	// addresses must not use up the memory.
	maxSources = 1024
)

// GuessLimiter decides which guesses are checked. It reads no clock, and is not safe for concurrent use.
type GuessLimiter struct {
	sources map[string]*allowance
	others  allowance
}

// allowance is what a source may guess: a token bucket.
type allowance struct {
	spent     float64 // guesses
	updatedAt time.Time
}

// NewGuessLimiter returns a GuessLimiter that has seen no guess.
func NewGuessLimiter() *GuessLimiter { return &GuessLimiter{sources: make(map[string]*allowance)} }

// Allow takes one guess off a source's allowance, and reports whether there was one.
func (l *GuessLimiter) Allow(now time.Time, source string) bool {
	a := l.find(now, source)
	a.refill(now)
	if a.spent+1 > GuessBurst {
		return false
	}
	a.spent++
	return true
}

// Refund gives back what a guess took that was right: a client that logs in over and over is no guesser.
func (l *GuessLimiter) Refund(now time.Time, source string) {
	a := l.find(now, source)
	a.refill(now)
	a.spent = max(a.spent-1, 0)
}

// find returns the allowance of a source, or that of all others if too many are remembered.
func (l *GuessLimiter) find(now time.Time, source string) *allowance {
	if a := l.sources[source]; a != nil {
		return a
	}
	if len(l.sources) >= maxSources {
		l.forgetRefilled(now)
	}
	if len(l.sources) >= maxSources {
		return &l.others
	}
	a := &allowance{updatedAt: now}
	l.sources[source] = a
	return a
}

// forgetRefilled forgets the sources whose allowance is full again.
func (l *GuessLimiter) forgetRefilled(now time.Time) {
	for source, a := range l.sources {
		a.refill(now)
		if a.spent == 0 {
			delete(l.sources, source)
		}
	}
}

// refill gives back what the time since the last call allows.
func (a *allowance) refill(now time.Time) {
	refilled := float64(now.Sub(a.updatedAt)) / float64(GuessRefillInterval)
	a.spent = max(a.spent-refilled, 0)
	a.updatedAt = now
}
