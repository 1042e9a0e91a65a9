package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
	"mulleinpier/internal/testutil"
)

// These tests make the ends of connections come at the instants in which something is still owed.

// gated is a Handler whose looks at what may begin, and whose answers, wait for the test.
type gated struct {
	ends
	looks    chan []*Attempt       // each look, as it begins
	goOn     chan struct{}         // one for each look, closed for all
	answered chan struct{}         // nil, or one for each answer
	keep     func(a *Attempt) bool // nil for all; set between looks
	opened   sync.Once
}

// open lets all looks go on.
func (g *gated) open() { g.opened.Do(func() { close(g.goOn) }) }

func (g *gated) BeforeWrite(batch []*Attempt) []*Attempt {
	g.looks <- append([]*Attempt(nil), batch...)
	<-g.goOn
	kept := batch[:0]
	for _, a := range batch {
		if g.keep == nil || g.keep(a) {
			kept = append(kept, a)
		} else {
			g.ends <- end{attempt: a, result: NotWritten}
		}
	}
	return kept
}

func (g *gated) Answered(a *Attempt, answer *request.Answer) {
	g.ends.Answered(a, answer)
	if g.answered != nil {
		<-g.answered
	}
}

// startGated returns connections to one node, whose connections the test gets.
func startGated(t *testing.T, limits Limits) (*Pool, *gated, <-chan *net.TCPConn, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan *net.TCPConn, 100)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			accepted <- c.(*net.TCPConn)
		}
	}()
	g := &gated{ends: make(ends, 100), looks: make(chan []*Attempt, 100), goOn: make(chan struct{}, 100)}
	nodes := New(limits, meta.NodeDialect{}, g, slog.New(slog.DiscardHandler))
	nodes.UpdateNodes([]Node{{Name: "n", Address: listener.Addr().String()}})
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan bool, 1)
	go func() {
		nodes.Run(ctx)
		ran <- true
	}()
	t.Cleanup(func() {
		g.open()
		stop()
		testutil.Receive(t, "the end of all connections", ran)
	})
	return nodes, g, accepted, listener.Addr().String()
}

var usual = Limits{MaxPerNode: 1, MaxConnections: 4, MaxPipelined: 128, ConnectTimeout: patience, IdleTimeout: time.Hour, SilenceTimeout: time.Hour}

// put sends a write of so many bytes.
func put(t *testing.T, nodes *Pool, id string, size int) *Attempt {
	t.Helper()
	command, err := meta.ParseCommand(fmt.Sprintf("ms k %d O%s Pc=put", size, id))
	if err != nil {
		t.Fatal(err)
	}
	command.Value = []byte(strings.Repeat("v", size))
	a := &Attempt{Request: &command.Request, Deadline: time.Now().Add(patience)}
	if !nodes.Send("n", a) {
		t.Fatalf("no connection for %s", id)
	}
	return a
}

