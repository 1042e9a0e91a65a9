package pause

import "time"

// This file remembers stalls: a host that is short of processors causes them time and again. They make
// answers late, so while there have been some answers are due earlier.

const (
	// MinStall is the shortest time between two checks that counts as a stall. Periodic checks alone are
	// DefaultLimits.CheckInterval apart.
	MinStall = 65 * time.Millisecond
	// readDelay is how long after a stall everything that arrived in it has been read.
	readDelay = 30 * time.Millisecond
	// stallMemory is how long the worst stall counts at least; it is forgotten within twice as long.
	stallMemory = 20 * time.Second
	// minExpectedStall is the shortest stall to expect once there has been any.
	minExpectedStall = 150 * time.Millisecond
	// lateTolerance is how late an answer may be: clients wait for a moment longer than they say.
	lateTolerance = 40 * time.Millisecond
	// maxMarginShare is the largest share of a client's timeout that is given up for expected stalls.
	maxMarginShare = 0.6
)

// StallTracker remembers the stalls of a process. The zero value has seen none.
type StallTracker struct {
	latest        Interval
	currentWorst  time.Duration // in the present span of stallMemory
	previousWorst time.Duration // in the span before
	windowStart   time.Duration // of the present span
}

// Observe takes the times of two consecutive checks, and reports whether there was a stall between them. What
// is long enough for a [Detector] to report as a pause is not a stall.
func (t *StallTracker) Observe(last, now time.Duration) bool {
	duration := now - last
	if duration < MinStall || duration >= DefaultLimits.MinPause {
		return false
	}
	t.rotate(now)
	t.latest = Interval{Start: last, End: now}
	t.currentWorst = max(t.currentWorst, duration)
	return true
}

// rotate begins a new span of stallMemory if the present one is over.
func (t *StallTracker) rotate(now time.Duration) {
	switch spans := (now - t.windowStart) / stallMemory; {
	case spans == 0:
		return
	case spans == 1:
		t.previousWorst = t.currentWorst
	default:
		t.previousWorst = 0
	}
	t.currentWorst, t.windowStart = 0, now
}

// Latest returns the latest stall, the zero Interval for none.
func (t *StallTracker) Latest() Interval { return t.latest }

// Worst returns the length of the longest recent stall, zero for none.
func (t *StallTracker) Worst(now time.Duration) time.Duration {
	t.rotate(now)
	return max(t.currentWorst, t.previousWorst)
}

// SafetyMargin returns how long before its client's timeout a request must be answered so that one more stall
// of the recently observed length does not make the answer late. It is zero without recent stalls, as it
// costs answers that would have come right before the end.
func (t *StallTracker) SafetyMargin(now, timeout time.Duration) time.Duration {
	worst := t.Worst(now)
	if worst == 0 {
		return 0
	}
	return min(max(worst, minExpectedStall)-lateTolerance, time.Duration(maxMarginShare*float64(timeout)))
}

// DelayedByStall reports whether what was read may have arrived in a stall and waited for its end, and since
// when. If the connection was drained after the stall, nothing had arrived in it.
func DelayedByStall(read ReadTiming, stall Interval) (since time.Duration, delayed bool) {
	readInOrRightAfter := read.Ended >= stall.Start && read.Ended <= stall.End+readDelay
	if stall.End == 0 || !readInOrRightAfter || read.DrainedAt >= stall.End {
		return 0, false
	}
	return max(stall.Start, read.DrainedAt), true
}
