package membership

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

// sequences is the number of random sequences in the model test; 100,000 take a minute without -race.
var sequences = flag.Int("sequences", 10000, "random sequences of source events")

// modelReport is the last report of a source on a node in the reference model.
type modelReport struct {
	status Status
	listed bool // the list contained the node; otherwise status is Gone because a complete list lacked it
}

// modelReports are the latest reports by source and node.
type modelReports map[string]map[string]modelReport

// coverage counts the states that the random sequences have reached, so that the test can show that it covers them.
type coverage struct{ serving, draining, unconfirmed int }

func (c *coverage) add(h *harness, sources []string) {
	for _, n := range h.published {
		switch n.Status {
		case Up:
			c.serving++
		case Draining:
			c.draining++
		}
	}
	for _, name := range sources {
		c.unconfirmed += len(h.reconciler.Unconfirmed(name))
	}
}

// TestAgreesWithReferenceModel compares the Reconciler, under random events of several sources, with a model that keeps
// only the latest reports of the sources and evaluates them from scratch each time. Hold-downs and confirmations may
// delay what the model says by as much as the invariants allow.
func TestAgreesWithReferenceModel(t *testing.T) {
	var reached coverage
	for seed := range *sequences {
		playAgainstModel(t, seed, &reached)
	}
	if reached.serving == 0 || reached.draining == 0 || reached.unconfirmed == 0 {
		t.Errorf("%+v: the sequences miss a case", reached)
	}
}

func playAgainstModel(t *testing.T, seed int, reached *coverage) {
	rng := rand.New(rand.NewPCG(uint64(seed), 7))
	settings := Settings{Limits: DefaultLimits, InferRestarts: rng.IntN(3) > 0}
	sources := []string{"x", "y", "z"}[:1+rng.IntN(3)]
	for _, name := range sources {
		settings.Sources = append(settings.Sources, Source{Name: name, NeedsConfirmation: rng.IntN(2) == 0})
	}
	h := newHarness(t, settings)
	reports := modelReports{}
	for _, name := range sources {
		reports[name] = map[string]modelReport{}
	}
	lastChange := map[string]time.Duration{} // by node, the time when a source's report on it last changed
	for range 4 + rng.IntN(24) {
		e := randomEvent(rng, h, sources)
		h.handle(e)
		if list, ok := e.(ListReceived); ok {
			takeIntoModel(reports[list.Source], list, lastChange, h.now)
		}
		checkAgainstModel(t, h, settings, reports, lastChange)
		reached.add(h, sources)
	}
	h.pass(10 * time.Minute) // all hold-downs and confirmations have ended: the result must equal the model's
	h.handle(TimerFired{})
	for name, want := range evaluateModel(reports, nil) {
		got, ok := h.published[name]
		if want == Up && (!ok || got.Status != Up) || want != Up && ok && got.Status == Up {
			t.Fatalf("seed %d: in the end %s is %v, want %v", seed, name, got.Status, want)
		}
	}
}

// randomEvent returns a random event. It advances the clock before it returns a TimerFired.
func randomEvent(rng *rand.Rand, h *harness, sources []string) Event {
	name := sources[rng.IntN(len(sources))]
	switch k := rng.IntN(20); {
	case k < 12:
		return randomList(rng, name)
	case k < 14:
		return RefetchFailed{name}
	case k < 17:
		return ConnectionObserved{string(rune('a' + rng.IntN(6))), Observation(rng.IntN(2))}
	}
	h.pass(time.Duration(rng.IntN(40000)) * ms)
	return TimerFired{}
}

func randomList(rng *rand.Rand, source string) ListReceived {
	complete := rng.IntN(5) > 0
	e := ListReceived{Source: source, Complete: complete, Refetched: rng.IntN(4) == 0}
	if complete && rng.IntN(6) == 0 {
		return e
	}
	for c := 'a'; c < 'g'; c++ {
		if rng.IntN(3) == 0 {
			continue
		}
		n := Node{Name: string(c), Address: "h:1"}
		switch rng.IntN(8) {
		case 0:
			n.Status = Draining
		case 1:
			n.Status = Gone
		}
		e.Nodes = append(e.Nodes, n)
	}
	return e
}

// takeIntoModel applies a list to the reports of its source.
func takeIntoModel(
	reports map[string]modelReport, e ListReceived, lastChange map[string]time.Duration, now time.Duration,
) {
	inList := map[string]bool{}
	for _, n := range e.Nodes {
		inList[n.Name] = true
		if next := (modelReport{n.Status, true}); reports[n.Name] != next {
			reports[n.Name] = next
			lastChange[n.Name] = now
		}
	}
	for name, report := range reports {
		if e.Complete && !inList[name] && (report.listed || report.status != Gone) {
			reports[name] = modelReport{Gone, false}
			lastChange[name] = now
		}
	}
}

// evaluateModel returns the status of each node by the reports alone, without hold-downs and confirmations.
func evaluateModel(reports modelReports, unconfirmed map[string]bool) map[string]Status {
	statuses := map[string]Status{}
	for c := 'a'; c < 'g'; c++ {
		name := string(c)
		listed, worst := false, Up
		for _, ofSource := range reports {
			report, ok := ofSource[name]
			if !ok {
				continue
			}
			listed = listed || report.status != Gone
			worst = max(worst, report.status)
		}
		statuses[name] = worst
		if listed {
			continue
		}
		statuses[name] = Gone
		for _, ofSource := range reports { // a node that left is forgotten once no source lists it
			if !unconfirmed[name] {
				delete(ofSource, name)
			}
		}
	}
	return statuses
}

// checkAgainstModel checks that no node serves against an explicit report (invariant 1), that a node serves only if
// it is listed or unconfirmed, the latter for FailedConfirmTimeout at most (invariant 2), and that at least one node
// serves if one is up (invariant 3).
func checkAgainstModel(
	t *testing.T, h *harness, settings Settings, reports modelReports, lastChange map[string]time.Duration,
) {
	t.Helper()
	unconfirmed := map[string]bool{}
	for _, s := range settings.Sources {
		for _, name := range h.reconciler.Unconfirmed(s.Name) {
			unconfirmed[name] = true
		}
	}
	want := evaluateModel(reports, unconfirmed)
	up, serving := 0, 0
	for name, status := range want {
		got, ok := h.published[name]
		serves := ok && got.Status == Up
		if serves {
			serving++
		}
		if status == Up {
			up++
		}
		if serves && status != Up {
			checkMayServe(t, name, reports, unconfirmed)
			if age := h.now - lastChange[name]; age > settings.Limits.FailedConfirmTimeout {
				t.Fatalf("invariant 2: %s serves, unconfirmed for %v", name, age)
			}
		}
	}
	if up > 0 && serving == 0 {
		t.Fatalf("invariant 3: %d are up, none serves: %+v, reports %v, published %+v, inference %v",
			up, want, reports, h.published, settings.InferRestarts)
	}
}

// checkMayServe checks that a node which is not up in the model serves only because it is unconfirmed.
func checkMayServe(t *testing.T, name string, reports modelReports, unconfirmed map[string]bool) {
	t.Helper()
	for _, ofSource := range reports {
		if report := ofSource[name]; report.listed && report.status != Up {
			t.Fatalf("invariant 1: %s serves although a source explicitly reported it as %v", name, report.status)
		}
	}
	if !unconfirmed[name] {
		t.Fatalf("invariant 2: %s serves although no list contains it and it is not unconfirmed", name)
	}
}
