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
	Served   Outcome = iota
	Missing          // served: there is no such key
	Refused          // turned away: it never ran
	Unsent           // its last byte was never written: it never ran
	Invalid          // the service says that it can't be meant: it never ran
	Failed           // the service tells of a failure
	Silent           // no answer in the time of the try
	Broken           // the connection ended after the last byte was written
	Spoilt           // what came is no answer to this request
	Canceled         // the caller has gone
	outcomes
)

// MayHaveRun tells whether a try that ended so may have been carried out, or may yet be.
func (o Outcome) MayHaveRun() bool {
	return o == Failed || o == Silent || o == Broken || o == Spoilt || o == Canceled
}

// Stamp is a moment on two clocks, each from an origin of its own: one that never steps but
// stands still while a machine sleeps, and the wall's, which steps but does not stand still.
type Stamp struct{ Mono, Wall time.Duration }

// since is the time from t to s, the longer of the two clocks': a window that is thought to
// be over too early costs an answer, one that is thought to be open too long an effect.
func (s Stamp) since(t Stamp) time.Duration { return max(s.Mono-t.Mono, s.Wall-t.Wall) }

// Rules bound retries. All are needed; see [Usual].
type Rules struct {
	Tries  int           // of one request, at most
	Window time.Duration // in which repeats of a keyed request are dropped
	Margin time.Duration // of the window that is left for clocks and networks
	Least  time.Duration // a try that may wait for less is not worth sending
	Share  float64       // of the time left that a try waits while another could follow
	Base   time.Duration // back-off: uniform from 0 to Base, doubled by each try
	Most   time.Duration // and no longer than this
}

// Usual are rules for a service whose nodes drop repeats for 1.5 s.
var Usual = Rules{Tries: 4, Window: 1500 * time.Millisecond, Margin: 100 * time.Millisecond, Least: 50 * time.Millisecond,
	Share: 0.6, Base: 20 * time.Millisecond, Most: 400 * time.Millisecond}

// End is how a request ends.
type End uint8

// The ends. Open is none yet.
const (
	Open        End = iota
	EndServed       // or missing
	EndRefused      // a repeat is harmless, at the advised time
	EndFailed       // a safe one failed, and there was no time, try or budget for another
	EndDeadline     // a safe one had no answer in time
	EndUnknown      // it may have run: the caller has to find out
	EndInvalid      // it can't be meant
	EndUnsent       // it never left
	EndCanceled     // the caller has gone; nothing was sent, or it was safe
)

// Verdict says what follows a try.
type Verdict struct {
	End   End           // Open: another try
	Pause time.Duration // before it
	After time.Duration // of EndRefused: when to come again, 0 for no advice
}

// Request is one request's course over its tries. The zero value is not usable.
type Request struct {
	rules    *Rules
	effect   Effect
	deadline time.Duration // on the clock that never steps
	aim      time.Duration // on it, or 0: later answers are worth little

	tries    int // that were sent
	repairs  int // that were not, or were free
	mayRun   bool
	first    Stamp // when the first try that may have run went out
	settled  time.Duration
	sent     Stamp
	wait     time.Duration
	hadBreak bool
}

// mostRepairs bounds what is not paid for: connections that did not come up, or ended.
const mostRepairs = 16

// Begin returns a request that ends by a time on the clock that never steps. Once refused it is not sent
// again after aim, if that is not 0: a service without room would answer it late in place of another in time.
func Begin(r *Rules, e Effect, aim, deadline time.Duration) Request {
	return Request{rules: r, effect: e, aim: aim, deadline: deadline}
}

// Effect is what was given to [Begin].
func (r *Request) Effect() Effect { return r.effect }

// Tries counts those that were sent.
func (r *Request) Tries() int { return r.tries }

// MayHaveRun tells whether any try may have been carried out.
func (r *Request) MayHaveRun() bool { return r.mayRun }

