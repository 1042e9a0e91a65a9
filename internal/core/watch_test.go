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

// silence is less than what passes for the loss of a watch.
const silence = 2 * time.Second

// agent is a source of the list that does what a test tells it, call by call.
type agent struct {
	listener net.Listener
	calls    chan *inquiry
}

// inquiry is a call of it, a watch or one for the whole list.
type inquiry struct {
	net.Conn
	watch bool
	from  string
}

func startAgent(t *testing.T) *agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{listener: l, calls: make(chan *inquiry, 1000)}
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
				a.calls <- &inquiry{Conn: c, watch: r.FormValue("watch") == "1", from: r.FormValue("from")}
			}()
		}
	}()
	return a
}

func (a *agent) address() string { return a.listener.Addr().String() }

// next returns the next call.
func (a *agent) next(t *testing.T, what string) *inquiry {
	t.Helper()
	return testutil.Receive(t, what, a.calls)
}

// up takes the first watch, and tells by it that the node is up.
func (a *agent) up(t *testing.T, c *Core, index int) *inquiry {
	t.Helper()
	first := a.next(t, "a watch")
	first.head()
	first.tell(index, true, "up")
	c.expect(t, "the node to be up", true)
	return first
}

// head answers a call, with nothing behind yet.
func (c *inquiry) head() { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n") }

// tell writes a list in which n1 has a status.
func (c *inquiry) tell(index int, whole bool, status string) {
	fmt.Fprintf(c, `{"index":%d,"snapshot":%v,"endpoints":[{"name":"n1","address":"127.0.0.1:9","status":"%s"}]}`+"\n", index, whole, status)
}

// open tells that the proxy still waits for an answer to a call.
func (c *inquiry) open() bool {
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}

// beat gives signs of life from now on, as an idle watch does.
func (c *inquiry) beat(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for tick := time.NewTicker(silence / 4); ctx.Err() == nil; <-tick.C {
			if _, err := fmt.Fprintln(c); err != nil {
				return
			}
		}
	}()
}

// gone waits until the proxy has ended a call.
func (c *inquiry) gone(t *testing.T) {
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

func (c *Core) expect(t *testing.T, what string, serves bool) {
	t.Helper()
	testutil.WaitUntil(t, what, func() bool { return c.HasServingNodes() == serves })
}

// TestSilentWatchIsOpenedAnew: a watch that falls silent, ends, is reset or stops in the middle of an object is opened
// anew, whether lists are pushed or asked for; a drain that it missed is heeded, and so is the return.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for name, end := range map[string]func(*inquiry){
		"silent":     func(*inquiry) {},
		"ended":      func(c *inquiry) { c.Close() },
		"reset":      func(c *inquiry) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"mid-object": func(c *inquiry) { fmt.Fprint(c, `{"index":2,"snapshot":false,"endpoints":[{"name":"n1",`) },
	} {
		for _, ask := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asked %v", name, ask), func(t *testing.T) {
				t.Parallel()
				a := startAgent(t)
				c := startCore(t, ask, a.address())
				first := a.up(t, c, 1)
				end(first)
				second := a.next(t, "a new watch")
				if !second.watch || second.from != "1" {
					t.Errorf("the new call: watch %v from %s", second.watch, second.from)
				}
				second.head()
				second.tell(2, false, "draining")
				c.expect(t, "the drain to be heeded", false)
				second.tell(3, false, "up")
				c.expect(t, "the return to be heeded", true)
			})
		}
	}
}

// TestSilentAgentIsAskedOn: an agent that says nothing, as while discovery is down, is asked again and again, but not in a
// storm; what it has once it speaks is learnt from whichever call it answers, and the others end.
func TestSilentAgentIsAskedOn(t *testing.T) {
	a := startAgent(t)
	c := startCore(t, false, a.address())
	first := a.up(t, c, 1)
	first.Close()
	begun := time.Now()
	var calls []*inquiry
	for i := range 2 * mostWatches {
		calls = append(calls, a.next(t, "one more watch"))
		if i > 0 && !calls[i-1].open() {
			t.Error("asked again only after the call before was given up")
		}
	}
	if took := time.Since(begun); took < time.Duration(len(calls)-2)*agentWait {
		t.Errorf("%d calls in %v", len(calls), took)
	}
	for _, old := range calls[:mostWatches] {
		old.gone(t) // the number that are open is bounded
	}
	last := calls[len(calls)-1]
	last.head()
	last.tell(2, false, "draining")
	c.expect(t, "the drain to be heeded", false)
	for _, other := range calls[:len(calls)-1] {
		other.gone(t)
	}
	last.tell(3, false, "up")
	c.expect(t, "the return to be heeded", true)
}

// TestAgentWithNothingNewIsBelieved: an agent that answers, and has nothing to tell, is not asked again.
func TestAgentWithNothingNewIsBelieved(t *testing.T) {
	a := startAgent(t)
	c := startCore(t, false, a.address())
	first := a.up(t, c, 1)
	first.Close()
	second := a.next(t, "a new watch")
	second.head()
	for range 10 {
		time.Sleep(agentWait / 4)
		fmt.Fprintln(second)
	}
	if n := len(a.calls); n > 0 {
		t.Errorf("asked %d times more", n)
	}
	second.tell(2, false, "draining")
	c.expect(t, "the drain to be heeded", false)
}

