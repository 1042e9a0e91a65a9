package core

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/testutil"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// watchSilence is less than what passes for the loss of a watch.
const watchSilence = 2 * time.Second

// scriptedSource is a source of the list that does what a test tells it, call by call.
type scriptedSource struct {
	listener net.Listener
	calls    chan *sourceCall
}

// sourceCall is a call of it, a watch or one for the whole list.
type sourceCall struct {
	net.Conn
	watch bool
	from  string
}

func startSource(t *testing.T) *scriptedSource {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &scriptedSource{listener: l, calls: make(chan *sourceCall, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				a.calls <- &sourceCall{Conn: c, watch: r.FormValue("watch") == "1", from: r.FormValue("from")}
			}()
		}
	}()
	return a
}

func (a *scriptedSource) address() string { return a.listener.Addr().String() }

// next returns the next call.
func (a *scriptedSource) next(t *testing.T, what string) *sourceCall {
	t.Helper()
	return testutil.Receive(t, what, a.calls)
}

// firstWatch takes the first watch, and tells by it that the node is up.
func (a *scriptedSource) firstWatch(t *testing.T, c *Core, index int) *sourceCall {
	t.Helper()
	first := a.next(t, "a watch")
	first.sendHeader()
	first.sendList(index, true, "up")
	c.expectServing(t, "the node to be up", true)
	return first
}

// sendHeader answers a call, with nothing behind yet.
func (c *sourceCall) sendHeader() { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n") }

// sendList writes a list in which n1 has a status.
func (c *sourceCall) sendList(index int, whole bool, status string) {
	fmt.Fprintf(c, `{"index":%d,"snapshot":%v,"endpoints":[{"name":"n1","address":"127.0.0.1:9","status":"%s"}]}`+"\n", index, whole, status)
}

// isOpen tells that the proxy still waits for an answer to a call.
func (c *sourceCall) isOpen() bool {
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}

// sendHeartbeats gives signs of life from now on, as an idle watch does.
func (c *sourceCall) sendHeartbeats(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for tick := time.NewTicker(watchSilence / 4); ctx.Err() == nil; <-tick.C {
			if _, err := fmt.Fprintln(c); err != nil {
				return
			}
		}
	}()
}

// waitClosed waits until the proxy has ended a call.
func (c *sourceCall) waitClosed(t *testing.T) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testutil.Timeout))
	if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Fatal("a call that is of no use any more is kept")
	}
}

func startCore(t *testing.T, ask bool, address string) *Core {
	t.Helper()
	c, err := New(&Config{ListSources: []discovery.SourceConfig{{Address: address}}, MaxInFlight: 10,
		Upstream: upstream.Limits{MaxPerNode: 1, MaxConnections: 4, MaxPipelined: 4, ConnectTimeout: time.Second, IdleTimeout: time.Hour, SilenceTimeout: time.Hour},
		Policy: policy.Settings{ProxyCount: 1, EndpointsOnRequest: ask, Classes: []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: time.Second}},
			Limits: policy.Limits{MaxAttempts: 3}, Rules: policy.Rules{MaxPollInterval: 400 * time.Millisecond}}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		c.Run(ctx)
	}()
	go func() { // as the proxy does
		for tick := time.NewTicker(pause.DefaultLimits.CheckInterval); ctx.Err() == nil; <-tick.C {
			c.CheckClocks()
		}
	}()
	t.Cleanup(func() {
		stop()
		testutil.Receive(t, "the core's end", closedAs(ran))
	})
	return c
}

// closedAs passes the end of a channel on as a value.
func closedAs(c <-chan struct{}) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		<-c
		out <- true
	}()
	return out
}

func (c *Core) expectServing(t *testing.T, what string, serves bool) {
	t.Helper()
	testutil.WaitUntil(t, what, func() bool { return c.HasServingNodes() == serves })
}

