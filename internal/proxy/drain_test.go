package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/testutil"
)

// These tests check that in a drain every accepted request gets a response, and that the drain ends in time, whatever
// nodes and clients do.

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

// TestLateRequestsInDrainAreRejected checks that commands that a client keeps sending in a drain are rejected
// immediately while their connection stays open for a response that hangs. Closing a connection with unread commands
// would lose that response.
func TestLateRequestsInDrainAreRejected(t *testing.T) {
	for effect, request := range requestsByEffect {
		t.Run(effect, func(t *testing.T) {
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

// TestDrainStartsWithAllPlacesTaken checks that a drain that starts while the accept loop waits for a free place ends
// this wait. No place becomes free by itself, as all clients keep sending.
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

// TestPendingConnectionsDoNotDelayDrain checks that a drain is not delayed by requests that wait for a connection to a
// node that would stay pending for an hour.
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
	for effect, request := range requestsByEffect {
		u := h.connect()
		u.send("%s", request(strings.ReplaceAll(effect, " ", "")))
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

// TestUnfinishedRequestsAreAnswered checks that each request still gets a response if the drain times out before the
// requests do, as in a process that was stalled. Only requests that are safe to retry get a response that invites a
// retry.
func TestUnfinishedRequestsAreAnswered(t *testing.T) {
	arrived := make(chan string, 100)
	h := startHarnessWith(t, 256, withUnsafeClass, startNode(t, func(c nodeCommand) { arrived <- c.id }))
	h.server.mu.Lock()
	h.server.longestDeadline = 0
	h.server.mu.Unlock()
	clients := make(map[string]*client)
	for effect, request := range requestsByEffect {
		clients[effect] = h.connect()
		clients[effect].send("%s", strings.ReplaceAll(request(strings.ReplaceAll(effect, " ", "")), "d=1900", "d=1999"))
		testutil.Receive(t, "the request to reach the node", arrived)
	}
	h.stop()
	for effect, u := range clients {
		want := "SERVER_ERROR failed"
		if strings.HasPrefix(effect, "safe") {
			want = "SERVER_ERROR busy "
		}
		if got := u.line(); !strings.HasPrefix(got, want) {
			t.Errorf("%s: got %q, want %q", effect, got, want)
		}
	}
	testutil.Receive(t, "the end of Serve", h.serveEnded())
}
