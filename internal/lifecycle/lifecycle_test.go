package lifecycle

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// TestEveryStateAnswersEveryEvent walks the table through completely, against
// the answers written down once more by state. It guards invariant 1.
func TestEveryStateAnswersEveryEvent(t *testing.T) {
	type row map[Event]step
	starting := func(self, started State, do ...Action) row {
		return row{Hangup: {StartingReloadQueued, nil}, DrainPermitted: {self, nil}, Terminate: {Draining, []Action{NotifyStopping, StartDrain}},
			Started: {started, do}, StartFailed: {Stopped, []Action{ExitFailed}}, ConfigValid: {self, []Action{DiscardConfig}},
			ConfigInvalid: {self, nil}, ServingEnded: {Stopped, []Action{ExitFailed}}, WatchdogTick: {self, []Action{NotifyWatchdog}}}
	}
	reloading := func(self, next State, good, bad []Action) row {
		return row{Hangup: {ReloadingReloadQueued, nil}, Terminate: {AwaitingPermit, []Action{RequestPermit}}, DrainPermitted: {self, nil},
			Started: {self, nil}, StartFailed: {Stopped, []Action{ExitFailed}}, ConfigValid: {next, good},
			ConfigInvalid: {next, bad}, ServingEnded: {Stopped, []Action{ExitFailed}}, WatchdogTick: {self, []Action{NotifyWatchdog}}}
	}
	ending := func(self, term State, do ...Action) row {
		return row{Hangup: {self, []Action{LogReloadIgnored}}, DrainPermitted: {self, nil}, Terminate: {term, do}, Started: {self, nil},
			StartFailed: {Stopped, []Action{Exit}}, ConfigValid: {self, []Action{DiscardConfig}}, ConfigInvalid: {self, nil},
			ServingEnded: {Stopped, []Action{Exit}}, WatchdogTick: {self, []Action{NotifyWatchdog}}}
	}
	want := map[State]row{
		Starting:             starting(Starting, Serving, NotifyReady),
		StartingReloadQueued: starting(StartingReloadQueued, Reloading, NotifyReady, NotifyReloading, ReadConfig),
		Serving: {Hangup: {Reloading, []Action{NotifyReloading, ReadConfig}}, Terminate: {AwaitingPermit, []Action{RequestPermit}}, DrainPermitted: {Serving, nil},
			Started: {Serving, nil}, StartFailed: {Stopped, []Action{ExitFailed}}, ConfigValid: {Serving, []Action{DiscardConfig}},
			ConfigInvalid: {Serving, nil}, ServingEnded: {Stopped, []Action{ExitFailed}}, WatchdogTick: {Serving, []Action{NotifyWatchdog}}},
		Reloading:             reloading(Reloading, Serving, []Action{ApplyConfig, NotifyReady}, []Action{NotifyReady}),
		ReloadingReloadQueued: reloading(ReloadingReloadQueued, Reloading, []Action{ApplyConfig, ReadConfig}, []Action{ReadConfig}),
		AwaitingPermit: {Hangup: {AwaitingPermit, []Action{LogReloadIgnored}}, Terminate: {Draining, []Action{NotifyStopping, StartDrain}}, DrainPermitted: {Draining, []Action{NotifyStopping, StartDrain}},
			Started: {AwaitingPermit, nil}, StartFailed: {Stopped, []Action{Exit}}, ConfigValid: {AwaitingPermit, []Action{DiscardConfig}}, ConfigInvalid: {AwaitingPermit, nil},
			ServingEnded: {Stopped, []Action{ExitFailed}}, WatchdogTick: {AwaitingPermit, []Action{NotifyWatchdog}}},
		Draining: ending(Draining, Stopping, ShortenDrain),
		Stopping: ending(Stopping, Stopping),
		Stopped: {Hangup: {Stopped, nil}, DrainPermitted: {Stopped, nil}, Terminate: {Stopped, nil}, Started: {Stopped, nil}, StartFailed: {Stopped, nil},
			ConfigValid: {Stopped, []Action{DiscardConfig}}, ConfigInvalid: {Stopped, nil}, ServingEnded: {Stopped, nil}, WatchdogTick: {Stopped, nil}},
	}
	for s := range states {
		for e := range events {
			expected, ok := want[s][e]
			if !ok {
				t.Fatalf("%v: no answer to event %d is written down", s, e)
			}
			m := Machine{state: s}
			if do := m.Handle(e); m.State() != expected.to || !slices.Equal(do, expected.do) {
				t.Errorf("%v: event %d led to %v with %v, want %v with %v", s, e, m.State(), do, expected.to, expected.do)
			}
		}
	}
}

