package overload

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	sampleInterval = 100 * time.Millisecond
	second         = time.Second
)

// values are the values of some signals at one time; the other signals are unknown.
type values map[Signal]float64

// run calls at for each sampleInterval in [from, to), passes the values to a controller, and returns the transitions.
func run(t *testing.T, c *Controller, from, to time.Duration, at func(now time.Duration) values) (
	transitions []Transition) {
	t.Helper()
	for now := from; now < to; now += sampleInterval {
		signals := UnknownSignals()
		for signal, value := range at(now) {
			signals[signal] = value
		}
		transitions = c.Handle(now, Sample{signals}, transitions)
	}
	return transitions
}

func steady(signal Signal, value float64) func(time.Duration) values {
	return func(time.Duration) values { return values{signal: value} }
}

// changesPerMinute returns the largest number of changes within any sixty seconds.
func changesPerMinute(transitions []Transition) (largest int) {
	for i := range transitions {
		n := 0
		for _, later := range transitions[i:] {
			if later.At-transitions[i].At < time.Minute {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// checkTransitions checks invariant 7: each transition starts at the level at which the previous one ended, and has a
// cause.
func checkTransitions(t *testing.T, transitions []Transition) {
	t.Helper()
	level := Full
	for _, x := range transitions {
		if x.PreviousLevel != level || x.From != level.String() || x.Level == level || x.To != x.Level.String() {
			t.Fatalf("transition %+v after level %v", x, level)
		}
		if _, known := ParseLevel(x.To); !known || x.Cause == "" || x.Cause == causeUnknown {
			t.Fatalf("transition without a cause or to an unknown level: %+v", x)
		}
		raisedBySignal := x.Level > level && !x.Pinned && x.Cause != causePinEnded
		if raisedBySignal && (x.Value < x.Threshold || x.Threshold <= 0) {
			t.Fatalf("raised by a value below its threshold: %+v", x)
		}
		level = x.Level
	}
}

// eachEntry calls a function for each signal, level and entry threshold.
func eachEntry(f func(signal Signal, level Level, enter float64)) {
	for signal := range signalCount {
		for i, enter := range Thresholds[signal].Enter {
			if enter > 0 {
				f(signal, Level(i+1), enter)
			}
		}
	}
}

// TestSwingsAroundAThresholdChangeLittle checks that load that swings by 5% around a threshold changes the level at
// most twice a minute (invariant 3). Each run is ten minutes of a square or sine wave around an entry or exit
// threshold, with a period from 0.2 to 60 s.
func TestSwingsAroundAThresholdChangeLittle(t *testing.T) {
	sine := func(phase float64) float64 { return math.Sin(phase) }
	square := func(phase float64) float64 { return math.Copysign(1, math.Sin(phase)) }
	periods := []time.Duration{
		200 * time.Millisecond,
		500 * time.Millisecond,
		second,
		2 * second,
		5 * second,
		10 * second,
		20 * second,
		30 * second,
		60 * second,
	}
	changes := 0
	eachEntry(func(signal Signal, level Level, enter float64) {
		for _, threshold := range []float64{enter, enter * Thresholds[signal].Exit} {
			for _, period := range periods {
				for _, wave := range []func(float64) float64{square, sine} {
					transitions := runSwing(t, signal, enter, func(now time.Duration) float64 {
						phase := 2 * math.Pi * float64(now) / float64(period)
						return threshold * (1 + 0.05*wave(phase))
					})
					if n := changesPerMinute(transitions); n > 2 {
						t.Fatalf("%v level %d threshold %.3f period %v: %d changes in a minute: %+v",
							signal, level, threshold, period, n, transitions)
					}
					changes += len(transitions)
					checkTransitions(t, transitions)
				}
			}
		}
	})
	if changes == 0 {
		t.Error("no level was ever entered: the test has checked nothing")
	}
}

// runSwing runs ten minutes of a swing after 5 s above the entry threshold, so that the swing starts within the level
// and also tests its exit.
func runSwing(t *testing.T, signal Signal, enter float64, value func(now time.Duration) float64) []Transition {
	t.Helper()
	c := New(DefaultTimings)
	transitions := run(t, c, 0, 5*second, steady(signal, 1.04*enter))
	return append(transitions, run(t, c, 5*second, 605*second, func(now time.Duration) values {
		return values{signal: value(now)}
	})...)
}

// TestSwingsOverAllLevelsAreSlowedDown checks that load that swings between none and full overload changes the
// level at most twice a minute on average (invariant 3), because minimum stays grow.
func TestSwingsOverAllLevelsAreSlowedDown(t *testing.T) {
	for _, seconds := range []int{2, 5, 10, 20, 30, 45, 60} {
		period := time.Duration(seconds) * second
		c := New(DefaultTimings)
		transitions := run(t, c, 0, 600*second, func(now time.Duration) values {
			if now%period < period/2 {
				return values{Rejections: 1}
			}
			return values{Rejections: 0}
		})
		if n := len(transitions); n > 20 || n == 0 && period/2 > DefaultTimings.ConfirmFor {
			t.Errorf("period %v: %d changes in ten minutes", period, n)
		}
		checkTransitions(t, transitions)
	}
}

// TestLevelsAreEnteredAndLeft checks for each signal and level that the level is entered after ConfirmFor at the
// entry threshold (invariant 1), stays while the signal is between the exit and the entry threshold, and improves
// by two levels at a time at most once the signal is gone (invariant 2).
func TestLevelsAreEnteredAndLeft(t *testing.T) {
	eachEntry(func(signal Signal, level Level, enter float64) {
		c := New(DefaultTimings)
		entered := run(t, c, 0, 20*second, steady(signal, 1.001*enter))
		if len(entered) == 0 || entered[len(entered)-1].Level != level || entered[0].Cause != signal.String() {
			t.Fatalf("%v at %v: %+v, want level %v", signal, enter, entered, level)
		}
		if first := entered[0].At; first < DefaultTimings.ConfirmFor {
			t.Errorf("%v: entered after %v, want %v at least", signal, first, DefaultTimings.ConfirmFor)
		}
		between := enter * (Thresholds[signal].Exit + 1) / 2
		if got := run(t, c, 20*second, 60*second, steady(signal, between)); len(got) > 0 {
			t.Errorf("%v between exit and entry: %+v", signal, got)
		}
		left := run(t, c, 60*second, 120*second, steady(signal, 0))
		if c.Level() != Full {
			t.Errorf("%v: still at %v a minute after the signal fell to 0", signal, c.Level())
		}
		for _, x := range left {
			if x.PreviousLevel-x.Level > 2 || x.Cause != causeNoSignal {
				t.Errorf("%v: left by %+v, want two levels at most, without a signal", signal, x)
			}
		}
		checkTransitions(t, append(entered, left...))
	})
}

// TestShortPeakRaisesNoLevel checks that a signal above an entry threshold for less than ConfirmFor does not change
// the level (invariant 1).
func TestShortPeakRaisesNoLevel(t *testing.T) {
	c := New(DefaultTimings)
	transitions := run(t, c, 0, 60*second, func(now time.Duration) values {
		if now%(10*second) < 300*time.Millisecond {
			return values{LateReads: 0.3}
		}
		return values{LateReads: 0}
	})
	if len(transitions) > 0 {
		t.Errorf("peaks of 300 ms changed the level: %+v", transitions)
	}
}

// TestLevelStaysForTheFaultThatLasts checks that, when the first of two faults ends, the level in force is the one
// that the remaining fault requires.
func TestLevelStaysForTheFaultThatLasts(t *testing.T) {
	for _, test := range []struct {
		name              string
		originEnds        time.Duration // end of the origin's errors, which require Shelter
		ejectionsEnd      time.Duration // end of the ejections, which require Economy
		levelWithOneFault Level
	}{
		{"the worse ends first", 30 * second, 90 * second, Economy},
		{"the lighter ends first", 90 * second, 30 * second, Shelter},
	} {
		t.Run(test.name, func(t *testing.T) {
			at := func(now time.Duration) values {
				v := values{OriginErrors: 0, EjectedNodes: 0}
				if now < test.originEnds {
					v[OriginErrors] = 0.9
				}
				if now < test.ejectionsEnd {
					v[EjectedNodes] = 0.2
				}
				return v
			}
			c := New(DefaultTimings)
			transitions := run(t, c, 0, 20*second, at)
			last := len(transitions) - 1
			if c.Level() != Shelter || last < 0 || len(transitions[last].OtherCauses) != 1 {
				t.Fatalf("at %v with %+v", c.Level(), transitions)
			}
			transitions = append(transitions, run(t, c, 20*second, 80*second, at)...)
			if c.Level() != test.levelWithOneFault {
				t.Errorf("at %v with one fault left, want %v", c.Level(), test.levelWithOneFault)
			}
			transitions = append(transitions, run(t, c, 80*second, 160*second, at)...)
			if c.Level() != Full {
				t.Errorf("at %v after both faults, want full", c.Level())
			}
			checkTransitions(t, transitions)
		})
	}
}

// TestReturningClientsDoNotMakeTheLevelSwing checks that the level changes at most ten times until it is back at
// Full if all waiting clients return as soon as a level is left. The minimum stay must grow with each re-entry, or
// the level would swing during recovery.
func TestReturningClientsDoNotMakeTheLevelSwing(t *testing.T) {
	c := New(DefaultTimings)
	backlog := 30.0 // clients that wait to be admitted
	signals, transitions := UnknownSignals(), []Transition(nil)
	for now := time.Duration(0); now < 300*second; now += sampleInterval {
		switch {
		case now < 10*second:
			signals[Rejections] = 0.9
		case c.Level() < Handovers: // the backlog shrinks quickly, but causes rejections
			backlog = max(backlog-0.2, 0)
			signals[Rejections] = min(0.9, backlog/10)
		default: // few clients are admitted, without rejections
			backlog = max(backlog-0.05, 0)
			signals[Rejections] = 0
		}
		transitions = c.Handle(now, Sample{signals}, transitions)
	}
	if c.Level() != Full || len(transitions) > 10 {
		t.Errorf("at %v after %d changes: %+v", c.Level(), len(transitions), transitions)
	}
	checkTransitions(t, transitions)
}

// TestMissingSignalsRaiseNoLevel checks that a missing or invalid signal raises no level, and holds one for
// SignalTimeout at most (invariant 4).
func TestMissingSignalsRaiseNoLevel(t *testing.T) {
	for _, invalid := range []float64{Unknown, math.Inf(1), math.Inf(-1), -1} {
		t.Run(fmt.Sprint(invalid), func(t *testing.T) {
			c := New(DefaultTimings)
			if got := run(t, c, 0, 60*second, steady(Memory, invalid)); len(got) > 0 {
				t.Errorf("an invalid signal changed the level: %+v", got)
			}
			run(t, c, 60*second, 80*second, steady(Memory, 0.99))
			if c.Level() != Handovers {
				t.Fatalf("at %v", c.Level())
			}
			beforeTimeout := 80*second + DefaultTimings.SignalTimeout - second
			if got := run(t, c, 80*second, beforeTimeout, steady(Memory, invalid)); len(got) > 0 {
				t.Errorf("left before SignalTimeout: %+v", got)
			}
			run(t, c, 90*second, 130*second, steady(Memory, invalid))
			if c.Level() != Full {
				t.Errorf("still at %v after SignalTimeout", c.Level())
			}
		})
	}
}

// TestClockJumpsEndNoStay checks that a clock jump counts as MaxStep at most (invariant 5): a jump of an hour
// forward ends no minimum stay and confirms no signal, and a jump of an hour back does not hold a level for an
// hour.
func TestClockJumpsEndNoStay(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(jump.String(), func(t *testing.T) {
			c := New(DefaultTimings)
			signals := UnknownSignals()
			signals[Rejections] = 1
			c.Handle(0, Sample{signals}, nil)
			if got := c.Handle(jump, Sample{signals}, nil); len(got) > 0 {
				t.Errorf("entered at the second sample: %+v", got)
			}
			run(t, c, jump, jump+4*second, steady(Rejections, 1))
			if c.Level() != Shelter {
				t.Fatalf("at %v", c.Level())
			}
			signals[Rejections] = 0
			if got := c.Handle(3*jump, Sample{signals}, nil); len(got) > 0 {
				t.Errorf("left at once: %+v", got)
			}
			run(t, c, 3*jump, 3*jump+90*second, steady(Rejections, 0))
			if c.Level() != Full {
				t.Errorf("still at %v", c.Level())
			}
		})
	}
}

// TestPinRulesAndEndsDuringAFault checks that a pin alone determines the level, and that the level that the signals
// require takes effect when the pin ends (invariant 6).
func TestPinRulesAndEndsDuringAFault(t *testing.T) {
	c := New(DefaultTimings)
	transitions := c.Handle(0, Pin{Level: Economy, Duration: 30 * second}, nil)
	transitions = append(transitions, run(t, c, 0, 29*second, steady(OriginErrors, 0.9))...)
	if c.Level() != Economy || len(transitions) != 1 || !transitions[0].Pinned || transitions[0].Cause != causePin {
		t.Fatalf("under the pin at %v: %+v", c.Level(), transitions)
	}
	transitions = append(transitions, run(t, c, 29*second, 40*second, steady(OriginErrors, 0.9))...)
	if last := transitions[len(transitions)-1]; c.Level() != Shelter || last.Cause != causePinEnded || last.Pinned {
		t.Errorf("after the pin at %v: %+v", c.Level(), transitions)
	}
	transitions = c.Handle(40*second, Pin{Level: Full, Duration: time.Hour}, transitions)
	transitions = c.Handle(41*second, Unpin{}, transitions)
	if c.Level() != Shelter || len(transitions) != 4 {
		t.Errorf("unpinned at %v: %+v", c.Level(), transitions)
	}
	checkTransitions(t, transitions)
}
