package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func at(d time.Duration) Timestamp { return Timestamp{d, d} }

func rich() *Budget { return &Budget{Ratio: 0.1, Burst: 100, saved: 100} }

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// The whole table: each outcome of a first try, for each effect, at each time left; what
// must follow is worked out here a second time, from the words of the package's invariants.
func TestTableOfOutcomesEffectsAndTimes(t *testing.T) {
	ends := map[Outcome]Result{Served: ResultServed, NotFound: ResultServed, Rejected: ResultRejected, NotSent: ResultNotSent, Invalid: ResultInvalid,
		Failed: ResultFailed, TimedOut: ResultDeadlineExceeded, ConnectionLost: ResultFailed, MalformedAnswer: ResultFailed, Canceled: ResultCanceled}
	seen := 0
	for o := range outcomes {
		for _, effect := range []Effect{Safe, Keyed, Unsafe} {
			for _, deadline := range []time.Duration{60 * ms, 300 * ms, 1400 * ms, 1450 * ms, 2500 * ms, 10000 * ms} {
				for _, took := range []time.Duration{0, 1 * ms, 100 * ms, 1000 * ms, 1330 * ms, 1360 * ms, 1400 * ms, 1490 * ms, 1600 * ms, 2460 * ms} {
					for _, advice := range []time.Duration{0, 200 * ms, 1000 * ms} {
						if took > deadline || advice > 0 && o != Rejected {
							continue
						}
						r := NewRequest(&DefaultPolicy, effect, 0, deadline)
						if _, ok := r.StartAttempt(at(0), true); !ok {
							t.Fatalf("no first try with %v left", deadline)
						}
						v := r.AttemptEnded(at(took), o, advice, rich(), rng())
						ran := o == Failed || o == TimedOut || o == ConnectionLost || o == MalformedAnswer || o == Canceled
						left := deadline - took
						if ran && effect == Keyed {
							left = min(left, 1400*ms-took)
						}
						want := ends[o]
						if ran && effect != Safe {
							want = ResultUnknown
						}
						final := o == Served || o == NotFound || o == Invalid || o == Canceled || ran && effect == Unsafe
						switch {
						case final && v.Result != want:
							t.Fatalf("outcome %d effect %d at %v of %v: %v, want %v", o, effect, took, deadline, v.Result, want)
						case !final && left < advice+50*ms && v.Result != want:
							t.Fatalf("outcome %d effect %d at %v of %v, advice %v: %v though %v is left", o, effect, took, deadline, advice, v.Result, left)
						case !final && left > advice*5/4+50*ms+20*ms && v.Result != ResultPending:
							t.Fatalf("outcome %d effect %d at %v of %v, advice %v: ended as %v though %v is left", o, effect, took, deadline, advice, v.Result, left)
						case v.Result == ResultPending && v.Backoff < advice:
							t.Fatalf("a pause of %v where %v was advised", v.Backoff, advice)
						case v.Result == ResultRejected && r.MayHaveRun():
							t.Fatal("refused after it may have run")
						}
						if v.Result == ResultPending {
							again := at(took + v.Backoff)
							wait, ok := r.StartAttempt(again, false)
							if !ok || again.Monotonic+wait > deadline {
								t.Fatalf("a second try of %v at %v for a deadline of %v", wait, again.Monotonic, deadline)
							}
							if ran && effect == Keyed && again.Monotonic+wait > 1400*ms {
								t.Fatalf("a keyed try that may begin at %v, when its first may be forgotten", again.Monotonic+wait)
							}
						}
						seen++
					}
				}
			}
		}
	}
	if seen < 1000 {
		t.Fatalf("only %d rows", seen)
	}
}

// Invariant 3, over two tries: a refusal of the second takes nothing back of the first.
func TestRefusedAfterItMayHaveRunIsUnknown(t *testing.T) {
	r := NewRequest(&DefaultPolicy, Keyed, 0, 2500*ms)
	r.StartAttempt(at(0), true)
	if v := r.AttemptEnded(at(10*ms), ConnectionLost, 0, rich(), rng()); v.Result != ResultPending {
		t.Fatalf("%+v", v)
	}
	r.StartAttempt(at(30*ms), true)
	if v := r.AttemptEnded(at(40*ms), Rejected, 2*time.Second, rich(), rng()); v.Result != ResultUnknown {
		t.Fatalf("%+v", v)
	}
	if r.SettledAt() != 1400*ms*60/100+100*ms {
		t.Fatalf("settled at %v", r.SettledAt())
	}
}

// The first try of a keyed request ends within the window too: else its own late beginning
// at a node would be the second effect.
func TestFirstKeyedTryEndsWithinTheWindow(t *testing.T) {
	r := NewRequest(&DefaultPolicy, Keyed, 0, 10*time.Second)
	if wait, _ := r.StartAttempt(at(0), false); wait != 1400*ms {
		t.Fatalf("waits %v", wait)
	}
}

