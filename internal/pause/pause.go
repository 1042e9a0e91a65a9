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
	// settleTime is how long after a pause all that had come in it has been read.
	settleTime = 30 * time.Millisecond
	// pauseMemory is how long the worst pause counts at least; it is forgotten within twice as long.
	pauseMemory = 20 * time.Second
	// usualPause is how long pauses may be that are to be reckoned with once there has been one.
	usualPause = 150 * time.Millisecond
	// lateSlack is how late an answer may be: clients wait for a moment longer than they say.
	lateSlack = 40 * time.Millisecond
	// marginShare is the share of a client's wait that is given up for fear of pauses at the most.
	marginShare = 0.6
)

// StallTracker remembers the pauses of a process. The zero value knows none.
type StallTracker struct {
	latest        Interval
	worst, before time.Duration // the longest in this span of pauseMemory, and in the one before
	turned        time.Duration // when this span began
}

// Observe takes the times of two looks that follow one another, and tells whether there was a pause between.
// It is no pause if the process stood for so long that a [Module] tells it.
func (p *StallTracker) Observe(last, now time.Duration) bool {
	long := now - last
	if long < MinStall || long >= DefaultLimits.MinPause {
		return false
	}
	p.turn(now)
	p.latest = Interval{Start: last, End: now}
	p.worst = max(p.worst, long)
	return true
}

// turn begins a new span if the present one is over.
func (p *StallTracker) turn(now time.Duration) {
	switch spans := (now - p.turned) / pauseMemory; {
	case spans == 0:
		return
	case spans == 1:
		p.before = p.worst
	default:
		p.before = 0
	}
	p.worst, p.turned = 0, now
}

// Latest returns the latest pause, a zero Gap for none.
func (p *StallTracker) Latest() Interval { return p.latest }

// Worst returns the longest pause of late, zero for none.
func (p *StallTracker) Worst(now time.Duration) time.Duration {
	p.turn(now)
	return max(p.worst, p.before)
}

// SafetyMargin is how much sooner than its client's time is up a request is to be answered, so that one more pause
// makes no answer late. It is zero where there was none of late: what it costs is answers that would have come
// right before the end.
func (p *StallTracker) SafetyMargin(now, wait time.Duration) time.Duration {
	worst := p.Worst(now)
	if worst == 0 {
		return 0
	}
	return min(max(worst, usualPause)-lateSlack, time.Duration(marginShare*float64(wait)))
}

// DelayedByStall tells whether what was read may have come in a pause and waited for its end, and since when. A
// connection that was read clean since tells that nothing had come before.
func DelayedByStall(r ReadTiming, pause Interval) (since time.Duration, delayed bool) {
	if pause.End == 0 || r.Ended < pause.Start || r.Ended > pause.End+settleTime || r.DrainedAt >= pause.End {
		return 0, false
	}
	return max(pause.Start, r.DrainedAt), true
}
