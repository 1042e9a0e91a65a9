package proxy_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/fake/consul"
	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
)

// TestReloadBetweenSources moves a proxy under load from the platform's source to Consul
// and back. Each has the same first node and another second one, so a move shows; no
// request is lost, and what only the old source had gets nothing once the new one has told.
func TestReloadBetweenSources(t *testing.T) {
	nodes, err := scriptednode.Start(scriptednode.Meta, 3, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Serve })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	port := func(i int) (host string, port int) {
		host, text, _ := strings.Cut(nodes.Address(i), ":")
		fmt.Sscan(text, &port)
		return host, port
	}
	entry := func(i int) endpointlist.Entry {
		return endpointlist.Entry{Name: fmt.Sprint("n", i), Address: nodes.Address(i), Status: "up", Weight: 1}
	}
	service := endpointlist.New([]endpointlist.Entry{entry(0), entry(1)})
	t.Cleanup(service.Close)
	at, err := service.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	c := consul.New()
	for _, i := range []int{0, 2} {
		host, port := port(i)
		c.Set(consul.Instance{Node: "host", ID: fmt.Sprint("n", i), Service: "cache", Address: host, Port: port, Meta: map[string]string{"name": fmt.Sprint("n", i)}})
	}
	agent, err := c.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	platform := fmt.Sprintf("[nodes]\ndiscovery = %q\n", at)
	catalogue := fmt.Sprintf("[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n", agent.Address())
	g := startWith(t, platform)
	testutil.Receive(t, "the first list", closed(g.server.EndpointListReady()))
	var stop atomic.Bool
	var served, refused atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			l, err := rawclient.Dial(scriptednode.Meta, g.server.Address().String(), 2*testutil.Timeout)
			if err != nil {
				t.Error(err)
				return
			}
			defer l.Socket.Close()
			for n := 0; !stop.Load(); n++ {
				if err := l.Read(fmt.Sprintf("k%d.%d", i, n%100)); err != nil {
					t.Error(err)
					return
				}
				switch a, err := l.Next(); {
				case err != nil:
					t.Errorf("lost: %v", err)
					return
				case a.Kind == request.Value:
					served.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	more := func() {
		t.Helper()
		before := served.Load()
		testutil.WaitUntil(t, "requests to be served", func() bool { return served.Load() > before+500 })
	}
	// last returns when a node was last asked.
	last := func(node int) (at time.Time) {
		for _, a := range nodes.Requests() {
			if a.Node == node {
				at = a.At
			}
		}
		return at
	}
	more()
	for range 2 {
		for _, k := range []struct {
			to       string
			old, new int
		}{{catalogue, 1, 2}, {platform, 2, 1}} {
			moved := time.Now()
			if err := g.server.Reload(g.config(k.to).Proxy); err != nil {
				t.Fatal(err)
			}
			testutil.WaitUntil(t, "the new source's node to be asked", func() bool { return last(k.new).After(moved) })
			// Nothing new half a second after the list was in force.
			time.Sleep(500 * time.Millisecond)
			quiet := time.Now()
			more()
			if at := last(k.old); at.After(quiet) {
				t.Errorf("a node that only the old source had was asked %v later", at.Sub(quiet))
			}
		}
	}
	stop.Store(true)
	clients.Wait()
	if refused.Load() > served.Load()/10 {
		t.Errorf("%d refused, %d served", refused.Load(), served.Load())
	}
}

// closed turns a channel that is closed into one that brings a value.
func closed(c <-chan struct{}) <-chan struct{} {
	out := make(chan struct{}, 1)
	go func() {
		<-c
		out <- struct{}{}
	}()
	return out
}

// TestListsThatCollapse plays at the sockets what membership decides of an agent whose
// list is empty for a moment and for good, and of one that truly loses most of its nodes.
func TestListsThatCollapse(t *testing.T) {
	nodes, err := scriptednode.Start(scriptednode.Meta, 4, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Serve })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	c := consul.New()
	for i := range 4 {
		host, text, _ := strings.Cut(nodes.Address(i), ":")
		var port int
		fmt.Sscan(text, &port)
		c.Set(consul.Instance{Node: "host", ID: fmt.Sprint("n", i), Service: "cache", Address: host, Port: port})
	}
	agent, err := c.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	g := startWith(t, fmt.Sprintf("[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n[consul.list]\nfailing_time = \"2s\"\n", agent.Address()))
	testutil.Receive(t, "the first list", closed(g.server.EndpointListReady()))
	l, err := rawclient.Dial(scriptednode.Meta, g.server.Address().String(), 4*testutil.Timeout)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Socket.Close()
	ask := func(key string) request.AnswerKind {
		t.Helper()
		if err := l.Read(key); err != nil {
			t.Fatal(err)
		}
		a, err := l.Next()
		if err != nil {
			t.Fatal(err)
		}
		return a.Kind
	}
	steady := func(d time.Duration) {
		t.Helper()
		for until, i := time.Now().Add(d), 0; time.Now().Before(until); i++ {
			if ask(fmt.Sprint("k", i%50)) != request.Value {
				t.Fatal("a request was not served")
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	steady(300 * time.Millisecond)
	queries, _, _ := agent.Stats()
	agent.SetFault(consul.EmptyList)
	testutil.WaitUntil(t, "the empty list to be told, and looked at again", func() bool {
		_, looks, _ := agent.Stats()
		return looks > 0
	})
	steady(time.Second)
	agent.SetFault(consul.NoFault)
	steady(2500 * time.Millisecond) // past the time of the doubt, which is over
	agent.SetFault(consul.EmptyList)
	testutil.WaitUntil(t, "an empty list to be believed after all", func() bool { return ask("k") == request.Busy })
	agent.SetFault(consul.NoFault)
	testutil.WaitUntil(t, "the nodes to be back", func() bool { return ask("k") == request.Value })
	if now, _, _ := agent.Stats(); now <= queries {
		t.Error("the agent was never asked")
	}
	// Three of four leave at once while their processes run on.
	for i := range 3 {
		c.Remove("host", fmt.Sprint("n", i))
	}
	var told time.Time
	testutil.WaitUntil(t, "the agent to have written it", func() bool {
		ask("k")
		at, ok := agent.LeavingWrittenAt("host", "n0")
		told = at
		return ok
	})
	steady(time.Until(told.Add(time.Second)))
	for _, a := range nodes.Requests() {
		if by := a.At.Sub(told); a.Node < 3 && by > 550*time.Millisecond {
			t.Fatalf("node %d was asked %v after the agent had written that it is gone", a.Node, by)
		}
	}
}
