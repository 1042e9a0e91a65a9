package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/socket"
	"mulleinpier/internal/testutil"
)

// In these tests connections end while attempts on them are unfinished.

// TestConnectionDuringCheckIsNotIdle checks that a connection does not count as idle while its next attempt is being
// checked, so that it is not closed for a connection to another node.
func TestConnectionDuringCheckIsNotIdle(t *testing.T) {
	limits := testLimits
	limits.MaxConnections = 1
	g := startGated(t, limits)
	g.UpdateNodes([]Node{{Name: "other", Address: g.address}})
	a := sendRead(t, g.Pool, "a")
	g.nextCheck(t, "its check")
	node := g.nextConnection(t)
	command, err := meta.ParseCommand("mg k v Ob Pc=read")
	if err != nil {
		t.Fatal(err)
	}
	if g.Send("other", &Attempt{Request: &command.Request, Deadline: time.Now().Add(testTimeout)}) {
		t.Error("a connection to another node was allowed")
	}
	g.CloseIdle("n")
	g.proceed <- struct{}{}
	in := bufio.NewReader(node)
	node.SetReadDeadline(time.Now().Add(testTimeout))
	if line, err := in.ReadString('\n'); err != nil || !strings.Contains(line, "Oa") {
		t.Fatalf("the node received %q, %v", line, err)
	}
	serve("a", node)
	g.expectServed(t, a)
	if len(g.accepted) > 0 {
		t.Error("it was sent over another connection")
	}
}

// TestAnswerBeforeAResetCounts checks that a request is served if its complete answer arrived right before a reset of
// the connection, although a write to the connection fails before the answer is read.
func TestAnswerBeforeAResetCounts(t *testing.T) {
	g := startGated(t, testLimits)
	g.answered = make(chan struct{}, 100)
	g.proceed <- struct{}{}
	first := sendRead(t, g.Pool, "first")
	g.nextCheck(t, "its check")
	node := g.nextConnection(t)
	in := bufio.NewReader(node)
	in.ReadString('\n')
	second := sendWrite(t, g.Pool, "second", 2)
	g.nextCheck(t, "its check")
	g.proceed <- struct{}{}
	in.ReadString('\n')
	in.ReadString('\n')
	serve("first", node) // the handler blocks in Answered, which keeps the next answer unread
	g.expectServed(t, first)
	third := sendRead(t, g.Pool, "third")
	g.nextCheck(t, "its check")
	fmt.Fprint(node, "HD Osecond c7\r\n")
	node.SetLinger(0)
	node.Close()
	g.mu.Lock()
	c := g.connection()
	g.mu.Unlock()
	testutil.WaitUntil(t, "the reset to arrive", func() bool { return socket.PeerClosed(c.socket) })
	g.proceed <- struct{}{} // the write of the third attempt fails
	g.waitLocked(t, "the write to fail", func() bool { return c.writeFailed || c.closed })
	close(g.answered)
	ended := map[*Attempt]attemptEnd{}
	for range 2 {
		e := g.next(t)
		ended[e.attempt] = e
	}
	if e := ended[second]; e.result != 0 || e.attempt == nil {
		t.Errorf("the write that was answered ended with %d", e.result)
	}
	if e := ended[third]; e.attempt == nil || e.result != NotWritten && e.result != ConnectionLost {
		t.Errorf("the one after the reset ended with %d", e.result)
	}
}

// TestDialsEndWithThePool checks that a dial to a node that does not answer does not delay the end of Pool.Run.
func TestDialsEndWithThePool(t *testing.T) {
	silent, err := unresponsive.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silent.Close) // runs after the pool's cleanup, when all connections have ended
	limits := testLimits
	limits.ConnectTimeout = time.Hour
	g := startGated(t, limits)
	g.UpdateNodes([]Node{{Name: "n", Address: silent.Address()}})
	sendRead(t, g.Pool, "x")
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.nodes["n"].dialing != 1 {
		t.Error("no connection is being established")
	}
}

