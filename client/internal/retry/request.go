package retry

import (
	"math/rand/v2"
	"time"
)

// Decision says what follows an attempt.
type Decision struct {
	Result     Result        // ResultPending: another attempt
	Backoff    time.Duration // before that attempt
	RetryAfter time.Duration // of ResultRejected: not to be repeated before; 0 for no advice
}

// Request tracks one request over its attempts. Make it with [NewRequest]; it is not safe for concurrent use.
type Request struct {
	policy           *Policy
	effect           Effect
	deadline         time.Duration // on the monotonic clock
	latencyObjective time.Duration // on the monotonic clock; 0 for none

	attempts           int // that were sent
	freeRetries        int // that the budget did not pay for
	mayHaveRun         bool
	firstPossibleRun   Timestamp     // when the first attempt that may have run was sent
	settledAt          time.Duration // on the monotonic clock
	lastSent           Timestamp
	lastWait           time.Duration // that the last attempt was given
	lostConnectionOnce bool
}

// maxFreeRetries bounds the retries of a request that the budget does not pay for: after connections that did not come
// up or were lost.
const maxFreeRetries = 16

// NewRequest returns a request that ends by a deadline on the monotonic clock. Once it was rejected it is not sent
// again after latencyObjective, unless that is 0: a service without capacity would answer it late in place of another
// request in time.
func NewRequest(policy *Policy, effect Effect, latencyObjective, deadline time.Duration) Request {
	return Request{policy: policy, effect: effect, latencyObjective: latencyObjective, deadline: deadline}
}

// Effect returns the effect that was given to [NewRequest].
func (r *Request) Effect() Effect { return r.effect }

// Attempts counts the attempts that were sent.
func (r *Request) Attempts() int { return r.attempts }

// MayHaveRun reports whether any attempt may have been carried out.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// SettledAt is when the last of the attempts that may have run can no longer start, on the monotonic clock: from then
// on a read shows whether one did. It is 0 if none may have run.
func (r *Request) SettledAt() time.Duration { return r.settledAt }

// timeLeft is the longest time that an attempt sent at now may take.
func (r *Request) timeLeft(now Timestamp) time.Duration {
	left := r.deadline - now.Monotonic
	if r.effect != Keyed {
		return left
	}
	window := r.policy.DedupWindow - r.policy.SafetyMargin
	if r.mayHaveRun {
		window -= now.since(r.firstPossibleRun)
	}
	// The first attempt ends within the window as well: if it could start at a node after the window, every repeat
	// would be a second effect.
	return min(left, window)
}

// CanSend reports whether an attempt sent at now would have enough time.
func (r *Request) CanSend(now Timestamp) bool { return r.timeLeft(now) >= r.policy.MinWait }

// StartAttempt starts an attempt and returns how long it may wait; false if that would be too short. An attempt is cut
// short only in favour of the next one: if the budget could pay for that.
func (r *Request) StartAttempt(now Timestamp, budget *Budget) (wait time.Duration, ok bool) {
	left := r.timeLeft(now)
	if left < r.policy.MinWait {
		return 0, false
	}
	wait = left
	if budget.CanAfford(r.effect) && r.effect != Unsafe && r.attempts+1 < r.policy.MaxAttempts {
		part := time.Duration(float64(left) * r.policy.AttemptShare)
		if left-part >= 2*r.policy.MinWait {
			wait = part
		}
	}
	r.lastSent = now
	r.lastWait = wait
	r.attempts++
	return wait, true
}

// GiveUp ends a request for which no attempt can be sent: there is no connection or no time. outcome is the reason.
func (r *Request) GiveUp(outcome Outcome, retryAfter time.Duration) Decision {
	return Decision{Result: r.result(outcome), RetryAfter: retryAfter}
}

// result is how the request ends if its last attempt had this outcome.
func (r *Request) result(outcome Outcome) Result {
	switch {
	case outcome == Served || outcome == NotFound:
		return ResultServed
	case r.mayHaveRun && r.effect != Safe:
		return ResultUnknown
	case outcome == Rejected:
		return ResultRejected
	case outcome == Invalid:
		return ResultInvalid
	case outcome == NotSent:
		return ResultNotSent
	case outcome == TimedOut:
		return ResultDeadlineExceeded
	case outcome == Canceled:
		return ResultCanceled
	}
	return ResultFailed
}

// AttemptEnded decides what follows the attempt that was started last. retryAfter is a rejection's advice, 0 for none.
func (r *Request) AttemptEnded(
	now Timestamp, outcome Outcome, retryAfter time.Duration, budget *Budget, rng *rand.Rand,
) Decision {
	r.recordOutcome(outcome)
	stop := Decision{Result: r.result(outcome)}
	if outcome == Rejected {
		stop.RetryAfter = retryAfter
	}
	free := outcome == NotSent || outcome == ConnectionLost && !r.lostConnectionOnce
	if outcome == ConnectionLost {
		r.lostConnectionOnce = true
	}
	if outcome == Served || outcome == NotFound {
		budget.RecordSuccess()
		return stop
	}
	if !r.mayRetry(outcome, free) {
		return stop
	}
	backoff := r.backoff(outcome, retryAfter, rng)
	if !r.timeForRetry(now.add(backoff), outcome) {
		return stop
	}
	if free {
		r.freeRetries++
	} else if !budget.spend(r.effect) {
		return stop
	}
	return Decision{Backoff: backoff}
}

// recordOutcome updates the request's state by the outcome of its last attempt.
func (r *Request) recordOutcome(outcome Outcome) {
	if outcome.MayHaveRun() {
		if !r.mayHaveRun {
			r.mayHaveRun = true
			r.firstPossibleRun = r.lastSent
		}
		r.settledAt = max(r.settledAt, r.lastSent.Monotonic+r.lastWait+r.policy.SafetyMargin)
	}
	if outcome == NotSent {
		r.attempts--
	}
}

// mayRetry reports whether a further attempt is allowed at all, whatever time and budget are left. free is whether the
// budget would not have to pay for it.
func (r *Request) mayRetry(outcome Outcome, free bool) bool {
	switch {
	case outcome == Invalid || outcome == Canceled:
		return false
	case r.mayHaveRun && r.effect == Unsafe:
		return false
	case r.attempts >= r.policy.MaxAttempts:
		return false
	case free && r.freeRetries >= maxFreeRetries:
		return false
	}
	return true
}

// timeForRetry reports whether an attempt at a time would have enough time and, after a rejection, would still meet
// the latency objective.
func (r *Request) timeForRetry(at Timestamp, outcome Outcome) bool {
	if !r.CanSend(at) {
		return false
	}
	if outcome == Rejected && r.latencyObjective > 0 {
		return at.Monotonic+r.policy.MinWait <= r.latencyObjective
	}
	return true
}

// maxBackoffDoublings keeps the shift of the backoff from overflowing.
const maxBackoffDoublings = 20

// backoff is the time before the next attempt. After advice it is that time and up to a quarter more, so that clients
// with the same advice do not return together; otherwise it is exponential with full jitter. What was never sent needs
// none, because new connections are spread already.
func (r *Request) backoff(outcome Outcome, retryAfter time.Duration, rng *rand.Rand) time.Duration {
	if outcome == NotSent {
		return 0
	}
	if outcome == Rejected && retryAfter > 0 {
		return retryAfter + time.Duration(rng.Int64N(int64(retryAfter)/4+1))
	}
	doublings := min(max(r.attempts-1, 0), maxBackoffDoublings)
	limit := min(r.policy.BaseBackoff<<doublings, r.policy.MaxBackoff)
	return time.Duration(rng.Int64N(int64(limit) + 1))
}
