package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/testutil"
)

// TestAbandonedAttemptDelaysNobody checks that a new attempt does not wait behind an abandoned one that the node never
// answers (guarantee 4).
func TestAbandonedAttemptDelaysNobody(t *testing.T) {
	arrived := make(chan struct{}, 1)
	pool, handler := startPool(t, func(id string, connection net.Conn) {
		if id == "lost" {
			arrived <- struct{}{}
			return
		}
		serve(id, connection)
	})
	lost := sendRead(t, pool, "lost")
	<-arrived
	if pool.Abandon(lost) {
		t.Fatal("an attempt that has arrived is reported as not written")
	}
	if got := handler.next(t); got.attempt != lost || got.result != ConnectionLost {
		t.Errorf("%s ended with result %d, want the lost one with %d",
			got.attempt.Request.ID, got.result, ConnectionLost)
	}
	handler.expectServed(t, sendRead(t, pool, "next"))
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.connections != 1 {
		t.Errorf("%d connections open, want the one of the served attempt", pool.connections)
	}
}

// TestMalformedAnswerCostsOneAttempt checks that a malformed answer ends its attempt as Malformed, since the node may
// have executed it, and that the next attempt uses a new connection: an answer is matched to the right attempt, or the
// connection ends (guarantee 3).
func TestMalformedAnswerCostsOneAttempt(t *testing.T) {
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
			pool, handler := startPool(t, func(id string, connection net.Conn) {
				if id == "bad" {
					fmt.Fprint(connection, answer)
					return
				}
				serve(id, connection)
			})
			bad := sendRead(t, pool, "bad")
			if got := handler.next(t); got.attempt != bad || got.text != "" || got.result != Malformed {
				t.Errorf("ended with result %d and %q, want %d", got.result, got.text, Malformed)
			}
			handler.expectServed(t, sendRead(t, pool, "next"))
		})
	}
}

// TestBytesAfterAnAnswerAreNotBelieved checks that a valid answer that contains a malformed load report and is followed
// by a second copy or garbage counts, and that the next attempt is not answered with the remaining bytes: everything
// after the first unexpected byte is ignored (guarantee 3).
func TestBytesAfterAnAnswerAreNotBelieved(t *testing.T) {
	for name, more := range map[string]string{
		"second copy": "VA 2 Ogood h1\r\nhi\r\n",
		"noise":       "\x00\x17\xff",
		"refusal":     "SERVER_ERROR busy\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool, handler := startPool(t, func(id string, connection net.Conn) {
				if id == "good" {
					fmt.Fprintf(connection, "VA 2 Ogood h1 Linflight=\x01,=,\r\nhi\r\n%s", more)
					return
				}
				serve(id, connection)
			})
			handler.expectServed(t, sendRead(t, pool, "good"))
			handler.expectServed(t, sendRead(t, pool, "next"))
		})
	}
}

// TestErrorLineKeepsTheConnection checks that an error line with an unusual text, which is a complete answer, does not
// end the connection and with it other attempts, and that it is not considered a busy rejection.
func TestErrorLineKeepsTheConnection(t *testing.T) {
	for line, want := range map[string]Result{
		"CLIENT_ERROR Odd thing":        Failed,
		"ERROR":                         Failed,
		"SERVER_ERROR failed":           Failed,
		"SERVER_ERROR busy x":           Failed,
		"SERVER_ERROR busy Linflight=3": Busy,
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			accepted := map[net.Conn]bool{}
			pool, handler := startPool(t, func(id string, connection net.Conn) {
				accepted[connection] = true // needs no lock: with one connection, only one goroutine runs the script
				if id == "bad" {
					fmt.Fprintf(connection, "%s\r\n", line)
					return
				}
				serve(id, connection)
			})
			bad := sendRead(t, pool, "bad")
			if got := handler.next(t); got.attempt != bad || got.result != want {
				t.Errorf("ended with result %d, want %d", got.result, want)
			}
			handler.expectServed(t, sendRead(t, pool, "next"))
			if len(accepted) != 1 {
				t.Errorf("%d connections, want 1", len(accepted))
			}
		})
	}
}

