package proxy_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wrenroute/internal/request"
	"wrenroute/internal/standin/caller"
	"wrenroute/internal/standin/consul"
	"wrenroute/internal/standin/list"
	"wrenroute/internal/standin/script"
	"wrenroute/internal/testwait"
)

// TestReloadBetweenSources moves a proxy under load from the platform's source to Consul
// and back. Each has the same first node and another second one, so a move shows; no
// request is lost, and what only the old source had gets nothing once the new one has told.
func TestReloadBetweenSources(t *testing.T) {
	nodes, err := script.Start(script.Meta, 3, func(int, script.Asked) script.Reaction { return script.Serve })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	port := func(i int) (host string, port int) {
		host, text, _ := strings.Cut(nodes.Address(i), ":")
		fmt.Sscan(text, &port)
		return host, port
	}
	entry := func(i int) list.Entry {
		return list.Entry{Name: fmt.Sprint("n", i), Address: nodes.Address(i), Status: "up", Weight: 1}
	}
	service := list.New([]list.Entry{entry(0), entry(1)})
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
	testwait.Receive(t, "the first list", closed(g.server.Known()))
	var stop atomic.Bool
	var served, refused atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			l, err := caller.Dial(script.Meta, g.server.Address().String(), 2*testwait.Patience)
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
		testwait.Until(t, "requests to be served", func() bool { return served.Load() > before+500 })
	}
	// last returns when a node was last asked.
	last := func(node int) (at time.Time) {
		for _, a := range nodes.Asked() {
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
			testwait.Until(t, "the new source's node to be asked", func() bool { return last(k.new).After(moved) })
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
