package upstream

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/meta"
)

// checkTime is how long the tests of this file hold up the check of an attempt at least.
const checkTime = 50 * time.Millisecond

// writeAttempt returns an attempt of a write with side effects, of a value of size bytes.
func writeAttempt(t *testing.T, id string, size int, deadline time.Time) *Attempt {
	t.Helper()
	command, err := meta.ParseCommand("ms k 0 O" + id + " Pc=put")
	if err != nil {
		t.Fatal(err)
	}
	command.Value = []byte(strings.Repeat("v", size))
	command.SideEffects = true
	return &Attempt{Request: &command.Request, Deadline: deadline}
}

// TestAttemptThatExpiresDuringCheckIsNotWritten guards against a process that is held up between the check of an
// attempt and its write, and then writes a repeat of a keyed write that nodes execute a second time.
func TestAttemptThatExpiresDuringCheckIsNotWritten(t *testing.T) {
	t.Run("deadline", func(t *testing.T) {
		expireDuringCheck(t, writeAttempt(t, "late", 2, time.Now().Add(checkTime)))
	})
	t.Run("start before", func(t *testing.T) {
		a := writeAttempt(t, "late", 2, time.Now().Add(testTimeout))
		a.StartBefore = time.Now().Add(checkTime)
		expireDuringCheck(t, a)
	})
}

// expireDuringCheck sends an attempt that expires within checkTime, and holds up its check for longer.
func expireDuringCheck(t *testing.T, late *Attempt) {
	t.Helper()
	g := startGated(t, testLimits)
	opening := sendRead(t, g.Pool, "opening") // opens the connection
	g.nextCheck(t, "the check of the first attempt")
	g.proceed <- struct{}{}
	node := g.nextConnection(t)
	in := bufio.NewReader(node)
	expectLine(t, in, "opening")
	serve("opening", node)
	g.expectServed(t, opening)
	if !g.Send("n", late) {
		t.Fatal("no connection")
	}
	g.nextCheck(t, "the check of the write, which reads the clock now")
	time.Sleep(2 * checkTime)
	g.proceed <- struct{}{}
	g.nextCheck(t, "another check of the write")
	g.keep = func(*Attempt) bool { return false }
	g.proceed <- struct{}{}
	if got := g.next(t); got.attempt != late || got.result != NotWritten {
		t.Errorf("the write ended with result %d, want NotWritten", got.result)
	}
	node.SetReadDeadline(time.Now().Add(checkTime))
	if rest, err := io.ReadAll(in); len(rest) > 0 {
		t.Errorf("the node received %q, %v", rest, err)
	}
}

// TestWriteThatExpiresHalfWrittenIsReset guards against the last bytes of a keyed write that are written after its
// deadline: the node begins it when they arrive.
func TestWriteThatExpiresHalfWrittenIsReset(t *testing.T) {
	g := startGated(t, testLimits)
	g.keep = func(a *Attempt) bool { // it must be partly written by then; if not, it is checked again
		a.Deadline = time.Now().Add(3 * writeTimeout)
		return true
	}
	g.open()
	const moreThanSocketsHold = 32 << 20
	large := writeAttempt(t, "large", moreThanSocketsHold, time.Now().Add(testTimeout))
	if !g.Send("n", large) {
		t.Fatal("no connection")
	}
	node := g.nextConnection(t) // it reads nothing until the deadline has passed
	if got := g.next(t); got.attempt != large || got.result != NotWritten {
		t.Errorf("the write ended with result %d, want NotWritten", got.result)
	}
	if time.Now().Before(large.Deadline) {
		t.Error("it ended before its deadline")
	}
	if n, _ := io.Copy(io.Discard, node); n >= moreThanSocketsHold {
		t.Error("the node received all of it")
	}
}
