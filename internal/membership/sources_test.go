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
	h.handle(completeList("c", "aBc")) // b is draining in c, up in file
	h.expect("acd", "b is draining in c")
	h.handle(completeList("c", "ac")) // b is gone in c, up in file
	h.expect("acd", "b is gone in c")
	if reason := h.published["b"].Reason; !strings.Contains(reason, "gone in c") {
		t.Errorf("b's reason is %q", reason)
	}
	h.handle(completeList("file", "cd")) // b is in neither list
	if _, published := h.published["b"]; published {
		t.Error("b is still published although no source lists it")
	}
	h.handle(completeList("file", "bcd")) // c's report on b was deleted when b left both lists
	h.handle(completeList("c", "abc"))
	h.expect("abcd", "b is back in both")
	h.handle(ListReceived{Source: "file", Nodes: []Node{{Name: "a", Status: Gone}}})
	h.expect("bcd", "a is reported gone by a source that never listed it")
}

func TestReloadKeepsOldListUntilNewOneArrives(t *testing.T) {
	h := newHarness(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "platform"}}})
	h.handle(completeList("platform", "abC"))
	h.handle(SourcesChanged{Sources: []Source{{Name: "c", NeedsConfirmation: true}}})
	h.expect("ab", "the new source has reported nothing")
	h.handle(completeList("platform", "aBC"))
	h.expect("a", "the old source counts until the new one has reported")
	h.handle(completeList("c", "bcd"))
	h.expect("bcd", "the new one has reported")
	h.handle(SourcesChanged{Sources: []Source{{Name: "platform"}}})
	h.handle(completeList("platform", "a"))
	h.expect("a", "back to the first source")
}

// TestNewSourceMayBeginWithChanges checks that the nodes of the old discovery service are kept when a proxy moves
// to another service that first delivers only changes to the old one's list. Otherwise the proxy would keep only
// the few changed nodes.
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
