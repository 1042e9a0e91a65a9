package pause

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// step is one event and what it is to bring.
type step struct {
	at    time.Duration
	event Event
	held  int
	want  []Action
}

func run(t *testing.T, steps []step) *Detector {
	t.Helper()
	m := New(DefaultLimits, ClockReading{})
	for i, s := range steps {
		m.SetHeldSends(s.held)
		if got := m.Handle(s.at, s.event, nil); !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d at %v: %+v, want %+v", i, s.at, got, s.want)
		}
	}
	return m
}

func TestModule(t *testing.T) {
	stood := func(from, to time.Duration) Paused { return Paused{Interval{Start: from, End: to}} }
	for name, steps := range map[string][]step{
		"ticks in time tell nothing": {{50 * ms, ClockChecked{}, 0, nil}, {100 * ms, ClockChecked{}, 0, nil}, {399 * ms, ClockChecked{}, 0, nil}},
		"a stop, lists heard, nothing held": {{50 * ms, ClockChecked{}, 0, nil}, {350 * ms, ClockChecked{}, 0, []Action{stood(50*ms, 350*ms), CheckAgain{250 * ms}}},
			{355 * ms, ListsRefreshed{}, 0, []Action{Resumed{5 * ms}}}, {400 * ms, ClockChecked{}, 0, nil}},
		"what is held goes in portions": {{time.Second, ClockChecked{}, 0, []Action{stood(0, time.Second), CheckAgain{250 * ms}}},
			{1010 * ms, ClockChecked{}, 40, nil}, {1020 * ms, ListsRefreshed{}, 40, []Action{ReleaseSends{32}, CheckAgain{5 * ms}}},
			{1022 * ms, ClockChecked{}, 8, nil}, {1025 * ms, ClockChecked{}, 8, []Action{ReleaseSends{32}, Resumed{25 * ms}}},
			{1030 * ms, ClockChecked{}, 0, nil}},
		"lists that never come": {{time.Second, ClockChecked{}, 0, []Action{stood(0, time.Second), CheckAgain{250 * ms}}},
			{1249 * ms, ClockChecked{}, 3, nil}, {1250 * ms, ClockChecked{}, 3, []Action{ReleaseSends{32}, Resumed{250 * ms}}}},
		"the machine slept, the clock did not count it": {{50 * ms, ClockChecked{}, 0, nil},
			{60 * ms, ClockChecked{6 * time.Second}, 0, []Action{Paused{Interval{Start: 50 * ms, End: 60 * ms, Slept: 6 * time.Second}}, CheckAgain{250 * ms}}},
			{70 * ms, ClockChecked{6 * time.Second}, 0, nil}},
		"a second stop before all is as before counts from the first": {{time.Second, ClockChecked{}, 0, []Action{stood(0, time.Second), CheckAgain{250 * ms}}},
			{1010 * ms, ClockChecked{}, 1, nil}, {2 * time.Second, ClockChecked{}, 1, []Action{stood(0, 2*time.Second), CheckAgain{250 * ms}}},
			{2010 * ms, ListsRefreshed{}, 0, []Action{Resumed{10 * ms}}}, {2050 * ms, ClockChecked{}, 0, nil},
			{2600 * ms, ClockChecked{}, 0, []Action{stood(0, 2600*ms), CheckAgain{250 * ms}}}},
		"a second stop long after is one of its own": {{time.Second, ClockChecked{}, 0, []Action{stood(0, time.Second), CheckAgain{250 * ms}}},
			{1010 * ms, ListsRefreshed{}, 0, []Action{Resumed{10 * ms}}}, {1250 * ms, ClockChecked{}, 0, nil},
			{1600 * ms, ClockChecked{}, 0, []Action{stood(1250*ms, 1600*ms), CheckAgain{250 * ms}}}},
		"a reading that was overtaken tells nothing": {{time.Second, ClockChecked{}, 0, []Action{stood(0, time.Second), CheckAgain{250 * ms}}},
			{200 * ms, ClockChecked{}, 0, nil}},
		"lists that come unasked": {{50 * ms, ListsRefreshed{}, 0, nil}},
	} {
		t.Run(name, func(t *testing.T) { run(t, steps) })
	}
}

