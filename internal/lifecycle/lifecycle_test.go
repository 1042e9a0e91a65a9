package lifecycle

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// answers are the expected answers of a state.
type answers map[Event]transition

// startingAnswers are those of a daemon that is not ready. A start leads to started.
func startingAnswers(self, started State, actions ...Action) answers {
	return answers{
		Hangup:         {StartingReloadQueued, nil},
		Terminate:      {Draining, []Action{NotifyStopping, StartDrain}},
		Started:        {started, actions},
		StartFailed:    {Stopped, []Action{ExitFailed}},
		ConfigValid:    {self, []Action{DiscardConfig}},
		ConfigInvalid:  {self, nil},
		ServingEnded:   {Stopped, []Action{ExitFailed}},
		WatchdogTick:   {self, []Action{NotifyWatchdog}},
		DrainPermitted: {self, nil},
	}
}

// reloadingAnswers are those of a daemon that reads a configuration. The end of that leads to next.
func reloadingAnswers(self, next State, valid, invalid []Action) answers {
	return answers{
		Hangup:         {ReloadingReloadQueued, nil},
		Terminate:      {AwaitingPermit, []Action{RequestPermit}},
		Started:        {self, nil},
		StartFailed:    {Stopped, []Action{ExitFailed}},
		ConfigValid:    {next, valid},
		ConfigInvalid:  {next, invalid},
		ServingEnded:   {Stopped, []Action{ExitFailed}},
		WatchdogTick:   {self, []Action{NotifyWatchdog}},
		DrainPermitted: {self, nil},
	}
}

// endingAnswers are those of a daemon that drains.
func endingAnswers(self, terminated State, actions ...Action) answers {
	return answers{
		Hangup:         {self, []Action{LogReloadIgnored}},
		Terminate:      {terminated, actions},
		Started:        {self, nil},
		StartFailed:    {Stopped, []Action{Exit}},
		ConfigValid:    {self, []Action{DiscardConfig}},
		ConfigInvalid:  {self, nil},
		ServingEnded:   {Stopped, []Action{Exit}},
		WatchdogTick:   {self, []Action{NotifyWatchdog}},
		DrainPermitted: {self, nil},
	}
}

// expectedAnswers is the table written down once more by state.
var expectedAnswers = map[State]answers{
	Starting:             startingAnswers(Starting, Serving, NotifyReady),
	StartingReloadQueued: startingAnswers(StartingReloadQueued, Reloading, NotifyReady, NotifyReloading, ReadConfig),
	Serving: {
		Hangup:         {Reloading, []Action{NotifyReloading, ReadConfig}},
		Terminate:      {AwaitingPermit, []Action{RequestPermit}},
		Started:        {Serving, nil},
		StartFailed:    {Stopped, []Action{ExitFailed}},
		ConfigValid:    {Serving, []Action{DiscardConfig}},
		ConfigInvalid:  {Serving, nil},
		ServingEnded:   {Stopped, []Action{ExitFailed}},
		WatchdogTick:   {Serving, []Action{NotifyWatchdog}},
		DrainPermitted: {Serving, nil},
	},
	Reloading: reloadingAnswers(Reloading, Serving, []Action{ApplyConfig, NotifyReady}, []Action{NotifyReady}),
	ReloadingReloadQueued: reloadingAnswers(ReloadingReloadQueued, Reloading,
		[]Action{ApplyConfig, ReadConfig}, []Action{ReadConfig}),
	AwaitingPermit: {
		Hangup:         {AwaitingPermit, []Action{LogReloadIgnored}},
		Terminate:      {Draining, []Action{NotifyStopping, StartDrain}},
		Started:        {AwaitingPermit, nil},
		StartFailed:    {Stopped, []Action{Exit}},
		ConfigValid:    {AwaitingPermit, []Action{DiscardConfig}},
		ConfigInvalid:  {AwaitingPermit, nil},
		ServingEnded:   {Stopped, []Action{ExitFailed}},
		WatchdogTick:   {AwaitingPermit, []Action{NotifyWatchdog}},
		DrainPermitted: {Draining, []Action{NotifyStopping, StartDrain}},
	},
	Draining: endingAnswers(Draining, Stopping, ShortenDrain),
	Stopping: endingAnswers(Stopping, Stopping),
	Stopped: {
		Hangup:         {Stopped, nil},
		Terminate:      {Stopped, nil},
		Started:        {Stopped, nil},
		StartFailed:    {Stopped, nil},
		ConfigValid:    {Stopped, []Action{DiscardConfig}},
		ConfigInvalid:  {Stopped, nil},
		ServingEnded:   {Stopped, nil},
		WatchdogTick:   {Stopped, nil},
		DrainPermitted: {Stopped, nil},
	},
}

