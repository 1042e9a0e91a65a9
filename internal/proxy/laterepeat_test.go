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

// resetDelivery is long enough for a reset to reach the proxy, and shorter than a path check.
const resetDelivery = 30 * time.Millisecond

// resettingNodes are two nodes, each behind a link, that drop duplicates within shortWindow. The first one to receive a
// write executes it, loses the other one to a network partition and resets the connection without an answer.
type resettingNodes struct {
	cutsBoth bool // the node that executes the write is lost as well, once its reset has been delivered
	links    [2]*link.Link

	mu       sync.Mutex
	received int // writes, including duplicates
	executed []time.Time
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
		n.received++
		if len(n.executed) > 0 {
			if time.Since(n.executed[0]) > shortWindow {
				n.executed = append(n.executed, time.Now())
			}
			c.respond("HD O%s cR1\r\n", c.id)
			return
		}
		n.executed = append(n.executed, time.Now())
		n.cut(1 - node)
		if n.cutsBoth {
			time.AfterFunc(resetDelivery, func() { n.cut(node) })
		}
		c.node.(*net.TCPConn).SetLinger(0)
		c.node.Close()
	}
}

// cut cuts a node off for longerPartition.
func (n *resettingNodes) cut(node int) {
	n.links[node].Cut()
	time.AfterFunc(longerPartition, n.links[node].Restore)
}

func (n *resettingNodes) counts() (received, executed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received, len(n.executed)
}

// TestRepeatIsNotDeliveredAfterDedupWindow guards against a proxy's own repeat of a keyed write that the network holds
// up: it must not arrive when the nodes have forgotten the write that ran.
func TestRepeatIsNotDeliveredAfterDedupWindow(t *testing.T) {
	for _, test := range []struct {
		name         string
		cutsBoth     bool
		want         string
		wantReceived int
	}{
		{"one node is cut off", false, "HD Ow cR1", 2},             // the repeat goes to the other one, which drops it
		{"both nodes are cut off", true, "SERVER_ERROR failed", 1}, // the outcome is unknown
	} {
		t.Run(test.name, func(t *testing.T) {
			nodes := &resettingNodes{cutsBoth: test.cutsBoth}
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
			if line := u.line(); line != test.want {
				t.Errorf("the write was answered %q, want %q", line, test.want)
			}
			time.Sleep(longerPartition + 100*time.Millisecond)
			if received, executed := nodes.counts(); executed != 1 || received != test.wantReceived {
				t.Errorf("the write was executed %d times and received %d times, want 1 and %d",
					executed, received, test.wantReceived)
			}
		})
	}
}
