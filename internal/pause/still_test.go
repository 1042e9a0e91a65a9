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

func run(t *testing.T, steps []step) *Module {
	t.Helper()
	m := New(Usual, Reading{})
	for i, s := range steps {
		m.Held(s.held)
		if got := m.Handle(s.at, s.event, nil); !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d at %v: %+v, want %+v", i, s.at, got, s.want)
		}
	}
	return m
}

func TestModule(t *testing.T) {
	stood := func(from, to time.Duration) Stood { return Stood{Gap{From: from, To: to}} }
	for name, steps := range map[string][]step{
		"ticks in time tell nothing": {{50 * ms, Look{}, 0, nil}, {100 * ms, Look{}, 0, nil}, {399 * ms, Look{}, 0, nil}},
		"a stop, lists heard, nothing held": {{50 * ms, Look{}, 0, nil}, {350 * ms, Look{}, 0, []Action{stood(50*ms, 350*ms), Again{250 * ms}}},
			{355 * ms, Heard{}, 0, []Action{Awake{5 * ms}}}, {400 * ms, Look{}, 0, nil}},
		"what is held goes in portions": {{time.Second, Look{}, 0, []Action{stood(0, time.Second), Again{250 * ms}}},
			{1010 * ms, Look{}, 40, nil}, {1020 * ms, Heard{}, 40, []Action{Release{32}, Again{5 * ms}}},
			{1022 * ms, Look{}, 8, nil}, {1025 * ms, Look{}, 8, []Action{Release{32}, Awake{25 * ms}}},
			{1030 * ms, Look{}, 0, nil}},
		"lists that never come": {{time.Second, Look{}, 0, []Action{stood(0, time.Second), Again{250 * ms}}},
			{1249 * ms, Look{}, 3, nil}, {1250 * ms, Look{}, 3, []Action{Release{32}, Awake{250 * ms}}}},
		"the machine slept, the clock did not count it": {{50 * ms, Look{}, 0, nil},
			{60 * ms, Look{6 * time.Second}, 0, []Action{Stood{Gap{From: 50 * ms, To: 60 * ms, Asleep: 6 * time.Second}}, Again{250 * ms}}},
			{70 * ms, Look{6 * time.Second}, 0, nil}},
		"a second stop before all is as before counts from the first": {{time.Second, Look{}, 0, []Action{stood(0, time.Second), Again{250 * ms}}},
			{1010 * ms, Look{}, 1, nil}, {2 * time.Second, Look{}, 1, []Action{stood(0, 2*time.Second), Again{250 * ms}}},
			{2010 * ms, Heard{}, 0, []Action{Awake{10 * ms}}}, {2050 * ms, Look{}, 0, nil},
			{2600 * ms, Look{}, 0, []Action{stood(0, 2600*ms), Again{250 * ms}}}},
		"a second stop long after is one of its own": {{time.Second, Look{}, 0, []Action{stood(0, time.Second), Again{250 * ms}}},
			{1010 * ms, Heard{}, 0, []Action{Awake{10 * ms}}}, {1250 * ms, Look{}, 0, nil},
			{1600 * ms, Look{}, 0, []Action{stood(1250*ms, 1600*ms), Again{250 * ms}}}},
		"a reading that was overtaken tells nothing": {{time.Second, Look{}, 0, []Action{stood(0, time.Second), Again{250 * ms}}},
			{200 * ms, Look{}, 0, nil}},
		"lists that come unasked": {{50 * ms, Heard{}, 0, nil}},
	} {
		t.Run(name, func(t *testing.T) { run(t, steps) })
	}
}

// TestStopsAreTold guards invariants 1 to 4 by random lives: ticks that come late within bounds, looks
// by others between them, and stops anywhere.
func TestStopsAreTold(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := New(Usual, Reading{})
		now, awakeBy := time.Duration(0), time.Duration(0)
		var ahead time.Duration
		for range 400 {
			jitter := time.Duration(r.Int64N(int64(Usual.Tick)))
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
			m.Held(r.IntN(3))
			told := false
			for _, a := range m.Handle(now, Look{ahead}, nil) {
				if s, ok := a.(Stood); ok {
					told = true
					if s.Gap.From > from || s.Gap.To != now || s.Gap.Long() < stop+sleep {
						t.Fatalf("seed %d: stop of %v and %v from %v told as %+v", seed, stop, sleep, from, s.Gap)
					}
					awakeBy = now + Usual.Wake
				}
			}
			if must := stop+sleep >= Usual.Least; must && !told {
				t.Fatalf("seed %d: stop of %v and %v not told", seed, stop, sleep)
			}
			if told && jitter+stop+sleep < Usual.Least {
				t.Fatalf("seed %d: told after %v", seed, jitter+stop+sleep)
			}
			if m.state == waking && now > awakeBy {
				t.Fatalf("seed %d: still waking at %v, woken by %v", seed, now, awakeBy)
			}
		}
	}
}

