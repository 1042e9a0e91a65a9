package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/testutil"
)

// watcherServer is a watcher with its HTTP server.
type watcherServer struct {
	Watcher
	watcher *Server
	server  *http.Server
}

// testFleet runs watchers and instances in this process. Each instance has its own connections.
type testFleet struct {
	t        *testing.T
	servers  []*watcherServer
	watchers []Watcher
}

var testStart = time.Now()

func clock() time.Duration { return time.Since(testStart) }

// newFleet starts a fleet of three watchers.
func newFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t}
	for i := range 3 {
		s := f.startWatcher(fmt.Sprint("w", i), "127.0.0.5:0")
		f.servers = append(f.servers, s)
		f.watchers = append(f.watchers, s.Watcher)
	}
	return f
}

func (f *testFleet) startWatcher(name, address string) *watcherServer {
	f.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	s := &watcherServer{Watcher: Watcher{name, l.Addr().String()}, watcher: NewServer("test", clock)}
	mux := http.NewServeMux()
	mux.Handle("POST "+HeartbeatPath, s.watcher)
	s.server = &http.Server{Handler: mux, ConnContext: s.watcher.ConnContext, ConnState: s.watcher.ConnState}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.server.Serve(l) })
	tasks.Go(func() { s.watcher.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		s.server.Close()
		tasks.Wait()
	})
	return s
}

// join starts an instance, and returns a function that ends it as the end of its process would.
func (f *testFleet) join(name string, incarnation uint64) (c *Client, end func()) {
	member := peer.Member{Name: name, Incarnation: incarnation}
	c = NewClient("test", member, f.watchers, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { c.Run(ctx) })
	end = sync.OnceFunc(func() {
		cancel()
		task.Wait()
	})
	f.t.Cleanup(end)
	return c, end
}

// member returns a member's state in an instance's view, and whether the instance is isolated.
func member(c *Client, name string) (s peer.MemberState, isolated bool) {
	list, isolated, _ := c.Members()
	for _, m := range list {
		if m.Name == name {
			s = m
		}
	}
	return s, isolated
}

// waitForState waits until a member has a state in the view of an instance that is not isolated.
func (f *testFleet) waitForState(c *Client, name string, want peer.State) {
	f.t.Helper()
	testutil.WaitUntil(f.t, name+" to be "+want.String(), func() bool {
		s, isolated := member(c, name)
		return s.State == want && !isolated
	})
}

// TestInstancesKnowEachOther checks the membership over real connections while instances start, end, return and are
// replaced, and a watcher ends and restarts without its state.
func TestInstancesKnowEachOther(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	b, endB := f.join("b", 2)
	f.waitForState(a, "b", peer.Alive)
	f.waitForState(b, "a", peer.Alive)
	f.servers[0].server.Close()
	endB()
	f.waitForState(a, "b", peer.Gone)
	f.startWatcher("w0", f.watchers[0].Address) // the restarted watcher has no members yet
	b, endB = f.join("b", 3)
	f.waitForState(a, "b", peer.Alive)
	b.MarkLeaving()
	testutil.WaitUntil(t, "b to be listed as leaving", func() bool {
		s, _ := member(a, "b")
		return s.Leaving
	})
	next, _ := f.join("b", 4)
	testutil.WaitUntil(t, "b to be replaced", b.IsReplaced)
	endB()
	f.waitForState(next, "b", peer.Alive)
	f.waitForState(a, "b", peer.Alive)
}

// TestIsolatedWithoutMajority checks that the last known states are kept, and reported as possibly outdated, after
// two of three watchers end.
func TestIsolatedWithoutMajority(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	_, endB := f.join("b", 2)
	f.waitForState(a, "b", peer.Alive)
	for _, s := range f.servers[:2] {
		s.watcher.Stop()
		s.server.Close()
	}
	testutil.WaitUntil(t, "a to be isolated", func() bool {
		_, isolated, _ := a.Members()
		return isolated
	})
	endB()
	time.Sleep(2 * peer.DefaultParameters.GoneAfter)
	if s, isolated := member(a, "b"); s.State == peer.Gone || !isolated {
		t.Errorf("isolated %v, b is %v", isolated, s.State)
	}
}

// TestIsolationIsAChange checks that those who wait for a change of the members are woken when an instance becomes
// isolated, and when it no longer is, although no member changes its state.
func TestIsolationIsAChange(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	f.waitForState(a, "a", peer.Alive)
	for _, s := range f.servers[:2] {
		s.watcher.Stop()
		s.server.Close()
	}
	isIsolated := func() bool {
		_, isolated := member(a, "a")
		return isolated
	}
	f.waitForChange(a, "a to be isolated", isIsolated)
	for i := range 2 {
		f.startWatcher(f.watchers[i].Name, f.watchers[i].Address)
	}
	f.waitForChange(a, "a to be back", func() bool { return !isIsolated() })
}

// waitForChange waits for reported changes of an instance until ok, whose meaning is what, returns true.
func (f *testFleet) waitForChange(c *Client, what string, ok func() bool) {
	f.t.Helper()
	for {
		_, _, changed := c.Members()
		if ok() {
			return
		}
		select {
		case <-changed:
		case <-time.After(testutil.Timeout):
			f.t.Fatalf("no change was reported within %v: %s", testutil.Timeout, what)
		}
	}
}

// TestOtherFleetsAreIgnored checks that this fleet's watchers ignore the heartbeats of instances of another fleet.
func TestOtherFleetsAreIgnored(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	foreign := NewClient(
		"other", peer.Member{Name: "s", Incarnation: 9}, f.watchers, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	foreign.Run(ctx)
	f.waitForState(a, "a", peer.Alive)
	if list, _, _ := a.Members(); len(list) != 1 {
		t.Errorf("%+v", list)
	}
	if list, isolated, _ := foreign.Members(); len(list) != 0 || !isolated {
		t.Errorf("the other fleet's instance knows %+v", list)
	}
}
