package pause

import "time"

// This file estimates when the bytes that were read from a client arrived, and decides whether a request of
// that age may still be sent.

const (
	// acceptDelay is the time after a pause or a stall within which all waiting connections are accepted.
	acceptDelay = time.Second
	// kernelResolution is the resolution of the kernel's time since the last byte.
	kernelResolution = 10 * time.Millisecond
	// windowMargin is subtracted from a dedup window to allow for queueing and clock differences.
	windowMargin = 100 * time.Millisecond
)

// ReadTiming is the timing of a read from a client's connection. All times are on the monotonic clock.
type ReadTiming struct {
	DrainedAt time.Duration // last time before the read when everything that had arrived had been read, 0 for never
	Started   time.Duration // start of the call that read the bytes
	Ended     time.Duration // end of that call
}

// DrainedAfter returns the DrainedAt that applies after this read. A short read, which did not fill its buffer,
// has read everything that had arrived when it ended. If a pause lies within the read, this is certain only of
// what had arrived when the read started; if a stall does, only of what had arrived when the stall started, since
// the stall may have followed the actual read.
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
// now, zero for unknown. The connection may have waited to be accepted during the interval waited, or through
// the latest pause or stall.
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

// KernelInfo is what the kernel reports about a connection right after a read. The zero value stands for no
// information.
type KernelInfo struct {
	Known         bool
	SinceLastByte time.Duration // time since the last byte arrived
	SingleCommand bool          // what was read is one complete command, and nothing more has arrived
}

// Arrival is the range of times when the last byte of a command may have arrived. A running process reads bytes as
// soon as they arrive, so they have just arrived unless there was a pause in between. Bytes that are read after a
// pause may have arrived at any time since the pause began, or since the connection was last drained if that was
// later. Only the kernel knows more, and only about the latest byte.
type Arrival struct {
	Earliest, Latest time.Duration // on the monotonic clock
}

// Exact reports whether the time of arrival is known to within kernelResolution.
func (a Arrival) Exact() bool { return a.Latest-a.Earliest <= kernelResolution }

// EstimateArrival estimates when the bytes of a read arrived, given the latest pause. The monotonic clock does
// not count the time that the machine slept: bytes that arrived before the sleep are older by that time.
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

// Idempotency says whether a request may be executed twice.
type Idempotency uint8

// The kinds of requests.
const (
	Idempotent        Idempotency = iota // a second execution has no further effect
	IdempotentWithKey                    // nodes drop duplicates with the same key within the dedup window
	NotIdempotent                        // a second execution does harm
)

// AgeDecision says whether a request may be sent, given its age.
type AgeDecision struct {
	Reject     bool          // reject as busy: the request was never sent, so a retry is harmless
	SendBefore time.Duration // otherwise the request may be sent before this time on the monotonic clock
}

// DecideByAge decides whether a request may be sent whose client waits for timeout. window is the dedup window in
// which nodes drop duplicates of a request with a key.
//
// A request with side effects is assumed to be as old as it can be: its client may have retried elsewhere as soon as
// its timeout was over. If it has a key and its age is not known, it must also be sent before the nodes could forget
// a duplicate that was sent elsewhere right after the request arrived. An idempotent request is assumed to be as
// young as it can be, as a second execution does no harm.
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