// TestAbandonedSideEffectsEndWithAReset checks that the kernel does not deliver an abandoned request with side effects
// later. Whether a request has side effects depends on its class, not on its verb.
func TestAbandonedSideEffectsEndWithAReset(t *testing.T) {
	for _, sideEffects := range []bool{false, true} {
		for name, send := range map[string]func(*testing.T, *Pool) *Attempt{
			"read":  func(t *testing.T, p *Pool) *Attempt { return sendRead(t, p, "x") },
			"write": func(t *testing.T, p *Pool) *Attempt { return sendWrite(t, p, "x", 2) },
		} {
			t.Run(fmt.Sprint(name, " with side effects: ", sideEffects), func(t *testing.T) {
				g := startGated(t, testLimits)
				a := send(t, g.Pool)
				g.nextCheck(t, "its check")
				a.Request.SideEffects = sideEffects
				g.proceed <- struct{}{}
				node := g.nextConnection(t)
				node.SetReadDeadline(time.Now().Add(testTimeout))
				in := bufio.NewReader(node)
				if line, err := in.ReadString('\n'); err != nil || !strings.Contains(line, "Ox") {
					t.Fatalf("the node received %q, %v", line, err)
				}
				g.Abandon(a)
				if got := g.next(t); got.attempt != a || got.result != ConnectionLost {
					t.Errorf("ended with %d, want %d", got.result, ConnectionLost)
				}
				_, err := io.Copy(io.Discard, in)
				if reset := errors.Is(err, syscall.ECONNRESET); reset != sideEffects {
					t.Errorf("the connection to the node ended with %v", err)
				}
			})
		}
	}
}

// TestAbandonedWriteResetsItsSharedConnection guards against a given-up write that is delivered late because others
// still wait on its connection: the connection is reset at once, and the others end as lost.
func TestAbandonedWriteResetsItsSharedConnection(t *testing.T) {
	g := startGated(t, testLimits)
	g.open()
	write := sendWrite(t, g.Pool, "write", 2)
	write.Request.SideEffects = true
	node := g.nextConnection(t)
	in := bufio.NewReader(node)
	node.SetReadDeadline(time.Now().Add(testTimeout))
	readLines(t, in, 2)
	read := sendRead(t, g.Pool, "read")
	readLines(t, in, 1)
	g.Abandon(write)
	for _, want := range []*Attempt{write, read} {
		if got := g.next(t); got.attempt != want || got.result != ConnectionLost {
			t.Errorf("%s ended with %d, want %s with %d",
				got.attempt.Request.ID, got.result, want.Request.ID, ConnectionLost)
		}
	}
	if _, err := io.Copy(io.Discard, in); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection to the node ended with %v", err)
	}
}

// TestWriteAbandonedDuringCheckIsNotSent guards against a write that is given up after its check and written then.
func TestWriteAbandonedDuringCheckIsNotSent(t *testing.T) {
	g := startGated(t, testLimits)
	write := sendWrite(t, g.Pool, "write", 2)
	write.Request.SideEffects = true
	g.nextCheck(t, "its check")
	read := sendRead(t, g.Pool, "read")
	g.Abandon(write)
	g.open()
	if got := g.next(t); got.attempt != write || got.result != NotWritten {
		t.Errorf("%s ended with %d, want the write with %d", got.attempt.Request.ID, got.result, NotWritten)
	}
	node := g.nextConnection(t)
	node.SetReadDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(node)
	if line, err := in.ReadString('\n'); err != nil || requestID(line) != "read" {
		t.Fatalf("the node received %q, %v", line, err)
	}
	serve("read", node)
	g.expectServed(t, read)
}

// readLines reads lines that the node receives.
func readLines(t *testing.T, in *bufio.Reader, lines int) {
	t.Helper()
	for range lines {
		if line, err := in.ReadString('\n'); err != nil {
			t.Fatalf("the node received %q, %v", line, err)
		}
	}
}
