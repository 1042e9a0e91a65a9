package upstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// In these tests a node stops reading in the middle of a batch.

const (
	// bigWrites is the number of writes in a batch; all buffers between pool and node together hold fewer.
	bigWrites = 40
	// bigSize is the size in bytes of the value of each of these writes.
	bigSize = 60000
)

// blockedPool is a gated pool whose node has stopped reading in the middle of a batch.
type blockedPool struct {
	*gatedPool
	node        *net.TCPConn
	first       *Attempt   // a read that has been written
	bigAttempts []*Attempt // the writes of the batch, some of which have been written
	reads       []*Attempt // the reads of the batch, which follow the writes
}

// startBlocked sends the writes, and reads with the given ids, in one batch to a node that does not read, and waits
// until the attempts that could not be started are queued again.
func startBlocked(t *testing.T, readIDs ...string) *blockedPool {
	t.Helper()
	b := &blockedPool{gatedPool: startGated(t, testLimits)}
	b.first = sendRead(t, b.Pool, "first")
	b.nextCheck(t, "the check of the first")
	b.node = b.nextConnection(t)
	b.mu.Lock()
	b.connection().socket.SetWriteBuffer(128 << 10)
	b.mu.Unlock()
	for i := range bigWrites {
		b.bigAttempts = append(b.bigAttempts, sendWrite(t, b.Pool, fmt.Sprint("big", i), bigSize))
	}
	for _, id := range readIDs {
		b.reads = append(b.reads, sendRead(t, b.Pool, id))
	}
	want := bigWrites + len(readIDs)
	b.proceed <- struct{}{}
	if batch := b.nextCheck(t, "the check of the others"); len(batch) != want {
		t.Fatalf("%d in the batch, want %d", len(batch), want)
	}
	// This check keeps all attempts, as if a reason to drop one arose just after the check.
	b.proceed <- struct{}{}
	b.waitLocked(t, "what was not started to wait again", func() bool {
		return len(b.connection().queued) > 0 || len(b.checks) > 0
	})
	return b
}

// serveAll answers all requests on a connection until it ends, and sends the requests' ids on the channel.
func serveAll(connection net.Conn) <-chan string {
	ids := make(chan string, 100)
	go func() {
		defer close(ids)
		for in := bufio.NewReader(connection); ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			id := requestID(line)
			if !strings.HasPrefix(line, "ms") {
				ids <- id
				serve(id, connection)
				continue
			}
			ids <- id
			if _, err := in.Discard(bigSize + len("\r\n")); err != nil {
				return
			}
			fmt.Fprintf(connection, "HD O%s c7\r\n", id)
		}
	}()
	return ids
}

// countAll returns how often each id is received until the channel is closed.
func countAll(ids <-chan string) map[string]int {
	times := map[string]int{}
	for id := range ids {
		times[id]++
	}
	return times
}

// TestUnstartedPartOfABatchIsCheckedAgain checks that when a node that had stopped reading reads again, the attempts of
// a batch that the node had not accepted are sent only if they pass another check (guarantee 2).
func TestUnstartedPartOfABatchIsCheckedAgain(t *testing.T) {
	for _, mayStart := range []bool{false, true} {
		t.Run(fmt.Sprint("may start ", mayStart), func(t *testing.T) {
			b := startBlocked(t, "late")
			late := b.reads[0]
			received := serveAll(b.node)
			again := b.nextCheck(t, "a second check of what was not started")
			if again[len(again)-1] != late || again[0] == b.bigAttempts[0] {
				t.Fatalf("checked %d again, from %s on", len(again), again[0].Request.ID)
			}
			b.keep = func(a *Attempt) bool { return a != late || mayStart }
			b.open()
			served := b.served(t)
			if !served[b.first] || served[late] != mayStart || len(served) < bigWrites+1 {
				t.Errorf("%d served, the late one: %v", len(served), served[late])
			}
			b.node.Close()
			times := countAll(received)
			if times["late"] > 0 != mayStart {
				t.Errorf("the node received the late one %d times", times["late"])
			}
			for i := range bigWrites {
				if n := times[fmt.Sprint("big", i)]; n != 1 {
					t.Errorf("the node received big%d %d times, want once", i, n)
				}
			}
		})
	}
}

// served waits for all attempts to end, and returns those that were served. Only attempts that the handler drops may
// end unserved; any other fails the test.
func (b *blockedPool) served(t *testing.T) map[*Attempt]bool {
	t.Helper()
	served := map[*Attempt]bool{}
	for range 1 + len(b.bigAttempts) + len(b.reads) {
		got := b.next(t)
		if got.result == NotWritten && !b.keep(got.attempt) {
			continue
		}
		if got.result != 0 {
			t.Errorf("%s ended with %d", got.attempt.Request.ID, got.result)
		}
		served[got.attempt] = true
	}
	return served
}

// TestResetInTheMiddleOfABatch checks that when the connection is reset in the middle of a batch, each attempt is
// written at most once and ends exactly once (guarantee 1). Some attempts have then been written, one in part, and
// others not at all. The result says whether the node may have executed the attempt: ConnectionLost for those that were
// written, NotWritten for the partial one. Attempts that were not started move to another connection, at most once.
func TestResetInTheMiddleOfABatch(t *testing.T) {
	b := startBlocked(t)
	b.mu.Lock()
	broken := b.connection()
	b.mu.Unlock()
	b.node.SetLinger(0)
	b.node.Close()
	b.waitLocked(t, "the reset to be noticed", func() bool { return broken.closed })
	b.open()
	second := b.nextConnection(t)
	serveAll(second)
	ended := make(map[string]bool)
	counts := make(map[Result]int)
	for range bigWrites + 1 {
		got := b.next(t)
		id := got.attempt.Request.ID
		if ended[id] {
			t.Errorf("%s ended twice", id)
		}
		ended[id] = true
		counts[got.result]++
	}
	// Served attempts have the zero result, Busy, which the node does not answer in this test.
	served := counts[Busy]
	all := counts[ConnectionLost] + counts[NotWritten] + served
	if counts[ConnectionLost] == 0 || served == 0 || all != bigWrites+1 {
		t.Errorf("ends by result: %v", counts)
	}
	if len(b.ends) > 0 {
		t.Errorf("%d attempts ended more than once", len(b.ends))
	}
}

// TestEndBetweenCheckAndWrite checks that an attempt whose connection ends after the check and before the first byte is
// written moves to another connection once, where it is checked again: it is written at most once and checked right
// before its first byte (guarantees 1 and 2).
func TestEndBetweenCheckAndWrite(t *testing.T) {
	g := startGated(t, testLimits)
	a := sendRead(t, g.Pool, "a")
	g.nextCheck(t, "its check")
	g.nextConnection(t).Close()
	g.waitLocked(t, "the end of the connection to be noticed", func() bool {
		return len(g.nodes["n"].connections) == 0
	})
	g.proceed <- struct{}{}
	if again := g.nextCheck(t, "another check"); len(again) != 1 || again[0] != a {
		t.Fatalf("checked %d attempts, want the one", len(again))
	}
	g.proceed <- struct{}{}
	second := g.nextConnection(t)
	second.SetReadDeadline(time.Now().Add(testTimeout))
	line, err := bufio.NewReader(second).ReadString('\n')
	if err != nil || requestID(line) != "a" {
		t.Fatalf("the node received %q, %v", line, err)
	}
	serve("a", second)
	g.expectServed(t, a)
}