// TestStopsAreTold guards invariants 1 to 4 by random lives: ticks that come late within bounds, looks
// by others between them, and stops anywhere.
func TestStopsAreTold(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := New(DefaultLimits, ClockReading{})
		now, awakeBy := time.Duration(0), time.Duration(0)
		var ahead time.Duration
		for range 400 {
			jitter := time.Duration(r.Int64N(int64(DefaultLimits.CheckInterval)))
			stop, sleep := time.Duration(0), time.Duration(0)
			if r.IntN(20) == 0 {
				stop = time.Duration(r.Int64N(int64(time.Second)))
			}
			if r.IntN(50) == 0 {
				sleep = time.Duration(r.Int64N(int64(time.Second)))
			}
			from := now
			now += jitter + stop
			ahead += sleep
			m.SetHeldSends(r.IntN(3))
			told := false
			for _, a := range m.Handle(now, ClockChecked{ahead}, nil) {
				if s, ok := a.(Paused); ok {
					told = true
					if s.Interval.Start > from || s.Interval.End != now || s.Interval.Duration() < stop+sleep {
						t.Fatalf("seed %d: stop of %v and %v from %v told as %+v", seed, stop, sleep, from, s.Interval)
					}
					awakeBy = now + DefaultLimits.MaxHold
				}
			}
			if must := stop+sleep >= DefaultLimits.MinPause; must && !told {
				t.Fatalf("seed %d: stop of %v and %v not told", seed, stop, sleep)
			}
			if told && jitter+stop+sleep < DefaultLimits.MinPause {
				t.Fatalf("seed %d: told after %v", seed, jitter+stop+sleep)
			}
			if m.state == recovering && now > awakeBy {
				t.Fatalf("seed %d: still waking at %v, woken by %v", seed, now, awakeBy)
			}
		}
	}
}

