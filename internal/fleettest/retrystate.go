package fleettest

import "time"

// outcome is how an attempt ended, as its client saw it.
type outcome uint8

// The outcomes.
const (
	served       outcome = iota
	refused              // busy: trying again is harmless
	failed               // any other answer, which promises nothing
	timedOut             // no answer in the attempt's time
	crossedClose         // an idle connection was closed as the request was sent
	notConnected         // no connection came up; nothing was sent
)

// requestClass is a class of requests as clients have it.
type requestClass struct {
	name             string
	isWrite          bool
	latencyObjective time.Duration
	deadline         time.Duration
	dedupWindow      time.Duration // of writes: nodes drop repeats for so long
}

const (
	// safetyMargin is the part of the deduplication window that is left for clocks and queues: an attempt may start at
	// a node as late as its own wait ends.
	safetyMargin = 100 * time.Millisecond
	// minWait is the time that an attempt needs at least to be worth sending.
	minWait = 50 * time.Millisecond
)

// retryState decides whether a request is retried, without I/O and clock. Times count from the request's start.
type retryState struct {
	class             requestClass
	maxRetries        int
	backoff           time.Duration
	honoursRetryAfter bool

	attempts         int
	mayHaveRun       bool
	firstPossibleRun time.Duration // when the first attempt that may have run was sent
	lastSent         time.Duration
}

// retryDecision says what follows an attempt. The zero value is no further attempt.
type retryDecision struct {
	again   bool
	backoff time.Duration
	maxWait time.Duration // of the next attempt
}

// next decides what follows an attempt that ended at now. retryAfter is a refusal's advice.
//
// A write that may have run is sent again only while its repeats are surely dropped, with a wait that ends before they
// are not: after that only its client could find out whether it was carried out.
func (s *retryState) next(now time.Duration, as outcome, retryAfter time.Duration) retryDecision {
	var d retryDecision
	switch as {
	case served:
		return retryDecision{}
	case failed, timedOut, crossedClose:
		if !s.mayHaveRun {
			s.mayHaveRun = true
			s.firstPossibleRun = s.lastSent
		}
	}
	if as != crossedClose && as != notConnected { // a real client does not count those
		s.attempts++
		if s.attempts > s.maxRetries {
			return retryDecision{}
		}
		d.backoff = s.backoff
	}
	if as == refused && s.honoursRetryAfter {
		d.backoff = max(d.backoff, retryAfter)
	}
	d.maxWait = s.class.deadline - now - d.backoff
	if s.class.isWrite && s.mayHaveRun {
		windowLeft := s.firstPossibleRun + s.class.dedupWindow - safetyMargin - now - d.backoff
		d.maxWait = min(d.maxWait, windowLeft)
	}
	if d.maxWait < minWait {
		return retryDecision{}
	}
	d.again = true
	return d
}
