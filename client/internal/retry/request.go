package retry

import (
	"math/rand/v2"
	"time"
)

// Decision says what follows after an attempt.
type Decision struct {
	Result     Result        // ResultPending if another attempt follows
	Backoff    time.Duration // before that attempt
	RetryAfter time.Duration // with ResultRejected, the time to wait before a repetition; 0 if none is known
}

// Request tracks one request over its attempts. Create it with [NewRequest]; it is not safe for concurrent use.
type Request struct {
	policy           *Policy
	effect           Effect
	deadline         time.Duration // on the monotonic clock
	latencyObjective time.Duration // on the monotonic clock; 0 for none

	attempts           int // that were sent
	freeRetries        int // retries that were not paid from the budget
	mayHaveRun         bool
	firstPossibleRun   Timestamp     // when the first attempt that may have run was sent
	settledAt          time.Duration // on the monotonic clock
	lastSent           Timestamp
	lastWait           time.Duration // timeout of the last attempt
	lostConnectionOnce bool
}

// maxFreeRetries bounds the retries of a request that are not paid from the budget: those after attempts that were
// never sent or whose connection was lost.
const maxFreeRetries = 16

// NewRequest returns a request that ends by deadline. Once rejected, the request is not sent again after
// latencyObjective, unless that is 0: a service without capacity would answer it late in place of another request that
// is in time. Both are times on the monotonic clock.
func NewRequest(policy *Policy, effect Effect, latencyObjective, deadline time.Duration) Request {
	return Request{policy: policy, effect: effect, latencyObjective: latencyObjective, deadline: deadline}
}

// Effect returns the effect that was given to [NewRequest].
func (r *Request) Effect() Effect { return r.effect }

// Attempts returns the number of attempts that were sent.
func (r *Request) Attempts() int { return r.attempts }

// MayHaveRun reports whether any attempt may have been carried out.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// SettledAt returns the time on the monotonic clock after which none of the attempts that may have run can start any
// more: from then on a read shows whether one did. It is 0 if none may have run.
func (r *Request) SettledAt() time.Duration { return r.settledAt }

// timeLeft returns the longest time that an attempt sent at now may take.
func (r *Request) timeLeft(now Timestamp) time.Duration {
	left := r.deadline - now.Monotonic
	if r.effect != Keyed {
		return left
	}
	window := r.policy.DedupWindow - r.policy.SafetyMargin
	if r.mayHaveRun {
		window -= now.since(r.firstPossibleRun)
	}
	// The first attempt must also end within the window: if it could start at a node after the window, every retry
	// would have a second effect.
	return min(left, window)
}

// CanSend reports whether an attempt sent at now would have at least MinWait.
func (r *Request) CanSend(now Timestamp) bool { return r.timeLeft(now) >= r.policy.MinWait }

// StartAttempt records an attempt that is sent at now and returns its timeout. ok is false if less than MinWait is
// left. The timeout is shorter than the time left only if another attempt could follow and the budget could pay for it.
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

// GiveUp ends a request for which no attempt can be sent because there is no connection or no time. outcome is the
// reason.
func (r *Request) GiveUp(outcome Outcome, retryAfter time.Duration) Decision {
	return Decision{Result: r.result(outcome), RetryAfter: retryAfter}
}

// result returns how the request ends if its last attempt had this outcome.
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

// AttemptEnded decides what follows after the last attempt that was started. retryAfter is a rejection's Retry-After, 0
// if it had none.
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

// recordOutcome updates the state with the outcome of the last attempt.
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

// mayRetry reports whether another attempt is allowed, regardless of the time and budget left. free reports whether the
// retry would not be paid from the budget.
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

// timeForRetry reports whether an attempt sent at the given time would have enough time and, after a rejection, would
// still meet the latency objective.
func (r *Request) timeForRetry(at Timestamp, outcome Outcome) bool {
	if !r.CanSend(at) {
		return false
	}
	if outcome == Rejected && r.latencyObjective > 0 {
		return at.Monotonic+r.policy.MinWait <= r.latencyObjective
	}
	return true
}

// maxBackoffDoublings prevents an overflow of the shift in backoff.
const maxBackoffDoublings = 20

// backoff returns the time before the next attempt. After a Retry-After it is that time plus up to a quarter, so that
// clients with the same Retry-After do not return together; otherwise it is exponential with full jitter. An attempt
// that was never sent needs none, because new connections are already spread over time.
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
