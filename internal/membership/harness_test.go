package membership

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness is a Reconciler, what it has published, and a clock that obeys its timers.
type harness struct {
	t          testing.TB
	reconciler *Reconciler
	twin       *Reconciler // gets the same events, and must do the same
	now        time.Duration
	published  map[string]Node // the changes, replayed
	timers     []time.Duration
	refetches  int
}

func newHarness(t testing.TB, settings Settings) *harness {
	return &harness{t: t, reconciler: New(settings), twin: New(settings), now: time.Hour, published: map[string]Node{}}
}

func (h *harness) handle(e Event) {
	out := h.reconciler.Handle(h.now, e, nil)
	if again := h.twin.Handle(h.now, e, nil); !reflect.DeepEqual(out, again) {
		h.t.Fatalf("%+v yields %+v, and then %+v", e, out, again)
	}
	for _, a := range out {
		switch a := a.(type) {
		case Change:
			before, was := h.published[a.Name]
			if !was {
				before.Status = Gone
			}
			if before.Status != a.Previous {
				h.t.Fatalf("invariant 4: %+v published where %v was", a, before.Status)
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

// pass lets time pass, with the timers that were requested.
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

// servingNames returns the names of the serving nodes, joined.
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

// completeList is a list of nodes named by letters; an upper-case one drains.
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

// refetchedList is a completeList in response to a Refetch.
func refetchedList(source, letters string) ListReceived {
	e := completeList(source, letters)
	e.Refetched = true
	return e
}

func consulSettings() Settings {
	return Settings{Limits: DefaultLimits, Sources: []Source{{Name: "c", NeedsConfirmation: true}}, InferRestarts: true}
}
