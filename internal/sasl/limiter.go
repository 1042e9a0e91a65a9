package sasl

import "time"

// Limits on the guesses of one source.
const (
	GuessBurst          = 8
	GuessRefillInterval = 2 * time.Second
	// maxSources bounds the sources that have their own bucket. All other sources share one bucket, so that a guesser
	// with many addresses cannot exhaust the memory.
	maxSources = 1024
)

// GuessLimiter decides which guesses are checked, with a token bucket for each source. It reads no clock, and is not
// safe for concurrent use.
type GuessLimiter struct {
	sources map[string]*guessBucket
	others  guessBucket
}

// guessBucket is the token bucket of a source.
type guessBucket struct {
	spent     float64 // guesses that have not been refilled
	updatedAt time.Time
}

// NewGuessLimiter returns a GuessLimiter with a full bucket for every source.
func NewGuessLimiter() *GuessLimiter { return &GuessLimiter{sources: make(map[string]*guessBucket)} }

// Allow takes one guess from the bucket of a source, and reports whether there was one.
func (l *GuessLimiter) Allow(now time.Time, source string) bool {
	a := l.find(now, source)
	a.refill(now)
	if a.spent+1 > GuessBurst {
		return false
	}
	a.spent++
	return true
}

// Refund returns a correct guess to the bucket, so that a client that logs in often is not limited.
func (l *GuessLimiter) Refund(now time.Time, source string) {
	a := l.find(now, source)
	a.refill(now)
	a.spent = max(a.spent-1, 0)
}

// find returns the bucket of a source, or the shared one if there are too many sources.
func (l *GuessLimiter) find(now time.Time, source string) *guessBucket {
	if a := l.sources[source]; a != nil {
		return a
	}
	if len(l.sources) >= maxSources {
		l.removeRefilled(now)
	}
	if len(l.sources) >= maxSources {
		return &l.others
	}
	a := &guessBucket{updatedAt: now}
	l.sources[source] = a
	return a
}

// removeRefilled removes the sources whose bucket is full again.
func (l *GuessLimiter) removeRefilled(now time.Time) {
	for source, a := range l.sources {
		a.refill(now)
		if a.spent == 0 {
			delete(l.sources, source)
		}
	}
}

// refill adds the guesses for the time since the last call.
func (a *guessBucket) refill(now time.Time) {
	refilled := float64(now.Sub(a.updatedAt)) / float64(GuessRefillInterval)
	a.spent = max(a.spent-refilled, 0)
	a.updatedAt = now
}
