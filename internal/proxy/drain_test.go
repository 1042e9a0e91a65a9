package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/frontend"
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

// TestWholePipelineIsAnsweredInDrain guards against lost commands: a client has more commands on a connection than the
// proxy takes at a time, and a drain begins. Each of them arrived before the connection is closed and gets an answer.
func TestWholePipelineIsAnsweredInDrain(t *testing.T) {
	const commands = 500
	release := make(chan struct{})
	node := startNode(t, func(c nodeCommand) {
		<-release
		c.serve()
	})
	h := startHarness(t, 256, node)
	u := h.connect()
	var pipeline strings.Builder
	for i := range commands {
		pipeline.WriteString(requestsByEffect["safe"](fmt.Sprint(i)))
	}
	u.send("%s", pipeline.String())
	testutil.WaitUntil(t, "the first commands to be in flight", func() bool { return h.server.core.InFlight() > 0 })
	h.stop()
	h.waitDraining()
	close(release)
	for i := range commands {
		switch got := u.line(); {
		case strings.HasPrefix(got, "VA 2 O"):
			u.expect("hi")
		case !strings.HasPrefix(got, "SERVER_ERROR "):
			t.Fatalf("command %d of %d got %q", i, commands, got)
		}
	}
	u.expect("")
	testutil.Receive(t, "the end of Serve", h.serveEnded())
}

// TestSlowCommandInDrainLosesNothing guards against lost commands: a client writes a command slowly, across the cutoff
// of a drain or after it, while an earlier request is in flight. The slow command and those behind it get an answer.
func TestSlowCommandInDrainLosesNothing(t *testing.T) {
	for name, isBegunBefore := range map[string]bool{"begun before the cutoff": true, "begun after the cutoff": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			h := startHarness(t, 256, startNode(t, func(c nodeCommand) {
				<-release
				c.serve()
			}))
			u := h.connect()
			u.sendRead("first")
			testutil.WaitUntil(t, "the request to be in flight", func() bool { return h.server.core.InFlight() > 0 })
			slow := requestsByEffect["keyed"]("slow")
			if isBegunBefore {
				u.send("%s", slow[:len(slow)/2])
			}
			h.stop()
			h.waitDraining()
			if !isBegunBefore {
				u.send("%s", slow[:len(slow)/2])
			}
			time.Sleep(frontend.LingerTimeout)
			u.send("%s", slow[len(slow)/2:])
			const behind = 3
			for i := range behind {
				u.send("%s", requestsByEffect["keyed"](fmt.Sprint("behind", i)))
			}
			close(release)
			u.expectValue("first")
			for i := range 1 + behind {
				if got := u.line(); !strings.HasPrefix(got, "SERVER_ERROR busy ") {
					t.Errorf("command %d got %q", i, got)
				}
			}
			u.expect("")
			testutil.Receive(t, "the end of Serve", h.serveEnded())
		})
	}
}

// endlessClient sends commands without waiting for answers, until its connection ends.
type endlessClient struct {
	answers  int         // answers received
	readErr  error       // how the connection ended for the reader, nil for a plain close
	writeErr error       // the same for the writer
	sentAt   []time.Time // when each batch of batchCommands was sent
	done     chan bool   // receives a value after the end of the connection
}

// wasReset reports whether the connection ended with a reset. The kernel reports it to the first call that fails.
func (e *endlessClient) wasReset() bool {
	return errors.Is(e.readErr, syscall.ECONNRESET) || errors.Is(e.writeErr, syscall.ECONNRESET)
}

const batchCommands = 100

func (h *harness) startEndlessClient() *endlessClient {
	u := h.connect()
	e := &endlessClient{done: make(chan bool, 1)}
	go func() {
		var sender sync.WaitGroup
		sender.Go(func() { e.send(u.socket) })
		lines := bufio.NewScanner(u.in)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "VA ") || strings.HasPrefix(lines.Text(), "SERVER_ERROR ") {
				e.answers++
			}
		}
		e.readErr = lines.Err()
		u.socket.Close()
		sender.Wait()
		e.done <- true
	}()
	return e
}

func (e *endlessClient) send(socket net.Conn) {
	for {
		var batch strings.Builder
		for i := range batchCommands {
			batch.WriteString(requestsByEffect["safe"](fmt.Sprint(len(e.sentAt), "-", i)))
		}
		if _, e.writeErr = io.WriteString(socket, batch.String()); e.writeErr != nil {
			return
		}
		e.sentAt = append(e.sentAt, time.Now())
	}
}

// TestEndlessPipelineDoesNotHoldUpDrain guards against a drain without an end: a client sends commands without waiting
// for answers and never stops. The drain ends in time. If the connection ends with a plain close, from which the client
// can't learn that commands are unread, each that was sent 0.25 s before or earlier is answered.
func TestEndlessPipelineDoesNotHoldUpDrain(t *testing.T) {
	const longestDeadline = 300 * time.Millisecond
	h := startHarness(t, 256, startNode(t, nodeCommand.serve))
	h.server.mu.Lock()
	h.server.longestDeadline = longestDeadline
	h.server.mu.Unlock()
	e := h.startEndlessClient()
	testutil.WaitUntil(t, "the first commands to be in flight", func() bool { return h.server.core.InFlight() > 0 })
	start := time.Now()
	h.stop()
	testutil.Receive(t, "the end of the connection", e.done)
	ended := time.Now()
	testutil.Receive(t, "the end of Serve", h.serveEnded())
	if took, limit := time.Since(start), drainAcceptTime+longestDeadline+abortGrace+time.Second; took > limit {
		t.Errorf("the drain took %v, want %v at most", took, limit)
	}
	old := 0
	for _, at := range e.sentAt {
		if ended.Sub(at) > 250*time.Millisecond {
			old += batchCommands
		}
	}
	if !e.wasReset() && e.answers < old {
		t.Errorf("%d answers to %d commands that were sent long before a plain close", e.answers, old)
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
