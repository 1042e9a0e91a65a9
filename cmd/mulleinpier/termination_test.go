package main

import (
	"bufio"
	"fmt"
	"net"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

const (
	// terminationDeadlineMillis is the deadline of all requests, the longest of all classes.
	terminationDeadlineMillis = 700
	// killTime is the shortest time from SIGTERM until the platform may kill the program.
	killTime = (terminationDeadlineMillis + 700) * time.Millisecond
)

// terminationTest holds the clients of a program that the test terminates. Together they have a request at each step of
// its handling.
type terminationTest struct {
	t       *testing.T
	nodes   *scriptednode.Nodes
	address string
	hanging int       // number of requests sent by sendToNode that hang at nodes
	done    chan bool // receives a value when a request sent by sendToNode has ended
	waiting sync.WaitGroup
	senders sync.WaitGroup
}

type terminationConn struct {
	net.Conn
	in *bufio.Reader
}

func (e *terminationTest) dial() terminationConn {
	e.t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		e.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testutil.Timeout))
	e.t.Cleanup(func() { c.Close() })
	return terminationConn{c, bufio.NewReader(c)}
}

// response reads a response and returns its first line.
func (c terminationConn) response() (string, error) {
	line, err := c.in.ReadString('\n')
	if strings.HasPrefix(line, "VA ") && err == nil {
		_, err = c.in.ReadString('\n')
	}
	return strings.TrimSpace(line), err
}

// effectRequest returns a request of the class effect. Its key tells the scripted node how to react.
func effectRequest(effect, reaction, id string) string {
	if effect == "safe" {
		return fmt.Sprintf("mg %s:%s v O%s Pc=safe,t=shops,d=%d\r\n", reaction, id, id, terminationDeadlineMillis)
	}
	const format = "ms %s:%[2]s 2 O%[2]s Pc=%[3]s,t=shops,d=%[4]d,k=%[2]s\r\nhi\r\n"
	return fmt.Sprintf(format, reaction, id, effect, terminationDeadlineMillis)
}

// isAnswerTo reports whether line is a response to the request with an ID. Any server error counts, as it names no
// request.
func isAnswerTo(line, id string) bool {
	return strings.HasPrefix(line, "SERVER_ERROR") || strings.Contains(line, "O"+id)
}

// warmUp waits until the nodes are known, and then sends 500 requests that are served, so that admission accepts the
// requests that will hang.
func (e *terminationTest) warmUp() {
	e.t.Helper()
	c := e.dial()
	testutil.WaitUntil(e.t, "the nodes to be known", func() bool {
		fmt.Fprint(c, effectRequest("safe", "serve", fmt.Sprint("w", time.Now().UnixNano())))
		got, err := c.response()
		return err == nil && strings.HasPrefix(got, "VA ")
	})
	for i := range 500 {
		fmt.Fprint(c, effectRequest("safe", "serve", fmt.Sprint("warm", i)))
		c.response()
	}
}

// sendToNode sends a request whose key makes the node react as given, and expects exactly one response.
func (e *terminationTest) sendToNode(effect string, reaction scriptednode.Reaction) {
	c := e.dial()
	id := fmt.Sprintf("%s-%s", effect, reaction)
	fmt.Fprint(c, effectRequest(effect, string(reaction), id))
	if reaction == scriptednode.Hang {
		e.hanging++
	}
	e.waiting.Go(func() {
		defer func() { e.done <- true }()
		if got, err := c.response(); err != nil || !isAnswerTo(got, id) {
			e.t.Errorf("%s: got %q, %v", id, got, err)
		}
		if got, err := c.response(); err == nil {
			e.t.Errorf("%s: a second response, %q", id, got)
		}
	})
}

// sendHalf sends an incomplete command and expects that it is not served: the client gets an error or the end of the
// connection.
func (e *terminationTest) sendHalf(effect string) {
	c := e.dial()
	complete := effectRequest(effect, "serve", effect+"-half")
	fmt.Fprint(c, complete[:len(complete)-3])
	e.waiting.Go(func() {
		if got, err := c.response(); err == nil && !strings.HasPrefix(got, "CLIENT_ERROR") {
			e.t.Errorf("incomplete command: got %q", got)
		}
	})
}

