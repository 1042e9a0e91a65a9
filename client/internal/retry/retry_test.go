package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// at returns a time at which both clocks agree.
func at(d time.Duration) Timestamp { return Timestamp{d, d} }

// fullBudget returns a budget that no test exhausts.
func fullBudget() *Budget { return &Budget{Ratio: 0.1, Burst: 100, saved: 100} }

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// attemptCase is an outcome of a first attempt, with the effect, deadline and timing of the request.
type attemptCase struct {
	outcome    Outcome
	effect     Effect
	deadline   time.Duration
	took       time.Duration // until the attempt ended
	retryAfter time.Duration
}

func (c attemptCase) String() string {
	return fmt.Sprintf("outcome %d, effect %d, at %v of %v, Retry-After %v",
		c.outcome, c.effect, c.took, c.deadline, c.retryAfter)
}

// attemptCases returns all combinations that can occur.
func attemptCases() (cases []attemptCase) {
	deadlines := []time.Duration{60 * ms, 300 * ms, 1400 * ms, 1450 * ms, 2500 * ms, 10000 * ms}
	durations := []time.Duration{
		0, 1 * ms, 100 * ms, 1000 * ms, 1330 * ms, 1360 * ms, 1400 * ms, 1490 * ms, 1600 * ms, 2460 * ms,
	}
	for outcome := range outcomeCount {
		for _, effect := range []Effect{Safe, Keyed, Unsafe} {
			for _, deadline := range deadlines {
				for _, took := range durations {
					for _, retryAfter := range []time.Duration{0, 200 * ms, 1000 * ms} {
						if took > deadline || retryAfter > 0 && outcome != Rejected {
							continue
						}
						cases = append(cases, attemptCase{outcome, effect, deadline, took, retryAfter})
					}
				}
			}
		}
	}
	return cases
}

// usableWindow is the part of DefaultPolicy's deduplication window in which attempts may start.
const usableWindow = 1400 * ms

// expectedResults are the results of requests that may not have run.
var expectedResults = map[Outcome]Result{
	Served:          ResultServed,
	NotFound:        ResultServed,
	Rejected:        ResultRejected,
	NotSent:         ResultNotSent,
	Invalid:         ResultInvalid,
	Failed:          ResultFailed,
	TimedOut:        ResultDeadlineExceeded,
	ConnectionLost:  ResultFailed,
	MalformedAnswer: ResultFailed,
	Canceled:        ResultCanceled,
}

// mayHaveRun repeats the definition of Outcome.MayHaveRun, so that a change there is noticed.
func (c attemptCase) mayHaveRun() bool {
	switch c.outcome {
	case Failed, TimedOut, ConnectionLost, MalformedAnswer, Canceled:
		return true
	}
	return false
}

// check derives what must follow the first attempt from the package's invariants, independently of the code.
func (c attemptCase) check(t *testing.T) {
	t.Helper()
	r := NewRequest(&DefaultPolicy, c.effect, 0, c.deadline)
	if _, ok := r.StartAttempt(at(0), fullBudget()); !ok {
		t.Fatalf("%v: no first attempt", c)
	}
	d := r.AttemptEnded(at(c.took), c.outcome, c.retryAfter, fullBudget(), rng())
	c.checkDecision(t, &r, d)
	if d.Result == ResultPending {
		c.checkSecond(t, &r, at(c.took+d.Backoff))
	}
}

// expected returns the result of a request that gets no second attempt.
func (c attemptCase) expected() Result {
	if c.mayHaveRun() && c.effect != Safe {
		return ResultUnknown
	}
	return expectedResults[c.outcome]
}

// final reports whether no second attempt may follow, regardless of the time left.
func (c attemptCase) final() bool {
	switch c.outcome {
	case Served, NotFound, Invalid, Canceled:
		return true
	}
	return c.mayHaveRun() && c.effect == Unsafe
}

// timeLeft returns the time in which a second attempt would have to end.
func (c attemptCase) timeLeft() time.Duration {
	left := c.deadline - c.took
	if c.mayHaveRun() && c.effect == Keyed {
		return min(left, usableWindow-c.took)
	}
	return left
}

func (c attemptCase) checkDecision(t *testing.T, r *Request, d Decision) {
	t.Helper()
	left, want := c.timeLeft(), c.expected()
	switch {
	case c.final() && d.Result != want:
		t.Fatalf("%v: %v, want %v", c, d.Result, want)
	case !c.final() && left < c.retryAfter+50*ms && d.Result != want:
		t.Fatalf("%v: %v though only %v is left", c, d.Result, left)
	case !c.final() && left > c.retryAfter*5/4+50*ms+20*ms && d.Result != ResultPending:
		t.Fatalf("%v: ended as %v though %v is left", c, d.Result, left)
	case d.Result == ResultPending && d.Backoff < c.retryAfter:
		t.Fatalf("%v: a backoff of %v", c, d.Backoff)
	case d.Result == ResultRejected && r.MayHaveRun():
		t.Fatalf("%v: rejected after it may have run", c)
	}
}

