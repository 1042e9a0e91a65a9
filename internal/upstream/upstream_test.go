package upstream

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
)

// patience bounds each wait of these tests; none of them depends on its length.
const patience = 30 * time.Second

// end is how an attempt ended, with what came for it if it was served.
type end struct {
	attempt *Attempt
	text    string
	result  Result
}

// ends is a Handler that lets all begin and passes on how they ended.
type ends chan end

func (e ends) BeforeWrite(batch []*Attempt) []*Attempt { return batch }

func (e ends) WrittenLate([]*Attempt, time.Duration) {}

func (e ends) Answered(a *Attempt, answer *request.Answer) {
	e <- end{attempt: a, text: string(answer.Value())}
}

func (e ends) Ended(a *Attempt, _ *request.Answer, result Result) {
	e <- end{attempt: a, result: result}
}

// startNodes returns connections, one at most, to a node that runs script on
// each connection it accepts.
func startNodes(t *testing.T, script func(id string, socket net.Conn)) (*Pool, ends) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				for in := bufio.NewScanner(socket); in.Scan(); {
					_, rest, _ := strings.Cut(in.Text(), " O")
					id, _, _ := strings.Cut(rest, " ")
					script(id, socket)
				}
			}()
		}
	}()
	handler := make(ends, 100)
	nodes := New(Limits{MaxPerNode: 1, MaxConnections: 4, MaxPipelined: 128, ConnectTimeout: patience, IdleTimeout: time.Hour, SilenceTimeout: time.Hour},
		meta.NodeDialect{}, handler, slog.New(slog.DiscardHandler))
	nodes.UpdateNodes([]Node{{Name: "n", Address: listener.Addr().String()}})
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		nodes.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ran
	})
	return nodes, handler
}

func get(t *testing.T, nodes *Pool, id string) *Attempt {
	t.Helper()
	command, err := meta.ParseCommand("mg k v O" + id + " Pc=read")
	if err != nil {
		t.Fatal(err)
	}
	a := &Attempt{Request: &command.Request, Deadline: time.Now().Add(patience)}
	if !nodes.Send("n", a) {
		t.Fatalf("no connection for %s", id)
	}
	return a
}

func (e ends) expectServed(t *testing.T, a *Attempt) {
	t.Helper()
	const want = "hi"
	if got := e.next(t); got.attempt != a || got.text != want {
		t.Errorf("%s ended with result %d and %q, want %q for %s", got.attempt.Request.ID, got.result, got.text, want,
			a.Request.ID)
	}
}

func (e ends) next(t *testing.T) end {
	t.Helper()
	select {
	case got := <-e:
		return got
	case <-time.After(patience):
		t.Fatal("no attempt ended")
		return end{}
	}
}

func serve(id string, socket net.Conn) { fmt.Fprintf(socket, "VA 2 O%s h1\r\nhi\r\n", id) }

// TestAbandonedAttemptHoldsUpNobody guards against lost answers and stalled
// nodes: what is sent later must not wait behind an attempt given up.
func TestAbandonedAttemptHoldsUpNobody(t *testing.T) {
	arrived := make(chan struct{}, 1)
	nodes, handler := startNodes(t, func(id string, socket net.Conn) {
		if id == "lost" {
			arrived <- struct{}{}
			return
		}
		serve(id, socket)
	})
	lost := get(t, nodes, "lost")
	<-arrived
	if nodes.Abandon(lost) {
		t.Fatal("an attempt that has arrived passed for one not written")
	}
	if got := handler.next(t); got.attempt != lost || got.result != ConnectionLost {
		t.Errorf("%s ended with result %d, want the lost one with %d", got.attempt.Request.ID, got.result, ConnectionLost)
	}
	handler.expectServed(t, get(t, nodes, "next"))
	nodes.mu.Lock()
	defer nodes.mu.Unlock()
	if nodes.connections != 1 {
		t.Errorf("%d connections open, want the one of the attempt served", nodes.connections)
	}
}

// TestSpoiltAnswerCostsOneAttempt guards against answers that can't be read: the
// attempt may have run, and the next one goes over a clean connection.
func TestSpoiltAnswerCostsOneAttempt(t *testing.T) {
	for name, answer := range map[string]string{
		"noise":           "\x00\x17\xff\r\n",
		"endless line":    strings.Repeat("x", 10000),
		"line of no end":  "VA 2",
		"other id":        "VA 2 Oother h1\r\nhi\r\n",
		"no id":           "VA 2 h1\r\nhi\r\n",
		"two ids":         "VA 2 Obad Obad2\r\nhi\r\n",
		"3 GB":            "VA 3000000000 Obad h1\r\n" + strings.Repeat("v", 10000),
		"negative length": "VA -2 Obad h1\r\nhi\r\n",
		"length too long": "VA 200 Obad h1\r\nhi\r\n",
		"length short":    "VA 1 Obad h1\r\nhi\r\n",
		"a receipt":       "HD Obad c7\r\n",
		"bare newline":    "VA 2 Obad h1\nhi\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes, handler := startNodes(t, func(id string, socket net.Conn) {
				if id == "bad" {
					fmt.Fprint(socket, answer)
					return
				}
				serve(id, socket)
			})
			bad := get(t, nodes, "bad")
			if got := handler.next(t); got.attempt != bad || got.text != "" || got.result != Malformed {
				t.Errorf("ended with result %d and %q, want %d", got.result, got.text, Malformed)
			}
			handler.expectServed(t, get(t, nodes, "next"))
		})
	}
}

