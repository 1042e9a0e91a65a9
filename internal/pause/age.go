package pause

import "time"

// This file holds how old what was read may be, and what becomes of a request of such an age.

// Effect is what carrying out a request twice would do.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // nothing
	Keyed                // nothing within the window in which nodes drop its repeats
	Unsafe               // harm
)

// Read is how bytes came from a client: the last time at which everything that had come was
// taken, zero for never, and when the call that brought them began and ended.
type Read struct{ Clean, Began, Ended time.Duration }

// CleanAfter is the time at which all that had come was taken, behind a read: a short one took
// all that there was, at its end, or at its beginning at the latest if a stop lay within. A pause within
// it may have followed upon the read itself.
func (r Read) CleanAfter(short bool, gap, pause Gap) time.Duration {
	switch {
	case !short:
		return r.Clean
	case gap.To > r.Began:
		return max(r.Clean, r.Began)
	case pause.To > r.Began:
		return max(r.Clean, min(pause.From, r.Ended))
	}
	return r.Ended
}

// acceptTime is how long after a stop or a pause all that waited to be accepted has been.
const acceptTime = time.Second

// CleanAtAccept is the time before which nothing can have come on a connection that was accepted now, zero for
// never: it may have waited for that itself, or through the latest stop or pause.
func CleanAtAccept(now time.Duration, waited, stop, pause Gap) time.Duration {
	switch {
	case stop.To > 0 && now-stop.To <= acceptTime:
		return 0
	case waited.To > 0:
		return waited.From
	case pause.To > 0 && now-pause.To <= acceptTime:
		return pause.From
	}
	return now
}

// Kernel is what the kernel says of a connection right behind a read.
type Kernel struct {
	Known bool
	Age   time.Duration // since the last byte came
	Alone bool          // what was read is one whole command, and no more waits
}

// kernelGrain is how coarsely the kernel counts such ages.
const kernelGrain = 10 * time.Millisecond

// Age is how old the last byte of a command may be. Those who are at work read at once: so what
// was read is as old as its reading, unless a stop lay between. Then it may have come at any
// time since the stop began, or since the connection was last read clean if that was later. Only
// the kernel can know more, and it knows of the latest byte alone.
type Age struct {
	Oldest time.Duration // when it may have come at the earliest
	Latest time.Duration // and at the latest
}

// Exact tells whether it is known when it came.
func (a Age) Exact() bool { return a.Latest-a.Oldest <= kernelGrain }

// AgeOf works out how old what was read is, after the latest stop.
func AgeOf(r Read, gap Gap, k Kernel) Age {
	if gap.To == 0 || r.Clean >= gap.To {
		return Age{r.Ended, r.Ended}
	}
	// The machine's sleep is not on the clock that everything else is measured by: what came
	// before it is older by that.
	oldest := max(gap.From-gap.Asleep, 0)
	if r.Clean > gap.From {
		oldest = r.Clean
	}
	a := Age{min(oldest, r.Ended), r.Ended}
	if k.Known {
		a.Latest = max(a.Oldest, r.Ended-k.Age)
		if k.Alone {
			a.Oldest = max(a.Oldest, a.Latest-kernelGrain)
		}
	}
	return a
}

// Verdict is what becomes of a request.
type Verdict struct {
	Refuse bool          // as busy, at once: it was never sent, and trying again is harmless
	Until  time.Duration // else it may be sent until then
}

// margin is left of a window for queues, and for clocks that differ.
const margin = 100 * time.Millisecond

// Judge decides on a request of an age, whose client said that it waits so long (window is that
// in which nodes drop its repeats, for keyed ones). What may change something counts as old as
// it may be: its client may have asked elsewhere as soon as its time was up. If its age is not
// known, nor may it be sent later than a repeat that was begun at once elsewhere would be
// forgotten. Reads count as young as they may be: a second one harms nobody.
func Judge(now time.Duration, effect Effect, wait, window time.Duration, a Age) Verdict {
	if effect == Safe {
		until := a.Latest + wait
		return Verdict{Refuse: now >= until, Until: until}
	}
	until := a.Oldest + wait
	if effect == Keyed && !a.Exact() && window > 0 {
		until = min(until, a.Oldest+window-margin)
	}
	return Verdict{Refuse: now >= until, Until: until}
}
