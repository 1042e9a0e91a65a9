package pause

import (
	"testing"
	"time"
)

func TestEstimateArrival(t *testing.T) {
	pause := Interval{Start: 1000 * ms, End: 7000 * ms}
	slept := Interval{Start: 1000 * ms, End: 1040 * ms, Slept: 300 * ms}
	unread := ReadTiming{900 * ms, 900 * ms, 7001 * ms} // the bytes were not read yet when the process paused
	unknown := KernelInfo{}
	singleCommand := func(sinceLastByte time.Duration) KernelInfo {
		return KernelInfo{Known: true, SinceLastByte: sinceLastByte, SingleCommand: true}
	}
	severalCommands := KernelInfo{Known: true, SinceLastByte: 2000 * ms}
	for _, test := range []struct {
		name   string
		read   ReadTiming
		pause  Interval
		kernel KernelInfo
		want   Arrival
	}{
		{"no pause", ReadTiming{0, 10 * ms, 20 * ms}, Interval{}, unknown, Arrival{20 * ms, 20 * ms}},
		{"drained since", ReadTiming{7010 * ms, 7010 * ms, 7020 * ms}, pause, unknown,
			Arrival{7020 * ms, 7020 * ms}},
		{"unread when it paused", unread, pause, unknown, Arrival{1000 * ms, 7001 * ms}},
		{"drained within the pause", ReadTiming{1100 * ms, 1100 * ms, 7001 * ms}, pause, unknown,
			Arrival{1100 * ms, 7001 * ms}},
		{"the kernel reports the age of one command", unread, pause, singleCommand(2000 * ms),
			Arrival{4991 * ms, 5001 * ms}},
		{"the kernel reports the age of the last of several commands", unread, pause, severalCommands,
			Arrival{1000 * ms, 5001 * ms}},
		{"the kernel's age is from before the pause", ReadTiming{0, 900 * ms, 7001 * ms}, pause,
			singleCommand(6500 * ms), Arrival{1000 * ms, 1000 * ms}},
		{"the machine slept", ReadTiming{900 * ms, 900 * ms, 1050 * ms}, slept, unknown,
			Arrival{700 * ms, 1050 * ms}},
		{"a new connection", ReadTiming{0, 7002 * ms, 7003 * ms}, pause, unknown,
			Arrival{1000 * ms, 7003 * ms}},
	} {
		if got := EstimateArrival(test.read, test.pause, test.kernel); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestDrainedAfter(t *testing.T) {
	pause := Interval{Start: 1000 * ms, End: 7000 * ms}
	stall := Interval{Start: 8000 * ms, End: 8150 * ms}
	for _, test := range []struct {
		name  string
		read  ReadTiming
		short bool
		want  time.Duration
	}{
		{"a short read", ReadTiming{10 * ms, 7100 * ms, 7200 * ms}, true, 7200 * ms},
		{"a full read", ReadTiming{10 * ms, 7100 * ms, 7200 * ms}, false, 10 * ms},
		{"a pause within: at its start at the latest", ReadTiming{10 * ms, 900 * ms, 7001 * ms}, true, 900 * ms},
		{"a pause within, drained before", ReadTiming{950 * ms, 900 * ms, 7001 * ms}, true, 950 * ms},
		{"a stall within, which may have followed the read", ReadTiming{10 * ms, 7900 * ms, 8150 * ms}, true,
			8000 * ms},
		{"after the stall", ReadTiming{10 * ms, 8160 * ms, 8170 * ms}, true, 8170 * ms},
	} {
		if got := test.read.DrainedAfter(test.short, pause, stall); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestDrainedAtAccept checks that the latest pause, the latest stall and the interval before the accept are taken
// into account if the connection may have waited during them, and that an old pause or stall is not.
func TestDrainedAtAccept(t *testing.T) {
	const now = 100 * time.Second
	longAgo := Interval{Start: 10 * time.Second, End: 16 * time.Second}
	justNow := Interval{Start: now - 900*ms, End: now - 500*ms}
	waited := Interval{Start: now - 350*ms, End: now}
	stall := Interval{Start: now - 160*ms, End: now - 10*ms}
	oldStall := Interval{Start: time.Second, End: 1100 * ms}
	for _, test := range []struct {
		name                 string
		waited, pause, stall Interval
		want                 time.Duration
	}{
		{"nothing recent", Interval{}, longAgo, oldStall, now},
		{"a pause", Interval{}, justNow, Interval{}, 0},
		{"a pause, and a wait", waited, justNow, stall, 0},
		{"a wait", waited, longAgo, Interval{}, now - 350*ms},
		{"a stall", Interval{}, longAgo, stall, now - 160*ms},
	} {
		if got := DrainedAtAccept(now, test.waited, test.pause, test.stall); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestDecideByAge(t *testing.T) {
	const timeout, window = 2500 * ms, 1500 * ms
	exact, uncertain := Arrival{5000 * ms, 5000 * ms}, Arrival{1000 * ms, 5000 * ms}
	for _, test := range []struct {
		name        string
		now         time.Duration
		idempotency Idempotency
		arrival     Arrival
		want        AgeDecision
	}{
		{"just read", 5000 * ms, IdempotentWithKey, exact, AgeDecision{false, 7500 * ms}},
		{"shortly before its client's timeout", 7400 * ms, IdempotentWithKey, exact, AgeDecision{false, 7500 * ms}},
		{"at its client's timeout", 7500 * ms, IdempotentWithKey, exact, AgeDecision{true, 7500 * ms}},
		{"a keyed one that may be old", 5000 * ms, IdempotentWithKey, uncertain, AgeDecision{true, 2400 * ms}},
		{"a keyed one that can't be so old", 2000 * ms, IdempotentWithKey, Arrival{1000 * ms, 2000 * ms},
			AgeDecision{false, 2400 * ms}},
		{"one without a key that may be old", 5000 * ms, NotIdempotent, uncertain, AgeDecision{true, 3500 * ms}},
		{"one without a key within its timeout", 3000 * ms, NotIdempotent, Arrival{1000 * ms, 3000 * ms},
			AgeDecision{false, 3500 * ms}},
		{"a read that may be young", 5000 * ms, Idempotent, uncertain, AgeDecision{false, 7500 * ms}},
		{"a read that is certainly old", 5000 * ms, Idempotent, Arrival{1000 * ms, 2000 * ms},
			AgeDecision{true, 4500 * ms}},
	} {
		got := DecideByAge(test.now, test.idempotency, timeout, window, test.arrival)
		if got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
