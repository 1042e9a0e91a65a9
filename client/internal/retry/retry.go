// Package retry decides what follows a try that has ended: whether there is another, after
// which pause, and how long that one may wait; and what one process asks of a service that
// turns it away. It does no I/O and has no clock; randomness comes from its caller.
//
// Invariants:
//
//  1. A request whose effect is unsafe is never sent again once a try may have run.
//  2. A keyed one that may have run is sent again only so that all its tries, also those that
//     were given up, can only be begun within one window of its first: nodes drop repeats
//     for that long, counted from the first that they began.
//  3. What may have run never ends as refused: refused promises that a repeat is harmless.
//  4. Each try after the first is paid for by the budget, but for those that were never sent
//     and for one a request whose connection ended.
//  5. Nothing is given up later than it is known to be hopeless.
package retry

import (
	"math/rand/v2"
	"time"
)

// Effect says what a request does if it is carried out more than once.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // no harm
	Keyed                // a repeat is dropped within a window, by its idempotency key
	Unsafe               // it takes effect again
)

// Outcome is how a try ended.
type Outcome uint8

// The outcomes. Failed, Silent, Broken and Spoilt may have run.
const (
	Served          Outcome = iota
	NotFound                // served: there is no such key
	Rejected                // turned away: it never ran
	NotSent                 // its last byte was never written: it never ran
	Invalid                 // the service says that it can't be meant: it never ran
	Failed                  // the service tells of a failure
	TimedOut                // no answer in the time of the try
	ConnectionLost          // the connection ended after the last byte was written
	MalformedAnswer         // what came is no answer to this request
	Canceled                // the caller has gone
	outcomes
)

// MayHaveRun tells whether a try that ended so may have been carried out, or may yet be.
func (o Outcome) MayHaveRun() bool {
	return o == Failed || o == TimedOut || o == ConnectionLost || o == MalformedAnswer || o == Canceled
}

// Timestamp is a moment on two clocks, each from an origin of its own: one that never steps but
// stands still while a machine sleeps, and the wall's, which steps but does not stand still.
type Timestamp struct{ Monotonic, Wall time.Duration }

// since is the time from t to s, the longer of the two clocks': a window that is thought to
// be over too early costs an answer, one that is thought to be open too long an effect.
func (s Timestamp) since(t Timestamp) time.Duration {
	return max(s.Monotonic-t.Monotonic, s.Wall-t.Wall)
}

// Policy bound retries. All are needed; see [Usual].
type Policy struct {
	MaxAttempts  int           // of one request, at most
	DedupWindow  time.Duration // in which repeats of a keyed request are dropped
	SafetyMargin time.Duration // of the window that is left for clocks and networks
	MinWait      time.Duration // a try that may wait for less is not worth sending
	AttemptShare float64       // of the time left that a try waits while another could follow
	BaseBackoff  time.Duration // back-off: uniform from 0 to Base, doubled by each try
	MaxBackoff   time.Duration // and no longer than this
}

// DefaultPolicy are rules for a service whose nodes drop repeats for 1.5 s.
var DefaultPolicy = Policy{MaxAttempts: 4, DedupWindow: 1500 * time.Millisecond, SafetyMargin: 100 * time.Millisecond, MinWait: 50 * time.Millisecond,
	AttemptShare: 0.6, BaseBackoff: 20 * time.Millisecond, MaxBackoff: 400 * time.Millisecond}

// Result is how a request ends.
type Result uint8

// The ends. Open is none yet.
const (
	ResultPending          Result = iota
	ResultServed                  // or missing
	ResultRejected                // a repeat is harmless, at the advised time
	ResultFailed                  // a safe one failed, and there was no time, try or budget for another
	ResultDeadlineExceeded        // a safe one had no answer in time
	ResultUnknown                 // it may have run: the caller has to find out
	ResultInvalid                 // it can't be meant
	ResultNotSent                 // it never left
	ResultCanceled                // the caller has gone; nothing was sent, or it was safe
)

// Decision says what follows a try.
type Decision struct {
	Result     Result        // Open: another try
	Backoff    time.Duration // before it
	RetryAfter time.Duration // of EndRefused: when to come again, 0 for no advice
}

// Request is one request's course over its tries. The zero value is not usable.
type Request struct {
	rules    *Policy
	effect   Effect
	deadline time.Duration // on the clock that never steps
	aim      time.Duration // on it, or 0: later answers are worth little

	tries    int // that were sent
	repairs  int // that were not, or were free
	mayRun   bool
	first    Timestamp // when the first try that may have run went out
	settled  time.Duration
	sent     Timestamp
	wait     time.Duration
	hadBreak bool
}

// mostRepairs bounds what is not paid for: connections that did not come up, or ended.
const mostRepairs = 16

// NewRequest returns a request that ends by a time on the clock that never steps. Once refused it is not sent
// again after aim, if that is not 0: a service without room would answer it late in place of another in time.
func NewRequest(r *Policy, e Effect, aim, deadline time.Duration) Request {
	return Request{rules: r, effect: e, aim: aim, deadline: deadline}
}