// TestSilentWatchIsOpenedAnew: a watch that falls silent, ends, is reset or stops in the middle of an object is opened
// anew, whether lists are pushed or asked for; a drain that it missed is heeded, and so is the return.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for name, end := range map[string]func(*sourceCall){
		"silent":     func(*sourceCall) {},
		"ended":      func(c *sourceCall) { c.Close() },
		"reset":      func(c *sourceCall) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"mid-object": func(c *sourceCall) { fmt.Fprint(c, `{"index":2,"snapshot":false,"endpoints":[{"name":"n1",`) },
	} {
		for _, ask := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asked %v", name, ask), func(t *testing.T) {
				t.Parallel()
				a := startSource(t)
				c := startCore(t, ask, a.address())
				first := a.firstWatch(t, c, 1)
				end(first)
				second := a.next(t, "a new watch")
				if !second.watch || second.from != "1" {
					t.Errorf("the new call: watch %v from %s", second.watch, second.from)
				}
				second.sendHeader()
				second.sendList(2, false, "draining")
				c.expectServing(t, "the drain to be heeded", false)
				second.sendList(3, false, "up")
				c.expectServing(t, "the return to be heeded", true)
			})
		}
	}
}

// TestSilentAgentIsAskedOn: an agent that says nothing, as while discovery is down, is asked again and again, but not in a
// storm; what it has once it speaks is learnt from whichever call it answers, and the others end.
func TestSilentAgentIsAskedOn(t *testing.T) {
	a := startSource(t)
	c := startCore(t, false, a.address())
	first := a.firstWatch(t, c, 1)
	first.Close()
	begun := time.Now()
	var calls []*sourceCall
	for i := range 2 * maxSubscriptions {
		calls = append(calls, a.next(t, "one more watch"))
		if i > 0 && !calls[i-1].isOpen() {
			t.Error("asked again only after the call before was given up")
		}
	}
	if took := time.Since(begun); took < time.Duration(len(calls)-2)*agentAnswerTimeout {
		t.Errorf("%d calls in %v", len(calls), took)
	}
	for _, old := range calls[:maxSubscriptions] {
		old.waitClosed(t) // the number that are open is bounded
	}
	last := calls[len(calls)-1]
	last.sendHeader()
	last.sendList(2, false, "draining")
	c.expectServing(t, "the drain to be heeded", false)
	for _, other := range calls[:len(calls)-1] {
		other.waitClosed(t)
	}
	last.sendList(3, false, "up")
	c.expectServing(t, "the return to be heeded", true)
}

// TestAgentWithNothingNewIsBelieved: an agent that answers, and has nothing to tell, is not asked again.
func TestAgentWithNothingNewIsBelieved(t *testing.T) {
	a := startSource(t)
	c := startCore(t, false, a.address())
	first := a.firstWatch(t, c, 1)
	first.Close()
	second := a.next(t, "a new watch")
	second.sendHeader()
	for range 10 {
		time.Sleep(agentAnswerTimeout / 4)
		fmt.Fprintln(second)
	}
	if n := len(a.calls); n > 0 {
		t.Errorf("asked %d times more", n)
	}
	second.sendList(2, false, "draining")
	c.expectServing(t, "the drain to be heeded", false)
}

// TestOlderListUndoesNothing: a whole list that was asked for before a watch told a drain comes behind it.
func TestOlderListUndoesNothing(t *testing.T) {
	for _, status := range []string{"draining", "removed"} {
		a := startSource(t)
		c := startCore(t, false, a.address())
		watch := a.firstWatch(t, c, 8)
		signal(c.fetchRequested)
		list := a.next(t, "a call for the list")
		if list.watch {
			t.Fatal("a watch where a call for the list was due")
		}
		watch.sendList(9, false, status)
		c.expectServing(t, "the drain to be heeded", false)
		list.sendHeader()
		list.sendList(8, true, "up")
		list.Close()
		signal(c.fetchRequested)
		list = a.next(t, "one more call for the list") // calls come in turn: the one before is taken
		if c.HasServingNodes() {
			t.Errorf("a list from before it has undone that the node is %s", status)
		}
		list.sendHeader()
		list.sendList(10, true, "up")
		list.Close()
		c.expectServing(t, "a newer list to be heeded", true)
		// A service that has begun anew counts from the start.
		watch.Close()
		watch = a.next(t, "a new watch")
		watch.sendHeader()
		watch.sendList(2, true, "draining")
		c.expectServing(t, "the list of a service that has begun anew to be heeded", false)
		watch.sendList(3, false, "up")
		c.expectServing(t, "its changes to be heeded", true)
	}
}