// history is what a random life brought.
type history struct {
	states  []State // after each event
	events  []Event
	actions [][]Action
}

func live(seed uint64, n int) history {
	rng := rand.New(rand.NewPCG(seed, 2))
	var m Machine
	var h history
	reading := 0
	for range n {
		e := Event(rng.IntN(int(events)))
		if (e == ConfigValid || e == ConfigInvalid) && reading == 0 || e == Started && m.State() > StartingReloadQueued {
			e = WatchdogTick // can't come now
		}
		if (e == Terminate || e == StartFailed || e == ServingEnded) && rng.IntN(8) > 0 {
			e = Hangup // or lives would be short
		}
		if e == ConfigValid || e == ConfigInvalid {
			reading--
		}
		do := m.Handle(e)
		if slices.Contains(do, ReadConfig) {
			reading++
		}
		h.states, h.events, h.actions = append(h.states, m.State()), append(h.events, e), append(h.actions, do)
	}
	return h
}

// TestDrainIsFinal guards invariants 2 and 5: nothing is read or put into force
// once the end has begun, and a configuration only after it was asked for.
func TestDrainIsFinal(t *testing.T) {
	for seed := range uint64(2000) {
		h := live(seed, 60)
		ending, asked := false, false
		for i, do := range h.actions {
			for _, a := range do {
				switch {
				case ending && (a == ReadConfig || a == ApplyConfig || a == NotifyReady || a == NotifyReloading):
					t.Fatalf("seed %d: action %d after the end had begun: %v", seed, a, h)
				case a == ReadConfig:
					asked = true
				case a == ApplyConfig && !asked:
					t.Fatalf("seed %d: put into force unasked: %v", seed, h)
				case a == ApplyConfig:
					asked = false
				}
			}
			if ending && h.states[i] < Draining {
				t.Fatalf("seed %d: back to %v: %v", seed, h.states[i], h)
			}
			ending = h.states[i] >= Draining
		}
	}
}

// TestHangupsAreHeeded guards invariant 1: after the last hangup of a daemon that
// goes on, the configuration is read anew before it serves again.
func TestHangupsAreHeeded(t *testing.T) {
	for seed := range uint64(2000) {
		h := live(seed, 60)
		owed := false
		for i, do := range h.actions {
			if h.events[i] == Hangup && h.states[i] < Draining {
				owed = true
			}
			if slices.Contains(do, ReadConfig) {
				owed = false
			}
			if owed && h.states[i] == Serving {
				t.Fatalf("seed %d: serving with a hangup unheeded: %v", seed, h)
			}
		}
	}
}

// TestReadyIsToldAfterEachReload guards invariant 4: a service manager that
// waits for READY after RELOADING never waits for good.
func TestReadyIsToldAfterEachReload(t *testing.T) {
	for seed := range uint64(2000) {
		h := live(seed, 60)
		ready, reloading := false, false
		for i, do := range h.actions {
			for _, a := range do {
				switch a {
				case NotifyReady:
					if ready && !reloading {
						t.Fatalf("seed %d: ready told twice: %v", seed, h)
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
				t.Fatalf("seed %d: serving, but told reloading: %v", seed, h)
			}
		}
	}
}

// TestTwoTerminationsEndEveryLife guards invariant 3.
func TestTwoTerminationsEndEveryLife(t *testing.T) {
	for s := range states {
		m := Machine{state: s}
		m.Handle(Terminate)
		m.Handle(Terminate)
		if m.Handle(ServingEnded); m.State() != Stopped {
			t.Errorf("from %v: %v", s, m.State())
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if a, b := live(7, 500), live(7, 500); !reflect.DeepEqual(a, b) {
		t.Error("two lives with the same events differ")
	}
}