// checkSecond starts the second attempt at the given time and checks that it ends within its bounds.
func (c attemptCase) checkSecond(t *testing.T, r *Request, again Timestamp) {
	t.Helper()
	wait, ok := r.StartAttempt(again, &Budget{})
	if !ok || again.Monotonic+wait > c.deadline {
		t.Fatalf("%v: a second attempt of %v at %v", c, wait, again.Monotonic)
	}
	if c.mayHaveRun() && c.effect == Keyed && again.Monotonic+wait > usableWindow {
		end := again.Monotonic + wait
		t.Fatalf("%v: a keyed attempt may start at %v, when nodes may have forgotten the first", c, end)
	}
}

// TestDecisionForEachOutcomeEffectAndTime checks the decision for each outcome of a first attempt, each effect and each
// time left.
func TestDecisionForEachOutcomeEffectAndTime(t *testing.T) {
	cases := attemptCases()
	for _, c := range cases {
		c.check(t)
	}
	if len(cases) < 1000 {
		t.Fatalf("only %d cases", len(cases))
	}
}

// TestRejectionAfterPossibleRunIsUnknown checks that a request whose first attempt may have run does not end as
// rejected if its second attempt is rejected (invariant 3).
func TestRejectionAfterPossibleRunIsUnknown(t *testing.T) {
	r := NewRequest(&DefaultPolicy, Keyed, 0, 2500*ms)
	r.StartAttempt(at(0), fullBudget())
	if d := r.AttemptEnded(at(10*ms), ConnectionLost, 0, fullBudget(), rng()); d.Result != ResultPending {
		t.Fatalf("%+v", d)
	}
	r.StartAttempt(at(30*ms), fullBudget())
	if d := r.AttemptEnded(at(40*ms), Rejected, 2*time.Second, fullBudget(), rng()); d.Result != ResultUnknown {
		t.Fatalf("%+v", d)
	}
	if r.SettledAt() != 1400*ms*60/100+100*ms {
		t.Fatalf("settled at %v", r.SettledAt())
	}
}

// TestFirstKeyedAttemptEndsWithinDedupWindow checks that the first attempt of a keyed request must end within the dedup
// window too. Otherwise the first attempt could start late at a node, after a retry, and have a second effect.
func TestFirstKeyedAttemptEndsWithinDedupWindow(t *testing.T) {
	r := NewRequest(&DefaultPolicy, Keyed, 0, 10*time.Second)
	if wait, _ := r.StartAttempt(at(0), &Budget{}); wait != 1400*ms {
		t.Fatalf("waits %v", wait)
	}
}

// TestNoRetryOfRejectionPastLatencyObjective checks that a rejected request is not sent again if that would miss its
// latency objective, and that a failed one is.
func TestNoRetryOfRejectionPastLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		outcome    Outcome
		retryAfter time.Duration
		want       Result
	}{
		{Rejected, 100 * ms, ResultPending},
		{Rejected, 400 * ms, ResultRejected},
		{Failed, 0, ResultPending},
	} {
		r := NewRequest(&DefaultPolicy, Safe, 500*ms, 2000*ms)
		r.StartAttempt(at(0), fullBudget())
		if d := r.AttemptEnded(at(200*ms), c.outcome, c.retryAfter, fullBudget(), rng()); d.Result != c.want {
			t.Fatalf("%+v: %+v", c, d)
		}
	}
	r := NewRequest(&DefaultPolicy, Safe, 500*ms, 2000*ms)
	r.StartAttempt(at(0), fullBudget())
	if d := r.AttemptEnded(at(600*ms), Failed, 0, fullBudget(), rng()); d.Result != ResultPending {
		t.Fatalf("failed past its objective: %+v", d)
	}
}

// TestDedupWindowWhenClocksStep checks that suspending the machine or setting the wall clock forward ends the window,
// and that setting the clock back does not lengthen it.
func TestDedupWindowWhenClocksStep(t *testing.T) {
	for _, c := range []struct {
		now  Timestamp
		open bool
	}{
		{Timestamp{200 * ms, 200 * ms}, true},
		{Timestamp{200 * ms, time.Hour}, false},
		{Timestamp{200 * ms, -time.Hour}, true},
		{Timestamp{1390 * ms, -time.Hour}, false},
	} {
		r := NewRequest(&DefaultPolicy, Keyed, 0, 2500*ms)
		r.StartAttempt(at(0), fullBudget())
		d := r.AttemptEnded(c.now, ConnectionLost, 0, fullBudget(), rng())
		if (d.Result == ResultPending) != c.open || !c.open && d.Result != ResultUnknown {
			t.Fatalf("at %+v: %+v", c.now, d)
		}
	}
}

