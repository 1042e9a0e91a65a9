package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
)

// sendAlone sends a read of a class that is not idempotent.
func sendAlone(t *testing.T, pool *Pool, id string) *Attempt {
	t.Helper()
	command, err := meta.ParseCommand("mg k v O" + id + " Pc=read")
	if err != nil {
		t.Fatal(err)
	}
	command.RunsAlone = true
	return send(t, pool, &command.Request)
}

// confirmationStep is a step of a node that answers the request "b" on a connection that has served the request "a".
type confirmationStep string

const (
	busy   confirmationStep = "SERVER_ERROR busy\r\n"
	failed confirmationStep = "SERVER_ERROR failed\r\n"
	absent confirmationStep = "EN\r\n"
	served confirmationStep = "VA 2 Ob h1\r\nhi\r\n"
	noop   confirmationStep = "MN\r\n"
)

// TestUnattributedAnswerIsConfirmed checks that an answer that names no request, on a connection that has carried
// others, ends an attempt only once the node has shown that it is the answer to this attempt, and that nothing else is
// sent on the connection then (guarantee 3).
func TestUnattributedAnswerIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name                  string
		beforeNoop, afterNoop []confirmationStep // what the node sends before and after it has received the no-op
		want                  attemptEnd
	}{
		{"the answer", []confirmationStep{busy}, []confirmationStep{noop}, attemptEnd{result: Busy}},
		{"an earlier one", []confirmationStep{busy}, []confirmationStep{served, noop}, attemptEnd{text: "hi"}},
		{"both", []confirmationStep{busy}, []confirmationStep{busy, noop}, attemptEnd{result: Busy}},
		{"two earlier ones", []confirmationStep{busy, busy}, []confirmationStep{served}, attemptEnd{text: "hi"}},
		{"another kind", []confirmationStep{busy}, []confirmationStep{failed, noop}, attemptEnd{result: Failed}},
		{"a failure", []confirmationStep{failed}, []confirmationStep{noop}, attemptEnd{result: Failed}},
		{"an earlier failure", []confirmationStep{failed}, []confirmationStep{served}, attemptEnd{text: "hi"}},
		{"an earlier absence", []confirmationStep{absent}, []confirmationStep{served}, attemptEnd{text: "hi"}},
		{"noise", []confirmationStep{busy}, []confirmationStep{"\x00\r\n"}, attemptEnd{result: Malformed}},
		{"a no-op nobody sent", []confirmationStep{noop}, nil, attemptEnd{result: Malformed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			pool, handler := startPool(t, func(id string, connection net.Conn) {
				switch id {
				case "b":
					writeSteps(connection, test.beforeNoop)
				case "": // the no-op
					writeSteps(connection, test.afterNoop)
				default:
					serve(id, connection)
				}
			})
			handler.expectServed(t, sendAlone(t, pool, "a"))
			b := sendAlone(t, pool, "b")
			test.want.attempt = b
			if got := handler.next(t); got != test.want {
				t.Errorf("ended with result %d and %q, want %d and %q",
					got.result, got.text, test.want.result, test.want.text)
			}
			handler.expectServed(t, sendAlone(t, pool, "c"))
			if n := pool.TakeCounts(); n.Dials != 2 {
				t.Errorf("%d connections, want another after the unattributed answer", n.Dials)
			}
		})
	}
}

// startReused starts a pool whose only connection has served a request. It returns the node's end of the connection,
// and a reader of it.
func startReused(t *testing.T) (g *gatedPool, node *net.TCPConn, in *bufio.Reader) {
	t.Helper()
	g = startGated(t, testLimits)
	g.open()
	a := sendAlone(t, g.Pool, "a")
	node = g.nextConnection(t)
	in = bufio.NewReader(node)
	in.ReadString('\n')
	serve("a", node)
	g.expectServed(t, a)
	return g, node, in
}

func writeSteps(connection net.Conn, steps []confirmationStep) {
	for _, step := range steps {
		fmt.Fprint(connection, string(step))
	}
}