// TestConnectionLimitIsNotOverload checks that a busy answer from a node at its connection limit ends the attempt as
// ConnectionLimitReached, not as Busy. Proxies that considered such nodes overloaded would shed load.
func TestConnectionLimitIsNotOverload(t *testing.T) {
	pool, handler := startPool(t, func(id string, connection net.Conn) {
		switch id {
		case "limit":
			fmt.Fprint(connection, "SERVER_ERROR busy\r\n")
			connection.Close()
		case "queue":
			fmt.Fprint(connection, "SERVER_ERROR busy\r\n")
		default:
			serve(id, connection)
		}
	})
	pool.mu.Lock()
	pool.closeCheckTimeout = testTimeout // long enough to always detect that the node closed the connection
	pool.mu.Unlock()
	sendRead(t, pool, "limit")
	if got := handler.next(t); got.result != ConnectionLimitReached {
		t.Errorf("a connection that was refused ended with %d, want %d", got.result, ConnectionLimitReached)
	}
	// A busy answer on a connection that has served requests, or that stays open, means that the node's queue is full.
	handler.expectServed(t, sendRead(t, pool, "first"))
	sendRead(t, pool, "queue")
	if got := handler.next(t); got.result != Busy {
		t.Errorf("a full queue ended with %d, want %d", got.result, Busy)
	}
	if n := pool.TakeCounts(); n.ConnectionLimitReached != 1 || n.Dials != 2 {
		t.Errorf("counted %+v, want one connection of two at the limit", n)
	}
}

// TestIdleConnectionsBeyondTheShareAreClosed checks that idle connections beyond this proxy's share are closed and that
// the connection in use stays open. The idle connections of many proxies would otherwise use up the connection limits
// of all nodes.
func TestIdleConnectionsBeyondTheShareAreClosed(t *testing.T) {
	pool, handler := startPool(t, serve)
	pool.mu.Lock()
	address := pool.nodes["n"].Address
	pool.mu.Unlock()
	limits := pool.limits
	limits.FleetShare = connlimit.Capacity{ConnectionsPerNode: 1, Proxies: 1000} // a share below MinConnections
	limits.MaxConnections = 100
	pool.SetLimits(limits)
	var nodes []Node
	for i := range 3 * connlimit.MinConnections {
		nodes = append(nodes, Node{Name: fmt.Sprint("m", i), Address: address})
	}
	pool.UpdateNodes(nodes)
	for _, n := range nodes {
		first := sendRead(t, pool, "x")
		handler.expectServed(t, first)
		second := &Attempt{Request: first.Request, Deadline: time.Now().Add(testTimeout)}
		if !pool.Send(n.Name, second) {
			t.Fatalf("no connection to %s", n.Name)
		}
		handler.expectServed(t, second)
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.connections > connlimit.MinConnections {
		t.Errorf("%d connections are kept, want %d", pool.connections, connlimit.MinConnections)
	}
	if len(pool.nodes["n"].connections) != 1 {
		t.Error("the connection that was used all along was closed")
	}
}

// slowCheck is a Handler that delays each check by lateWriteThreshold, like a pause between the check and the write.
type slowCheck struct {
	ends
	late chan int // size of each batch that was written late
}

func (s slowCheck) BeforeWrite(batch []*Attempt) []*Attempt {
	time.Sleep(lateWriteThreshold)
	return batch
}

func (s slowCheck) WrittenLate(batch []*Attempt, _ time.Duration) { s.late <- len(batch) }

// TestLateWriteIsReported checks that attempts that were written long after their check, because of a pause in between,
// are reported. Such writes can't be prevented, but must be counted.
func TestLateWriteIsReported(t *testing.T) {
	pool, handler := startPool(t, func(id string, connection net.Conn) {
		fmt.Fprintf(connection, "VA 2 O%s\r\nhi\r\n", id)
	})
	slow := slowCheck{handler, make(chan int, 10)}
	pool.handler = slow
	a := sendRead(t, pool, "a")
	if n := testutil.Receive(t, "the late write to be reported", slow.late); n != 1 {
		t.Errorf("%d were written late, want 1", n)
	}
	slow.expectServed(t, a)
}

// TestLateSecondAnswerIsNotBelieved checks that a request is not answered with a second copy of the previous request's
// answer that arrives after the request has been sent, and that the connection is not used again: an answer is matched
// to the right attempt, or the connection ends (guarantee 3).
func TestLateSecondAnswerIsNotBelieved(t *testing.T) {
	pool, handler := startPool(t, func(id string, connection net.Conn) {
		if id == "b" {
			serve("a", connection)
		}
		serve(id, connection)
	})
	handler.expectServed(t, sendRead(t, pool, "a"))
	b := sendRead(t, pool, "b")
	if got := handler.next(t); got.attempt != b || got.result != Malformed || got.text != "" {
		t.Errorf("ended with %d and %q, want %d", got.result, got.text, Malformed)
	}
	handler.expectServed(t, sendRead(t, pool, "c"))
	if n := pool.TakeCounts(); n.Dials != 2 {
		t.Errorf("%d connections, want another after the copy", n.Dials)
	}
}
