package membership

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness runs a Reconciler with a simulated clock and timers, and applies the changes that it publishes.
type harness struct {
	t          testing.TB
	reconciler *Reconciler
	twin       *Reconciler // gets the same events, and must return the same actions
	now        time.Duration
	published  map[string]Node // the published changes, applied in order
	timers     []time.Duration // times at which requested timers fire
	refetches  int
}

func newHarness(t testing.TB, settings Settings) *harness {
	return &harness{t: t, reconciler: New(settings), twin: New(settings), now: time.Hour, published: map[string]Node{}}
}

func (h *harness) handle(e Event) {
	out := h.reconciler.Handle(h.now, e, nil)
	if again := h.twin.Handle(h.now, e, nil); !reflect.DeepEqual(out, again) {
		h.t.Fatalf("event %+v yields %+v, but %+v from a second reconciler", e, out, again)
	}
	for _, a := range out {
		switch a := a.(type) {
		case Change:
			before, was := h.published[a.Name]
			if !was {
				before.Status = Gone
			}
			if before.Status != a.Previous {
				h.t.Fatalf("invariant 4: %+v published for a node that was %v", a, before.Status)
			}
			if a.Status == Gone {
				delete(h.published, a.Name)
			} else {
				h.published[a.Name] = a.Node
			}
		case Refetch:
			h.refetches++
		case SetTimer:
			h.timers = append(h.timers, h.now+a.After)
		}
	}
}

// pass advances the clock by d, and fires the requested timers.
func (h *harness) pass(d time.Duration) {
	for end := h.now + d; ; {
		slices.Sort(h.timers)
		if len(h.timers) == 0 || h.timers[0] > end {
			h.now = end
			return
		}
		h.now, h.timers = max(h.now, h.timers[0]), h.timers[1:]
		h.handle(TimerFired{})
	}
}

// servingNames returns the sorted names of the serving nodes, joined.
func (h *harness) servingNames() string {
	var names []string
	for name, n := range h.published {
		if n.Status == Up {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

func (h *harness) expect(want, when string) {
	h.t.Helper()
	if got := h.servingNames(); got != want {
		h.t.Errorf("%s: %q serve, want %q", when, got, want)
	}
}

// completeList returns a complete list of nodes that are named by lower-case letters. An upper-case letter stands for
// a node that is draining.
func completeList(source, letters string) ListReceived {
	e := ListReceived{Source: source, Complete: true}
	for _, c := range letters {
		n := Node{Name: strings.ToLower(string(c)), Address: "h:1", Instance: "1"}
		if n.Name != string(c) {
			n.Status, n.Reason = Draining, "in maintenance"
		}
		e.Nodes = append(e.Nodes, n)
	}
	return e
}

// refetchedList returns a completeList in response to a Refetch.
func refetchedList(source, letters string) ListReceived {
	e := completeList(source, letters)
	e.Refetched = true
	return e
}

func consulSettings() Settings {
	return Settings{Limits: DefaultLimits, Sources: []Source{{Name: "c", NeedsConfirmation: true}}, InferRestarts: true}
}
