package pause

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// step is an event and the actions that it must cause.
type step struct {
	at       time.Duration
	event    Event
	deferred int // number of sends that are deferred at that time
	want     []Action
}

// checked is a check of the clocks on a machine that has not slept.
var checked = ClockChecked{}

var refreshed = ListsRefreshed{}

// paused returns the actions that report a pause.
func paused(start, end, slept time.Duration) []Action {
	return []Action{
		Paused{Interval{Start: start, End: end, Slept: slept}},
		CheckAgain{DefaultLimits.MaxDeferral},
	}
}

var detectorRuns = map[string][]step{
	"checks in time report nothing": {
		{50 * ms, checked, 0, nil},
		{100 * ms, checked, 0, nil},
		{399 * ms, checked, 0, nil},
	},
	"a pause, lists fetched, nothing deferred": {
		{50 * ms, checked, 0, nil},
		{350 * ms, checked, 0, paused(50*ms, 350*ms, 0)},
		{355 * ms, refreshed, 0, []Action{Resumed{5 * ms}}},
		{400 * ms, checked, 0, nil},
	},
	"deferred sends are released in batches": {
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
}

func TestDetector(t *testing.T) {
	for name, steps := range detectorRuns {
		t.Run(name, func(t *testing.T) {
			detector := New(DefaultLimits, ClockReading{})
			for i, step := range steps {
				detector.SetDeferredSends(step.deferred)
				if got := detector.Handle(step.at, step.event, nil); !reflect.DeepEqual(got, step.want) {
					t.Fatalf("step %d at %v: %+v, want %+v", i, step.at, got, step.want)
				}
			}
		})
	}
}

// TestArrivingListExtendsDeferral checks that no send is released while a list is arriving, even after another list
// was fetched, until the list is in force or MaxArrival has passed (guarantee 4).
func TestArrivingListExtendsDeferral(t *testing.T) {
	for name, steps := range map[string][]struct {
		at       time.Duration
		event    Event
		arriving int
		want     []Action
	}{
		"a list that comes": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{1249 * ms, checked, 1, nil},
			{1250 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{1260 * ms, checked, 1, nil},
			{1270 * ms, refreshed, 1, []Action{CheckAgain{50 * ms}}},
			{1320 * ms, checked, 0, []Action{Resumed{320 * ms}}},
		},
		"a list that stops half way": {
			{time.Second, checked, 0, paused(0, time.Second, 0)},
			{1250 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{1500 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{1750 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{2000 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{2250 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{2500 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{2750 * ms, checked, 1, []Action{CheckAgain{50 * ms}}},
			{2990 * ms, checked, 1, []Action{CheckAgain{10 * ms}}},
			{3000 * ms, checked, 1, []Action{Resumed{2 * time.Second}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			detector := New(DefaultLimits, ClockReading{})
			for i, step := range steps {
				detector.SetListsArriving(step.arriving)
				if got := detector.Handle(step.at, step.event, nil); !reflect.DeepEqual(got, step.want) {
					t.Fatalf("step %d at %v: %+v, want %+v", i, step.at, got, step.want)
				}
			}
		})
	}
}

// randomGap is the time between two checks of the clocks in a random run.
type randomGap struct {
	jitter time.Duration // time that passes while the process runs, less than one check interval
	stop   time.Duration // time during which the process does not run
	sleep  time.Duration // time during which the machine sleeps
}

func drawGap(random *rand.Rand) (gap randomGap) {
	gap.jitter = time.Duration(random.Int64N(int64(DefaultLimits.CheckInterval)))
	if random.IntN(20) == 0 {
		gap.stop = time.Duration(random.Int64N(int64(time.Second)))
	}
	if random.IntN(50) == 0 {
		gap.sleep = time.Duration(random.Int64N(int64(time.Second)))
	}
	return gap
}

// check fails the test unless the pause reported at now, nil for none, matches the gap, which began at start.
func (g *randomGap) check(t *testing.T, start, now time.Duration, reported *Interval) {
	t.Helper()
	paused := g.stop + g.sleep
	switch {
	case reported == nil:
		if paused >= DefaultLimits.MinPause {
			t.Fatalf("%+v is not reported", *g)
		}
	case reported.Start > start || reported.End != now || reported.Duration() < paused:
		t.Fatalf("%+v from %v to %v is reported as %+v", *g, start, now, *reported)
	case g.jitter+paused < DefaultLimits.MinPause:
		t.Fatalf("%+v is reported", *g)
	}
}

// reportedPause returns the interval of the Paused among actions, nil if there is none.
func reportedPause(actions []Action) *Interval {
	for _, action := range actions {
		if paused, ok := action.(Paused); ok {
			return &paused.Interval
		}
	}
	return nil
}

// TestPausesAreReported checks in random runs that pauses are reported with the right length, that shorter gaps are
// not, and that the wait for the endpoint lists ends MaxDeferral after the pause at the latest (guarantees 1 to 4).
// The clocks are checked at random times, at most one check interval apart, with pauses and sleeps of the machine
// between the checks.
func TestPausesAreReported(t *testing.T) {
	for seed := range uint64(2000) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			detector := New(DefaultLimits, ClockReading{})
			var now, recoveredBy, totalSleep time.Duration
			for range 400 {
				gap := drawGap(random)
				start := now
				now += gap.jitter + gap.stop
				totalSleep += gap.sleep
				detector.SetDeferredSends(random.IntN(3))
				reported := reportedPause(detector.Handle(now, ClockChecked{totalSleep}, nil))
				gap.check(t, start, now, reported)
				if reported != nil {
					recoveredBy = now + DefaultLimits.MaxDeferral
				}
				if detector.state == recovering && now > recoveredBy {
					t.Fatalf("still recovering at %v, want not after %v", now, recoveredBy)
				}
			}
		})
	}
}
