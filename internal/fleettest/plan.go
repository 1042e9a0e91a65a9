package fleettest

import "time"

// This file holds what a rehearsal's client decides, without I/O or clock.

// ending is how a try ended, as its client saw it.
type ending uint8

const (
	served   ending = iota
	refused         // busy: trying again is harmless
	failed          // any other answer: promises nothing
	silent          // no answer in the time of the try
	crossed         // a kept connection was closed as the request went out
	unopened        // no connection came up, nothing was sent
)

// kind is a class of requests as a client has it.
type kind struct {
	name     string
	write    bool
	aim      time.Duration
	deadline time.Duration
	window   time.Duration // of a write: its repeats are dropped for so long
}

// margin is what a client leaves of the window for clocks and queues: a try that
// is under way may begin at a node as late as its own wait.
const margin = 100 * time.Millisecond

// plan is a request's course over its tries.
type plan struct {
	kind    kind
	retries int           // at most
	pause   time.Duration // before a retry
	honour  bool          // it waits as long as a refusal says

	tries    int
	mayRun   bool          // an earlier try may have run
	firstOut time.Duration // when the first such was sent
	lastOut  time.Duration // when the last try was sent
}

// next tells whether a further try is made after one that ended so at time now
// (times count from the request's beginning), after which pause, and how long
// that try may wait at the most. advice is a refusal's.
//
// A write whose earlier try may have run is tried again only while its repeats
// are surely dropped, and with a wait that ends before they are not: after that
// only its client could say whether it was done.
func (p *plan) next(now time.Duration, as ending, advice time.Duration) (again bool, pause, most time.Duration) {
	switch as {
	case served:
		return false, 0, 0
	case failed, silent, crossed:
		if !p.mayRun {
			p.mayRun, p.firstOut = true, p.lastOut
		}
	}
	if as != crossed && as != unopened { // those are no tries of the client's patience
		if p.tries++; p.tries > p.retries {
			return false, 0, 0
		}
		pause = p.pause
	}
	if as == refused && p.honour {
		pause = max(pause, advice)
	}
	most = p.kind.deadline - now - pause
	if p.kind.write && p.mayRun {
		most = min(most, p.firstOut+p.kind.window-margin-now-pause)
	}
	if most < leastWait {
		return false, 0, 0
	}
	return true, pause, most
}
