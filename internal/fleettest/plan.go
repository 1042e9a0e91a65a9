package fleettest

import "time"

// This file holds what a rehearsal's client decides, without I/O or clock.

// outcome is how a try ended, as its client saw it.
type outcome uint8

const (
	served   outcome = iota
	refused         // busy: trying again is harmless
	failed          // any other answer: promises nothing
	timedOut          // no answer in the time of the try
	crossedClose         // a kept connection was closed as the request went out
	notConnected        // no connection came up, nothing was sent
)

// requestClass is a class of requests as a client has it.
type requestClass struct {
	name     string
	isWrite    bool
	latencyObjective      time.Duration
	deadline time.Duration
	dedupWindow   time.Duration // of a write: its repeats are dropped for so long
}

// safetyMargin is what a client leaves of the window for clocks and queues: a try that
// is under way may begin at a node as late as its own wait.
const safetyMargin = 100 * time.Millisecond

// retryState is a request's course over its tries.
type retryState struct {
	class    requestClass
	maxRetries int           // at most
	backoff   time.Duration // before a retry
	honoursRetryAfter  bool          // it waits as long as a refusal says

	attempts    int
	mayHaveRun   bool          // an earlier try may have run
	firstPossibleRun time.Duration // when the first such was sent
	lastSent  time.Duration // when the last try was sent
}

// next tells whether a further try is made after one that ended so at time now
// (times count from the request's beginning), after which pause, and how long
// that try may wait at the most. advice is a refusal's.
//
// A write whose earlier try may have run is tried again only while its repeats
// are surely dropped, and with a wait that ends before they are not: after that
// only its client could say whether it was done.
func (p *retryState) next(now time.Duration, as outcome, advice time.Duration) (again bool, pause, most time.Duration) {
	switch as {
	case served:
		return false, 0, 0
	case failed, timedOut, crossedClose:
		if !p.mayHaveRun {
			p.mayHaveRun, p.firstPossibleRun = true, p.lastSent
		}
	}
	if as != crossedClose && as != notConnected { // those are no tries of the client's patience
		if p.attempts++; p.attempts > p.maxRetries {
			return false, 0, 0
		}
		pause = p.backoff
	}
	if as == refused && p.honoursRetryAfter {
		pause = max(pause, advice)
	}
	most = p.class.deadline - now - pause
	if p.class.isWrite && p.mayHaveRun {
		most = min(most, p.firstPossibleRun+p.class.dedupWindow-safetyMargin-now-pause)
	}
	if most < minWait {
		return false, 0, 0
	}
	return true, pause, most
}