// TestMoreThanBelongsToAnAnswer guards against a second copy or noise behind a
// good answer, and against a load report that can't be read: the answer counts,
// and what is sent next does not get the rest for its own.
func TestMoreThanBelongsToAnAnswer(t *testing.T) {
	for name, more := range map[string]string{
		"second copy": "VA 2 Ogood h1\r\nhi\r\n",
		"noise":       "\x00\x17\xff",
		"refusal":     "SERVER_ERROR busy\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes, handler := startNodes(t, func(id string, socket net.Conn) {
				if id == "good" {
					fmt.Fprintf(socket, "VA 2 Ogood h1 Linflight=\x01,=,\r\nhi\r\n%s", more)
					return
				}
				serve(id, socket)
			})
			handler.expectServed(t, get(t, nodes, "good"))
			handler.expectServed(t, get(t, nodes, "next"))
		})
	}
}

// TestErrorLineKeepsTheConnection guards against an error in other words, which
// is whole, taking its neighbours with it; and against a refusal that is none.
func TestErrorLineKeepsTheConnection(t *testing.T) {
	for line, want := range map[string]Result{
		"CLIENT_ERROR Odd thing": Failed, "ERROR": Failed, "SERVER_ERROR failed": Failed, "SERVER_ERROR busy x": Failed,
		"SERVER_ERROR busy Linflight=3": Busy,
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			accepted := map[net.Conn]bool{}
			nodes, handler := startNodes(t, func(id string, socket net.Conn) {
				accepted[socket] = true // the one connection's goroutine alone comes here
				if id == "bad" {
					fmt.Fprintf(socket, "%s\r\n", line)
					return
				}
				serve(id, socket)
			})
			bad := get(t, nodes, "bad")
			if got := handler.next(t); got.attempt != bad || got.result != want {
				t.Errorf("ended with result %d, want %d", got.result, want)
			}
			handler.expectServed(t, get(t, nodes, "next"))
			if len(accepted) != 1 {
				t.Errorf("%d connections, want 1", len(accepted))
			}
		})
	}
}

// TestNodeWithoutRoomIsNoFullQueue guards against eighty proxies that take full tables
// of connections for overload, and shut their gates for it.
func TestNodeWithoutRoomIsNoFullQueue(t *testing.T) {
	nodes, handler := startNodes(t, func(id string, socket net.Conn) {
		switch id {
		case "noroom":
			fmt.Fprint(socket, "SERVER_ERROR busy\r\n")
			socket.Close()
		case "queue":
			fmt.Fprint(socket, "SERVER_ERROR busy\r\n")
		default:
			serve(id, socket)
		}
	})
	nodes.mu.Lock()
	nodes.closeCheckTimeout = patience // a test waits for the connection's end as long as it takes
	nodes.mu.Unlock()
	get(t, nodes, "noroom")
	if got := handler.next(t); got.result != ConnectionLimitReached {
		t.Errorf("a connection that was turned away ended with %d, want %d", got.result, ConnectionLimitReached)
	}
	// A busy on a connection that has served, or that stays open, is the queue's.
	handler.expectServed(t, get(t, nodes, "first"))
	get(t, nodes, "queue")
	if got := handler.next(t); got.result != Busy {
		t.Errorf("a full queue ended with %d, want %d", got.result, Busy)
	}
	if n := nodes.TakeCounts(); n.ConnectionLimitReached != 1 || n.Dials != 2 {
		t.Errorf("counted %+v, want one connection of two without room", n)
	}
}

// TestIdleConnectionsBeyondTheShareAreClosed guards against a fleet that fills the tables
// of all nodes with connections that idle.
func TestIdleConnectionsBeyondTheShareAreClosed(t *testing.T) {
	nodes, handler := startNodes(t, serve)
	nodes.mu.Lock()
	address := nodes.nodes["n"].Address
	nodes.mu.Unlock()
	limits := nodes.limits
	limits.FleetShare = connlimit.Capacity{ConnectionsPerNode: 1, Proxies: 1000} // connlimit.MinConnections, then
	limits.MaxConnections = 100
	nodes.SetLimits(limits)
	var list []Node
	for i := range 3 * connlimit.MinConnections {
		list = append(list, Node{Name: fmt.Sprint("m", i), Address: address})
	}
	nodes.UpdateNodes(list)
	for _, n := range list {
		a := get(t, nodes, "x")
		handler.expectServed(t, a)
		b := &Attempt{Request: a.Request, Deadline: time.Now().Add(patience)}
		if !nodes.Send(n.Name, b) {
			t.Fatalf("no connection to %s", n.Name)
		}
		handler.expectServed(t, b)
	}
	nodes.mu.Lock()
	defer nodes.mu.Unlock()
	if nodes.connections > connlimit.MinConnections {
		t.Errorf("%d connections are kept, want %d", nodes.connections, connlimit.MinConnections)
	}
	if len(nodes.nodes["n"].connections) != 1 {
		t.Error("the connection used all along was closed")
	}
}

// dozes is a Handler whose process seems to stand still between its last look and the write.
type dozes struct {
	ends
	late chan int
}

func (d dozes) BeforeWrite(batch []*Attempt) []*Attempt {
	time.Sleep(lateWriteThreshold)
	return batch
}

func (d dozes) WrittenLate(batch []*Attempt, _ time.Duration) { d.late <- len(batch) }

// TestWriteLongAfterItsLookIsTold guards the count of what a stop between the last look and the write
// lets through: it can't be prevented, but not go unseen either.
func TestWriteLongAfterItsLookIsTold(t *testing.T) {
	nodes, handler := startNodes(t, func(id string, socket net.Conn) { fmt.Fprintf(socket, "VA 2 O%s\r\nhi\r\n", id) })
	d := dozes{handler, make(chan int, 10)}
	nodes.handler = d
	a := get(t, nodes, "a")
	if n := testutil.Receive(t, "the late write to be told", d.late); n != 1 {
		t.Errorf("%d were written late", n)
	}
	d.expectServed(t, a)
}
