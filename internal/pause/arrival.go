package pause

import "time"

// This file estimates when the bytes that were read from a client arrived, and decides what becomes of a
// request of that age.

const (
	// acceptDelay is how long after a pause or a stall all connections that waited have been accepted.
	acceptDelay = time.Second
	// kernelResolution is how coarsely the kernel counts the time since the last byte.
	kernelResolution = 10 * time.Millisecond
	// windowMargin is kept of a window for queues, and for clocks that differ.
	windowMargin = 100 * time.Millisecond
)

// ReadTiming is how bytes were read from a client's connection. All times are by the monotonic clock.
type ReadTiming struct {
	DrainedAt time.Duration // when everything that had arrived was last read, zero for never
	Started   time.Duration // of the call that read the bytes
	Ended     time.Duration
}

// DrainedAfter returns when everything that had arrived was last read, after this read. A short one has read
// all that there was at its end, or, if a pause lies within it, at its start at the latest. A stall within it
// may have followed the read itself.
func (r ReadTiming) DrainedAfter(short bool, lastPause, lastStall Interval) time.Duration {
	switch {
	case !short:
		return r.DrainedAt
	case lastPause.End > r.Started:
		return max(r.DrainedAt, r.Started)
	case lastStall.End > r.Started:
		return max(r.DrainedAt, min(lastStall.Start, r.Ended))
	}
	return r.Ended
}

// DrainedAtAccept returns the time before which no bytes can have arrived on a connection that was accepted
// now, zero for unknown: it may have waited for that during the interval waited, or through the latest pause
// or stall.
func DrainedAtAccept(now time.Duration, waited, lastPause, lastStall Interval) time.Duration {
	switch {
	case lastPause.End > 0 && now-lastPause.End <= acceptDelay:
		return 0
	case waited.End > 0:
		return waited.Start
	case lastStall.End > 0 && now-lastStall.End <= acceptDelay:
		return lastStall.Start
	}
	return now
}

// KernelInfo is what the kernel reports of a connection right after a read.
type KernelInfo struct {
	Known         bool
	SinceLastByte time.Duration // since the last byte arrived
	SingleCommand bool          // what was read is one complete command, and nothing more has arrived
}

// Arrival is when the last byte of a command may have arrived. A process that runs reads at once, so what it
// reads has just arrived, unless a pause lies between. Then it may have arrived at any time since the pause
// began, or since the connection was last drained if that was later. Only the kernel can know more, and it
// knows of the latest byte alone.
type Arrival struct {
	Earliest, Latest time.Duration // by the monotonic clock
}

// Exact reports whether the time of arrival is known.
func (a Arrival) Exact() bool { return a.Latest-a.Earliest <= kernelResolution }

// EstimateArrival estimates when the bytes of a read arrived, given the latest pause. The machine's sleep is
// not on the clock that everything is measured by: what arrived before it is older by as much.
func EstimateArrival(read ReadTiming, lastPause Interval, kernel KernelInfo) Arrival {
	if lastPause.End == 0 || read.DrainedAt >= lastPause.End {
		return Arrival{read.Ended, read.Ended}
	}
	earliest := max(lastPause.Start-lastPause.Slept, 0)
	if read.DrainedAt > lastPause.Start {
		earliest = read.DrainedAt
	}
	arrival := Arrival{min(earliest, read.Ended), read.Ended}
	if kernel.Known {
		arrival.Latest = max(arrival.Earliest, read.Ended-kernel.SinceLastByte)
		if kernel.SingleCommand {
			arrival.Earliest = max(arrival.Earliest, arrival.Latest-kernelResolution)
		}
	}
	return arrival
}

// Idempotency is what executing a request twice would do.
type Idempotency uint8

// The kinds of requests.
const (
	Idempotent        Idempotency = iota // it changes nothing
	IdempotentWithKey                    // nothing within the window in which nodes drop its repeats
	NotIdempotent                        // harm
)

// AgeDecision is what becomes of a request because of its age.
type AgeDecision struct {
	Reject     bool          // as busy, at once: it was never sent, and a retry is harmless
	SendBefore time.Duration // else it may be sent until then, by the monotonic clock
}

// DecideByAge decides on a request that may have arrived at a time, whose client waits for timeout. window is
// the time in which nodes drop its repeats, if it has a key.
//
// A request with side effects counts as old as it may be: its client may have retried elsewhere as soon as
// its timeout was over. If its age is not known, it must not be sent either when a repeat that was started at
// once elsewhere would be forgotten. Idempotent requests count as young as they may be: a second one harms
// nobody.
func DecideByAge(
	now time.Duration, idempotency Idempotency, timeout, window time.Duration, arrival Arrival,
) AgeDecision {
	sendBefore := arrival.Earliest + timeout
	switch {
	case idempotency == Idempotent:
		sendBefore = arrival.Latest + timeout
	case idempotency == IdempotentWithKey && !arrival.Exact() && window > 0:
		sendBefore = min(sendBefore, arrival.Earliest+window-windowMargin)
	}
	return AgeDecision{Reject: now >= sendBefore, SendBefore: sendBefore}
}