// TestUnattributedAnswerThatNeedsNoConfirmation checks that the first answer on a connection, and each answer to a
// request that may be repeated while a node executes it, ends its attempt at once and keeps the connection. Under
// overload nodes reject many requests.
func TestUnattributedAnswerThatNeedsNoConfirmation(t *testing.T) {
	pool, handler := startPool(t, func(id string, connection net.Conn) {
		if id == "" {
			t.Error("a no-op was sent")
		}
		writeSteps(connection, []confirmationStep{busy})
	})
	for i, send := range []func(*testing.T, *Pool, string) *Attempt{sendAlone, sendRead, sendRead} {
		attempt := send(t, pool, fmt.Sprint(i))
		if got := handler.next(t); got.attempt != attempt || got.result != Busy {
			t.Errorf("attempt %d ended with result %d", i, got.result)
		}
	}
	if n := pool.TakeCounts(); n.Dials != 1 {
		t.Errorf("%d connections, want 1", n.Dials)
	}
}

// refusesNoop is a Handler that allows no no-op, as for a node that drains.
type refusesNoop struct{ ends }

func (refusesNoop) MayConfirm(*Attempt) bool { return false }

// TestUnconfirmedAnswerMayHaveRun checks that an attempt whose unattributed answer may not be confirmed counts as
// possibly executed.
func TestUnconfirmedAnswerMayHaveRun(t *testing.T) {
	pool, handler := startPool(t, func(id string, connection net.Conn) {
		if id == "b" {
			writeSteps(connection, []confirmationStep{busy})
			return
		}
		serve(id, connection)
	})
	pool.handler = refusesNoop{handler}
	handler.expectServed(t, sendAlone(t, pool, "a"))
	b := sendAlone(t, pool, "b")
	if got := handler.next(t); got.attempt != b || got.result != Malformed {
		t.Errorf("ended with result %d, want %d", got.result, Malformed)
	}
}

// TestUnattributedAnswersOfPipelinedAttempts checks that attempts in flight together get their own answers, whichever
// of them the node names: an earlier request's answer in front of them moves none to its neighbour.
func TestUnattributedAnswersOfPipelinedAttempts(t *testing.T) {
	named := func(id string) confirmationStep {
		return confirmationStep(fmt.Sprintf("VA 2 O%s h1\r\nhi\r\n", id))
	}
	for _, test := range []struct {
		name    string
		answers []confirmationStep
		want    [3]attemptEnd
	}{
		{"an earlier one", []confirmationStep{busy, named("b"), named("c"), named("d")},
			[3]attemptEnd{{text: "hi"}, {text: "hi"}, {text: "hi"}}},
		{"the first's", []confirmationStep{busy, named("c"), named("d")},
			[3]attemptEnd{{result: Busy}, {text: "hi"}, {text: "hi"}}},
		{"an earlier one and the first's", []confirmationStep{busy, busy, named("c"), named("d")},
			[3]attemptEnd{{result: Busy}, {text: "hi"}, {text: "hi"}}},
		{"of different kinds", []confirmationStep{busy, failed, named("c"), named("d")},
			[3]attemptEnd{{result: Failed}, {text: "hi"}, {text: "hi"}}},
		{"of two in their order", []confirmationStep{busy, failed, named("d")},
			[3]attemptEnd{{result: Busy}, {result: Failed}, {text: "hi"}}},
		{"of all", []confirmationStep{busy, busy, busy, noop},
			[3]attemptEnd{{result: Busy}, {result: Busy}, {result: Busy}}},
		{"too few", []confirmationStep{busy, busy, noop},
			[3]attemptEnd{{result: Malformed}, {result: ConnectionLost}, {result: ConnectionLost}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g, node, in := startReused(t)
			for i, id := range []string{"b", "c", "d"} {
				test.want[i].attempt = sendAlone(t, g.Pool, id)
				in.ReadString('\n')
			}
			writeSteps(node, test.answers[:1])
			if line, err := in.ReadString('\n'); line != "mn\r\n" {
				t.Fatalf("the node received %q, %v, want a no-op", line, err)
			}
			writeSteps(node, test.answers[1:])
			for i, want := range test.want {
				if got := g.next(t); got != want {
					t.Errorf("attempt %d ended with result %d and %q, want %d and %q",
						i, got.result, got.text, want.result, want.text)
				}
			}
		})
	}
}