// TestWhatANodeDoesNotTakeIsLookedAtAnew: a node stops reading in the middle of a batch. What of it has not begun must not
// go out behind the rest once it reads again, unless it still may.
func TestWhatANodeDoesNotTakeIsLookedAtAnew(t *testing.T) {
	for _, may := range []bool{false, true} {
		t.Run(fmt.Sprint("may ", may), func(t *testing.T) {
			nodes, g, accepted, _ := startGated(t, usual)
			first := get(t, nodes, "first")
			testutil.Receive(t, "the first's look", g.looks)
			node := testutil.Receive(t, "a connection", accepted)
			nodes.mu.Lock()
			nodes.nodes["n"].connections[0].socket.SetWriteBuffer(128 << 10)
			nodes.mu.Unlock()
			var big []*Attempt
			const bigs = 40 // more than all buffers on the way hold
			for i := range bigs {
				big = append(big, put(t, nodes, fmt.Sprint("big", i), 60000))
			}
			late := get(t, nodes, "late")
			g.goOn <- struct{}{}
			batch := testutil.Receive(t, "the look at the others", g.looks)
			if len(batch) != bigs+1 {
				t.Fatalf("%d in the batch", len(batch))
			}
			// The first look lets it begin, as if what forbids it came a moment later.
			g.goOn <- struct{}{}
			testutil.WaitUntil(t, "what has not begun to wait again", func() bool {
				nodes.mu.Lock()
				defer nodes.mu.Unlock()
				c := nodes.nodes["n"].connections[0]
				return len(c.queued) > 0 || len(g.looks) > 0
			})
			saw := make(chan string, 100)
			go func() {
				defer close(saw)
				for in := bufio.NewReader(node); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					id := line[strings.Index(line, " O")+2:]
					id, _, _ = strings.Cut(strings.TrimSpace(id), " ")
					saw <- id
					if strings.HasPrefix(line, "ms") {
						if _, err := in.Discard(60002); err != nil {
							return
						}
						fmt.Fprintf(node, "HD O%s c7\r\n", id)
						continue
					}
					serve(id, node)
				}
			}()
			again := testutil.Receive(t, "a second look at what has not begun", g.looks)
			if again[len(again)-1] != late || again[0] == big[0] {
				t.Fatalf("looked again at %d, from %s on", len(again), again[0].Request.ID)
			}
			g.keep = func(a *Attempt) bool { return a != late || may }
			g.open()
			served := map[*Attempt]bool{}
			for range bigs + 2 {
				got := g.next(t)
				if got.result == NotWritten && got.attempt == late && !may {
					continue
				}
				if got.result != 0 {
					t.Errorf("%s ended with %d", got.attempt.Request.ID, got.result)
				}
				served[got.attempt] = true
			}
			if !served[first] || served[late] != may || len(served) < bigs+1 {
				t.Errorf("%d served, the late one %v", len(served), served[late])
			}
			node.Close()
			times := map[string]int{}
			for id := range saw {
				times[id]++
			}
			if times["late"] > 0 != may {
				t.Errorf("the node saw the late one %d times", times["late"])
			}
			for i := range bigs {
				if n := times[fmt.Sprint("big", i)]; n != 1 {
					t.Errorf("the node saw one %d times", n)
				}
			}
		})
	}
}

// TestConnectionWhoseRequestIsLookedAtIsNoIdling: a place is needed for another node just while what goes out next is being
// looked at. Its connection does not idle.
func TestConnectionWhoseRequestIsLookedAtIsNoIdling(t *testing.T) {
	limits := usual
	limits.MaxConnections = 1
	nodes, g, accepted, address := startGated(t, limits)
	nodes.UpdateNodes([]Node{{Name: "other", Address: address}})
	a := get(t, nodes, "a")
	testutil.Receive(t, "its look", g.looks)
	node := testutil.Receive(t, "a connection", accepted)
	command, err := meta.ParseCommand("mg k v Ob Pc=read")
	if err != nil {
		t.Fatal(err)
	}
	if nodes.Send("other", &Attempt{Request: &command.Request, Deadline: time.Now().Add(patience)}) {
		t.Error("a place was found for another node's connection")
	}
	nodes.CloseIdle("n")
	g.goOn <- struct{}{}
	in := bufio.NewReader(node)
	node.SetReadDeadline(time.Now().Add(patience))
	if line, err := in.ReadString('\n'); err != nil || !strings.Contains(line, "Oa") {
		t.Fatalf("the node got %q, %v", line, err)
	}
	serve("a", node)
	g.expectServed(t, a)
	if len(accepted) > 0 {
		t.Error("it went over another connection")
	}
}

