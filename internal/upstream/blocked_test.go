package upstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// These tests have a node stop reading in the middle of a batch.

const (
	// bigWrites is the number of writes of a batch, more than all buffers on the way hold.
	bigWrites = 40
	// bigSize is the size of each of their values in bytes.
	bigSize = 60000
)

// blockedPool is a gated pool whose node has stopped reading in the middle of a batch.
type blockedPool struct {
	*gatedPool
	node        *net.TCPConn
	first       *Attempt   // a read that has been written
	bigAttempts []*Attempt // writes, some of which have been written
	reads       []*Attempt // after them
}

// startBlocked has the writes and the reads with these ids in one batch, and waits until the part of it that was
// not started waits again.
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
	// This check lets all start, as if the reason against one came a moment later.
	b.proceed <- struct{}{}
	b.waitLocked(t, "what was not started to wait again", func() bool {
		return len(b.connection().queued) > 0 || len(b.checks) > 0
	})
	return b
}

// serveAll answers all requests on a connection, and sends their ids, until the connection ends.
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

// countAll counts equal ids until there are no more.
func countAll(ids <-chan string) map[string]int {
	times := map[string]int{}
	for id := range ids {
		times[id]++
	}
	return times
}

// TestUnstartedPartOfABatchIsCheckedAgain guards guarantee 2: what a node did not accept of a batch must not be
// sent after the rest once the node reads again, unless it still may.
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

// served waits for all attempts to end, and returns those that were served. Only those that the handler drops
// may end otherwise.
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

// TestResetInTheMiddleOfABatch guards guarantee 1: when the connection is reset some attempts of a batch have
// been written, one in part and others not. Each has one end, by what can have been executed: those that were
// written may have been, and those that were not started move to another connection, once.
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
	// Served ones have the zero result, Busy, which no node answers here.
	served := counts[Busy]
	all := counts[ConnectionLost] + counts[NotWritten] + served
	if counts[ConnectionLost] == 0 || served == 0 || all != bigWrites+1 {
		t.Errorf("ends by result: %v", counts)
	}
	if len(b.ends) > 0 {
		t.Errorf("%d ends too many", len(b.ends))
	}
}

// TestEndBetweenCheckAndWrite guards guarantees 1 and 2: a connection ends after the check of an attempt and
// before its first byte. The attempt moves to another connection, after another check, once.
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
	second.SetReadDeadline(time.Now().Add(patience))
	line, err := bufio.NewReader(second).ReadString('\n')
	if err != nil || requestID(line) != "a" {
		t.Fatalf("the node received %q, %v", line, err)
	}
	serve("a", second)
	g.expectServed(t, a)
}
