package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func at(d time.Duration) Stamp { return Stamp{d, d} }

func rich() *Budget { return &Budget{Ratio: 0.1, Burst: 100, saved: 100} }

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// The whole table: each outcome of a first try, for each effect, at each time left; what
// must follow is worked out here a second time, from the words of the package's invariants.
func TestTableOfOutcomesEffectsAndTimes(t *testing.T) {
	ends := map[Outcome]End{Served: EndServed, Missing: EndServed, Refused: EndRefused, Unsent: EndUnsent, Invalid: EndInvalid,
		Failed: EndFailed, Silent: EndDeadline, Broken: EndFailed, Spoilt: EndFailed, Canceled: EndCanceled}
	seen := 0
	for o := range outcomes {
		for _, effect := range []Effect{Safe, Keyed, Unsafe} {
			for _, deadline := range []time.Duration{60 * ms, 300 * ms, 1400 * ms, 1450 * ms, 2500 * ms, 10000 * ms} {
				for _, took := range []time.Duration{0, 1 * ms, 100 * ms, 1000 * ms, 1330 * ms, 1360 * ms, 1400 * ms, 1490 * ms, 1600 * ms, 2460 * ms} {
					for _, advice := range []time.Duration{0, 200 * ms, 1000 * ms} {
						if took > deadline || advice > 0 && o != Refused {
							continue
						}
						r := Begin(&Usual, effect, 0, deadline)
						if _, ok := r.Send(at(0), true); !ok {
							t.Fatalf("no first try with %v left", deadline)
						}
						v := r.Ended(at(took), o, advice, rich(), rng())
						ran := o == Failed || o == Silent || o == Broken || o == Spoilt || o == Canceled
						left := deadline - took
						if ran && effect == Keyed {
							left = min(left, 1400*ms-took)
						}
						want := ends[o]
						if ran && effect != Safe {
							want = EndUnknown
						}
						final := o == Served || o == Missing || o == Invalid || o == Canceled || ran && effect == Unsafe
						switch {
						case final && v.End != want:
							t.Fatalf("outcome %d effect %d at %v of %v: %v, want %v", o, effect, took, deadline, v.End, want)
						case !final && left < advice+50*ms && v.End != want:
							t.Fatalf("outcome %d effect %d at %v of %v, advice %v: %v though %v is left", o, effect, took, deadline, advice, v.End, left)
						case !final && left > advice*5/4+50*ms+20*ms && v.End != Open:
							t.Fatalf("outcome %d effect %d at %v of %v, advice %v: ended as %v though %v is left", o, effect, took, deadline, advice, v.End, left)
						case v.End == Open && v.Pause < advice:
							t.Fatalf("a pause of %v where %v was advised", v.Pause, advice)
						case v.End == EndRefused && r.MayHaveRun():
							t.Fatal("refused after it may have run")
						}
						if v.End == Open {
							again := at(took + v.Pause)
							wait, ok := r.Send(again, false)
							if !ok || again.Mono+wait > deadline {
								t.Fatalf("a second try of %v at %v for a deadline of %v", wait, again.Mono, deadline)
							}
							if ran && effect == Keyed && again.Mono+wait > 1400*ms {
								t.Fatalf("a keyed try that may begin at %v, when its first may be forgotten", again.Mono+wait)
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
	r := Begin(&Usual, Keyed, 0, 2500*ms)
	r.Send(at(0), true)
	if v := r.Ended(at(10*ms), Broken, 0, rich(), rng()); v.End != Open {
		t.Fatalf("%+v", v)
	}
	r.Send(at(30*ms), true)
	if v := r.Ended(at(40*ms), Refused, 2*time.Second, rich(), rng()); v.End != EndUnknown {
		t.Fatalf("%+v", v)
	}
	if r.Settled() != 1400*ms*60/100+100*ms {
		t.Fatalf("settled at %v", r.Settled())
	}
}

// The first try of a keyed request ends within the window too: else its own late beginning
// at a node would be the second effect.
func TestFirstKeyedTryEndsWithinTheWindow(t *testing.T) {
	r := Begin(&Usual, Keyed, 0, 10*time.Second)
	if wait, _ := r.Send(at(0), false); wait != 1400*ms {
		t.Fatalf("waits %v", wait)
	}
}

// A refused request is not sent again where that would be after its aim; a failed one is.
func TestRefusedIsNotSentAgainAfterItsAim(t *testing.T) {
	for _, c := range []struct {
		o      Outcome
		advice time.Duration
		end    End
	}{{Refused, 100 * ms, Open}, {Refused, 400 * ms, EndRefused}, {Failed, 0, Open}} {
		r := Begin(&Usual, Safe, 500*ms, 2000*ms)
		r.Send(at(0), true)
		if v := r.Ended(at(200*ms), c.o, c.advice, rich(), rng()); v.End != c.end {
			t.Fatalf("%+v: %+v", c, v)
		}
	}
	r := Begin(&Usual, Safe, 500*ms, 2000*ms)
	r.Send(at(0), true)
	if v := r.Ended(at(600*ms), Failed, 0, rich(), rng()); v.End != Open {
		t.Fatalf("failed after its aim: %+v", v)
	}
}

// A machine that slept, or a clock that was set forward, ends the window; one that was set
// back does not lengthen it.
func TestClockSteps(t *testing.T) {
	for _, c := range []struct {
		now  Stamp
		open bool
	}{{Stamp{200 * ms, 200 * ms}, true}, {Stamp{200 * ms, time.Hour}, false}, {Stamp{200 * ms, -time.Hour}, true},
		{Stamp{1390 * ms, -time.Hour}, false}} {
		r := Begin(&Usual, Keyed, 0, 2500*ms)
		r.Send(at(0), true)
		v := r.Ended(c.now, Broken, 0, rich(), rng())
		if (v.End == Open) != c.open || !c.open && v.End != EndUnknown {
			t.Fatalf("at %+v: %+v", c.now, v)
		}
	}
}

// However badly a service does, tries stay below 1+ratio for each request.
func TestBudgetBoundsTries(t *testing.T) {
	b, rng := NewBudget(0.1, 3), rng()
	requests, tries := 0, 0
	for range 20000 {
		r := Begin(&Usual, Safe, 0, 2*time.Second)
		requests++
		for now := time.Duration(0); ; {
			if _, ok := r.Send(at(now), b.CanPay(Safe)); !ok {
				break
			}
			tries++
			now += 10 * ms
			o := Failed
			if rng.Float64() < 0.3 {
				o = Served
			}
			v := r.Ended(at(now), o, 0, b, rng)
			if v.End != Open {
				break
			}
			now += v.Pause
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
		b.Succeeded()
	}
	if b.CanPay(Safe) || !b.CanPay(Keyed) {
		t.Fatalf("%+v", b)
	}
	b.Succeeded()
	if !b.take(Safe) {
		t.Fatalf("%+v", b)
	}
}

// One broken connection a request costs no budget, and a second does.
func TestOneBrokenConnectionIsFree(t *testing.T) {
	b := &Budget{}
	r := Begin(&Usual, Safe, 0, 2*time.Second)
	r.Send(at(0), false)
	if v := r.Ended(at(0), Broken, 0, b, rng()); v.End != Open {
		t.Fatalf("%+v", v)
	}
	r.Send(at(20*ms), false)
	if v := r.Ended(at(20*ms), Broken, 0, b, rng()); v.End != EndFailed {
		t.Fatalf("%+v", v)
	}
}

// What never leaves is not tried for ever.
func TestUnsentEnds(t *testing.T) {
	r, n := Begin(&Usual, Safe, 0, time.Hour), 0
	for ; n < 1000; n++ {
		r.Send(at(0), true)
		if r.Ended(at(0), Unsent, 0, rich(), rng()).End != Open {
			break
		}
	}
	if n != mostRepairs || r.Tries() != 0 {
		t.Fatalf("%d, %d tries", n, r.Tries())
	}
}

// A pace lets all through while less than half is refused, keeps most back while all is, and
// recovers within seconds.
func TestPace(t *testing.T) {
	var p Pace
	rng := rng()
	sent := func(from, to time.Duration, refused float64) (sent, all int) {
		for now := from; now < to; now += 5 * ms {
			all++
			if p.Allow(now, rng) {
				sent++
				p.Ended(now, rng.Float64() < refused)
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