// TestAnswerBeforeAResetCounts: an answer has come whole, with the connection's reset right behind it, when a write to
// that connection fails: its request has its answer all the same.
func TestAnswerBeforeAResetCounts(t *testing.T) {
	nodes, g, accepted, _ := startGated(t, usual)
	g.answered = make(chan struct{}, 100)
	g.goOn <- struct{}{}
	first := get(t, nodes, "first")
	testutil.Receive(t, "its look", g.looks)
	node := testutil.Receive(t, "a connection", accepted)
	in := bufio.NewReader(node)
	in.ReadString('\n')
	second := put(t, nodes, "second", 2)
	testutil.Receive(t, "its look", g.looks)
	g.goOn <- struct{}{}
	in.ReadString('\n')
	in.ReadString('\n')
	serve("first", node) // its taker waits for the test, so that the next answer is not read
	g.expectServed(t, first)
	third := get(t, nodes, "third")
	testutil.Receive(t, "its look", g.looks)
	fmt.Fprint(node, "HD Osecond c7\r\n")
	node.SetLinger(0)
	node.Close()
	nodes.mu.Lock()
	c := nodes.nodes["n"].connections[0]
	nodes.mu.Unlock()
	testutil.WaitUntil(t, "the reset to come", func() bool { return socket.PeerClosed(c.socket) })
	g.goOn <- struct{}{} // the third's write fails
	testutil.WaitUntil(t, "the write to fail", func() bool {
		nodes.mu.Lock()
		defer nodes.mu.Unlock()
		return c.writeFailed || c.closed
	})
	close(g.answered)
	got := map[*Attempt]end{}
	for range 2 {
		e := g.next(t)
		got[e.attempt] = e
	}
	if e := got[second]; e.result != 0 || e.attempt == nil {
		t.Errorf("the write that was answered ended with %d", e.result)
	}
	if e := got[third]; e.attempt == nil || e.result != NotWritten && e.result != ConnectionLost {
		t.Errorf("the one behind the reset ended with %d", e.result)
	}
}

// TestDialsEndWithAll: connections that are coming up, to a node that says nothing, don't hold up the end.
func TestDialsEndWithAll(t *testing.T) {
	silent, err := unresponsive.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silent.Close) // behind the end of all connections
	limits := usual
	limits.ConnectTimeout = time.Hour
	nodes, _, _, _ := startGated(t, limits)
	nodes.UpdateNodes([]Node{{Name: "n", Address: silent.Address()}})
	get(t, nodes, "x")
	nodes.mu.Lock()
	defer nodes.mu.Unlock()
	if nodes.nodes["n"].dialing != 1 {
		t.Error("no connection is coming up")
	}
}

// TestGivenUpChangesEndWithAReset: the kernel must not deliver later what nobody waits for any more, if it may change something;
// whether it may is the class's to say, not the verb's.
func TestGivenUpChangesEndWithAReset(t *testing.T) {
	for _, changes := range []bool{false, true} {
		for name, send := range map[string]func(*testing.T, *Pool) *Attempt{
			"read":  func(t *testing.T, ns *Pool) *Attempt { return get(t, ns, "x") },
			"write": func(t *testing.T, ns *Pool) *Attempt { return put(t, ns, "x", 2) },
		} {
			t.Run(fmt.Sprint(name, " that changes: ", changes), func(t *testing.T) {
				nodes, g, accepted, _ := startGated(t, usual)
				a := send(t, nodes)
				testutil.Receive(t, "its look", g.looks)
				a.Request.SideEffects = changes
				g.goOn <- struct{}{}
				node := testutil.Receive(t, "a connection", accepted)
				node.SetReadDeadline(time.Now().Add(patience))
				in := bufio.NewReader(node)
				if line, err := in.ReadString('\n'); err != nil || !strings.Contains(line, "Ox") {
					t.Fatalf("the node got %q, %v", line, err)
				}
				nodes.Abandon(a)
				if got := g.next(t); got.attempt != a || got.result != ConnectionLost {
					t.Errorf("ended with %d", got.result)
				}
				_, err := io.Copy(io.Discard, in)
				if reset := errors.Is(err, syscall.ECONNRESET); reset != changes {
					t.Errorf("the node's connection ended with %v", err)
				}
			})
		}
	}
}

