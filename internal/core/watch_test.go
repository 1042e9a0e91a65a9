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

// tolerableSilence is shorter than the silence after which a watch counts as lost.
const tolerableSilence = 2 * time.Second

// scriptedSource is a source of the endpoint list whose calls are answered by the test.
type scriptedSource struct {
	addr  string
	calls chan *sourceCall
}

// sourceCall is a call that the proxy makes to a scriptedSource.
type sourceCall struct {
	net.Conn
	watch       bool   // true for a watch, false for a fetch of the complete list
	fromVersion string // version of the latest list that the proxy has applied
}

func startSource(t *testing.T) *scriptedSource {
	t.Helper()
	source := &scriptedSource{calls: make(chan *sourceCall, 1000)}
	source.addr = testutil.ServeConnections(t, func(connection net.Conn) {
		t.Cleanup(func() { connection.Close() })
		r, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		source.calls <- &sourceCall{
			Conn:        connection,
			watch:       r.FormValue("watch") == "1",
			fromVersion: r.FormValue("from"),
		}
	})
	return source
}

// next waits for the next call; what describes the call in the error if there is none.
func (s *scriptedSource) next(t *testing.T, what string) *sourceCall {
	t.Helper()
	return testutil.Receive(t, what, s.calls)
}

// firstWatch waits for the first watch, reports over it that the node is up, and waits until the core has applied the
// list.
func (s *scriptedSource) firstWatch(t *testing.T, c *Core, index int) *sourceCall {
	t.Helper()
	first := s.next(t, "a watch")
	first.sendHeader()
	first.sendList(index, true, "up")
	c.expectServing(t, "the node to be up", true)
	return first
}

