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

// drainGrace is the default of the setting drain_grace: how long after its removal from the list a node may still get
// new requests.
const drainGrace = 500 * time.Millisecond

// startConsul starts an agent whose catalogue lists some nodes as n0, n1 and so on.
func startConsul(t *testing.T, nodes *scriptednode.Nodes, numbers ...int) (*consul.Catalogue, *consul.Agent) {
	t.Helper()
	catalogue := consul.New()
	for _, i := range numbers {
		host, text, _ := strings.Cut(nodes.Address(i), ":")
		var port int
		fmt.Sscan(text, &port)
		name := fmt.Sprint("n", i)
		catalogue.Set(consul.Instance{
			Node: "host", ID: name, Service: "cache", Address: host, Port: port, Meta: map[string]string{"name": name},
		})
	}
	agent, err := catalogue.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return catalogue, agent
}

// startEndpointList starts a list service with some nodes as n0, n1 and so on, and returns its address.
func startEndpointList(t *testing.T, nodes *scriptednode.Nodes, numbers ...int) string {
	t.Helper()
	var entries []endpointlist.Entry
	for _, i := range numbers {
		entries = append(entries, endpointlist.Entry{
			Name: fmt.Sprint("n", i), Address: nodes.Address(i), Status: "up", Weight: 1,
		})
	}
	service := endpointlist.New(entries)
	t.Cleanup(service.Close)
	address, err := service.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// lastRequest returns when a node last received a request, the zero time for never.
func lastRequest(nodes *scriptednode.Nodes, number int) (at time.Time) {
	for _, r := range nodes.Requests() {
		if r.Node == number {
			at = r.ReceivedAt
		}
	}
	return at
}

// loadClients are clients that send reads one right after another.
type loadClients struct {
	t                *testing.T
	served, rejected atomic.Int64
	stopping         atomic.Bool
	running          sync.WaitGroup
}

func startLoad(t *testing.T, p *testProxy, count int) *loadClients {
	l := &loadClients{t: t}
	for i := range count {
		l.running.Go(func() { l.run(p, i) })
	}
	return l
}

func (l *loadClients) run(p *testProxy, number int) {
	c, err := rawclient.Dial(scriptednode.Meta, p.server.Address().String(), 2*testutil.Timeout)
	if err != nil {
		l.t.Error(err)
		return
	}
	defer c.Socket.Close()
	for n := 0; !l.stopping.Load(); n++ {
		if err := c.Read(fmt.Sprintf("k%d.%d", number, n%100)); err != nil {
			l.t.Error(err)
			return
		}
		switch response, err := c.Next(); {
		case err != nil:
			l.t.Errorf("request lost: %v", err)
			return
		case response.Kind == request.Value:
			l.served.Add(1)
		default:
			l.rejected.Add(1)
		}
	}
}

// awaitServed waits until more than 500 requests have been served since its call.
func (l *loadClients) awaitServed() {
	l.t.Helper()
	before := l.served.Load()
	testutil.WaitUntil(l.t, "requests to be served", func() bool { return l.served.Load() > before+500 })
}

func (l *loadClients) stop() {
	l.stopping.Store(true)
	l.running.Wait()
}

// TestReloadBetweenSources checks that no request is lost when a proxy under load is switched from the platform's
// source to Consul and back, and that a node that only the former source lists gets no request from drainGrace after
// the new source has delivered its list. Both sources list the same first node and different second ones, which shows
// the switch.
func TestReloadBetweenSources(t *testing.T) {
	nodes := startScriptedNodes(t, scriptednode.Meta, 3)
	_, agent := startConsul(t, nodes, 0, 2)
	platform := fmt.Sprintf("[nodes]\ndiscovery = %q\n", startEndpointList(t, nodes, 0, 1))
	catalogue := fmt.Sprintf("[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n", agent.Address())
	p := startTestProxy(t, "", platform)
	testutil.Receive(t, "the first list", valueOnClose(p.server.EndpointListReady()))
	load := startLoad(t, p, 4)
	load.awaitServed()
	for range 2 {
		for _, move := range []struct {
			to                  string
			formerNode, newNode int
		}{{catalogue, 1, 2}, {platform, 2, 1}} {
			movedAt := time.Now()
			p.reload(move.to)
			testutil.WaitUntil(t, "a request to the node of the new source", func() bool {
				return lastRequest(nodes, move.newNode).After(movedAt)
			})
			time.Sleep(drainGrace) // the new list already applies
			quietFrom := time.Now()
			load.awaitServed()
			if at := lastRequest(nodes, move.formerNode); at.After(quietFrom) {
				t.Errorf("a node that only the former source lists got a request %v later", at.Sub(quietFrom))
			}
		}
	}
	load.stop()
	if served, rejected := load.served.Load(), load.rejected.Load(); rejected > served/10 {
		t.Errorf("%d rejected, %d served", rejected, served)
	}
}

// valueOnClose returns a channel that receives a value when c is closed.
func valueOnClose(c <-chan struct{}) <-chan struct{} {
	out := make(chan struct{}, 1)
	go func() {
		<-c
		out <- struct{}{}
	}()
	return out
}

// sequentialClient is a client that sends one read after another.
type sequentialClient struct {
	t *testing.T
	*rawclient.Client
}

func dialSequential(t *testing.T, p *testProxy) sequentialClient {
	t.Helper()
	c, err := rawclient.Dial(scriptednode.Meta, p.server.Address().String(), 4*testutil.Timeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Socket.Close() })
	return sequentialClient{t, c}
}