// TestEndBetweenLookAndWrite: a connection ends after what goes out next was let go and before its first byte. It goes over another,
// after another look, once.
func TestEndBetweenLookAndWrite(t *testing.T) {
	nodes, g, accepted, _ := startGated(t, usual)
	a := get(t, nodes, "a")
	testutil.Receive(t, "its look", g.looks)
	first := testutil.Receive(t, "a connection", accepted)
	first.Close()
	testutil.WaitUntil(t, "the connection's end to be noticed", func() bool {
		nodes.mu.Lock()
		defer nodes.mu.Unlock()
		return len(nodes.nodes["n"].connections) == 0
	})
	g.goOn <- struct{}{}
	if again := testutil.Receive(t, "another look", g.looks); len(again) != 1 || again[0] != a {
		t.Fatalf("looked at %d", len(again))
	}
	g.goOn <- struct{}{}
	second := testutil.Receive(t, "another connection", accepted)
	second.SetReadDeadline(time.Now().Add(patience))
	if line, err := bufio.NewReader(second).ReadString('\n'); err != nil || !strings.Contains(line, "Oa") {
		t.Fatalf("the node got %q, %v", line, err)
	}
	serve("a", second)
	g.expectServed(t, a)
}

// TestResetInTheMiddleOfABatch: of a batch some are written, one in part and others not when the connection is reset. Each has one end,
// by what can have run: those that were written may have, and what had not begun goes over another connection, once.
func TestResetInTheMiddleOfABatch(t *testing.T) {
	nodes, g, accepted, _ := startGated(t, usual)
	get(t, nodes, "first")
	testutil.Receive(t, "the first's look", g.looks)
	node := testutil.Receive(t, "a connection", accepted)
	nodes.mu.Lock()
	nodes.nodes["n"].connections[0].socket.SetWriteBuffer(128 << 10)
	nodes.mu.Unlock()
	const bigs = 40
	for i := range bigs {
		put(t, nodes, fmt.Sprint("big", i), 60000)
	}
	g.goOn <- struct{}{}
	testutil.Receive(t, "the look at the others", g.looks)
	g.goOn <- struct{}{}
	testutil.WaitUntil(t, "what has not begun to wait again", func() bool {
		nodes.mu.Lock()
		defer nodes.mu.Unlock()
		return len(nodes.nodes["n"].connections[0].queued) > 0 || len(g.looks) > 0
	})
	nodes.mu.Lock()
	broken := nodes.nodes["n"].connections[0]
	nodes.mu.Unlock()
	node.SetLinger(0)
	node.Close()
	testutil.WaitUntil(t, "the reset to be noticed", func() bool {
		nodes.mu.Lock()
		defer nodes.mu.Unlock()
		return broken.closed
	})
	g.open()
	second := testutil.Receive(t, "another connection", accepted)
	again := make(map[string]bool)
	go func() {
		for in := bufio.NewReader(second); ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			id, _, _ := strings.Cut(line[strings.Index(line, " O")+2:], " ")
			if _, err := in.Discard(60002); err != nil {
				return
			}
			fmt.Fprintf(second, "HD O%s c7\r\n", id)
		}
	}()
	counts := make(map[Result]int)
	for range bigs + 1 {
		e := g.next(t)
		id := e.attempt.Request.ID
		if again[id] {
			t.Errorf("%s ended twice", id)
		}
		again[id] = true
		counts[e.result]++
	}
	// Served ones have the zero result, as the first of all has: Busy, which nobody says here.
	if counts[ConnectionLost] == 0 || counts[ConnectionLost]+counts[NotWritten]+counts[Busy] != bigs+1 || counts[Busy] == 0 {
		t.Errorf("ends by result: %v", counts)
	}
	if len(g.ends) > 0 {
		t.Errorf("%d ends too many", len(g.ends))
	}
}

// TestSecondAnswerThatComesLate: the copy of an answer comes when the next request is out already. That must not be answered by it,
// and the connection is not used again.
func TestSecondAnswerThatComesLate(t *testing.T) {
	nodes, handler := startNodes(t, func(id string, socket net.Conn) {
		if id == "b" {
			serve("a", socket)
		}
		serve(id, socket)
	})
	handler.expectServed(t, get(t, nodes, "a"))
	b := get(t, nodes, "b")
	if got := handler.next(t); got.attempt != b || got.result != Malformed || got.text != "" {
		t.Errorf("ended with %d and %q", got.result, got.text)
	}
	handler.expectServed(t, get(t, nodes, "c"))
	if n := nodes.TakeCounts(); n.Dials != 2 {
		t.Errorf("%d connections, want another after the copy", n.Dials)
	}
}
