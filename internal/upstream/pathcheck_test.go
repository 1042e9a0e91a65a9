package upstream

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// receivedCommands are the names of the commands that a node has received, in order.
type receivedCommands struct {
	mu    sync.Mutex
	names []string
}

// add adds the command of a line, unless the line is a value.
func (r *receivedCommands) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name, _, _ := strings.Cut(line, " "); len(name) == len("mn") {
		r.names = append(r.names, name)
	}
}

func (r *receivedCommands) expect(t *testing.T, want ...string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(r.names, want) {
		t.Errorf("the node received %q, want %q", r.names, want)
	}
}

// startRecording starts a node that records the commands that it receives, and calls respond for each line.
func startRecording(t *testing.T, respond func(line string, connection net.Conn)) (string, *receivedCommands) {
	received := &receivedCommands{}
	address := testutil.ServeConnections(t, func(connection net.Conn) {
		defer connection.Close()
		for in := bufio.NewScanner(connection); in.Scan(); {
			received.add(in.Text())
			respond(in.Text(), connection)
		}
	})
	return address, received
}

// repeatOf returns an attempt that repeats one that may have been executed.
func repeatOf(t *testing.T, id string) *Attempt {
	t.Helper()
	a := writeAttempt(t, id, 0, time.Now().Add(testTimeout))
	a.ConfirmPath = true
	return a
}

// TestRepeatIsWrittenOnlyAfterPathCheck guards against a repeat of a keyed write that waits in a network that does not
// deliver, and is executed a second time when the network delivers again.
func TestRepeatIsWrittenOnlyAfterPathCheck(t *testing.T) {
	for _, test := range []struct {
		name       string
		noopAnswer string
		want       Result // Busy, the zero value, if the attempt is served
		received   []string
	}{
		{"delivers", "MN\r\n", Busy, []string{"mn", "ms"}},
		{"does not deliver", "", NotWritten, []string{"mn"}},
		{"the node rejects no-ops", "SERVER_ERROR busy\r\n", NotWritten, []string{"mn"}},
		{"the node answers something else", "HD Ow c7\r\n", NotWritten, []string{"mn"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address, received := startRecording(t, func(line string, connection net.Conn) {
				switch {
				case line == "mn":
					fmt.Fprint(connection, test.noopAnswer)
				case strings.HasPrefix(line, "ms"):
					fmt.Fprint(connection, "HD Ow c7\r\n")
				}
			})
			handler := make(ends, 100)
			pool := runPool(t, testLimits, handler, address, func() {})
			a := repeatOf(t, "w")
			if !pool.Send("n", a) {
				t.Fatal("no connection")
			}
			if got := handler.next(t); got.attempt != a || got.result != test.want {
				t.Errorf("ended with result %d, want %d", got.result, test.want)
			}
			received.expect(t, test.received...)
		})
	}
}

// TestPathIsCheckedWithNothingInFlight checks that the no-op of a path check is not sent behind attempts, whose answers
// would delay its answer, and that attempts of other requests are sent after the check.
func TestPathIsCheckedWithNothingInFlight(t *testing.T) {
	g := startGated(t, testLimits)
	g.open()
	read := sendRead(t, g.Pool, "read")
	node := g.nextConnection(t)
	in := bufio.NewReader(node)
	expectLine(t, in, "read")
	repeat := repeatOf(t, "repeat")
	if !g.Send("n", repeat) {
		t.Fatal("no connection")
	}
	behind := sendRead(t, g.Pool, "behind")
	node.SetReadDeadline(time.Now().Add(pathCheckTimeout / 2))
	if line, err := in.ReadString('\n'); err == nil {
		t.Errorf("the node received %q while an attempt was in flight", line)
	}
	node.SetReadDeadline(time.Time{})
	serve("read", node)
	g.expectServed(t, read)
	expectLine(t, in, "")
	fmt.Fprint(node, "MN\r\n")
	expectLine(t, in, "repeat")
	expectLine(t, in, "") // its value
	expectLine(t, in, "behind")
	fmt.Fprint(node, "HD Orepeat c7\r\n")
	if got := g.next(t); got.attempt != repeat || got.result != Busy {
		t.Errorf("the repeat ended with result %d", got.result)
	}
	serve("behind", node)
	g.expectServed(t, behind)
}