// get reads a key and returns the kind of the response.
func (c sequentialClient) get(key string) request.AnswerKind {
	c.t.Helper()
	if err := c.Read(key); err != nil {
		c.t.Fatal(err)
	}
	response, err := c.Next()
	if err != nil {
		c.t.Fatal(err)
	}
	return response.Kind
}

// expectServed expects all reads to be served for the duration d.
func (c sequentialClient) expectServed(d time.Duration) {
	c.t.Helper()
	for until, i := time.Now().Add(d), 0; time.Now().Before(until); i++ {
		if c.get(fmt.Sprint("k", i%50)) != request.Value {
			c.t.Fatal("a request was not served")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// TestCollapsedListsAtSockets checks, by the requests that nodes receive, how membership handles an agent whose list is
// empty for a moment and then permanently, and an agent that correctly loses most of its nodes.
func TestCollapsedListsAtSockets(t *testing.T) {
	nodes := startScriptedNodes(t, scriptednode.Meta, 4)
	catalogue, agent := startConsul(t, nodes, 0, 1, 2, 3)
	p := startTestProxy(t, "", fmt.Sprintf(
		"[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n[consul.list]\nfailing_time = \"2s\"\n", agent.Address()))
	testutil.Receive(t, "the first list", valueOnClose(p.server.EndpointListReady()))
	c := dialSequential(t, p)
	c.expectServed(300 * time.Millisecond)
	expectEmptyListIsConfirmed(t, agent, c)
	expectRemovalWithinDrainGrace(t, nodes, catalogue, agent, c)
}

// expectEmptyListIsConfirmed makes the list empty for a second, which changes nothing, and then permanently.
func expectEmptyListIsConfirmed(t *testing.T, agent *consul.Agent, c sequentialClient) {
	t.Helper()
	queries, _, _ := agent.Stats()
	agent.SetFault(consul.EmptyList)
	testutil.WaitUntil(t, "the empty list to be fetched again", func() bool {
		_, consistentQueries, _ := agent.Stats()
		return consistentQueries > 0
	})
	c.expectServed(time.Second)
	agent.SetFault(consul.NoFault)
	c.expectServed(2500 * time.Millisecond) // longer than failing_time
	agent.SetFault(consul.EmptyList)
	testutil.WaitUntil(t, "the empty list to be effective after all", func() bool { return c.get("k") == request.Busy })
	agent.SetFault(consul.NoFault)
	testutil.WaitUntil(t, "the nodes to be back", func() bool { return c.get("k") == request.Value })
	if now, _, _ := agent.Stats(); now <= queries {
		t.Error("the agent was never queried")
	}
}

// expectRemovalWithinDrainGrace removes three of four nodes at once while their processes keep running.
func expectRemovalWithinDrainGrace(
	t *testing.T, nodes *scriptednode.Nodes, catalogue *consul.Catalogue, agent *consul.Agent, c sequentialClient,
) {
	t.Helper()
	const removed, slack = 3, 50 * time.Millisecond
	for i := range removed {
		catalogue.Remove("host", fmt.Sprint("n", i))
	}
	var writtenAt time.Time
	testutil.WaitUntil(t, "the agent to have written the removal", func() bool {
		c.get("k")
		at, ok := agent.UnavailableReportedAt("host", "n0")
		writtenAt = at
		return ok
	})
	c.expectServed(time.Until(writtenAt.Add(time.Second)))
	for _, r := range nodes.Requests() {
		if after := r.ReceivedAt.Sub(writtenAt); r.Node < removed && after > drainGrace+slack {
			t.Fatalf("node %d got a request %v after the agent had written that it is gone", r.Node, after)
		}
	}
}