// TestOlderListUndoesNothing: a whole list that was asked for before a watch told a drain comes behind it.
func TestOlderListUndoesNothing(t *testing.T) {
	for _, status := range []string{"draining", "removed"} {
		a := startAgent(t)
		c := startCore(t, false, a.address())
		watch := a.up(t, c, 8)
		post(c.fetch)
		list := a.next(t, "a call for the list")
		if list.watch {
			t.Fatal("a watch where a call for the list was due")
		}
		watch.tell(9, false, status)
		c.expect(t, "the drain to be heeded", false)
		list.head()
		list.tell(8, true, "up")
		list.Close()
		post(c.fetch)
		list = a.next(t, "one more call for the list") // calls come in turn: the one before is taken
		if c.HasServingNodes() {
			t.Errorf("a list from before it has undone that the node is %s", status)
		}
		list.head()
		list.tell(10, true, "up")
		list.Close()
		c.expect(t, "a newer list to be heeded", true)
		// A service that has begun anew counts from the start.
		watch.Close()
		watch = a.next(t, "a new watch")
		watch.head()
		watch.tell(2, true, "draining")
		c.expect(t, "the list of a service that has begun anew to be heeded", false)
		watch.tell(3, false, "up")
		c.expect(t, "its changes to be heeded", true)
	}
}

// TestMovesKeepWhatSpeaks: the watch of the old place is heard until a new one has told something: through a new place that
// says nothing or refuses, and through a second move in the middle of the first.
func TestMovesKeepWhatSpeaks(t *testing.T) {
	for _, ask := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", ask), func(t *testing.T) {
			t.Parallel()
			old, deaf, next := startAgent(t), startAgent(t), startAgent(t)
			c := startCore(t, ask, old.address())
			watch := old.up(t, c, 50)
			watch.beat(t)
			c.SetListSources([]discovery.SourceConfig{{Address: deaf.address()}})
			hung := deaf.next(t, "a watch of the new place")
			watch.tell(51, false, "draining")
			c.expect(t, "a drain told by the old place to be heeded", false)
			beside := deaf.next(t, "one more beside the one that says nothing")
			if !hung.open() {
				t.Error("asked again only after the call before was given up")
			}
			c.SetListSources([]discovery.SourceConfig{{Address: next.address()}})
			hung.gone(t)
			beside.gone(t)
			watch.tell(52, false, "up")
			c.expect(t, "what the old place tells to be heeded after two moves", true)
			now := next.next(t, "a watch of the newest place")
			if now.from != "0" {
				t.Errorf("the newest place is asked from %s on", now.from)
			}
			now.head()
			now.tell(3, true, "draining")
			c.expect(t, "the newest place to be heeded", false)
			watch.gone(t)
			now.tell(4, false, "up")
			c.expect(t, "its changes to be heeded", true)
		})
	}
}

// TestFlappingAgentIsNoLoop: an agent that answers and ends each watch is not asked without a pause.
func TestFlappingAgentIsNoLoop(t *testing.T) {
	a := startAgent(t)
	startCore(t, false, a.address())
	const calls = 20
	begun := time.Now()
	for i := range calls {
		w := a.next(t, "a watch")
		w.head()
		w.tell(i+1, true, "up")
		w.Close()
	}
	if took := time.Since(begun); took < (calls-2)*agentPause/2 {
		t.Errorf("%d calls in %v", calls, took)
	}
}

// TestSubscriptionLeavesAMoveAlone: the decision module asks for a subscription while one of the new place waits for its turn. That
// keeps its turn, and is the only one.
func TestSubscriptionLeavesAMoveAlone(t *testing.T) {
	a, next := startAgent(t), startAgent(t)
	c := startCore(t, true, a.address())
	a.up(t, c, 1)
	c.SetListSources([]discovery.SourceConfig{{Address: next.address()}})
	moved := next.next(t, "a watch of the new place")
	post(c.subscribe)
	testutil.WaitUntil(t, "the wish to be heard", func() bool { return len(c.subscribe) == 0 })
	time.Sleep(agentWait / 4)
	if n := len(next.calls); n > 0 || !moved.open() {
		t.Errorf("%d calls more, the first open: %v", n, moved.open())
	}
	moved.head()
	moved.tell(1, true, "draining")
	c.expect(t, "the new place to be heeded", false)
}

// TestMoveInAPauseIsFollowed: a second move comes while a lost watch of the first is waited with, and its own first call is lost too.
func TestMoveInAPauseIsFollowed(t *testing.T) {
	a, dead, next := startAgent(t), startAgent(t), startAgent(t)
	c := startCore(t, true, a.address())
	a.up(t, c, 1).beat(t)
	c.SetListSources([]discovery.SourceConfig{{Address: dead.address()}})
	dead.next(t, "a watch of the new place").Close()
	time.Sleep(movedPause / 5)
	c.SetListSources([]discovery.SourceConfig{{Address: next.address()}})
	next.next(t, "a watch of the newest place").Close()
	again := next.next(t, "one more watch of the newest place")
	again.head()
	again.tell(1, true, "draining")
	c.expect(t, "the newest place to be heeded", false)
}
