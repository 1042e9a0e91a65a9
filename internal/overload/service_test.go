package overload

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const (
	tick   = 100 * time.Millisecond
	second = time.Second
)

// course feeds a module the figure that a trouble has over time, and returns the records.
// Each run is played by a twin too: the same events must give the same records.
func course(t *testing.T, m *Controller, from, to time.Duration, figures func(now time.Duration) map[Signal]float64) (records []Transition) {
	t.Helper()
	for now := from; now < to; now += tick {
		s := UnknownSignals()
		for trouble, figure := range figures(now) {
			s[trouble] = figure
		}
		records = m.Handle(now, Sample{s}, records)
	}
	return records
}

func steady(trouble Signal, figure float64) func(time.Duration) map[Signal]float64 {
	return func(time.Duration) map[Signal]float64 { return map[Signal]float64{trouble: figure} }
}

// perMinute is the largest number of changes within any sixty seconds.
func perMinute(records []Transition) (most int) {
	for i := range records {
		n := 0
		for _, r := range records[i:] {
			if r.At-records[i].At < time.Minute {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkRecords guards invariant 7: each change follows from the one before and has a cause.
func checkRecords(t *testing.T, records []Transition) {
	t.Helper()
	level := Full
	for _, r := range records {
		if r.PreviousLevel != level || r.From != level.String() || r.Level == level || r.To != r.Level.String() {
			t.Fatalf("record %+v after level %v", r, level)
		}
		if _, known := ParseLevel(r.To); !known || r.Cause == "" || r.Cause == "unknown" {
			t.Fatalf("record without a cause: %+v", r)
		}
		if r.Level > level && !r.Pinned && r.Cause != "pin ended" && (r.Value < r.Threshold || r.Threshold <= 0) {
			t.Fatalf("raised with a figure under its bound: %+v", r)
		}
		level = r.Level
	}
}

// TestSwingsRoundAThresholdChangeLittle guards invariant 3: ten minutes of 5% round each
// entry and exit, in squares and sines, at periods from 0.2 to 60 s.
func TestSwingsRoundAThresholdChangeLittle(t *testing.T) {
	periods := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, second, 2 * second, 5 * second, 10 * second, 20 * second, 30 * second, 60 * second}
	entered := 0
	for trouble := range troubles {
		for i, enter := range Thresholds[trouble].Enter {
			for _, bound := range []float64{enter, enter * Thresholds[trouble].Exit} {
				for _, period := range periods {
					for _, square := range []bool{true, false} {
						if enter == 0 {
							continue
						}
						m := New(DefaultTimings)
						// From above, so that exits are met from within the level.
						records := course(t, m, 0, 5*second, steady(trouble, 1.04*enter))
						records = append(records, course(t, m, 5*second, 605*second, func(now time.Duration) map[Signal]float64 {
							swing := math.Sin(2 * math.Pi * float64(now) / float64(period))
							if square {
								swing = math.Copysign(1, swing)
							}
							return map[Signal]float64{trouble: bound * (1 + 0.05*swing)}
						})...)
						name := fmt.Sprintf("%v level %d bound %.3f period %v", trouble, i+1, bound, period)
						if n := perMinute(records); n > 2 {
							t.Fatalf("%s: %d changes in a minute: %+v", name, n, records)
						}
						entered += len(records)
						checkRecords(t, records)
					}
				}
			}
		}
	}
	if entered == 0 {
		t.Error("no level was ever entered: nothing was shown")
	}
}

// TestSwingsOverAllLevelsAreSlowedDown guards invariant 3 for what swings between nothing
// and everything: least stays grow until two changes a minute are left on average.
func TestSwingsOverAllLevelsAreSlowedDown(t *testing.T) {
	for _, period := range []time.Duration{2 * second, 5 * second, 10 * second, 20 * second, 30 * second, 45 * second, 60 * second} {
		m := New(DefaultTimings)
		records := course(t, m, 0, 600*second, func(now time.Duration) map[Signal]float64 {
			if now%period < period/2 {
				return map[Signal]float64{Rejections: 1}
			}
			return map[Signal]float64{Rejections: 0}
		})
		if len(records) > 20 || len(records) == 0 && period/2 > DefaultTimings.ConfirmFor {
			t.Errorf("period %v: %d changes in ten minutes", period, len(records))
		}
		checkRecords(t, records)
	}
}

// TestLevelsAreEnteredAndLeft guards invariants 1 and 2 for each trouble and level.
func TestLevelsAreEnteredAndLeft(t *testing.T) {
	for trouble := range troubles {
		for i, enter := range Thresholds[trouble].Enter {
			if enter == 0 {
				continue
			}
			want := Level(i + 1)
			m := New(DefaultTimings)
			records := course(t, m, 0, 20*second, steady(trouble, 1.001*enter))
			if len(records) == 0 || records[len(records)-1].Level != want || records[0].Cause != trouble.String() {
				t.Fatalf("%v at %v: %+v, want level %v", trouble, enter, records, want)
			}
			if first := records[0].At; first < DefaultTimings.ConfirmFor {
				t.Errorf("%v: entered after %v, want %v at least", trouble, first, DefaultTimings.ConfirmFor)
			}
			if got := course(t, m, 20*second, 60*second, steady(trouble, enter*(Thresholds[trouble].Exit+1)/2)); len(got) > 0 {
				t.Errorf("%v between exit and entry: %+v", trouble, got)
			}
			left := course(t, m, 60*second, 120*second, steady(trouble, 0))
			if m.Level() != Full {
				t.Errorf("%v: still at %v a minute after its end", trouble, m.Level())
			}
			for _, r := range left {
				if r.PreviousLevel-r.Level > 2 || r.Cause != "calm" {
					t.Errorf("%v: left by %+v", trouble, r)
				}
			}
			checkRecords(t, append(records, left...))
		}
	}
}

// TestShortTroubleIsNone guards the confirmation: a single sample is no trouble.
func TestShortTroubleIsNone(t *testing.T) {
	m := New(DefaultTimings)
	records := course(t, m, 0, 60*second, func(now time.Duration) map[Signal]float64 {
		if now%(10*second) < 300*time.Millisecond {
			return map[Signal]float64{LateReads: 0.3}
		}
		return map[Signal]float64{LateReads: 0}
	})
	if len(records) > 0 {
		t.Errorf("%+v", records)
	}
}

// TestTwoTroublesTogether guards against a level that is left with the first of two.
func TestTwoTroublesTogether(t *testing.T) {
	for name, ends := range map[string][2]time.Duration{"the worse ends first": {30 * second, 90 * second}, "the lighter ends first": {90 * second, 30 * second}} {
		m := New(DefaultTimings)
		at := func(now time.Duration) map[Signal]float64 {
			f := map[Signal]float64{OriginErrors: 0, EjectedNodes: 0}
			if now < ends[0] {
				f[OriginErrors] = 0.9
			}
			if now < ends[1] {
				f[EjectedNodes] = 0.2
			}
			return f
		}
		records := course(t, m, 0, 20*second, at)
		if m.Level() != Shelter || len(records) == 0 || len(records[len(records)-1].OtherCauses) != 1 {
			t.Fatalf("%s: at %v with %+v", name, m.Level(), records)
		}
		records = append(records, course(t, m, 20*second, 80*second, at)...)
		if want := map[bool]Level{true: Economy, false: Shelter}[ends[0] < ends[1]]; m.Level() != want {
			t.Errorf("%s: at %v with one of the two left, want %v", name, m.Level(), want)
		}
		records = append(records, course(t, m, 80*second, 160*second, at)...)
		if m.Level() != Full {
			t.Errorf("%s: at %v after both", name, m.Level())
		}
		checkRecords(t, records)
	}
}

// TestEveryoneComesBack guards recovery: clients that all come back as a level is left must
// make it stay for longer, not swing.
func TestEveryoneComesBack(t *testing.T) {
	m := New(DefaultTimings)
	var backlog float64 = 30 // of clients that wait outside
	s, records := UnknownSignals(), []Transition(nil)
	for now := time.Duration(0); now < 300*second; now += tick {
		if now >= 10*second && m.Level() < Handovers {
			backlog = max(backlog-0.2, 0) // those let in are served, if all are late meanwhile
			s[Rejections] = min(0.9, backlog/10)
		} else if now >= 10*second {
			backlog = max(backlog-0.05, 0) // few are let in
			s[Rejections] = 0
		} else {
			s[Rejections] = 0.9
		}
		records = m.Handle(now, Sample{s}, records)
	}
	if m.Level() != Full || len(records) > 10 {
		t.Errorf("at %v after %d changes: %+v", m.Level(), len(records), records)
	}
	checkRecords(t, records)
}

// TestMissingSignalsAreNoTrouble guards invariant 4.
func TestMissingSignalsAreNoTrouble(t *testing.T) {
	for _, nonsense := range []float64{Unknown, math.Inf(1), math.Inf(-1), -1} {
		m := New(DefaultTimings)
		if records := course(t, m, 0, 60*second, steady(Memory, nonsense)); len(records) > 0 {
			t.Errorf("%v: %+v", nonsense, records)
		}
		course(t, m, 60*second, 80*second, steady(Memory, 0.99))
		if m.Level() != Handovers {
			t.Fatalf("at %v", m.Level())
		}
		if records := course(t, m, 80*second, 80*second+DefaultTimings.SignalTimeout-second, steady(Memory, nonsense)); len(records) > 0 {
			t.Errorf("%v: left as soon as the signal was: %+v", nonsense, records)
		}
		course(t, m, 90*second, 130*second, steady(Memory, nonsense))
		if m.Level() != Full {
			t.Errorf("%v: held at %v by a signal that is long gone", nonsense, m.Level())
		}
	}
}

// TestClockThatJumps guards invariant 5: an hour forward ends no stay and confirms nothing, an
// hour back holds nothing for an hour.
func TestClockThatJumps(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		m := New(DefaultTimings)
		s := UnknownSignals()
		s[Rejections] = 1
		m.Handle(0, Sample{s}, nil)
		if got := m.Handle(jump, Sample{s}, nil); len(got) > 0 {
			t.Errorf("jump of %v: entered at the second sample: %+v", jump, got)
		}
		course(t, m, jump, jump+4*second, steady(Rejections, 1))
		if m.Level() != Shelter {
			t.Fatalf("jump of %v: at %v", jump, m.Level())
		}
		s[Rejections] = 0
		if got := m.Handle(3*jump, Sample{s}, nil); len(got) > 0 {
			t.Errorf("jump of %v: left at once: %+v", jump, got)
		}
		course(t, m, 3*jump, 3*jump+90*second, steady(Rejections, 0))
		if m.Level() != Full {
			t.Errorf("jump of %v: still at %v", jump, m.Level())
		}
	}
}

// TestPinRulesAndEndsDuringTrouble guards invariant 6.
func TestPinRulesAndEndsDuringTrouble(t *testing.T) {
	m := New(DefaultTimings)
	records := m.Handle(0, Pin{Level: Economy, Duration: 30 * second}, nil)
	records = append(records, course(t, m, 0, 29*second, steady(OriginErrors, 0.9))...)
	if m.Level() != Economy || len(records) != 1 || !records[0].Pinned || records[0].Cause != "pin" {
		t.Fatalf("under the pin at %v: %+v", m.Level(), records)
	}
	records = append(records, course(t, m, 29*second, 40*second, steady(OriginErrors, 0.9))...)
	if last := records[len(records)-1]; m.Level() != Shelter || last.Cause != "pin ended" || last.Pinned {
		t.Errorf("after the pin at %v: %+v", m.Level(), records)
	}
	records = m.Handle(40*second, Pin{Level: Full, Duration: time.Hour}, records)
	records = m.Handle(41*second, Unpin{}, records)
	if m.Level() != Shelter || len(records) != 4 {
		t.Errorf("unpinned at %v: %+v", m.Level(), records)
	}
	checkRecords(t, records)
}

// TestFewRequestsAreNoTrouble guards a proxy that sees a request now and then.
func TestFewRequestsAreNoTrouble(t *testing.T) {
	var meter Meter
	m := New(DefaultTimings)
	rng := rand.New(rand.NewPCG(1, 2))
	for now := time.Duration(0); now < 600*second; now += tick {
		c := Counts{}
		if rng.Float64() < 0.05 { // one in two seconds, one in ten of them late
			c.Reads, c.Offered = 1, 1
			if rng.Float64() < 0.1 {
				c.LateReads = 1
			}
		}
		meter.Add(now, c)
		s := UnknownSignals()
		meter.Fill(&s)
		if got := m.Handle(now, Sample{s}, nil); len(got) > 0 {
			t.Fatalf("%+v", got)
		}
	}
}

// TestMeterKnowsWhatItSaw guards the shares: of many, of nothing, and of nonsense.
func TestMeterKnowsWhatItSaw(t *testing.T) {
	var meter Meter
	s := UnknownSignals()
	if meter.Fill(&s); !math.IsNaN(s[Rejections]) {
		t.Errorf("of nothing: %v", s[Rejections])
	}
	for i := range 100 {
		meter.Add(time.Duration(i)*tick, Counts{Offered: 100, Rejected: 50, Handovers: math.NaN(), LateHandovers: 1, Reads: 1, LateReads: 2, Fetches: -1})
	}
	meter.Fill(&s)
	if s[Rejections] < 0.45 || s[Rejections] > 0.5 {
		t.Errorf("half turned away is %v", s[Rejections])
	}
	for _, trouble := range []Signal{LateHandovers, LateReads, OriginErrors} {
		if !math.IsNaN(s[trouble]) {
			t.Errorf("of nonsense %v is %v", trouble, s[trouble])
		}
	}
	meter.Add(time.Hour, Counts{})
	if meter.Fill(&s); !math.IsNaN(s[Rejections]) {
		t.Errorf("an hour later: %v", s[Rejections])
	}
}

// TestRandomLivesKeepTheInvariants plays random signals, gaps, jumps and pins against the
// rules, each life with a twin.
func TestRandomLivesKeepTheInvariants(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		m, twin := New(DefaultTimings), New(DefaultTimings)
		var records, again []Transition
		now, own, raised := time.Duration(rng.Int64N(int64(time.Hour))), time.Duration(0), time.Duration(0)
		base := UnknownSignals()
		for range 600 {
			step := time.Duration(rng.Int64N(int64(second)))
			if rng.IntN(100) == 0 {
				step = time.Duration(rng.Int64N(int64(2*time.Hour))) - time.Hour
			}
			now += step
			own += min(max(step, 0), DefaultTimings.MaxStep)
			if rng.IntN(20) == 0 {
				trouble := rng.IntN(int(troubles))
				base[trouble] = rng.Float64() * 1.5 * max(Thresholds[trouble].Enter[0], Thresholds[trouble].Enter[rng.IntN(4)])
				if rng.IntN(4) == 0 {
					base[trouble] = []float64{Unknown, math.Inf(1), -3, 1e300}[rng.IntN(4)]
				}
			}
			var e Event = Sample{base}
			switch rng.IntN(200) {
			case 0:
				e = Pin{Level: Level(rng.IntN(7)), Duration: time.Duration(rng.Int64N(int64(time.Minute)))}
			case 1:
				e = Unpin{}
			}
			n, level := len(records), m.level
			records = m.Handle(now, e, records)
			again = twin.Handle(now, e, again)
			if m.Level() >= levels {
				t.Fatalf("seed %d: level %v", seed, m.Level())
			}
			if len(records)-n > 1 {
				t.Fatalf("seed %d: %d changes by one event", seed, len(records)-n)
			}
			switch {
			case m.level > level:
				raised = own
			case m.level < level && own-raised < DefaultTimings.MinStay:
				t.Fatalf("seed %d: %v left %v after it was entered", seed, level, own-raised)
			case level-m.level > 2 && m.level < level:
				t.Fatalf("seed %d: from %v to %v at once", seed, level, m.level)
			}
		}
		checkRecords(t, records)
		if !reflect.DeepEqual(records, again) {
			t.Fatalf("seed %d: the twin did otherwise", seed)
		}
		if _, err := json.Marshal(records); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
