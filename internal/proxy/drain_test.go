package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/testutil"
)

// These tests guard what is owed when the proxy ends: every request that was taken has its answer, and the end comes
// in time, whatever nodes and clients do.

// late waits until a drain takes nothing more on any connection.
func (f *fleet) late() {
	f.t.Helper()
	testutil.WaitUntil(f.t, "the drain to take nothing more", func() bool {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		for c := range f.server.clients {
			if !c.RejectsCommands() {
				return false
			}
		}
		return f.server.drain.abortTimer != nil
	})
}

// TestWhatComesLateInADrainIsRefused: a client sends on, on a connection that stays open for an answer that hangs.
// It is told at once that it was refused, for a close over what has come would lose it.
func TestWhatComesLateInADrainIsRefused(t *testing.T) {
	for class, request := range classes {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan string, 100)
			f := startFleetWith(t, 256, once, startNode(t, func(c command) { arrived <- c.id })) // which answers nothing
			u := f.connect()
			u.send("%s", request("hung"))
			testutil.Receive(t, "the request to come to the node", arrived)
			f.stop()
			f.late()
			const more = 5
			for i := range more {
				u.send("%s", request(fmt.Sprint("late", i)))
			}
			if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR ") {
				t.Errorf("the one that hung was answered %q", got)
			}
			for i := range more {
				if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR busy ") {
					t.Errorf("request %d that came late was answered %q", i, got)
				}
			}
			u.expect("")
			testutil.Receive(t, "the server's end", f.ended())
			for len(arrived) > 0 {
				if id := <-arrived; strings.HasPrefix(id, "late") {
					t.Errorf("%s was sent on", id)
				}
			}
		})
	}
}

// TestDrainBeginsWhereAllPlacesAreTaken: the accepter waits for a place when the end is told, and none ever comes free, as all
// clients send on.
func TestDrainBeginsWhereAllPlacesAreTaken(t *testing.T) {
	f := startFleet(t, 64, startNode(t, command.serve))
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range f.server.maxClients {
		u := f.connect()
		u.read(fmt.Sprint(i))
		u.expectValue(fmt.Sprint(i))
		clients.Go(func() {
			for n := 0; ; n++ {
				u.read(fmt.Sprint(i, "-", n))
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
	waiting := f.connect() // in the backlog
	testutil.WaitUntil(t, "all places to be taken", func() bool { n, _ := f.server.Load(); return n >= f.server.maxClients })
	f.stop()
	testutil.Receive(t, "the server's end", f.ended())
	waiting.socket.Close()
}

// TestHungConnectionsDoNotHoldUpTheEnd: a connection to a node is coming up, and would for long.
func TestHungConnectionsDoNotHoldUpTheEnd(t *testing.T) {
	d, err := unresponsive.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	f := startFleetWith(t, 256, func(settings map[string]any) {
		once(settings)
		settings["Limits"].(map[string]any)["ConnectTimeout"] = 3600000
	}, d.Address())
	var users []*user
	for class, request := range classes {
		u := f.connect()
		u.send("%s", request(strings.ReplaceAll(class, " ", "")))
		users = append(users, u)
	}
	testutil.WaitUntil(t, "all to wait", func() bool { return f.server.core.InFlight() == len(users) })
	f.stop()
	for _, u := range users {
		if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR busy ") {
			t.Errorf("what was never sent was answered %q", got)
		}
		u.expect("")
	}
	testutil.Receive(t, "the server's end", f.ended())
}

// TestWhatCannotBeFinishedIsAnswered: the end comes before a request's own, as where a process got no core for a while. It has an
// answer all the same, that promises no more than is known.
func TestWhatCannotBeFinishedIsAnswered(t *testing.T) {
	arrived := make(chan string, 100)
	f := startFleetWith(t, 256, once, startNode(t, func(c command) { arrived <- c.id }))
	f.server.mu.Lock()
	f.server.longestDeadline = 0
	f.server.mu.Unlock()
	users := make(map[string]*user)
	for class, request := range classes {
		users[class] = f.connect()
		users[class].send("%s", strings.ReplaceAll(request(strings.ReplaceAll(class, " ", "")), "d=1900", "d=1999"))
		testutil.Receive(t, "the request to come to the node", arrived)
	}
	f.stop()
	for class, u := range users {
		want := "SERVER_ERROR failed"
		if strings.HasPrefix(class, "safe") {
			want = "SERVER_ERROR busy "
		}
		if got := u.line(); !strings.HasPrefix(got, want) {
			t.Errorf("%s: answered %q, want %q", class, got, want)
		}
	}
	testutil.Receive(t, "the server's end", f.ended())
}