// sendHeader sends the header of a response, before any list.
func (c *sourceCall) sendHeader() { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n") }

// sendList sends a list in which node n1 has the given status.
func (c *sourceCall) sendList(index int, complete bool, status string) {
	endpoint := fmt.Sprintf(`{"name":"n1","address":"127.0.0.1:9","status":"%s"}`, status)
	fmt.Fprintf(c, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`+"\n", index, complete, endpoint)
}

// isOpen reports whether the proxy has kept the connection of a call open.
func (c *sourceCall) isOpen() bool {
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// sendHeartbeats sends empty lines until the test ends, as an idle source does.
func (c *sourceCall) sendHeartbeats(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for tick := time.NewTicker(tolerableSilence / 4); ctx.Err() == nil; <-tick.C {
			if _, err := fmt.Fprintln(c); err != nil {
				return
			}
		}
	}()
}

// waitClosed waits until the proxy has closed the connection of a call.
func (c *sourceCall) waitClosed(t *testing.T) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testutil.Timeout))
	if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Fatal("a call that is no longer needed was kept open")
	}
}

// startCore runs a core with one list source until the test ends. With onRequest, the endpoint list is requested only
// when the decision module asks for it.
func startCore(t *testing.T, onRequest bool, address string) *Core {
	t.Helper()
	return runCore(t, oneSourceConfig(onRequest, address))
}

// oneSourceConfig configures a core with one list source.
func oneSourceConfig(onRequest bool, address string) *Config {
	return &Config{
		ListSources: []discovery.SourceConfig{{Address: address}},
		MaxInFlight: 10,
		Upstream: upstream.Limits{
			MaxPerNode:     1,
			MaxConnections: 4,
			MaxPipelined:   4,
			ConnectTimeout: time.Second,
			IdleTimeout:    time.Hour,
			SilenceTimeout: time.Hour,
		},
		Policy: policy.Settings{
			ProxyCount:         1,
			EndpointsOnRequest: onRequest,
			Classes:            []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: time.Second}},
			Limits:             policy.Limits{MaxAttempts: 3},
			Rules:              policy.Rules{MaxPollInterval: 400 * time.Millisecond},
		},
	}
}

// runCore runs a core until the test ends.
func runCore(t *testing.T, config *Config) *Core {
	t.Helper()
	c, err := New(config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		c.Run(ctx)
	}()
	go func() { // the proxy checks the clocks periodically, too
		for tick := time.NewTicker(pause.DefaultLimits.CheckInterval); ctx.Err() == nil; <-tick.C {
			c.CheckClocks()
		}
	}()
	t.Cleanup(func() {
		stop()
		testutil.Receive(t, "the end of Core.Run", notifyClosed(ran))
	})
	return c
}

// notifyClosed returns a channel that receives true once c is closed.
func notifyClosed(c <-chan struct{}) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		<-c
		out <- true
	}()
	return out
}

// expectServing waits until the core has a serving node, or until it has none if serves is false.
func (c *Core) expectServing(t *testing.T, what string, serves bool) {
	t.Helper()
	testutil.WaitUntil(t, what, func() bool { return c.HasServingNodes() == serves })
}

// TestSilentWatchIsReopened checks that a watch that falls silent, ends, is reset or stops in the middle of an object
// is reopened, whether lists are pushed or requested. The new watch must report the drain that the old one missed, and
// the return of the node.
func TestSilentWatchIsReopened(t *testing.T) {
	for name, end := range map[string]func(*sourceCall){
		"silent": func(*sourceCall) {},
		"ended":  func(c *sourceCall) { c.Close() },
		"reset": func(c *sourceCall) {
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"mid-object": func(c *sourceCall) {
			fmt.Fprint(c, `{"index":2,"snapshot":false,"endpoints":[{"name":"n1",`)
		},
	} {
		for _, onRequest := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on request %v", name, onRequest), func(t *testing.T) {
				t.Parallel()
				source := startSource(t)
				c := startCore(t, onRequest, source.addr)
				first := source.firstWatch(t, c, 1)
				end(first)
				second := source.next(t, "a new watch")
				if !second.watch || second.fromVersion != "1" {
					t.Errorf("the new call: watch %v from %s, want true from 1", second.watch, second.fromVersion)
				}
				second.sendHeader()
				second.sendList(2, false, "draining")
				c.expectServing(t, "the drain to take effect", false)
				second.sendList(3, false, "up")
				c.expectServing(t, "the return to take effect", true)
			})
		}
	}
}

// TestSilentAgentIsRetriedAtBoundedRate checks that an agent that does not answer, for example while discovery is down,
// is called repeatedly, but at a limited rate and with a limited number of open calls. The list is taken from the call
// that the agent answers, and the other calls end.
func TestSilentAgentIsRetriedAtBoundedRate(t *testing.T) {
	source := startSource(t)
	c := startCore(t, false, source.addr)
	first := source.firstWatch(t, c, 1)
	first.Close()
	started := time.Now()
	var calls []*sourceCall
	for i := range 2 * maxSubscriptions {
		calls = append(calls, source.next(t, "one more watch"))
		if i > 0 && !calls[i-1].isOpen() {
			t.Error("the previous call was closed before the agent was called again")
		}
	}
	if took := time.Since(started); took < time.Duration(len(calls)-2)*agentAnswerTimeout {
		t.Errorf("%d calls in only %v", len(calls), took)
	}
	for _, old := range calls[:maxSubscriptions] {
		old.waitClosed(t)
	}
	last := calls[len(calls)-1]
	last.sendHeader()
	last.sendList(2, false, "draining")
	c.expectServing(t, "the drain to take effect", false)
	for _, other := range calls[:len(calls)-1] {
		other.waitClosed(t)
	}
	last.sendList(3, false, "up")
	c.expectServing(t, "the return to take effect", true)
}

// TestAgentWithoutChangesIsNotRetried checks that an agent that answers a watch but reports no change is not called
// again.
func TestAgentWithoutChangesIsNotRetried(t *testing.T) {
	source := startSource(t)
	c := startCore(t, false, source.addr)
	first := source.firstWatch(t, c, 1)
	first.Close()
	second := source.next(t, "a new watch")
	second.sendHeader()
	for range 10 {
		time.Sleep(agentAnswerTimeout / 4)
		fmt.Fprintln(second)
	}
	if n := len(source.calls); n > 0 {
		t.Errorf("the agent was called %d more times, want none", n)
	}
	second.sendList(2, false, "draining")
	c.expectServing(t, "the drain to take effect", false)
}

// TestOutdatedListIsIgnored checks that a complete list that was requested before a watch reported a drain, and arrives
// after the report, does not undo the drain (guarantee 4).
func TestOutdatedListIsIgnored(t *testing.T) {
	for _, status := range []string{"draining", "removed"} {
		source := startSource(t)
		c := startCore(t, false, source.addr)
		watch := source.firstWatch(t, c, 8)
		signal(c.fetchRequested)
		list := source.next(t, "a fetch of the list")
		if list.watch {
			t.Fatal("the source received a watch, want a fetch")
		}
		watch.sendList(9, false, status)
		c.expectServing(t, "the drain to take effect", false)
		list.sendHeader()
		list.sendList(8, true, "up")
		list.Close()
		signal(c.fetchRequested)
		list = source.next(t, "one more fetch of the list") // fetches are sequential: the previous list was handled
		if c.HasServingNodes() {
			t.Errorf("an outdated list has undone the status %s of the node", status)
		}
		list.sendHeader()
		list.sendList(10, true, "up")
		list.Close()
		c.expectServing(t, "a newer list to take effect", true)
		// A restarted service begins again with a low version.
		watch.Close()
		watch = source.next(t, "a new watch")
		watch.sendHeader()
		watch.sendList(2, true, "draining")
		c.expectServing(t, "the list of a restarted service to take effect", false)
		watch.sendList(3, false, "up")
		c.expectServing(t, "its changes to take effect", true)
	}
}

// TestSourceChangeKeepsReportingWatch checks that the watch of the old source is kept until a new source has reported a
// list: while the new source does not answer, and when the source changes again before the new one has answered.
// Otherwise a drain that the old source announces would be missed.
func TestSourceChangeKeepsReportingWatch(t *testing.T) {
	for _, onRequest := range []bool{false, true} {
		t.Run(fmt.Sprint("on request ", onRequest), func(t *testing.T) {
			t.Parallel()
			old, silent, newest := startSource(t), startSource(t), startSource(t)
			c := startCore(t, onRequest, old.addr)
			watch := old.firstWatch(t, c, 50)
			watch.sendHeartbeats(t)
			c.SetListSources([]discovery.SourceConfig{{Address: silent.addr}})
			unanswered := silent.next(t, "a watch of the new source")
			watch.sendList(51, false, "draining")
			c.expectServing(t, "a drain reported by the old source to take effect", false)
			parallel := silent.next(t, "a watch in parallel to the unanswered one")
			if !unanswered.isOpen() {
				t.Error("the previous call was closed before the source was called again")
			}
			c.SetListSources([]discovery.SourceConfig{{Address: newest.addr}})
			unanswered.waitClosed(t)
			parallel.waitClosed(t)
			watch.sendList(52, false, "up")
			c.expectServing(t, "a report of the old source to take effect after two changes", true)
			current := newest.next(t, "a watch of the newest source")
			if current.fromVersion != "0" {
				t.Errorf("the newest source is watched from version %s on, want 0", current.fromVersion)
			}
			current.sendHeader()
			current.sendList(3, true, "draining")
			c.expectServing(t, "the newest source to take effect", false)
			watch.waitClosed(t)
			current.sendList(4, false, "up")
			c.expectServing(t, "its changes to take effect", true)
		})
	}
}

// TestFlappingAgentIsNotRetriedInALoop checks that an agent that answers each watch and ends it immediately is called
// again only after a delay.
func TestFlappingAgentIsNotRetriedInALoop(t *testing.T) {
	source := startSource(t)
	startCore(t, false, source.addr)
	const calls = 20
	started := time.Now()
	for i := range calls {
		w := source.next(t, "a watch")
		w.sendHeader()
		w.sendList(i+1, true, "up")
		w.Close()
	}
	if took := time.Since(started); took < (calls-2)*agentRetryDelay/2 {
		t.Errorf("%d calls in only %v", calls, took)
	}
}

// TestSubscribeDuringSourceChangeKeepsItsWatch checks that a watch that is queued at a new source keeps its place in
// the queue, and stays the only watch of that source, when the decision module requests a watch.
func TestSubscribeDuringSourceChangeKeepsItsWatch(t *testing.T) {
	old, newest := startSource(t), startSource(t)
	c := startCore(t, true, old.addr)
	old.firstWatch(t, c, 1)
	c.SetListSources([]discovery.SourceConfig{{Address: newest.addr}})
	queued := newest.next(t, "a watch of the new source")
	signal(c.subscribeRequested)
	testutil.WaitUntil(t, "the request to be received", func() bool { return len(c.subscribeRequested) == 0 })
	time.Sleep(agentAnswerTimeout / 4)
	if n := len(newest.calls); n > 0 || !queued.isOpen() {
		t.Errorf("%d more calls, want none; first call open: %v, want true", n, queued.isOpen())
	}
	queued.sendHeader()
	queued.sendList(1, true, "draining")
	c.expectServing(t, "the new source to take effect", false)
}

// TestSourceChangeDuringRetryDelayIsFollowed checks that a second change of the source takes effect if it comes during
// the retry delay after the first new source's watch was lost, even if the second new source loses its first watch too.
func TestSourceChangeDuringRetryDelayIsFollowed(t *testing.T) {
	old, dead, newest := startSource(t), startSource(t), startSource(t)
	c := startCore(t, true, old.addr)
	old.firstWatch(t, c, 1).sendHeartbeats(t)
	c.SetListSources([]discovery.SourceConfig{{Address: dead.addr}})
	dead.next(t, "a watch of the new source").Close()
	time.Sleep(newSourceRetryDelay / 5)
	c.SetListSources([]discovery.SourceConfig{{Address: newest.addr}})
	newest.next(t, "a watch of the newest source").Close()
	again := newest.next(t, "one more watch of the newest source")
	again.sendHeader()
	again.sendList(1, true, "draining")
	c.expectServing(t, "the newest source to take effect", false)
}
