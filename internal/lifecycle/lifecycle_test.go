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
		return row{Hangup: {StartingAgain, nil}, Permitted: {self, nil}, Terminate: {Draining, []Action{TellStopping, Drain}},
			Started: {started, do}, StartFailed: {Stopped, []Action{ExitFailed}}, ReadGood: {self, []Action{Discard}},
			ReadBad: {self, nil}, Answered: {Stopped, []Action{ExitFailed}}, Ping: {self, []Action{TellAlive}}}
	}
	reloading := func(self, next State, good, bad []Action) row {
		return row{Hangup: {ReloadingAgain, nil}, Terminate: {Asking, []Action{Ask}}, Permitted: {self, nil},
			Started: {self, nil}, StartFailed: {Stopped, []Action{ExitFailed}}, ReadGood: {next, good},
			ReadBad: {next, bad}, Answered: {Stopped, []Action{ExitFailed}}, Ping: {self, []Action{TellAlive}}}
	}
	ending := func(self, term State, do ...Action) row {
		return row{Hangup: {self, []Action{LogIgnored}}, Permitted: {self, nil}, Terminate: {term, do}, Started: {self, nil},
			StartFailed: {Stopped, []Action{Exit}}, ReadGood: {self, []Action{Discard}}, ReadBad: {self, nil},
			Answered: {Stopped, []Action{Exit}}, Ping: {self, []Action{TellAlive}}}
	}
	want := map[State]row{
		Starting:      starting(Starting, Serving, TellReady),
		StartingAgain: starting(StartingAgain, Reloading, TellReady, TellReloading, Read),
		Serving: {Hangup: {Reloading, []Action{TellReloading, Read}}, Terminate: {Asking, []Action{Ask}}, Permitted: {Serving, nil},
			Started: {Serving, nil}, StartFailed: {Stopped, []Action{ExitFailed}}, ReadGood: {Serving, []Action{Discard}},
			ReadBad: {Serving, nil}, Answered: {Stopped, []Action{ExitFailed}}, Ping: {Serving, []Action{TellAlive}}},
		Reloading:      reloading(Reloading, Serving, []Action{Apply, TellReady}, []Action{TellReady}),
		ReloadingAgain: reloading(ReloadingAgain, Reloading, []Action{Apply, Read}, []Action{Read}),
		Asking: {Hangup: {Asking, []Action{LogIgnored}}, Terminate: {Draining, []Action{TellStopping, Drain}}, Permitted: {Draining, []Action{TellStopping, Drain}},
			Started: {Asking, nil}, StartFailed: {Stopped, []Action{Exit}}, ReadGood: {Asking, []Action{Discard}}, ReadBad: {Asking, nil},
			Answered: {Stopped, []Action{ExitFailed}}, Ping: {Asking, []Action{TellAlive}}},
		Draining: ending(Draining, Stopping, Hurry),
		Stopping: ending(Stopping, Stopping),
		Stopped: {Hangup: {Stopped, nil}, Permitted: {Stopped, nil}, Terminate: {Stopped, nil}, Started: {Stopped, nil}, StartFailed: {Stopped, nil},
			ReadGood: {Stopped, []Action{Discard}}, ReadBad: {Stopped, nil}, Answered: {Stopped, nil}, Ping: {Stopped, nil}},
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
		if (e == ReadGood || e == ReadBad) && reading == 0 || e == Started && m.State() > StartingAgain {
			e = Ping // can't come now
		}
		if (e == Terminate || e == StartFailed || e == Answered) && rng.IntN(8) > 0 {
			e = Hangup // or lives would be short
		}
		if e == ReadGood || e == ReadBad {
			reading--
		}
		do := m.Handle(e)
		if slices.Contains(do, Read) {
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
				case ending && (a == Read || a == Apply || a == TellReady || a == TellReloading):
					t.Fatalf("seed %d: action %d after the end had begun: %v", seed, a, h)
				case a == Read:
					asked = true
				case a == Apply && !asked:
					t.Fatalf("seed %d: put into force unasked: %v", seed, h)
				case a == Apply:
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
			if slices.Contains(do, Read) {
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
				case TellReady:
					if ready && !reloading {
						t.Fatalf("seed %d: ready told twice: %v", seed, h)
					}
					ready, reloading = true, false
				case TellReloading:
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
		if m.Handle(Answered); m.State() != Stopped {
			t.Errorf("from %v: %v", s, m.State())
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if a, b := live(7, 500), live(7, 500); !reflect.DeepEqual(a, b) {
		t.Error("two lives with the same events differ")
	}
}
