package membership

import (
	"fmt"
	"testing"
	"time"
)

// TestNodeWhoseAddressWasTakenIsGone guards against a new process that is taken for an old one at the same address: the
// old node is gone as soon as a source lists the new one, in whatever order and with whatever names, and serves again
// only if the new one is no longer listed there.
func TestNodeWhoseAddressWasTakenIsGone(t *testing.T) {
	const start = 100 * time.Hour
	for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
		for _, together := range []bool{false, true} {
			for _, infer := range []bool{false, true} {
				t.Run(fmt.Sprint(names, together, infer), func(t *testing.T) {
					h := newHarness(t, Settings{
						Limits: DefaultLimits, Sources: []Source{{Name: "s"}}, InferRestarts: infer,
					})
					oldNode := Node{Name: names[0], Address: "h:1", Zone: "x"}
					newNode := Node{Name: names[1], Address: "h:1", Zone: "y", Started: start}
					elsewhere := Node{Name: "c", Address: "h:2"}
					list := []Node{oldNode, elsewhere}
					if together {
						list = append(list, newNode)
					}
					h.handle(ListReceived{Source: "s", Complete: true, Nodes: list})
					if !together {
						h.handle(ListReceived{Source: "s", Nodes: []Node{newNode}})
					}
					h.expectPublished("the new node listed", names[1], "c")
					h.handle(ListReceived{Source: "s", Nodes: []Node{oldNode}})
					h.expectPublished("the old node listed again", names[1], "c")
					newNode.Address = "h:3"
					h.handle(ListReceived{Source: "s", Nodes: []Node{newNode}})
					h.expectPublished("the new node moved", "a", "b", "c")
				})
			}
		}
	}
}

// expectPublished checks the names of the published nodes that are not gone.
func (h *harness) expectPublished(when string, names ...string) {
	h.t.Helper()
	for _, name := range names {
		if _, ok := h.published[name]; !ok {
			h.t.Errorf("%s: %s is not published", when, name)
		}
	}
	if len(h.published) != len(names) {
		h.t.Errorf("%s: %d nodes are published, want %v", when, len(h.published), names)
	}
}