func TestAge(t *testing.T) {
	gap := Interval{Start: 1000 * ms, End: 7000 * ms}
	unknown, alone := KernelInfo{}, func(age time.Duration) KernelInfo {
		return KernelInfo{Known: true, SinceLastByte: age, SingleCommand: true}
	}
	for _, c := range []struct {
		name string
		read ReadTiming
		gap  Interval
		k    KernelInfo
		want Arrival
	}{
		{"no stop", ReadTiming{0, 10 * ms, 20 * ms}, Interval{}, unknown, Arrival{20 * ms, 20 * ms}},
		{"read clean since", ReadTiming{7010 * ms, 7010 * ms, 7020 * ms}, gap, unknown, Arrival{7020 * ms, 7020 * ms}},
		{"unread when it stopped", ReadTiming{900 * ms, 900 * ms, 7001 * ms}, gap, unknown, Arrival{1000 * ms, 7001 * ms}},
		{"read clean within the stop", ReadTiming{1100 * ms, 1100 * ms, 7001 * ms}, gap, unknown, Arrival{1100 * ms, 7001 * ms}},
		{"the kernel knows, one command", ReadTiming{900 * ms, 900 * ms, 7001 * ms}, gap, alone(2000 * ms), Arrival{4991 * ms, 5001 * ms}},
		{"the kernel knows of the last of several", ReadTiming{900 * ms, 900 * ms, 7001 * ms}, gap, KernelInfo{Known: true, SinceLastByte: 2000 * ms}, Arrival{1000 * ms, 5001 * ms}},
		{"the kernel's age is from before the stop", ReadTiming{0, 900 * ms, 7001 * ms}, gap, alone(6500 * ms), Arrival{1000 * ms, 1000 * ms}},
		{"the machine slept", ReadTiming{900 * ms, 900 * ms, 1050 * ms}, Interval{1000 * ms, 1040 * ms, 300 * ms}, unknown, Arrival{700 * ms, 1050 * ms}},
		{"a new connection", ReadTiming{0, 7002 * ms, 7003 * ms}, gap, unknown, Arrival{1000 * ms, 7003 * ms}},
	} {
		if got := EstimateArrival(c.read, c.gap, c.k); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCleanAfter(t *testing.T) {
	gap, pause := Interval{Start: 1000 * ms, End: 7000 * ms}, Interval{Start: 8000 * ms, End: 8150 * ms}
	for _, c := range []struct {
		read  ReadTiming
		short bool
		want  time.Duration
	}{
		{ReadTiming{10 * ms, 7100 * ms, 7200 * ms}, true, 7200 * ms},
		{ReadTiming{10 * ms, 7100 * ms, 7200 * ms}, false, 10 * ms},
		{ReadTiming{10 * ms, 900 * ms, 7001 * ms}, true, 900 * ms}, // a stop within: at its beginning, for all that is known
		{ReadTiming{950 * ms, 900 * ms, 7001 * ms}, true, 950 * ms},
		{ReadTiming{10 * ms, 7900 * ms, 8150 * ms}, true, 8000 * ms}, // a pause within, which may have followed upon the read
		{ReadTiming{10 * ms, 8160 * ms, 8170 * ms}, true, 8170 * ms},
	} {
		if got := c.read.DrainedAfter(c.short, gap, pause); got != c.want {
			t.Errorf("%+v, short %v: %v, want %v", c.read, c.short, got, c.want)
		}
	}
}

// TestCleanAtAccept: what a connection may have waited through counts, and no stop of long ago does.
func TestCleanAtAccept(t *testing.T) {
	const now = 100 * time.Second
	longAgo, justNow := Interval{Start: 10 * time.Second, End: 16 * time.Second}, Interval{Start: now - 900*ms, End: now - 500*ms}
	waited, pause := Interval{Start: now - 350*ms, End: now}, Interval{Start: now - 160*ms, End: now - 10*ms}
	for _, c := range []struct {
		name                string
		waited, stop, pause Interval
		want                time.Duration
	}{
		{"nothing of late", Interval{}, longAgo, Interval{Start: time.Second, End: 1100 * ms}, now},
		{"a stop", Interval{}, justNow, Interval{}, 0},
		{"a stop, and a wait", waited, justNow, pause, 0},
		{"a wait", waited, longAgo, Interval{}, now - 350*ms},
		{"a pause", Interval{}, longAgo, pause, now - 160*ms},
	} {
		if got := DrainedAtAccept(now, c.waited, c.stop, c.pause); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestJudge(t *testing.T) {
	const wait, window = 2500 * ms, 1500 * ms
	exact, vague := Arrival{5000 * ms, 5000 * ms}, Arrival{1000 * ms, 5000 * ms}
	for _, c := range []struct {
		name   string
		now    time.Duration
		effect Idempotency
		age    Arrival
		want   AgeDecision
	}{
		{"just read", 5000 * ms, IdempotentWithKey, exact, AgeDecision{false, 7500 * ms}},
		{"its client still waits", 7400 * ms, IdempotentWithKey, exact, AgeDecision{false, 7500 * ms}},
		{"its client has gone", 7500 * ms, IdempotentWithKey, exact, AgeDecision{true, 7500 * ms}},
		{"a keyed one that may be old", 5000 * ms, IdempotentWithKey, vague, AgeDecision{true, 2400 * ms}},
		{"one that can't be so old", 2000 * ms, IdempotentWithKey, Arrival{1000 * ms, 2000 * ms}, AgeDecision{false, 2400 * ms}},
		{"an unsafe one that may be old", 5000 * ms, NotIdempotent, vague, AgeDecision{true, 3500 * ms}},
		{"an unsafe one within its client's wait", 3000 * ms, NotIdempotent, Arrival{1000 * ms, 3000 * ms}, AgeDecision{false, 3500 * ms}},
		{"a read that may be young", 5000 * ms, Idempotent, vague, AgeDecision{false, 7500 * ms}},
		{"a read that is surely old", 5000 * ms, Idempotent, Arrival{1000 * ms, 2000 * ms}, AgeDecision{true, 4500 * ms}},
	} {
		if got := DecideByAge(c.now, c.effect, wait, window, c.age); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