// Effect is what was given to [Begin].
func (r *Request) Effect() Effect { return r.effect }

// Attempts counts those that were sent.
func (r *Request) Attempts() int { return r.tries }

// MayHaveRun tells whether any try may have been carried out.
func (r *Request) MayHaveRun() bool { return r.mayRun }

// SettledAt is when the last of the tries that may have run can no longer begin, on the clock
// that never steps: from then on a read tells whether one did. Zero if none may have run.
func (r *Request) SettledAt() time.Duration { return r.settled }

// left is the time that a try may take at the most if it is sent at now.
func (r *Request) left(now Timestamp) time.Duration {
	left := r.deadline - now.Monotonic
	if r.effect == Keyed {
		window := r.rules.DedupWindow - r.rules.SafetyMargin
		if r.mayRun {
			window -= now.since(r.first)
		}
		// Also the first try ends within the window: one that could begin at a node after it
		// would make every repeat a second effect.
		left = min(left, window)
	}
	return left
}

// CanSend tells whether a try sent at now would have time enough.
func (r *Request) CanSend(now Timestamp) bool { return r.left(now) >= r.rules.MinWait }

// StartAttempt begins a try, and returns how long it may wait; false if that is too little. canPay
// tells whether the budget would bear another: a try is cut short only in favour of one.
func (r *Request) StartAttempt(now Timestamp, canPay bool) (wait time.Duration, ok bool) {
	left := r.left(now)
	if left < r.rules.MinWait {
		return 0, false
	}
	wait = left
	if canPay && r.effect != Unsafe && r.tries+1 < r.rules.MaxAttempts {
		if part := time.Duration(float64(left) * r.rules.AttemptShare); left-part >= 2*r.rules.MinWait {
			wait = part
		}
	}
	r.sent, r.wait = now, wait
	r.tries++
	return wait, true
}

// GiveUp is the end of a request for which no try can be sent: no connection, no time.
func (r *Request) GiveUp(o Outcome, after time.Duration) Decision {
	return Decision{Result: r.end(o), RetryAfter: after}
}

// end is how a request ends whose last try ended so.
func (r *Request) end(o Outcome) Result {
	switch {
	case o == Served || o == NotFound:
		return ResultServed
	case r.mayRun && r.effect != Safe:
		return ResultUnknown
	case o == Rejected:
		return ResultRejected
	case o == Invalid:
		return ResultInvalid
	case o == NotSent:
		return ResultNotSent
	case o == TimedOut:
		return ResultDeadlineExceeded
	case o == Canceled:
		return ResultCanceled
	}
	return ResultFailed
}

// AttemptEnded tells what follows the try that was sent last. advice is a refusal's.
func (r *Request) AttemptEnded(now Timestamp, o Outcome, advice time.Duration, b *Budget, rng *rand.Rand) Decision {
	if o.MayHaveRun() {
		if !r.mayRun {
			r.mayRun, r.first = true, r.sent
		}
		r.settled = max(r.settled, r.sent.Monotonic+r.wait+r.rules.SafetyMargin)
	}
	if o == NotSent {
		r.tries--
	}
	stop := Decision{Result: r.end(o)}
	if o == Rejected {
		stop.RetryAfter = advice
	}
	free := o == NotSent || o == ConnectionLost && !r.hadBreak
	r.hadBreak = r.hadBreak || o == ConnectionLost
	switch {
	case o == Served || o == NotFound:
		b.RecordSuccess()
		return stop
	case o == Invalid || o == Canceled,
		r.mayRun && r.effect == Unsafe,
		r.tries >= r.rules.MaxAttempts,
		free && r.repairs >= mostRepairs:
		return stop
	}
	pause := r.pause(o, advice, rng)
	at := Timestamp{now.Monotonic + pause, now.Wall + pause}
	if r.left(at) < r.rules.MinWait || o == Rejected && r.aim > 0 && at.Monotonic+r.rules.MinWait > r.aim {
		return stop
	}
	if free {
		r.repairs++
	} else if !b.take(r.effect) {
		return stop
	}
	return Decision{Backoff: pause}
}

// pause is the time before the next try: as long as a refusal says and up to a quarter more,
// so that those who were told the same don't come back together; else back-off with full
// jitter. What was never sent needs none, as a connection's own spread comes before it.
func (r *Request) pause(o Outcome, advice time.Duration, rng *rand.Rand) time.Duration {
	if o == NotSent {
		return 0
	}
	if o == Rejected && advice > 0 {
		return advice + time.Duration(rng.Int64N(int64(advice)/4+1))
	}
	most := min(r.rules.BaseBackoff<<min(max(r.tries-1, 0), 20), r.rules.MaxBackoff)
	return time.Duration(rng.Int64N(int64(most) + 1))
}
