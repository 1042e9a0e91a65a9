package pause

import "time"

// This file holds what is known of pauses: times in which nothing of the process ran, too short to be a
// stop. A host that is short of processors makes them, time and again. Nothing that was decided before
// one is void after it, but whatever came meanwhile has waited unread, and whatever was due meanwhile is
// late.

const (
	// MinStall is the shortest time between two looks that is taken for a pause: ticks alone are
	// Usual.Tick apart.
	MinStall = 65 * time.Millisecond
	// readDelay is how long after a pause all that had come in it has been read.
	readDelay = 30 * time.Millisecond
	// stallMemory is how long the worst pause counts at least; it is forgotten within twice as long.
	stallMemory = 20 * time.Second
	// minExpectedStall is how long pauses may be that are to be reckoned with once there has been one.
	minExpectedStall = 150 * time.Millisecond
	// lateTolerance is how late an answer may be: clients wait for a moment longer than they say.
	lateTolerance = 40 * time.Millisecond
	// maxMarginShare is the share of a client's wait that is given up for fear of pauses at the most.
	maxMarginShare = 0.6
)

// StallTracker remembers the pauses of a process. The zero value knows none.
type StallTracker struct {
	latest                      Interval
	currentWorst, previousWorst time.Duration // the longest in this span of pauseMemory, and in the one before
	windowStart                 time.Duration // when this span began
}

// Observe takes the times of two looks that follow one another, and tells whether there was a pause between.
// It is no pause if the process stood for so long that a [Module] tells it.
func (p *StallTracker) Observe(last, now time.Duration) bool {
	long := now - last
	if long < MinStall || long >= DefaultLimits.MinPause {
		return false
	}
	p.rotate(now)
	p.latest = Interval{Start: last, End: now}
	p.currentWorst = max(p.currentWorst, long)
	return true
}

// rotate begins a new span if the present one is over.
func (p *StallTracker) rotate(now time.Duration) {
	switch spans := (now - p.windowStart) / stallMemory; {
	case spans == 0:
		return
	case spans == 1:
		p.previousWorst = p.currentWorst
	default:
		p.previousWorst = 0
	}
	p.currentWorst, p.windowStart = 0, now
}

// Latest returns the latest pause, a zero Gap for none.
func (p *StallTracker) Latest() Interval { return p.latest }

// Worst returns the longest pause of late, zero for none.
func (p *StallTracker) Worst(now time.Duration) time.Duration {
	p.rotate(now)
	return max(p.currentWorst, p.previousWorst)
}

// SafetyMargin is how much sooner than its client's time is up a request is to be answered, so that one more pause
// makes no answer late. It is zero where there was none of late: what it costs is answers that would have come
// right before the end.
func (p *StallTracker) SafetyMargin(now, wait time.Duration) time.Duration {
	worst := p.Worst(now)
	if worst == 0 {
		return 0
	}
	return min(max(worst, minExpectedStall)-lateTolerance, time.Duration(maxMarginShare*float64(wait)))
}

// DelayedByStall tells whether what was read may have come in a pause and waited for its end, and since when. A
// connection that was read clean since tells that nothing had come before.
func DelayedByStall(r ReadTiming, pause Interval) (since time.Duration, delayed bool) {
	if pause.End == 0 || r.Ended < pause.Start || r.Ended > pause.End+readDelay || r.DrainedAt >= pause.End {
		return 0, false
	}
	return max(pause.Start, r.DrainedAt), true
}