// A refused request is not sent again where that would be after its aim; a failed one is.
func TestRefusedIsNotSentAgainAfterItsAim(t *testing.T) {
	for _, c := range []struct {
		o      Outcome
		advice time.Duration
		end    Result
	}{{Rejected, 100 * ms, ResultPending}, {Rejected, 400 * ms, ResultRejected}, {Failed, 0, ResultPending}} {
		r := NewRequest(&DefaultPolicy, Safe, 500*ms, 2000*ms)
		r.StartAttempt(at(0), true)
		if v := r.AttemptEnded(at(200*ms), c.o, c.advice, rich(), rng()); v.Result != c.end {
			t.Fatalf("%+v: %+v", c, v)
		}
	}
	r := NewRequest(&DefaultPolicy, Safe, 500*ms, 2000*ms)
	r.StartAttempt(at(0), true)
	if v := r.AttemptEnded(at(600*ms), Failed, 0, rich(), rng()); v.Result != ResultPending {
		t.Fatalf("failed after its aim: %+v", v)
	}
}

// A machine that slept, or a clock that was set forward, ends the window; one that was set
// back does not lengthen it.
func TestClockSteps(t *testing.T) {
	for _, c := range []struct {
		now  Timestamp
		open bool
	}{{Timestamp{200 * ms, 200 * ms}, true}, {Timestamp{200 * ms, time.Hour}, false}, {Timestamp{200 * ms, -time.Hour}, true},
		{Timestamp{1390 * ms, -time.Hour}, false}} {
		r := NewRequest(&DefaultPolicy, Keyed, 0, 2500*ms)
		r.StartAttempt(at(0), true)
		v := r.AttemptEnded(c.now, ConnectionLost, 0, rich(), rng())
		if (v.Result == ResultPending) != c.open || !c.open && v.Result != ResultUnknown {
			t.Fatalf("at %+v: %+v", c.now, v)
		}
	}
}

// However badly a service does, tries stay below 1+ratio for each request.
func TestBudgetBoundsTries(t *testing.T) {
	b, rng := NewBudget(0.1, 3), rng()
	requests, tries := 0, 0
	for range 20000 {
		r := NewRequest(&DefaultPolicy, Safe, 0, 2*time.Second)
		requests++
		for now := time.Duration(0); ; {
			if _, ok := r.StartAttempt(at(now), b.CanAfford(Safe)); !ok {
				break
			}
			tries++
			now += 10 * ms
			o := Failed
			if rng.Float64() < 0.3 {
				o = Served
			}
			v := r.AttemptEnded(at(now), o, 0, b, rng)
			if v.Result != ResultPending {
				break
			}
			now += v.Backoff
		}
	}
	if most := 1.1*float64(requests) + 3; float64(tries) > most || tries <= requests {
		t.Fatalf("%d tries for %d requests", tries, requests)
	}
}

// A keyed request may run into debt, which safe ones then wait for, and no further than a burst.
func TestKeyedMayRunIntoDebt(t *testing.T) {
	b := NewBudget(0.5, 2)
	for i := range 4 {
		if got, want := b.take(Keyed), i < 3; got != want {
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
	if !b.take(Safe) {
		t.Fatalf("%+v", b)
	}
}

// One broken connection a request costs no budget, and a second does.
func TestOneBrokenConnectionIsFree(t *testing.T) {
	b := &Budget{}
	r := NewRequest(&DefaultPolicy, Safe, 0, 2*time.Second)
	r.StartAttempt(at(0), false)
	if v := r.AttemptEnded(at(0), ConnectionLost, 0, b, rng()); v.Result != ResultPending {
		t.Fatalf("%+v", v)
	}
	r.StartAttempt(at(20*ms), false)
	if v := r.AttemptEnded(at(20*ms), ConnectionLost, 0, b, rng()); v.Result != ResultFailed {
		t.Fatalf("%+v", v)
	}
}

// What never leaves is not tried for ever.
func TestUnsentEnds(t *testing.T) {
	r, n := NewRequest(&DefaultPolicy, Safe, 0, time.Hour), 0
	for ; n < 1000; n++ {
		r.StartAttempt(at(0), true)
		if r.AttemptEnded(at(0), NotSent, 0, rich(), rng()).Result != ResultPending {
			break
		}
	}
	if n != mostRepairs || r.Attempts() != 0 {
		t.Fatalf("%d, %d tries", n, r.Attempts())
	}
}

// A pace lets all through while less than half is refused, keeps most back while all is, and
// recovers within seconds.
func TestPace(t *testing.T) {
	var p Throttle
	rng := rng()
	sent := func(from, to time.Duration, refused float64) (sent, all int) {
		for now := from; now < to; now += 5 * ms {
			all++
			if p.Allow(now, rng) {
				sent++
				p.RecordOutcome(now, rng.Float64() < refused)
			}
		}
		return sent, all
	}
	if n, all := sent(0, 5*time.Second, 0.3); n != all {
		t.Fatalf("%d of %d while three in ten were refused", n, all)
	}
	sent(5*time.Second, 7*time.Second, 1)
	if n, all := sent(7*time.Second, 12*time.Second, 1); float64(n) > 0.2*float64(all) || n == 0 {
		t.Fatalf("%d of %d while all were refused", n, all)
	}
	sent(12*time.Second, 15*time.Second, 0)
	if n, all := sent(15*time.Second, 16*time.Second, 0); n != all {
		t.Fatalf("%d of %d three seconds after", n, all)
	}
}