// TestEveryStateAnswersEveryEvent goes through the complete table. It guards invariant 1.
func TestEveryStateAnswersEveryEvent(t *testing.T) {
	for s := range stateCount {
		for e := range eventCount {
			want, ok := expectedAnswers[s][e]
			if !ok {
				t.Fatalf("%v: no answer to event %d is expected", s, e)
			}
			m := Machine{state: s}
			if actions := m.Handle(e); m.State() != want.next || !slices.Equal(actions, want.actions) {
				t.Errorf("%v: event %d led to %v with %v, want %v with %v",
					s, e, m.State(), actions, want.next, want.actions)
			}
		}
	}
}

// history is what random events did to a machine.
type history struct {
	states  []State // after each event
	events  []Event
	actions [][]Action
}

// randomHistory plays n random events to a new machine.
func randomHistory(seed uint64, n int) history {
	rng := rand.New(rand.NewPCG(seed, 2))
	var m Machine
	var h history
	reads := 0 // that have not ended
	for range n {
		e := randomEvent(rng, m.State(), reads)
		if e == ConfigValid || e == ConfigInvalid {
			reads--
		}
		actions := m.Handle(e)
		if slices.Contains(actions, ReadConfig) {
			reads++
		}
		h.states = append(h.states, m.State())
		h.events = append(h.events, e)
		h.actions = append(h.actions, actions)
	}
	return h
}

// randomEvent draws an event that is possible in a state, seldom one that ends it soon.
func randomEvent(rng *rand.Rand, s State, reads int) Event {
	e := Event(rng.IntN(int(eventCount)))
	if (e == ConfigValid || e == ConfigInvalid) && reads == 0 || e == Started && s > StartingReloadQueued {
		return WatchdogTick
	}
	if (e == Terminate || e == StartFailed || e == ServingEnded) && rng.IntN(8) > 0 {
		return Hangup
	}
	return e
}

// TestDrainIsFinal guards invariants 2, 5 and 6: no configuration is read or applied once the end has begun, and each
// is applied only after it was requested.
func TestDrainIsFinal(t *testing.T) {
	for seed := range uint64(2000) {
		h := randomHistory(seed, 60)
		ending, requested := false, false
		for i, actions := range h.actions {
			for _, a := range actions {
				switch {
				case ending && slices.Contains([]Action{ReadConfig, ApplyConfig, NotifyReady, NotifyReloading}, a):
					t.Fatalf("seed %d: action %d after the end had begun: %v", seed, a, h)
				case a == ReadConfig:
					requested = true
				case a == ApplyConfig && !requested:
					t.Fatalf("seed %d: applied without a request: %v", seed, h)
				case a == ApplyConfig:
					requested = false
				}
			}
			if ending && h.states[i] < Draining {
				t.Fatalf("seed %d: back to %v: %v", seed, h.states[i], h)
			}
			ending = h.states[i] >= Draining
		}
	}
}

// TestHangupsAreServed guards invariant 1: after the last hangup of a daemon that keeps serving, the configuration is
// read once more before the daemon is Serving again.
func TestHangupsAreServed(t *testing.T) {
	for seed := range uint64(2000) {
		h := randomHistory(seed, 60)
		unserved := false
		for i, actions := range h.actions {
			if h.events[i] == Hangup && h.states[i] < Draining {
				unserved = true
			}
			if slices.Contains(actions, ReadConfig) {
				unserved = false
			}
			if unserved && h.states[i] == Serving {
				t.Fatalf("seed %d: serving after an unserved hangup: %v", seed, h)
			}
		}
	}
}

// TestReadyIsNotifiedAfterEachReload guards invariant 4: a service manager that waits for READY after RELOADING never
// waits for good.
func TestReadyIsNotifiedAfterEachReload(t *testing.T) {
	for seed := range uint64(2000) {
		h := randomHistory(seed, 60)
		ready, reloading := false, false
		for i, actions := range h.actions {
			for _, a := range actions {
				switch a {
				case NotifyReady:
					if ready && !reloading {
						t.Fatalf("seed %d: notified ready twice: %v", seed, h)
					}
					ready, reloading = true, false
				case NotifyReloading:
					if !ready {
						t.Fatalf("seed %d: reloading before ready: %v", seed, h)
					}
					reloading = true
				}
			}
			if reloading && h.states[i] == Serving {
				t.Fatalf("seed %d: serving, but notified reloading: %v", seed, h)
			}
		}
	}
}

// TestTwoTerminationsStopEveryState guards invariant 3.
func TestTwoTerminationsStopEveryState(t *testing.T) {
	for s := range stateCount {
		m := Machine{state: s}
		m.Handle(Terminate)
		m.Handle(Terminate)
		if m.Handle(ServingEnded); m.State() != Stopped {
			t.Errorf("from %v: %v", s, m.State())
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if a, b := randomHistory(7, 500), randomHistory(7, 500); !reflect.DeepEqual(a, b) {
		t.Error("two lives with the same events differ")
	}
}
