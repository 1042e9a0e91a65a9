package fleettest

import "time"

// outcome is the result of an attempt as its client saw it.
type outcome uint8

// The outcomes.
const (
	served       outcome = iota
	refused              // rejected as busy: a retry is harmless
	failed               // any other answer: the request may have been executed
	timedOut             // no answer before the end of the attempt's wait
	crossedClose         // the idle connection was closed just as the request was sent
	notConnected         // no connection could be opened; nothing was sent
)

// requestClass is a class of requests as clients configure it.
type requestClass struct {
	name             string
	isWrite          bool
	latencyObjective time.Duration
	deadline         time.Duration
	dedupWindow      time.Duration // time for which nodes drop duplicates of a write; 0 for reads
}

const (
	// safetyMargin is subtracted from the dedup window to allow for clocks and queues, because an attempt may be
	// executed at a node as late as the end of its own wait.
	safetyMargin = 100 * time.Millisecond
	// minWait is the shortest wait of an attempt. An attempt that would have less time is not sent.
	minWait = 50 * time.Millisecond
)

// retryState decides whether a request is retried. It does no I/O and reads no clock; times count from the start of the
// request.
type retryState struct {
	class             requestClass
	maxRetries        int
	backoff           time.Duration
	honoursRetryAfter bool

	attempts         int
	mayHaveRun       bool
	firstPossibleRun time.Duration // when the first attempt that may have been executed was sent
	lastSent         time.Duration
}

// retryDecision says what follows an attempt. The zero value means no further attempt.
type retryDecision struct {
	again   bool
	backoff time.Duration
	maxWait time.Duration // of the next attempt
}

// next decides what follows an attempt that ended at now. retryAfter is the delay that a rejection advises.
//
// A write that may have been executed is sent again only while nodes are certain to drop duplicates, with a wait that
// ends before the dedup window does. A later retry could execute the write a second time: from then on, only the client
// itself could find out whether it was executed.
func (s *retryState) next(now time.Duration, result outcome, retryAfter time.Duration) retryDecision {
	var d retryDecision
	switch result {
	case served:
		return retryDecision{}
	case failed, timedOut, crossedClose:
		if !s.mayHaveRun {
			s.mayHaveRun = true
			s.firstPossibleRun = s.lastSent
		}
	}
	if result != crossedClose && result != notConnected { // real clients count neither of the two as a retry
		s.attempts++
		if s.attempts > s.maxRetries {
			return retryDecision{}
		}
		d.backoff = s.backoff
	}
	if result == refused && s.honoursRetryAfter {
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
