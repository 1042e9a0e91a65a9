package pause

import "time"

// This file tracks stalls. A host that is short of processors causes them repeatedly, and each makes responses
// late. After recent stalls, responses are therefore due earlier by a safety margin.

const (
	// MinStall is the shortest time between two checks that counts as a stall. Periodic checks alone are
	// DefaultLimits.CheckInterval apart.
	MinStall = 65 * time.Millisecond
	// readDelay is the time after a stall within which everything that arrived during it is read.
	readDelay = 30 * time.Millisecond
	// stallMemory is the shortest time for which the worst stall counts; it is forgotten after twice as long at most.
	stallMemory = 20 * time.Second
	// minExpectedStall is the shortest stall to expect after any recent one.
	minExpectedStall = 150 * time.Millisecond
	// lateTolerance is how late a response may be: clients wait slightly longer than their stated timeout.
	lateTolerance = 40 * time.Millisecond
	// maxMarginShare is the largest share of a client's timeout that the safety margin may take.
	maxMarginShare = 0.6
)

// StallTracker tracks the stalls of a process. The zero value is ready for use and has observed none.
type StallTracker struct {
	latest        Interval
	currentWorst  time.Duration // longest stall in the present span of stallMemory
	previousWorst time.Duration // longest stall in the span before
	spanStart     time.Duration // start of the present span
}

// Observe records the times of two consecutive checks, and reports whether there was a stall between them. A
// time that is long enough for a [Detector] to report it as a pause is not a stall.
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

// rotate starts a new span of stallMemory if the present one is over.
func (t *StallTracker) rotate(now time.Duration) {
	switch spans := (now - t.spanStart) / stallMemory; {
	case spans == 0:
		return
	case spans == 1:
		t.previousWorst = t.currentWorst
	default:
		t.previousWorst = 0
	}
	t.currentWorst, t.spanStart = 0, now
}

// Latest returns the latest stall, the zero Interval for none.
func (t *StallTracker) Latest() Interval { return t.latest }

// Worst returns the length of the longest recent stall, zero for none.
func (t *StallTracker) Worst(now time.Duration) time.Duration {
	t.rotate(now)
	return max(t.currentWorst, t.previousWorst)
}

// SafetyMargin returns how long before its client's timeout a request must be answered so that one more stall
// of the longest recent length does not make the response late. It is zero without recent stalls, as a margin
// loses responses that would have arrived just before the timeout.
func (t *StallTracker) SafetyMargin(now, timeout time.Duration) time.Duration {
	worst := t.Worst(now)
	if worst == 0 {
		return 0
	}
	return min(max(worst, minExpectedStall)-lateTolerance, time.Duration(maxMarginShare*float64(timeout)))
}

// DelayedByStall reports whether the bytes of a read may have arrived during a stall and waited for its end, and
// since when they may have waited. If the connection was drained after the stall, no bytes have.
func DelayedByStall(read ReadTiming, stall Interval) (since time.Duration, delayed bool) {
	readInOrRightAfter := read.Ended >= stall.Start && read.Ended <= stall.End+readDelay
	if stall.End == 0 || !readInOrRightAfter || read.DrainedAt >= stall.End {
		return 0, false
	}
	return max(stall.Start, read.DrainedAt), true
}