// Settled is when the last of the tries that may have run can no longer begin, on the clock
// that never steps: from then on a read tells whether one did. Zero if none may have run.
func (r *Request) Settled() time.Duration { return r.settled }

// left is the time that a try may take at the most if it is sent at now.
func (r *Request) left(now Stamp) time.Duration {
	left := r.deadline - now.Mono
	if r.effect == Keyed {
		window := r.rules.Window - r.rules.Margin
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
func (r *Request) CanSend(now Stamp) bool { return r.left(now) >= r.rules.Least }

// Send begins a try, and returns how long it may wait; false if that is too little. canPay
// tells whether the budget would bear another: a try is cut short only in favour of one.
func (r *Request) Send(now Stamp, canPay bool) (wait time.Duration, ok bool) {
	left := r.left(now)
	if left < r.rules.Least {
		return 0, false
	}
	wait = left
	if canPay && r.effect != Unsafe && r.tries+1 < r.rules.Tries {
		if part := time.Duration(float64(left) * r.rules.Share); left-part >= 2*r.rules.Least {
			wait = part
		}
	}
	r.sent, r.wait = now, wait
	r.tries++
	return wait, true
}

// Hopeless is the end of a request for which no try can be sent: no connection, no time.
func (r *Request) Hopeless(o Outcome, after time.Duration) Verdict {
	return Verdict{End: r.end(o), After: after}
}

// end is how a request ends whose last try ended so.
func (r *Request) end(o Outcome) End {
	switch {
	case o == Served || o == Missing:
		return EndServed
	case r.mayRun && r.effect != Safe:
		return EndUnknown
	case o == Refused:
		return EndRefused
	case o == Invalid:
		return EndInvalid
	case o == Unsent:
		return EndUnsent
	case o == Silent:
		return EndDeadline
	case o == Canceled:
		return EndCanceled
	}
	return EndFailed
}

// Ended tells what follows the try that was sent last. advice is a refusal's.
func (r *Request) Ended(now Stamp, o Outcome, advice time.Duration, b *Budget, rng *rand.Rand) Verdict {
	if o.MayHaveRun() {
		if !r.mayRun {
			r.mayRun, r.first = true, r.sent
		}
		r.settled = max(r.settled, r.sent.Mono+r.wait+r.rules.Margin)
	}
	if o == Unsent {
		r.tries--
	}
	stop := Verdict{End: r.end(o)}
	if o == Refused {
		stop.After = advice
	}
	free := o == Unsent || o == Broken && !r.hadBreak
	r.hadBreak = r.hadBreak || o == Broken
	switch {
	case o == Served || o == Missing:
		b.Succeeded()
		return stop
	case o == Invalid || o == Canceled,
		r.mayRun && r.effect == Unsafe,
		r.tries >= r.rules.Tries,
		free && r.repairs >= mostRepairs:
		return stop
	}
	pause := r.pause(o, advice, rng)
	at := Stamp{now.Mono + pause, now.Wall + pause}
	if r.left(at) < r.rules.Least || o == Refused && r.aim > 0 && at.Mono+r.rules.Least > r.aim {
		return stop
	}
	if free {
		r.repairs++
	} else if !b.take(r.effect) {
		return stop
	}
	return Verdict{Pause: pause}
}

// pause is the time before the next try: as long as a refusal says and up to a quarter more,
// so that those who were told the same don't come back together; else back-off with full
// jitter. What was never sent needs none, as a connection's own spread comes before it.
func (r *Request) pause(o Outcome, advice time.Duration, rng *rand.Rand) time.Duration {
	if o == Unsent {
		return 0
	}
	if o == Refused && advice > 0 {
		return advice + time.Duration(rng.Int64N(int64(advice)/4+1))
	}
	most := min(r.rules.Base<<min(max(r.tries-1, 0), 20), r.rules.Most)
	return time.Duration(rng.Int64N(int64(most) + 1))
}