// TestUnattributedAnswerOfAnAbandonedAttempt checks that an answer that names no request ends an abandoned attempt
// without a no-op, so that the attempt behind it gets its own answer.
func TestUnattributedAnswerOfAnAbandonedAttempt(t *testing.T) {
	g, node, in := startReused(t)
	abandoned := sendAlone(t, g.Pool, "b")
	in.ReadString('\n')
	behind := sendAlone(t, g.Pool, "c")
	in.ReadString('\n')
	g.Abandon(abandoned)
	writeSteps(node, []confirmationStep{busy})
	if got := g.next(t); got.attempt != abandoned || got.result != Busy {
		t.Errorf("the abandoned attempt ended with result %d", got.result)
	}
	serve("c", node)
	g.expectServed(t, behind)
	if line, err := in.ReadString('\n'); err == nil {
		t.Errorf("the node received %q", line)
	}
}

// TestNoopAtANodeThatReadsNothing checks that an attempt with an unconfirmed answer ends with its connection, as
// possibly executed, if the node answers nothing more.
func TestNoopAtANodeThatReadsNothing(t *testing.T) {
	g, node, in := startReused(t)
	b := sendAlone(t, g.Pool, "b")
	in.ReadString('\n')
	writeSteps(node, []confirmationStep{busy})
	g.waitLocked(t, "the no-op to be written", func() bool { return g.connection().noop == noopWritten })
	if g.Abandon(b) {
		t.Error("an attempt that was written is reported as not written")
	}
	if got := testutil.Receive(t, "the end of the attempt", g.ends); got.attempt != b || got.result != ConnectionLost {
		t.Errorf("ended with result %d, want %d", got.result, ConnectionLost)
	}
}

// TestRepeatAvoidsTheConnectionOfItsFirstAttempt checks that a second attempt of a request that must run alone uses
// another connection to the same node than the first: a second answer to the first names the same request.
func TestRepeatAvoidsTheConnectionOfItsFirstAttempt(t *testing.T) {
	limits := testLimits
	limits.MaxPerNode = 2
	g := startGated(t, limits)
	g.open()
	first := sendAlone(t, g.Pool, "a")
	node := g.nextConnection(t)
	bufio.NewReader(node).ReadString('\n')
	writeSteps(node, []confirmationStep{"SERVER_ERROR busy Oa\r\n"})
	if got := g.next(t); got.attempt != first || got.result != Busy {
		t.Fatalf("the first attempt ended with result %d", got.result)
	}
	repeat := &Attempt{Request: first.Request, Deadline: time.Now().Add(testTimeout), Previous: []*Attempt{first}}
	if !g.Send("n", repeat) {
		t.Fatal("no connection for the repeat")
	}
	second := g.nextConnection(t)
	writeSteps(node, []confirmationStep{"SERVER_ERROR busy Oa\r\n"})
	bufio.NewReader(second).ReadString('\n')
	serve("a", second)
	g.expectServed(t, repeat)
}

// TestConfirmedAnswer checks which answer an attempt gets if it is ambiguous which of the unconfirmed ones is its own.
func TestConfirmedAnswer(t *testing.T) {
	answers := func(kinds ...request.AnswerKind) (list []request.Answer) {
		for _, kind := range kinds {
			list = append(list, request.Answer{Kind: kind})
		}
		return list
	}
	for _, test := range []struct {
		unconfirmed  []request.Answer
		index, count int
		want         request.AnswerKind
	}{
		{answers(request.Busy, request.Failed), 0, 2, request.Busy},
		{answers(request.Busy, request.Failed), 1, 2, request.Failed},
		{answers(request.Busy, request.Busy), 0, 1, request.Busy},
		{answers(request.Busy, request.Failed), 0, 1, request.Failed},
		{answers(request.Busy, request.NotFound), 0, 1, request.Failed},
	} {
		if got := confirmedAnswer(test.unconfirmed, test.index, test.count); got.Kind != test.want {
			t.Errorf("attempt %d of %d got %v of %v, want %v",
				test.index, test.count, got.Kind, test.unconfirmed, test.want)
		}
	}
}
