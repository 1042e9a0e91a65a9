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

// post is a watcher with a server of its own.
type post struct {
	Watcher
	station *Server
	server  *http.Server
}

// fleet is watchers and instances in this process, each instance with connections of its own.
type fleet struct {
	t     *testing.T
	posts []*post
	list  []Watcher
}

var begun = time.Now()

func clock() time.Duration { return time.Since(begun) }

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t}
	for i := range 3 {
		p := f.open(fmt.Sprint("w", i), "127.0.0.5:0")
		f.posts, f.list = append(f.posts, p), append(f.list, p.Watcher)
	}
	return f
}

func (f *fleet) open(name, at string) *post {
	f.t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		f.t.Fatal(err)
	}
	p := &post{Watcher: Watcher{name, l.Addr().String()}, station: NewServer("test", clock)}
	mux := http.NewServeMux()
	mux.Handle("POST "+HeartbeatPath, p.station)
	p.server = &http.Server{Handler: mux, ConnContext: p.station.ConnContext, ConnState: p.station.ConnState}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { p.server.Serve(l) })
	tasks.Go(func() { p.station.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		p.server.Close()
		tasks.Wait()
	})
	return p
}

// join starts an instance, and returns what ends it as the end of its process does.
func (f *fleet) join(name string, run uint64) (*Client, func()) {
	i := NewClient("test", peer.Member{Name: name, Incarnation: run}, f.list, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { i.Run(ctx) })
	end := sync.OnceFunc(func() {
		cancel()
		task.Wait()
	})
	f.t.Cleanup(end)
	return i, end
}

// sees waits until an instance holds another to be in a state.
func (f *fleet) sees(i *Client, name string, s peer.State) {
	f.t.Helper()
	testutil.WaitUntil(f.t, name+" to be "+s.String(), func() bool {
		list, blind, _ := i.Members()
		for _, m := range list {
			if m.Name == name && m.State == s {
				return !blind
			}
		}
		return false
	})
}

// TestInstancesKnowEachOther has instances come, end and come back, and a watcher end and forget.
func TestInstancesKnowEachOther(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	b, endB := f.join("b", 2)
	f.sees(a, "b", peer.Alive)
	f.sees(b, "a", peer.Alive)
	f.posts[0].server.Close()
	endB()
	f.sees(a, "b", peer.Gone)
	f.open("w0", f.list[0].Address) // it knows nobody
	b, endB = f.join("b", 3)
	f.sees(a, "b", peer.Alive)
	b.MarkLeaving()
	testutil.WaitUntil(t, "b to be known to leave", func() bool {
		list, _, _ := a.Members()
		for _, m := range list {
			if m.Name == "b" && m.Leaving {
				return true
			}
		}
		return false
	})
	next, _ := f.join("b", 4)
	testutil.WaitUntil(t, "b to be replaced", b.IsReplaced)
	endB()
	f.sees(next, "b", peer.Alive)
	f.sees(a, "b", peer.Alive)
}

// TestBlindWithoutMajority ends two of three watchers: what was known last is kept, and known to be old.
func TestBlindWithoutMajority(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	_, endB := f.join("b", 2)
	f.sees(a, "b", peer.Alive)
	for _, p := range f.posts[:2] {
		p.station.Stop()
		p.server.Close()
	}
	testutil.WaitUntil(t, "a to be blind", func() bool {
		_, blind, _ := a.Members()
		return blind
	})
	endB()
	time.Sleep(2 * peer.DefaultParameters.GoneAfter)
	list, blind, _ := a.Members()
	for _, m := range list {
		if m.Name == "b" && m.State == peer.Gone || !blind {
			t.Errorf("blind %v, b is %v", blind, m.State)
		}
	}
}

// TestStrangersCountForNothing has an instance of another fleet beat.
func TestStrangersCountForNothing(t *testing.T) {
	f := newFleet(t)
	a, _ := f.join("a", 1)
	stranger := NewClient("other", peer.Member{Name: "s", Incarnation: 9}, f.list, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	stranger.Run(ctx)
	f.sees(a, "a", peer.Alive)
	if list, _, _ := a.Members(); len(list) != 1 {
		t.Errorf("%+v", list)
	}
	if list, blind, _ := stranger.Members(); len(list) != 0 || !blind {
		t.Errorf("the stranger knows %+v", list)
	}
}
