package pause

import "time"

// This file holds how old what was read may be, and what becomes of a request of such an age.

// Idempotency is what carrying out a request twice would do.
type Idempotency uint8

// The effects.
const (
	Idempotent        Idempotency = iota // nothing
	IdempotentWithKey                    // nothing within the window in which nodes drop its repeats
	NotIdempotent                        // harm
)

// ReadTiming is how bytes came from a client: the last time at which everything that had come was
// taken, zero for never, and when the call that brought them began and ended.
type ReadTiming struct{ DrainedAt, Started, Ended time.Duration }

// DrainedAfter is the time at which all that had come was taken, behind a read: a short one took
// all that there was, at its end, or at its beginning at the latest if a stop lay within. A pause within
// it may have followed upon the read itself.
func (r ReadTiming) DrainedAfter(short bool, gap, pause Interval) time.Duration {
	switch {
	case !short:
		return r.DrainedAt
	case gap.End > r.Started:
		return max(r.DrainedAt, r.Started)
	case pause.End > r.Started:
		return max(r.DrainedAt, min(pause.Start, r.Ended))
	}
	return r.Ended
}

// acceptDelay is how long after a stop or a pause all that waited to be accepted has been.
const acceptDelay = time.Second

// DrainedAtAccept is the time before which nothing can have come on a connection that was accepted now, zero for
// never: it may have waited for that itself, or through the latest stop or pause.
func DrainedAtAccept(now time.Duration, waited, stop, pause Interval) time.Duration {
	switch {
	case stop.End > 0 && now-stop.End <= acceptDelay:
		return 0
	case waited.End > 0:
		return waited.Start
	case pause.End > 0 && now-pause.End <= acceptDelay:
		return pause.Start
	}
	return now
}

// KernelInfo is what the kernel says of a connection right behind a read.
type KernelInfo struct {
	Known         bool
	SinceLastByte time.Duration // since the last byte came
	SingleCommand bool          // what was read is one whole command, and no more waits
}

// kernelResolution is how coarsely the kernel counts such ages.
const kernelResolution = 10 * time.Millisecond

// Arrival is how old the last byte of a command may be. Those who are at work read at once: so what
// was read is as old as its reading, unless a stop lay between. Then it may have come at any
// time since the stop began, or since the connection was last read clean if that was later. Only
// the kernel can know more, and it knows of the latest byte alone.
type Arrival struct {
	Earliest time.Duration // when it may have come at the earliest
	Latest   time.Duration // and at the latest
}

// Exact tells whether it is known when it came.
func (a Arrival) Exact() bool { return a.Latest-a.Earliest <= kernelResolution }

// EstimateArrival works out how old what was read is, after the latest stop.
func EstimateArrival(r ReadTiming, gap Interval, k KernelInfo) Arrival {
	if gap.End == 0 || r.DrainedAt >= gap.End {
		return Arrival{r.Ended, r.Ended}
	}
	// The machine's sleep is not on the clock that everything else is measured by: what came
	// before it is older by that.
	oldest := max(gap.Start-gap.Slept, 0)
	if r.DrainedAt > gap.Start {
		oldest = r.DrainedAt
	}
	a := Arrival{min(oldest, r.Ended), r.Ended}
	if k.Known {
		a.Latest = max(a.Earliest, r.Ended-k.SinceLastByte)
		if k.SingleCommand {
			a.Earliest = max(a.Earliest, a.Latest-kernelResolution)
		}
	}
	return a
}

// AgeDecision is what becomes of a request.
type AgeDecision struct {
	Reject     bool          // as busy, at once: it was never sent, and trying again is harmless
	SendBefore time.Duration // else it may be sent until then
}

// windowMargin is left of a window for queues, and for clocks that differ.
const windowMargin = 100 * time.Millisecond

// DecideByAge decides on a request of an age, whose client said that it waits so long (window is that
// in which nodes drop its repeats, for keyed ones). What may change something counts as old as
// it may be: its client may have asked elsewhere as soon as its time was up. If its age is not
// known, nor may it be sent later than a repeat that was begun at once elsewhere would be
// forgotten. Reads count as young as they may be: a second one harms nobody.
func DecideByAge(now time.Duration, effect Idempotency, wait, window time.Duration, a Arrival) AgeDecision {
	if effect == Idempotent {
		until := a.Latest + wait
		return AgeDecision{Reject: now >= until, SendBefore: until}
	}
	until := a.Earliest + wait
	if effect == IdempotentWithKey && !a.Exact() && window > 0 {
		until = min(until, a.Earliest+window-windowMargin)
	}
	return AgeDecision{Reject: now >= until, SendBefore: until}
}
