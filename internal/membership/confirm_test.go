package membership

import (
	"testing"
	"time"
)

// allNodes are the nodes that the source lists before each case of collapseCases.
const allNodes = "abcdefgh"

// collapseCases are lists that shrink, with or without a collapse, because nodes left or because the source fails.
var collapseCases = []struct {
	name string
	play func(*harness)
}{
	{"some leave", func(h *harness) {
		h.handle(completeList("c", "abcdef"))
		h.expect("abcdef", "at once")
	}},
	{"half missing for a moment, wrongly", func(h *harness) {
		h.handle(completeList("c", "abc"))
		h.expect(allNodes, "unconfirmed")
		h.pass(100 * ms)
		h.handle(refetchedList("c", allNodes))
		h.pass(time.Minute)
		h.expect(allNodes, "refetched")
	}},
	{"most missing, correctly", func(h *harness) {
		h.handle(completeList("c", "abc"))
		h.pass(50 * ms)
		h.handle(refetchedList("c", "abc"))
		h.expect("abc", "confirmed")
	}},
	{"most missing, and no refetch succeeds or fails", func(h *harness) {
		h.handle(completeList("c", "abc"))
		h.pass(DefaultLimits.ConfirmTimeout - ms)
		h.expect(allNodes, "unconfirmed")
		h.pass(ms)
		h.expect("abc", "within the drain rule's time")
	}},
	{"most missing, from a source that fails", func(h *harness) {
		h.handle(completeList("c", "abc"))
		for range 40 {
			h.handle(RefetchFailed{"c"})
			h.pass(250 * ms)
		}
		h.expect(allNodes, "refetches fail")
		if h.refetches < 10 {
			h.t.Errorf("%d refetches in ten seconds", h.refetches)
		}
		h.handle(refetchedList("c", "abc"))
		h.expect("abc", "a refetch has succeeded")
	}},
	{"most missing, from a source that fails for good", func(h *harness) {
		h.handle(completeList("c", "abc"))
		h.handle(RefetchFailed{"c"})
		h.pass(DefaultLimits.FailedConfirmTimeout + ms)
		h.expect("abc", "FailedConfirmTimeout has passed")
	}},
	{"node by node, quickly", func(h *harness) {
		for n := 7; n > 3; n-- {
			h.handle(completeList("c", allNodes[:n]))
			h.pass(time.Second)
		}
		h.expect("abcd", "half are left")
		h.handle(completeList("c", "abc"))
		h.expect("abcd", "the loss of one more is a collapse")
		h.handle(refetchedList("c", "abc"))
		h.expect("abc", "the loss is confirmed")
	}},
	{"one by one, slowly", func(h *harness) {
		for n := 7; n >= 0; n-- {
			h.pass(time.Minute)
			h.handle(completeList("c", allNodes[:n]))
			h.expect(allNodes[:n], "a working list")
		}
	}},
	{"empty for a second", func(h *harness) {
		h.handle(completeList("c", ""))
		h.handle(refetchedList("c", ""))
		h.pass(time.Second)
		h.expect(allNodes, "empty")
		h.handle(completeList("c", allNodes))
		h.pass(time.Minute)
		h.expect(allNodes, "all nodes are listed again")
	}},
	{"empty for good, nodes answer", func(h *harness) {
		h.handle(completeList("c", ""))
		h.handle(refetchedList("c", ""))
		h.pass(10 * time.Second)
		h.expect(allNodes, "ten seconds")
		h.pass(DefaultLimits.FailedConfirmTimeout)
		h.expect("", "FailedConfirmTimeout has passed")
	}},
	{"empty, and half of the nodes are really gone", func(h *harness) {
		h.handle(completeList("c", ""))
		for range DefaultLimits.FailureThreshold {
			for _, name := range "abcd" {
				h.handle(ConnectionObserved{string(name), Failed})
			}
			h.pass(minFailureInterval)
		}
		h.expect("efgh", "their connections fail too")
	}},
	{"empty, then some", func(h *harness) {
		h.handle(completeList("c", ""))
		h.pass(time.Second)
		h.handle(completeList("c", "abc"))
		h.expect(allNodes, "the others are unconfirmed")
		h.pass(100 * ms)
		h.handle(refetchedList("c", "abc"))
		h.expect("abc", "the loss is confirmed")
	}},
	{"nodes reported as draining in a collapse", func(h *harness) {
		h.handle(completeList("c", "abcDEFGH"))
		h.expect("abc", "explicit reports need no confirmation")
	}},
}

// TestCollapsedLists checks that nodes missing from a collapsed list are unconfirmed until the loss is confirmed or
// times out (rule 2), and that an empty list alone does not remove nodes (rule 3).
func TestCollapsedLists(t *testing.T) {
	for _, c := range collapseCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, consulSettings())
			h.handle(completeList("c", allNodes))
			c.play(h)
		})
	}
}