// connectSilently connects a client that sends nothing, and expects no response.
func (e *terminationTest) connectSilently() {
	c := e.dial()
	e.waiting.Go(func() {
		defer c.Close()
		if got, err := c.response(); err == nil {
			e.t.Errorf("a silent client got %q", got)
		}
	})
}

// sendWithoutPause sends one request after another until the connection is closed.
func (e *terminationTest) sendWithoutPause(effect, reaction string, number int) {
	c := e.dial()
	e.senders.Go(func() {
		for n := 0; ; n++ {
			id := fmt.Sprintf("%s-s%d-%d", effect, number, n)
			if _, err := fmt.Fprint(c, effectRequest(effect, reaction, id)); err != nil {
				return
			}
			got, err := c.response()
			if err != nil {
				return // the connection was closed before the request was read
			}
			if !isAnswerTo(got, id) {
				e.t.Errorf("%s: got %q", id, got)
			}
		}
	})
}

// waitHanging waits until the requests that hang have reached nodes. On a busy machine they may end before that, so it
// also stops waiting once as many requests have ended.
func (e *terminationTest) waitHanging() {
	e.t.Helper()
	testutil.WaitUntil(e.t, "the hanging requests to reach nodes", func() bool {
		n := 0
		for _, request := range e.nodes.Requests() {
			if strings.HasSuffix(request.ID, "-hang") {
				n++
			}
		}
		return n >= e.hanging || len(e.done) >= e.hanging
	})
}

// terminate terminates the program and returns how long its exit took.
func (e *terminationTest) terminate(cmd *exec.Cmd) time.Duration {
	e.t.Helper()
	terminatedAt := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		e.t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	if err := testutil.Receive(e.t, "the program to exit", exited); err != nil {
		e.t.Errorf("the program exited with %v", err)
	}
	took := time.Since(terminatedAt)
	e.waiting.Wait()
	e.senders.Wait()
	return took
}

// expectNoDuplicates fails the test if a request of the class unsafe has reached nodes twice, unless a node rejected it
// as busy and so did not execute it.
func (e *terminationTest) expectNoDuplicates() {
	e.t.Helper()
	attempts := make(map[string]int)
	for _, request := range e.nodes.Requests() {
		if request.Class == "unsafe" {
			attempts[request.ID]++
		}
	}
	for id, n := range attempts {
		if n > 1 && !strings.Contains(id, "-busy") {
			e.t.Errorf("%s reached nodes %d times", id, n)
		}
	}
}

// TestTerminationAtEachStepOfRequests checks that after the platform's termination each accepted request gets exactly
// one response, no request of the class unsafe reaches nodes twice, and the program exits with success. At that moment
// there are requests of each effect at each step, nodes that hang, and clients that keep sending until the exit.
func TestTerminationAtEachStepOfRequests(t *testing.T) {
	react := func(_ int, request scriptednode.ReceivedRequest) scriptednode.Reaction {
		kind, _, _ := strings.Cut(request.Key, ":")
		return scriptednode.Reaction(kind)
	}
	nodes, err := scriptednode.Start(scriptednode.Meta, 3, react)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	cmd, lines := startPlatformProgramWith(t, nodes, 3, terminationDeadlineMillis)
	_, address, _ := strings.Cut(waitLine(t, lines, "listener opened"), "address=")
	e := &terminationTest{t: t, nodes: nodes, address: address, done: make(chan bool, 100)}
	e.warmUp()
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		for _, reaction := range []scriptednode.Reaction{
			scriptednode.Hang, scriptednode.Slow, scriptednode.TruncatedAnswer, scriptednode.Reset,
			scriptednode.Garbage, scriptednode.Busy, scriptednode.EndlessValue,
		} {
			e.sendToNode(effect, reaction)
		}
		e.sendHalf(effect)
		e.connectSilently()
		for i, reaction := range []string{"serve", "slow", "hang"} {
			e.sendWithoutPause(effect, reaction, i)
		}
	}
	e.waitHanging()
	took := e.terminate(cmd)
	if took > 2*killTime { // twice the time, as the machine may be busy
		t.Errorf("the exit took %v, and the program is killed after %v", took, killTime)
	}
	e.expectNoDuplicates()
	t.Logf("exited after %v, %d requests at nodes", took, len(nodes.Requests()))
}