// TestBudgetBoundsAttempts checks that the average number of attempts per request stays below 1+Ratio, however many
// attempts fail.
func TestBudgetBoundsAttempts(t *testing.T) {
	b, rng := NewBudget(0.1, 3), rng()
	requests, attempts := 0, 0
	for range 20000 {
		r := NewRequest(&DefaultPolicy, Safe, 0, 2*time.Second)
		requests++
		for now := time.Duration(0); ; {
			if _, ok := r.StartAttempt(at(now), b); !ok {
				break
			}
			attempts++
			now += 10 * ms
			o := Failed
			if rng.Float64() < 0.3 {
				o = Served
			}
			d := r.AttemptEnded(at(now), o, 0, b, rng)
			if d.Result != ResultPending {
				break
			}
			now += d.Backoff
		}
	}
	limit := 1.1*float64(requests) + 3
	if float64(attempts) > limit || attempts <= requests {
		t.Fatalf("%d attempts for %d requests", attempts, requests)
	}
}

// TestKeyedRequestsMayOverdrawBudget checks that keyed requests may overdraw the budget by at most Burst, and that safe
// requests get no retry until the overdraft is paid back.
func TestKeyedRequestsMayOverdrawBudget(t *testing.T) {
	b := NewBudget(0.5, 2)
	for i := range 4 {
		if got, want := b.spend(Keyed), i < 3; got != want {
			t.Fatalf("retry %d: %v", i, got)
		}
	}
	for range 5 {
		b.RecordSuccess()
	}
	if b.CanAfford(Safe) || !b.CanAfford(Keyed) {
		t.Fatalf("%+v", b)
	}
	b.RecordSuccess()
	if !b.spend(Safe) {
		t.Fatalf("%+v", b)
	}
}

// TestOneLostConnectionIsFree checks that the first lost connection of a request costs no budget, and that the second
// does.
func TestOneLostConnectionIsFree(t *testing.T) {
	b := &Budget{}
	r := NewRequest(&DefaultPolicy, Safe, 0, 2*time.Second)
	r.StartAttempt(at(0), &Budget{})
	if d := r.AttemptEnded(at(0), ConnectionLost, 0, b, rng()); d.Result != ResultPending {
		t.Fatalf("%+v", d)
	}
	r.StartAttempt(at(20*ms), &Budget{})
	if d := r.AttemptEnded(at(20*ms), ConnectionLost, 0, b, rng()); d.Result != ResultFailed {
		t.Fatalf("%+v", d)
	}
}

// TestUnsentAttemptsAreBounded checks that a request that can never be sent is not retried forever.
func TestUnsentAttemptsAreBounded(t *testing.T) {
	r, n := NewRequest(&DefaultPolicy, Safe, 0, time.Hour), 0
	for ; n < 1000; n++ {
		r.StartAttempt(at(0), fullBudget())
		if r.AttemptEnded(at(0), NotSent, 0, fullBudget(), rng()).Result != ResultPending {
			break
		}
	}
	if n != maxFreeRetries || r.Attempts() != 0 {
		t.Fatalf("%d retries, %d attempts", n, r.Attempts())
	}
}

// TestThrottleFollowsRejections checks that Throttle allows all requests while less than half are rejected, rejects
// most of them while all are rejected, and recovers within seconds.
func TestThrottleFollowsRejections(t *testing.T) {
	var throttle Throttle
	rng := rng()
	sendRequests := func(from, to time.Duration, rejected float64) (sent, all int) {
		for now := from; now < to; now += 5 * ms {
			all++
			if throttle.Allow(now, rng) {
				sent++
				outcome := Served
				if rng.Float64() < rejected {
					outcome = Rejected
				}
				throttle.RecordOutcome(now, outcome)
			}
		}
		return sent, all
	}
	if n, all := sendRequests(0, 5*time.Second, 0.3); n != all {
		t.Fatalf("%d of %d while three in ten were rejected", n, all)
	}
	sendRequests(5*time.Second, 7*time.Second, 1)
	if n, all := sendRequests(7*time.Second, 12*time.Second, 1); float64(n) > 0.2*float64(all) || n == 0 {
		t.Fatalf("%d of %d while all were rejected", n, all)
	}
	sendRequests(12*time.Second, 15*time.Second, 0)
	if n, all := sendRequests(15*time.Second, 16*time.Second, 0); n != all {
		t.Fatalf("%d of %d three seconds after", n, all)
	}
}
