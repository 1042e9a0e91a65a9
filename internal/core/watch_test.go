package core

import (
	"fmt"
	"net"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/testutil"
)

// tolerableSilence is shorter than the silence after which a watch counts as lost.
const tolerableSilence = 2 * time.Second

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

// notifiedWithin is the time after which the proxy counts as notified of a change that a silent watch has missed, or
// that a service which can be reached could have told.
const notifiedWithin = 6 * time.Second

// TestUnansweredWatchIsOpenedAgainInTime guards against a drain that is missed because the service accepts a watch and
// never answers it, or falls silent right after the header: the proxy must know the drain in time.
func TestUnansweredWatchIsOpenedAgainInTime(t *testing.T) {
	for name, answer := range map[string]func(*sourceCall){
		"never answered":    func(*sourceCall) {},
		"part of a header":  func(c *sourceCall) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConn") },
		"silent after head": (*sourceCall).sendHeader,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := startSource(t)
			c := startCore(t, true, source.addr)
			source.firstWatch(t, c, 1).Close()
			silent := source.next(t, "a watch that falls silent")
			silentSince := time.Now()
			answer(silent)
			next := source.next(t, "one more watch")
			if took := time.Since(silentSince); took > notifiedWithin {
				t.Errorf("opened again %v after the silence began, want at most %v", took, notifiedWithin)
			}
			next.sendHeader()
			next.sendList(2, false, "draining")
			c.expectServing(t, "the drain to take effect", false)
			silent.waitClosed(t)
		})
	}
}

// TestServiceWithoutChangesIsNotRetried checks that a service that answers a watch but reports no change is not called
// again, in parallel or otherwise.
func TestServiceWithoutChangesIsNotRetried(t *testing.T) {
	t.Parallel()
	source := startSource(t)
	c := startCore(t, true, source.addr)
	source.firstWatch(t, c, 1).Close()
	second := source.next(t, "a new watch")
	second.sendHeader()
	second.sendHeartbeats(t)
	time.Sleep(serviceAnswerTimeout + tolerableSilence)
	if n := len(source.calls); n > 0 {
		t.Errorf("the service was called %d more times, want none", n)
	}
	second.sendList(2, false, "draining")
	c.expectServing(t, "the drain to take effect", false)
}
