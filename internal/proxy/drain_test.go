package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/testutil"
)

// These tests guard the drain: every accepted request gets a response, and the drain ends in time, whatever nodes and
// clients do.

// waitDraining waits until a drain accepts no more commands on any connection.
func (h *harness) waitDraining() {
	h.t.Helper()
	testutil.WaitUntil(h.t, "the drain to accept no more commands", func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		for c := range h.server.clients {
			if !c.RejectsCommands() {
				return false
			}
		}
		return h.server.drain.abortTimer != nil
	})
}

// TestLateRequestsInDrainAreRejected: a client goes on sending on a connection that stays open for a response that
// hangs. It is rejected at once, since a close with unread commands would lose that response.
func TestLateRequestsInDrainAreRejected(t *testing.T) {
	for class, request := range requestsByEffect {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan string, 100)
			hangingNode := startNode(t, func(c nodeCommand) { arrived <- c.id })
			h := startHarnessWith(t, 256, withUnsafeClass, hangingNode)
			u := h.connect()
			u.send("%s", request("hung"))
			testutil.Receive(t, "the request to reach the node", arrived)
			h.stop()
			h.waitDraining()
			const more = 5
			for i := range more {
				u.send("%s", request(fmt.Sprint("late", i)))
			}
			if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR ") {
				t.Errorf("the request that hung got %q", got)
			}
			for i := range more {
				if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR busy ") {
					t.Errorf("late request %d got %q", i, got)
				}
			}
			u.expect("")
			testutil.Receive(t, "the end of Serve", h.serveEnded())
			for len(arrived) > 0 {
				if id := <-arrived; strings.HasPrefix(id, "late") {
					t.Errorf("%s was sent", id)
				}
			}
		})
	}
}

// TestDrainStartsWithAllPlacesTaken: the accept loop waits for a place when the drain starts, and none is ever
// freed, as all clients go on sending.
func TestDrainStartsWithAllPlacesTaken(t *testing.T) {
	h := startHarness(t, 64, startNode(t, nodeCommand.serve))
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range h.server.maxClients {
		u := h.connect()
		u.sendRead(fmt.Sprint(i))
		u.expectValue(fmt.Sprint(i))
		clients.Go(func() {
			for n := 0; ; n++ {
				u.sendRead(fmt.Sprint(i, "-", n))
				line, err := u.in.ReadString('\n')
				if err != nil {
					return
				}
				if strings.HasPrefix(line, "VA") {
					u.in.ReadString('\n')
				}
			}
		})
	}
	waiting := h.connect() // in the backlog
	testutil.WaitUntil(t, "all places to be taken", func() bool {
		n, _ := h.server.Load()
		return n >= h.server.maxClients
	})
	h.stop()
	testutil.Receive(t, "the end of Serve", h.serveEnded())
	waiting.socket.Close()
}

// TestPendingConnectionsDoNotDelayDrain: a connection to a node is pending, and would be for long.
func TestPendingConnectionsDoNotDelayDrain(t *testing.T) {
	d, err := unresponsive.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	h := startHarnessWith(t, 256, func(settings map[string]any) {
		withUnsafeClass(settings)
		settings["Limits"].(map[string]any)["ConnectTimeout"] = 3600000
	}, d.Address())
	var clients []*client
	for class, request := range requestsByEffect {
		u := h.connect()
		u.send("%s", request(strings.ReplaceAll(class, " ", "")))
		clients = append(clients, u)
	}
	testutil.WaitUntil(t, "all to wait", func() bool { return h.server.core.InFlight() == len(clients) })
	h.stop()
	for _, u := range clients {
		if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR busy ") {
			t.Errorf("a request that was never sent got %q", got)
		}
		u.expect("")
	}
	testutil.Receive(t, "the end of Serve", h.serveEnded())
}

// TestUnfinishedRequestsAreAnswered: the drain times out before a request does, as where a process was stalled. The
// request gets a response nevertheless, which claims no more than is known.
func TestUnfinishedRequestsAreAnswered(t *testing.T) {
	arrived := make(chan string, 100)
	h := startHarnessWith(t, 256, withUnsafeClass, startNode(t, func(c nodeCommand) { arrived <- c.id }))
	h.server.mu.Lock()
	h.server.longestDeadline = 0
	h.server.mu.Unlock()
	clients := make(map[string]*client)
	for class, request := range requestsByEffect {
		clients[class] = h.connect()
		clients[class].send("%s", strings.ReplaceAll(request(strings.ReplaceAll(class, " ", "")), "d=1900", "d=1999"))
		testutil.Receive(t, "the request to reach the node", arrived)
	}
	h.stop()
	for class, u := range clients {
		want := "SERVER_ERROR failed"
		if strings.HasPrefix(class, "safe") {
			want = "SERVER_ERROR busy "
		}
		if got := u.line(); !strings.HasPrefix(got, want) {
			t.Errorf("%s: got %q, want %q", class, got, want)
		}
	}
	testutil.Receive(t, "the end of Serve", h.serveEnded())
}