// TestMovesKeepWhatSpeaks: the watch of the old place is heard until a new one has told something: through a new place that
// says nothing or refuses, and through a second move in the middle of the first.
func TestMovesKeepWhatSpeaks(t *testing.T) {
	for _, ask := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", ask), func(t *testing.T) {
			t.Parallel()
			old, deaf, next := startSource(t), startSource(t), startSource(t)
			c := startCore(t, ask, old.address())
			watch := old.firstWatch(t, c, 50)
			watch.sendHeartbeats(t)
			c.SetListSources([]discovery.SourceConfig{{Address: deaf.address()}})
			hung := deaf.next(t, "a watch of the new place")
			watch.sendList(51, false, "draining")
			c.expectServing(t, "a drain told by the old place to be heeded", false)
			beside := deaf.next(t, "one more beside the one that says nothing")
			if !hung.isOpen() {
				t.Error("asked again only after the call before was given up")
			}
			c.SetListSources([]discovery.SourceConfig{{Address: next.address()}})
			hung.waitClosed(t)
			beside.waitClosed(t)
			watch.sendList(52, false, "up")
			c.expectServing(t, "what the old place tells to be heeded after two moves", true)
			now := next.next(t, "a watch of the newest place")
			if now.from != "0" {
				t.Errorf("the newest place is asked from %s on", now.from)
			}
			now.sendHeader()
			now.sendList(3, true, "draining")
			c.expectServing(t, "the newest place to be heeded", false)
			watch.waitClosed(t)
			now.sendList(4, false, "up")
			c.expectServing(t, "its changes to be heeded", true)
		})
	}
}

// TestFlappingAgentIsNoLoop: an agent that answers and ends each watch is not asked without a pause.
func TestFlappingAgentIsNoLoop(t *testing.T) {
	a := startSource(t)
	startCore(t, false, a.address())
	const calls = 20
	begun := time.Now()
	for i := range calls {
		w := a.next(t, "a watch")
		w.sendHeader()
		w.sendList(i+1, true, "up")
		w.Close()
	}
	if took := time.Since(begun); took < (calls-2)*agentRetryDelay/2 {
		t.Errorf("%d calls in %v", calls, took)
	}
}

// TestSubscriptionLeavesAMoveAlone: the decision module asks for a subscription while one of the new place waits for its turn. That
// keeps its turn, and is the only one.
func TestSubscriptionLeavesAMoveAlone(t *testing.T) {
	a, next := startSource(t), startSource(t)
	c := startCore(t, true, a.address())
	a.firstWatch(t, c, 1)
	c.SetListSources([]discovery.SourceConfig{{Address: next.address()}})
	moved := next.next(t, "a watch of the new place")
	signal(c.subscribeRequested)
	testutil.WaitUntil(t, "the wish to be heard", func() bool { return len(c.subscribeRequested) == 0 })
	time.Sleep(agentAnswerTimeout / 4)
	if n := len(next.calls); n > 0 || !moved.isOpen() {
		t.Errorf("%d calls more, the first open: %v", n, moved.isOpen())
	}
	moved.sendHeader()
	moved.sendList(1, true, "draining")
	c.expectServing(t, "the new place to be heeded", false)
}

// TestMoveInAPauseIsFollowed: a second move comes while a lost watch of the first is waited with, and its own first call is lost too.
func TestMoveInAPauseIsFollowed(t *testing.T) {
	a, dead, next := startSource(t), startSource(t), startSource(t)
	c := startCore(t, true, a.address())
	a.firstWatch(t, c, 1).sendHeartbeats(t)
	c.SetListSources([]discovery.SourceConfig{{Address: dead.address()}})
	dead.next(t, "a watch of the new place").Close()
	time.Sleep(movedRetryDelay / 5)
	c.SetListSources([]discovery.SourceConfig{{Address: next.address()}})
	next.next(t, "a watch of the newest place").Close()
	again := next.next(t, "one more watch of the newest place")
	again.sendHeader()
	again.sendList(1, true, "draining")
	c.expectServing(t, "the newest place to be heeded", false)
}