// TestNextStepOfWriter guards against a no-op that is written with attempts in flight, whose answers would be taken for
// its answer and end the connection.
func TestNextStepOfWriter(t *testing.T) {
	read, repeat := &Attempt{}, &Attempt{ConfirmPath: true}
	now := time.Now()
	confirmed := pathCheck{confirmedAt: now.Add(time.Hour)}
	expired := pathCheck{confirmedAt: now.Add(-time.Hour)}
	for _, test := range []struct {
		name string
		conn *conn
		want writerStep
	}{
		{"nothing queued", &conn{}, waitForWork},
		{"a read", &conn{queued: []*Attempt{read}, inFlight: []*Attempt{read}}, writeAttempts},
		{"a repeat", &conn{queued: []*Attempt{repeat}}, checkPath},
		{"a repeat, path confirmed", &conn{queued: []*Attempt{repeat}, path: confirmed}, writeAttempts},
		{"a repeat, in flight", &conn{queued: []*Attempt{repeat, read}, inFlight: []*Attempt{read}}, waitForWork},
		{"a repeat, in flight, expired", &conn{
			queued: []*Attempt{repeat}, inFlight: []*Attempt{read}, path: expired,
		}, waitForWork},
		{"a check is pending", &conn{queued: []*Attempt{read}, path: pathCheck{pending: true}}, waitForWork},
		{"an answer is unconfirmed", &conn{queued: []*Attempt{repeat}, noop: noopWanted}, confirmAnswer},
		{"writes have failed", &conn{queued: []*Attempt{read}, writeFailed: true}, waitForWork},
		{"closed", &conn{queued: []*Attempt{read}, writeFailed: true, closed: true}, endWriter},
	} {
		if got := test.conn.nextStep(); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// TestWithdrawnRepeatHoldsUpNobody guards against attempts that wait forever behind a repeat that has waited for a path
// check and was withdrawn.
func TestWithdrawnRepeatHoldsUpNobody(t *testing.T) {
	g := startGated(t, testLimits)
	g.open()
	sendRead(t, g.Pool, "unanswered")
	node := g.nextConnection(t)
	in := bufio.NewReader(node)
	expectLine(t, in, "unanswered")
	repeat := repeatOf(t, "repeat")
	if !g.Send("n", repeat) {
		t.Fatal("no connection")
	}
	sendRead(t, g.Pool, "behind")
	time.Sleep(checkTime) // the writer waits again by then
	if !g.Withdraw(repeat) {
		t.Fatal("the repeat was not withdrawn")
	}
	node.SetReadDeadline(time.Now().Add(testTimeout))
	expectLine(t, in, "behind")
}

// TestPathCheckExpires guards against a process that is held up between the answer to the no-op and the write of a
// repeat: the network may have ceased to deliver since.
func TestPathCheckExpires(t *testing.T) {
	g := startGated(t, testLimits)
	a := repeatOf(t, "w")
	if !g.Send("n", a) {
		t.Fatal("no connection")
	}
	node := g.nextConnection(t)
	in := bufio.NewReader(node)
	expectLine(t, in, "")
	fmt.Fprint(node, "MN\r\n")
	g.nextCheck(t, "the check of the repeat")
	time.Sleep(pathCheckTimeout)
	g.open()
	expectLine(t, in, "")
	line, err := in.ReadString('\n')
	if err == nil {
		t.Errorf("the node received %q without another answer to a no-op", line)
	}
	if got := g.next(t); got.attempt != a || got.result != NotWritten {
		t.Errorf("ended with result %d, want NotWritten", got.result)
	}
}

// TestUnwantedRepeatCausesNoPathCheck checks that no no-op is sent for a repeat that must not be sent any more, for
// example because the node drains.
func TestUnwantedRepeatCausesNoPathCheck(t *testing.T) {
	address, received := startRecording(t, func(line string, connection net.Conn) {
		serve(requestID(line), connection)
	})
	handler := &unwanted{make(ends, 100)}
	pool := runPool(t, testLimits, handler, address, func() {})
	a := repeatOf(t, "w")
	if !pool.Send("n", a) {
		t.Fatal("no connection")
	}
	if got := handler.next(t); got.attempt != a || got.result != NotWritten {
		t.Errorf("ended with result %d, want NotWritten", got.result)
	}
	handler.expectServed(t, sendRead(t, pool, "read"))
	received.expect(t, "mg")
}

// unwanted is a Handler that drops the attempts with side effects.
type unwanted struct{ ends }

func (u *unwanted) MayConfirm(*Attempt) bool { return false }

func (u *unwanted) BeforeWrite(batch []*Attempt) []*Attempt {
	return slices.DeleteFunc(batch, func(a *Attempt) bool {
		if a.Request.SideEffects {
			u.Ended(a, nil, NotWritten)
		}
		return a.Request.SideEffects
	})
}

// expectLine reads a line, and checks that it is of the request with an id, "" for a line without an id.
func expectLine(t *testing.T, in *bufio.Reader, id string) {
	t.Helper()
	if line, err := in.ReadString('\n'); err != nil || requestID(line) != id {
		t.Fatalf("the node received %q, %v, want request %q", line, err, id)
	}
}
