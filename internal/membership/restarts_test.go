package membership

import (
	"strings"
	"testing"
	"time"
)

// TestFlappingNodesAreHeldDown checks that nodes that left and returned often are held down (rule 4): the removal is
// not delayed, the return is, and not all nodes are held down at the same time.
func TestFlappingNodesAreHeldDown(t *testing.T) {
	h := newHarness(t, consulSettings())
	h.handle(completeList("c", "abcd"))
	up, last := time.Duration(0), 0
	for i := range 150 { // for a minute: 200 ms gone, 200 ms back
		h.handle(completeList("c", "bcd"))
		if strings.Contains(h.servingNames(), "a") {
			t.Fatal("a node that is gone serves")
		}
		h.pass(200 * ms)
		h.handle(completeList("c", "abcd"))
		if strings.Contains(h.servingNames(), "a") {
			up, last = up+200*ms, i
		}
		h.pass(200 * ms)
	}
	if up > 2*time.Second || last > 20 {
		t.Errorf("a flapping node served %v of a minute, last at its flap %d", up, last)
	}
	h.pass(DefaultLimits.MaxHoldDown)
	h.expect("abcd", "steady for the longest hold-down")
	if got := h.published["a"]; got.Started != 0 {
		t.Errorf("the same instance counts as started at %v after short absences", got.Started)
	}
	for range 10 {
		h.handle(completeList("c", "ABCD"))
		h.expect("", "all drain")
		h.pass(100 * ms)
		h.handle(completeList("c", "abcd"))
		if h.servingNames() == "" {
			t.Fatal("all nodes are held down")
		}
	}
}

// restartCases are sequences of events for node a, and whether it counts as restarted after them.
var restartCases = []struct {
	name      string
	restarted bool
	play      func(*harness)
}{
	{"from the start", false, func(*harness) {}},
	{"drained and back", false, func(h *harness) {
		h.handle(completeList("c", "Abcd"))
		h.pass(time.Minute)
		h.handle(completeList("c", "abcd"))
	}},
	{"gone for a moment", false, func(h *harness) {
		h.handle(completeList("c", "bcd"))
		h.pass(time.Second)
		h.handle(completeList("c", "abcd"))
	}},
	{"gone for long", true, func(h *harness) {
		h.handle(completeList("c", "bcd"))
		h.pass(DefaultLimits.CacheRetention + ms)
		h.handle(completeList("c", "abcd"))
	}},
	{"gone for a moment, its process ended", true, func(h *harness) {
		for range DefaultLimits.FailureThreshold {
			h.handle(ConnectionObserved{"a", Failed})
			h.pass(minFailureInterval)
		}
		h.handle(completeList("c", "bcd"))
		h.pass(time.Second)
		h.handle(completeList("c", "abcd"))
	}},
	{"another instance at once", true, func(h *harness) {
		e := completeList("c", "abcd")
		e.Nodes[0].Instance = "2"
		h.handle(e)
	}},
	{"replaced while the source is silent", true, func(h *harness) {
		for range DefaultLimits.FailureThreshold {
			h.handle(ConnectionObserved{"a", Failed})
			h.pass(minFailureInterval)
		}
		h.pass(10 * time.Minute)
		h.handle(ConnectionObserved{"a", Answered})
	}},
	{"a connection that fails with all requests that waited on it", false, func(h *harness) {
		for range 100 {
			h.handle(ConnectionObserved{"a", Failed})
		}
		h.handle(ConnectionObserved{"a", Answered})
	}},
	{"single connections that fail", false, func(h *harness) {
		for range 100 {
			h.handle(ConnectionObserved{"a", Failed})
			h.pass(minFailureInterval)
			h.handle(ConnectionObserved{"a", Answered})
		}
	}},
	{"new", true, func(h *harness) {
		h.handle(completeList("c", "bcd"))
		h.pass(DefaultLimits.ForgetAfter + time.Second)
		h.handle(completeList("c", "abcd"))
	}},
}

func TestStartTimesAreInferred(t *testing.T) {
	for _, c := range restartCases {
		h := newHarness(t, consulSettings())
		h.handle(completeList("c", "abcd"))
		c.play(h)
		h.pass(DefaultLimits.MaxHoldDown)
		got, serving := h.published["a"].Started, h.servingNames()
		if (got != 0) != c.restarted || got > h.now || !strings.Contains(serving, "a") {
			t.Errorf("%s: counts as started at %v of %v; %s serve", c.name, got, h.now, serving)
		}
		if h.published["b"].Started != 0 {
			t.Errorf("%s: node b counts as restarted", c.name)
		}
	}
}
