package membership

import (
	"fmt"
	"testing"
	"time"
)

// TestReportsPassUnchangedWithoutInference checks that lists of the platform take effect as reported: without
// confirmations, hold-downs and inferred start times.
func TestReportsPassUnchangedWithoutInference(t *testing.T) {
	h := newHarness(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "p"}}})
	h.handle(completeList("p", "abcd"))
	for range 20 {
		h.handle(completeList("p", "a"))
		h.expect("a", "at once")
		h.handle(completeList("p", ""))
		h.expect("", "at once")
		h.handle(completeList("p", "abcd"))
		h.expect("abcd", "at once")
	}
	if len(h.timers)+h.refetches > 0 || h.published["a"].Started != 0 {
		t.Errorf("%d timers, %d refetches, a started at %v", len(h.timers), h.refetches, h.published["a"].Started)
	}
}

// TestSilentSourceChangesNothing checks that the last list of a source stays in force however old it is (rule 5).
func TestSilentSourceChangesNothing(t *testing.T) {
	h := newHarness(t, consulSettings())
	h.handle(completeList("c", "abC"))
	h.pass(10 * time.Minute)
	h.expect("ab", "after ten minutes of silence")
}

// TestMemoryIsBounded checks that nodes that left are forgotten (invariant 5), with a source that lists new names
// all the time.
func TestMemoryIsBounded(t *testing.T) {
	h := newHarness(t, consulSettings())
	for i := range 5000 {
		e := ListReceived{Source: "c", Complete: true}
		for j := range 8 {
			e.Nodes = append(e.Nodes, Node{Name: fmt.Sprint("n", i+j), Address: "h:1"})
		}
		h.handle(e)
		h.pass(time.Second)
	}
	if maximum := 8 + int(DefaultLimits.ForgetAfter/time.Second) + 5; len(h.reconciler.nodes) > maximum {
		t.Errorf("%d nodes are remembered of 5007, want %d at most", len(h.reconciler.nodes), maximum)
	}
	if n := len(h.reconciler.sources[0].nodes); n > 8 {
		t.Errorf("%d reports are retained", n)
	}
	if n := len(h.reconciler.sources[0].losses); n > 20 {
		t.Errorf("%d losses are retained", n)
	}
}
