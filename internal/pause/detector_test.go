package pause

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// step is one event and the actions that it must cause.
type step struct {
	at    time.Duration
	event Event
	held  int // sends that are held then
	want  []Action
}

// checked is a check of the clocks of a machine that has not slept.
var checked = ClockChecked{}

// refreshed reports that the lists have been fetched.
var refreshed = ListsRefreshed{}

// paused returns the actions that report a pause.
func paused(start, end, slept time.Duration) []Action {
	return []Action{
		Paused{Interval{Start: start, End: end, Slept: slept}},
		CheckAgain{DefaultLimits.MaxHold},
	}
}

func TestDetector(t *testing.T) {
	for name, steps := range map[string][]step{
		"checks in time report nothing": {
			{50 * ms, checked, 0, nil},
			{100 * ms, checked, 0, nil},
			{399 * ms, checked, 0, nil},
		},
		"a pause, lists fetched, nothing held": {
			{50 * ms, checked, 0, nil},
			{350 * ms, checked, 0, paused(50*ms, 350*ms, 0)},
			{355 * ms, refreshed, 0, []Action{Resumed{5 * ms}}},
			{400 * ms, checked, 0, nil},
		},
		"held sends are released in batches": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{1010 * ms, checked, 40, nil},
			{1020 * ms, refreshed, 40, []Action{ReleaseSends{32}, CheckAgain{5 * ms}}},
			{1022 * ms, checked, 8, nil},
			{1025 * ms, checked, 8, []Action{ReleaseSends{32}, Resumed{25 * ms}}},
			{1030 * ms, checked, 0, nil},
		},
		"lists that never come": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{1249 * ms, checked, 3, nil},
			{1250 * ms, checked, 3, []Action{ReleaseSends{32}, Resumed{250 * ms}}},
		},
		"the machine slept, the monotonic clock did not count it": {
			{50 * ms, checked, 0, nil},
			{60 * ms, ClockChecked{6 * time.Second}, 0, paused(50*ms, 60*ms, 6*time.Second)},
			{70 * ms, ClockChecked{6 * time.Second}, 0, nil},
		},
		"a second pause before the first is over counts from the first": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{1010 * ms, checked, 1, nil},
			{2 * time.Second, checked, 1, paused(0, 2*time.Second, 0)},
			{2010 * ms, refreshed, 0, []Action{Resumed{10 * ms}}},
			{2050 * ms, checked, 0, nil},
			{2600 * ms, checked, 0, paused(0, 2600*ms, 0)},
		},
		"a second pause long after the first counts alone": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{1010 * ms, refreshed, 0, []Action{Resumed{10 * ms}}},
			{1250 * ms, checked, 0, nil},
			{1600 * ms, checked, 0, paused(1250*ms, 1600*ms, 0)},
		},
		"a check that was overtaken reports nothing": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{200 * ms, checked, 0, nil},
		},
		"lists that were not requested": {
			{50 * ms, refreshed, 0, nil},
		},
	} {
		t.Run(name, func(t *testing.T) {
			detector := New(DefaultLimits, ClockReading{})
			for i, step := range steps {
				detector.SetHeldSends(step.held)
				if got := detector.Handle(step.at, step.event, nil); !reflect.DeepEqual(got, step.want) {
					t.Fatalf("step %d at %v: %+v, want %+v", i, step.at, got, step.want)
				}
			}
		})
	}
}

// TestPausesAreReported guards guarantees 1 to 4 in random runs: periodic checks that are late within bounds,
// checks by others between them, and pauses anywhere.
func TestPausesAreReported(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		detector := New(DefaultLimits, ClockReading{})
		var now, recoveredBy, totalSleep time.Duration
		for range 400 {
			jitter := time.Duration(random.Int64N(int64(DefaultLimits.CheckInterval)))
			stop, sleep := time.Duration(0), time.Duration(0)
			if random.IntN(20) == 0 {
				stop = time.Duration(random.Int64N(int64(time.Second)))
			}
			if random.IntN(50) == 0 {
				sleep = time.Duration(random.Int64N(int64(time.Second)))
			}
			start := now
			now += jitter + stop
			totalSleep += sleep
			detector.SetHeldSends(random.IntN(3))
			reported := false
			for _, action := range detector.Handle(now, ClockChecked{totalSleep}, nil) {
				pause, ok := action.(Paused)
				if !ok {
					continue
				}
				reported = true
				interval := pause.Interval
				if interval.Start > start || interval.End != now || interval.Duration() < stop+sleep {
					t.Fatalf("seed %d: stop of %v and sleep of %v from %v reported as %+v",
						seed, stop, sleep, start, interval)
				}
				recoveredBy = now + DefaultLimits.MaxHold
			}
			if stop+sleep >= DefaultLimits.MinPause && !reported {
				t.Fatalf("seed %d: stop of %v and sleep of %v not reported", seed, stop, sleep)
			}
			if reported && jitter+stop+sleep < DefaultLimits.MinPause {
				t.Fatalf("seed %d: a pause reported after %v", seed, jitter+stop+sleep)
			}
			if detector.state == recovering && now > recoveredBy {
				t.Fatalf("seed %d: still recovering at %v, want not after %v", seed, now, recoveredBy)
			}
		}
	}
}
