package proxy

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/fake/link"
)

// The window in which the nodes of this test drop duplicates, and the length of a network partition that outlasts it.
const (
	shortWindow     = 600 * time.Millisecond
	longerPartition = 900 * time.Millisecond
)

// resettingNodes are two nodes, each behind a link. The first one to receive a write executes it, loses the other one
// to a network partition and resets the connection without an answer.
type resettingNodes struct {
	links [2]*link.Link

	mu       sync.Mutex
	executed []string // the ids of the writes, in order
}

// handle returns the handler of the commands of one node.
func (n *resettingNodes) handle(node int) func(nodeCommand) {
	return func(c nodeCommand) {
		if !strings.HasPrefix(c.line, "ms") {
			c.serve()
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.executed = append(n.executed, c.id)
		if len(n.executed) > 1 {
			c.respond("HD O%s cR1\r\n", c.id)
			return
		}
		n.links[1-node].Cut()
		time.AfterFunc(longerPartition, n.links[1-node].Restore)
		c.node.(*net.TCPConn).SetLinger(0)
		c.node.Close()
	}
}

func (n *resettingNodes) executions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.executed)
}

// TestRepeatIsNotDeliveredAfterDedupWindow guards against a proxy's own repeat of a keyed write that the network holds
// up: it must not arrive when the nodes have forgotten the write that ran.
func TestRepeatIsNotDeliveredAfterDedupWindow(t *testing.T) {
	nodes := &resettingNodes{}
	addresses := make([]string, len(nodes.links))
	for i := range nodes.links {
		l, err := link.Start(startNode(t, nodes.handle(i)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		nodes.links[i], addresses[i] = l, l.Address()
	}
	h := startHarnessWith(t, 512, func(settings map[string]any) {
		keyed := settings["Services"].([]any)[1].(map[string]any)
		keyed["Window"] = shortWindow.Milliseconds()
	}, addresses...)
	u := h.connect()
	for i := range 20 { // opens connections to both nodes
		id := "warm" + string(rune('a'+i))
		u.sendRead(id)
		u.expectValue(id)
	}
	u.send("ms k 2 Ow Pc=put,t=shops,d=2000,k=i\r\nhi\r\n")
	if line := u.line(); line != "SERVER_ERROR failed" {
		t.Errorf("the write was answered %q, want a failure: its outcome is unknown", line)
	}
	time.Sleep(longerPartition + 100*time.Millisecond)
	if executions := nodes.executions(); executions != 1 {
		t.Errorf("the write was executed %d times", executions)
	}
}
