package membership

import (
	"strings"
	"testing"
)

func TestSourcesAreMergedAndDrainRuleWins(t *testing.T) {
	settings := consulSettings()
	settings.Sources = []Source{{Name: "file"}, {Name: "c", NeedsConfirmation: true}}
	h := newHarness(t, settings)
	h.handle(completeList("c", "abc"))
	h.handle(completeList("file", "bcd"))
	h.expect("abcd", "both have reported")
	if got := h.published["b"]; got.Status != Up {
		t.Errorf("b is %+v", got)
	}
	h.handle(completeList("c", "aBc")) // draining in one, up in the other
	h.expect("acd", "b drains in one")
	h.handle(completeList("c", "ac")) // gone in one, up in the other
	h.expect("acd", "b is gone in one")
	if reason := h.published["b"].Reason; !strings.Contains(reason, "gone in c") {
		t.Errorf("b's reason is %q", reason)
	}
	h.handle(completeList("file", "cd")) // now in none
	if _, there := h.published["b"]; there {
		t.Error("b is still there")
	}
	h.handle(completeList("file", "bcd")) // c's report on b has been forgotten with it
	h.handle(completeList("c", "abc"))
	h.expect("abcd", "b is back in both")
	h.handle(ListReceived{Source: "file", Nodes: []Node{{Name: "a", Status: Gone}}})
	h.expect("bcd", "a left by the report of a source that had never listed it")
}

func TestReloadKeepsOldListUntilNewOneArrives(t *testing.T) {
	h := newHarness(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "platform"}}})
	h.handle(completeList("platform", "abC"))
	h.handle(SourcesChanged{Sources: []Source{{Name: "c", NeedsConfirmation: true}}})
	h.expect("ab", "the new source has reported nothing")
	h.handle(completeList("platform", "aBC"))
	h.expect("a", "the old source counts until then")
	h.handle(completeList("c", "bcd"))
	h.expect("bcd", "the new one has reported")
	h.handle(SourcesChanged{Sources: []Source{{Name: "platform"}}})
	h.handle(completeList("platform", "a"))
	h.expect("a", "and back")
}

// TestNewSourceMayBeginWithChanges guards a move to a discovery service that takes what the old one reported for known:
// it once left a proxy with the few nodes that had changed.
func TestNewSourceMayBeginWithChanges(t *testing.T) {
	h := newHarness(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "old"}}})
	h.handle(completeList("old", "abCd"))
	h.handle(SourcesChanged{Sources: []Source{{Name: "new"}}})
	h.handle(ListReceived{Source: "new", Nodes: []Node{
		{Name: "a", Status: Draining}, {Name: "c"}, {Name: "d", Status: Gone}, {Name: "e"},
	}})
	h.expect("bce", "after changes only")
	h.handle(ListReceived{Source: "new", Nodes: []Node{{Name: "a"}}})
	h.expect("abce", "after more")
	h.handle(completeList("new", "ae"))
	h.expect("ae", "after a complete list")
}
