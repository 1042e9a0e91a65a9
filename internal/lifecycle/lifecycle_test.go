package lifecycle

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// transitions are the expected transitions of a state.
type transitions map[Event]transition

// startingTransitions are the transitions of self, a state in which the daemon is not ready. The event Started leads to
// the state started with actions.
func startingTransitions(self, started State, actions ...Action) transitions {
	return transitions{
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

// reloadingTransitions are the transitions of self, a state in which the daemon reads a configuration. The events
// ConfigValid and ConfigInvalid, with the actions valid and invalid, lead to the state next.
func reloadingTransitions(self, next State, valid, invalid []Action) transitions {
	return transitions{
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

// drainingTransitions are the transitions of self, a state in which the daemon drains. A termination leads to the state
// terminated with actions.
func drainingTransitions(self, terminated State, actions ...Action) transitions {
	return transitions{
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

// expectedTransitions is a second version of the table, written independently.
var expectedTransitions = map[State]transitions{
	Starting: startingTransitions(Starting, Serving, NotifyReady),
	StartingReloadQueued: startingTransitions(StartingReloadQueued, Reloading,
		NotifyReady, NotifyReloading, ReadConfig),
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
	Reloading: reloadingTransitions(Reloading, Serving, []Action{ApplyConfig, NotifyReady}, []Action{NotifyReady}),
	ReloadingReloadQueued: reloadingTransitions(ReloadingReloadQueued, Reloading,
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
	Draining: drainingTransitions(Draining, Stopping, ShortenDrain),
	Stopping: drainingTransitions(Stopping, Stopping),
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

// TestEveryStateAnswersEveryEvent checks that each state handles each event (invariant 1), with the next state and the
// actions in expectedTransitions.
func TestEveryStateAnswersEveryEvent(t *testing.T) {
	for s := range stateCount {
		for e := range eventCount {
			want, ok := expectedTransitions[s][e]
			if !ok {
				t.Fatalf("%v: no transition is expected for event %d", s, e)
			}
			m := Machine{state: s}
			if actions := m.Handle(e); m.State() != want.next || !slices.Equal(actions, want.actions) {
				t.Errorf("%v: event %d led to %v with %v, want %v with %v",
					s, e, m.State(), actions, want.next, want.actions)
			}
		}
	}
}

// history records the random events of a machine, and their results.
type history struct {
	states  []State // state after each event
	events  []Event
	actions [][]Action
}

// randomHistory passes n random events to a new machine.
func randomHistory(seed uint64, n int) history {
	rng := rand.New(rand.NewPCG(seed, 2))
	var m Machine
	var h history
	reads := 0 // reads of a configuration that have not ended
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

// randomEvent returns a random event that is possible in state s. Events that lead to a drain or a stop are rarer than
// others, so that histories are long.
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

// TestDrainIsFinal checks that a daemon that drains never serves again and never reads or applies a configuration
// (invariant 2), and that a configuration is applied only after it was requested (invariant 6).
func TestDrainIsFinal(t *testing.T) {
	for seed := range uint64(2000) {
		h := randomHistory(seed, 60)
		draining, requested := false, false
		for i, actions := range h.actions {
			for _, a := range actions {
				switch {
				case draining && slices.Contains([]Action{ReadConfig, ApplyConfig, NotifyReady, NotifyReloading}, a):
					t.Fatalf("seed %d: action %d after the drain had begun: %v", seed, a, h)
				case a == ReadConfig:
					requested = true
				case a == ApplyConfig && !requested:
					t.Fatalf("seed %d: applied without a request: %v", seed, h)
				case a == ApplyConfig:
					requested = false
				}
			}
			if draining && h.states[i] < Draining {
				t.Fatalf("seed %d: back to %v: %v", seed, h.states[i], h)
			}
			draining = h.states[i] >= Draining
		}
	}
}

// TestHangupsAreServed checks that no hangup is lost (invariant 1): after a hangup, the configuration is read again
// before the daemon is in the state Serving.
func TestHangupsAreServed(t *testing.T) {
	for seed := range uint64(2000) {
		h := randomHistory(seed, 60)
		reloadDue := false
		for i, actions := range h.actions {
			if h.events[i] == Hangup && h.states[i] < Draining {
				reloadDue = true
			}
			if slices.Contains(actions, ReadConfig) {
				reloadDue = false
			}
			if reloadDue && h.states[i] == Serving {
				t.Fatalf("seed %d: serving after a hangup without a reload: %v", seed, h)
			}
		}
	}
}

// TestReadyIsNotifiedAfterEachReload checks that the daemon notifies readiness once before any reload, and again before
// it is in the state Serving after a reload (invariant 4). Otherwise a service manager that has received RELOADING
// would wait forever for READY.
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

// TestTwoTerminationsStopEveryState checks that the events Terminate, Terminate, ServingEnded lead from every state to
// Stopped (invariant 3).
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
		t.Error("two runs with the same events differ")
	}
}