func TestAge(t *testing.T) {
	gap := Gap{From: 1000 * ms, To: 7000 * ms}
	unknown, alone := Kernel{}, func(age time.Duration) Kernel { return Kernel{Known: true, Age: age, Alone: true} }
	for _, c := range []struct {
		name string
		read Read
		gap  Gap
		k    Kernel
		want Age
	}{
		{"no stop", Read{0, 10 * ms, 20 * ms}, Gap{}, unknown, Age{20 * ms, 20 * ms}},
		{"read clean since", Read{7010 * ms, 7010 * ms, 7020 * ms}, gap, unknown, Age{7020 * ms, 7020 * ms}},
		{"unread when it stopped", Read{900 * ms, 900 * ms, 7001 * ms}, gap, unknown, Age{1000 * ms, 7001 * ms}},
		{"read clean within the stop", Read{1100 * ms, 1100 * ms, 7001 * ms}, gap, unknown, Age{1100 * ms, 7001 * ms}},
		{"the kernel knows, one command", Read{900 * ms, 900 * ms, 7001 * ms}, gap, alone(2000 * ms), Age{4991 * ms, 5001 * ms}},
		{"the kernel knows of the last of several", Read{900 * ms, 900 * ms, 7001 * ms}, gap, Kernel{Known: true, Age: 2000 * ms}, Age{1000 * ms, 5001 * ms}},
		{"the kernel's age is from before the stop", Read{0, 900 * ms, 7001 * ms}, gap, alone(6500 * ms), Age{1000 * ms, 1000 * ms}},
		{"the machine slept", Read{900 * ms, 900 * ms, 1050 * ms}, Gap{1000 * ms, 1040 * ms, 300 * ms}, unknown, Age{700 * ms, 1050 * ms}},
		{"a new connection", Read{0, 7002 * ms, 7003 * ms}, gap, unknown, Age{1000 * ms, 7003 * ms}},
	} {
		if got := AgeOf(c.read, c.gap, c.k); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCleanAfter(t *testing.T) {
	gap, pause := Gap{From: 1000 * ms, To: 7000 * ms}, Gap{From: 8000 * ms, To: 8150 * ms}
	for _, c := range []struct {
		read  Read
		short bool
		want  time.Duration
	}{
		{Read{10 * ms, 7100 * ms, 7200 * ms}, true, 7200 * ms},
		{Read{10 * ms, 7100 * ms, 7200 * ms}, false, 10 * ms},
		{Read{10 * ms, 900 * ms, 7001 * ms}, true, 900 * ms}, // a stop within: at its beginning, for all that is known
		{Read{950 * ms, 900 * ms, 7001 * ms}, true, 950 * ms},
		{Read{10 * ms, 7900 * ms, 8150 * ms}, true, 8000 * ms}, // a pause within, which may have followed upon the read
		{Read{10 * ms, 8160 * ms, 8170 * ms}, true, 8170 * ms},
	} {
		if got := c.read.CleanAfter(c.short, gap, pause); got != c.want {
			t.Errorf("%+v, short %v: %v, want %v", c.read, c.short, got, c.want)
		}
	}
}

// TestCleanAtAccept: what a connection may have waited through counts, and no stop of long ago does.
func TestCleanAtAccept(t *testing.T) {
	const now = 100 * time.Second
	longAgo, justNow := Gap{From: 10 * time.Second, To: 16 * time.Second}, Gap{From: now - 900*ms, To: now - 500*ms}
	waited, pause := Gap{From: now - 350*ms, To: now}, Gap{From: now - 160*ms, To: now - 10*ms}
	for _, c := range []struct {
		name                string
		waited, stop, pause Gap
		want                time.Duration
	}{
		{"nothing of late", Gap{}, longAgo, Gap{From: time.Second, To: 1100 * ms}, now},
		{"a stop", Gap{}, justNow, Gap{}, 0},
		{"a stop, and a wait", waited, justNow, pause, 0},
		{"a wait", waited, longAgo, Gap{}, now - 350*ms},
		{"a pause", Gap{}, longAgo, pause, now - 160*ms},
	} {
		if got := CleanAtAccept(now, c.waited, c.stop, c.pause); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestJudge(t *testing.T) {
	const wait, window = 2500 * ms, 1500 * ms
	exact, vague := Age{5000 * ms, 5000 * ms}, Age{1000 * ms, 5000 * ms}
	for _, c := range []struct {
		name   string
		now    time.Duration
		effect Effect
		age    Age
		want   Verdict
	}{
		{"just read", 5000 * ms, Keyed, exact, Verdict{false, 7500 * ms}},
		{"its client still waits", 7400 * ms, Keyed, exact, Verdict{false, 7500 * ms}},
		{"its client has gone", 7500 * ms, Keyed, exact, Verdict{true, 7500 * ms}},
		{"a keyed one that may be old", 5000 * ms, Keyed, vague, Verdict{true, 2400 * ms}},
		{"one that can't be so old", 2000 * ms, Keyed, Age{1000 * ms, 2000 * ms}, Verdict{false, 2400 * ms}},
		{"an unsafe one that may be old", 5000 * ms, Unsafe, vague, Verdict{true, 3500 * ms}},
		{"an unsafe one within its client's wait", 3000 * ms, Unsafe, Age{1000 * ms, 3000 * ms}, Verdict{false, 3500 * ms}},
		{"a read that may be young", 5000 * ms, Safe, vague, Verdict{false, 7500 * ms}},
		{"a read that is surely old", 5000 * ms, Safe, Age{1000 * ms, 2000 * ms}, Verdict{true, 4500 * ms}},
	} {
		if got := Judge(c.now, c.effect, wait, window, c.age); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
