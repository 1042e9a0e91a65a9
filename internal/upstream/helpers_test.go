package upstream

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
)

// testTimeout bounds each wait in these tests; its length does not affect their results.
const testTimeout = 30 * time.Second

// testLimits allow one connection to a node, with timeouts that no test reaches.
var testLimits = Limits{
	MaxPerNode:     1,
	MaxConnections: 4,
	MaxPipelined:   128,
	ConnectTimeout: testTimeout,
	IdleTimeout:    time.Hour,
	SilenceTimeout: time.Hour,
}

// attemptEnd is the end of an attempt as reported to the handler.
type attemptEnd struct {
	attempt *Attempt
	text    string // the value if the attempt was served
	result  Result // the zero value, Busy, for a served attempt
}

// ends is a Handler that keeps all attempts, and sends their ends on the channel.
type ends chan attemptEnd

func (e ends) BeforeWrite(batch []*Attempt) []*Attempt { return batch }

func (e ends) MayConfirm(*Attempt) bool { return true }

func (e ends) WrittenLate([]*Attempt, time.Duration) {}

func (e ends) Answered(a *Attempt, answer *request.Answer) {
	e <- attemptEnd{attempt: a, text: string(answer.Value())}
}

func (e ends) Ended(a *Attempt, _ *request.Answer, result Result) {
	e <- attemptEnd{attempt: a, result: result}
}

// next returns the next end.
func (e ends) next(t *testing.T) attemptEnd {
	t.Helper()
	select {
	case got := <-e:
		return got
	case <-time.After(testTimeout):
		t.Fatal("no attempt ended")
		return attemptEnd{}
	}
}

// expectServed checks that the next attempt to end is a, served with the value that serve sends.
func (e ends) expectServed(t *testing.T, a *Attempt) {
	t.Helper()
	const want = "hi"
	if got := e.next(t); got.attempt != a || got.text != want {
		t.Errorf("%s ended with result %d and %q, want %q for %s",
			got.attempt.Request.ID, got.result, got.text, want, a.Request.ID)
	}
}

// serve sends the answer to a read.
func serve(id string, connection net.Conn) { fmt.Fprintf(connection, "VA 2 O%s h1\r\nhi\r\n", id) }

// requestID returns the id in the line of a request.
func requestID(line string) string {
	_, rest, _ := strings.Cut(strings.TrimSpace(line), " O")
	id, _, _ := strings.Cut(rest, " ")
	return id
}

// runPool runs a pool with one node, "n", until the test ends. It calls beforeEnd before it stops the pool.
func runPool(t *testing.T, limits Limits, handler Handler, address string, beforeEnd func()) *Pool {
	t.Helper()
	pool := New(limits, meta.NodeDialect{}, handler, slog.New(slog.DiscardHandler))
	pool.UpdateNodes([]Node{{Name: "n", Address: address}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan bool, 1)
	go func() {
		pool.Run(ctx)
		ended <- true
	}()
	t.Cleanup(func() {
		beforeEnd()
		stop()
		testutil.Receive(t, "the end of all connections", ended)
	})
	return pool
}

// startPool returns a pool with at most one connection to a node that runs script for each request.
func startPool(t *testing.T, script func(id string, connection net.Conn)) (*Pool, ends) {
	t.Helper()
	address := testutil.ServeConnections(t, func(connection net.Conn) {
		defer connection.Close()
		for in := bufio.NewScanner(connection); in.Scan(); {
			script(requestID(in.Text()), connection)
		}
	})
	handler := make(ends, 100)
	return runPool(t, testLimits, handler, address, func() {}), handler
}

// sendRead sends a read to the node.
func sendRead(t *testing.T, pool *Pool, id string) *Attempt {
	t.Helper()
	command, err := meta.ParseCommand("mg k v O" + id + " Pc=read")
	if err != nil {
		t.Fatal(err)
	}
	return send(t, pool, &command.Request)
}

// sendWrite sends a write of a value of size bytes to the node.
func sendWrite(t *testing.T, pool *Pool, id string, size int) *Attempt {
	t.Helper()
	command, err := meta.ParseCommand(fmt.Sprintf("ms k %d O%s Pc=put", size, id))
	if err != nil {
		t.Fatal(err)
	}
	command.Value = []byte(strings.Repeat("v", size))
	return send(t, pool, &command.Request)
}

func send(t *testing.T, pool *Pool, r *request.Request) *Attempt {
	t.Helper()
	a := &Attempt{Request: r, Deadline: time.Now().Add(testTimeout)}
	if !pool.Send("n", a) {
		t.Fatalf("no connection for %s", r.ID)
	}
	return a
}

// gated is a Handler whose BeforeWrite and, optionally, Answered block until the test lets them proceed.
type gated struct {
	ends
	checks   chan []*Attempt       // receives each batch when its check starts
	proceed  chan struct{}         // each check takes a value from it; closed to let all proceed
	answered chan struct{}         // if not nil, each call of Answered takes a value from it
	keep     func(a *Attempt) bool // which attempts a check keeps, nil for all; set between checks
	opened   sync.Once
}

// open lets the current check and all later ones proceed.
func (g *gated) open() { g.opened.Do(func() { close(g.proceed) }) }

func (g *gated) BeforeWrite(batch []*Attempt) []*Attempt {
	g.checks <- append([]*Attempt(nil), batch...)
	<-g.proceed
	kept := batch[:0]
	for _, a := range batch {
		if g.keep == nil || g.keep(a) {
			kept = append(kept, a)
		} else {
			g.ends <- attemptEnd{attempt: a, result: NotWritten}
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

// gatedPool is a pool with a gated handler, and one node that the test plays.
type gatedPool struct {
	*Pool
	*gated
	accepted chan *net.TCPConn // the connections that the node accepted
	address  string            // of the node
}

func startGated(t *testing.T, limits Limits) *gatedPool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	g := &gatedPool{
		gated: &gated{
			ends:    make(ends, 100),
			checks:  make(chan []*Attempt, 100),
			proceed: make(chan struct{}, 100),
		},
		accepted: make(chan *net.TCPConn, 100),
		address:  listener.Addr().String(),
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { connection.Close() })
			g.accepted <- connection.(*net.TCPConn)
		}
	}()
	g.Pool = runPool(t, limits, g.gated, g.address, g.open)
	return g
}

// nextCheck waits for the next check to start, and returns its batch.
func (g *gatedPool) nextCheck(t *testing.T, what string) []*Attempt {
	t.Helper()
	return testutil.Receive(t, what, g.checks)
}

// nextConnection returns the next connection that the node accepts.
func (g *gatedPool) nextConnection(t *testing.T) *net.TCPConn {
	t.Helper()
	return testutil.Receive(t, "a connection", g.accepted)
}

// connection returns the first connection to the node. g.mu is held.
func (g *gatedPool) connection() *conn { return g.nodes["n"].connections[0] }

// waitLocked waits until condition returns true. It calls condition with the pool's lock held.
func (g *gatedPool) waitLocked(t *testing.T, what string, condition func() bool) {
	t.Helper()
	testutil.WaitUntil(t, what, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return condition()
	})
}
