package catalogue

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/fake/consul"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// manyKeys returns enough keys that a client that reads them in parallel uses several proxies.
func manyKeys() (keys []string) {
	for i := range 256 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	return keys
}

// instance returns the registration of a proxy.
func instance(nodes *scriptednode.Nodes, i int) consul.Instance {
	host, text, _ := net.SplitHostPort(nodes.Address(i))
	port, _ := strconv.Atoi(text)
	return consul.Instance{Node: "host", ID: fmt.Sprint("p", i), Service: "proxy", Address: host, Port: port}
}

// read reads one key twenty times.
func read(t *testing.T, c *client.Client) {
	t.Helper()
	for range 20 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
}

// TestClientFollowsTheCatalogue checks that a proxy in maintenance gets no new requests, that one that joins the
// catalogue gets some, and that an empty list changes nothing.
func TestClientFollowsTheCatalogue(t *testing.T) {
	var served [2]atomic.Int64
	react := func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		served[r.Node].Add(1)
		return scriptednode.Serve
	}
	nodes, err := scriptednode.Start(scriptednode.Meta, 2, react)
	if err != nil {
		t.Fatal(err)
	}
	defer nodes.Close()
	fakeCatalogue := consul.New()
	agent, err := fakeCatalogue.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	fakeCatalogue.Set(instance(nodes, 0))
	source, err := Consul(Options{Agent: agent.Address(), Service: "proxy"})
	if err != nil {
		t.Fatal(err)
	}
	var lists atomic.Int64
	c, err := client.New(client.Options{Proxies: source, Trace: client.Trace{List: func(_ []string, err error) {
		if err == nil {
			lists.Add(1)
		}
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	read(t, c)
	if served[0].Load() != 20 {
		t.Fatalf("%d at the only proxy", served[0].Load())
	}
	fakeCatalogue.Set(instance(nodes, 1))
	testutil.WaitUntil(t, "the second proxy", func() bool { return lists.Load() == 2 })
	testutil.WaitUntil(t, "a request at the second proxy", func() bool {
		c.GetMulti(context.Background(), manyKeys()) // with one request at a time, all would go to the first proxy
		return served[1].Load() > 0
	})
	draining := instance(nodes, 0)
	draining.Checks = []consul.Check{{CheckID: "_service_maintenance:p0", Status: "critical", Notes: "update"}}
	fakeCatalogue.Set(draining)
	testutil.WaitUntil(t, "the first to drain", func() bool { return lists.Load() == 3 })
	before := served[0].Load()
	read(t, c)
	if served[0].Load() != before {
		t.Fatal("a proxy in maintenance got a request")
	}
	agent.SetFault(consul.EmptyList)
	read(t, c)
	time.Sleep(50 * time.Millisecond)
	read(t, c)
}

func TestOptionsAreChecked(t *testing.T) {
	if _, err := Consul(Options{Agent: "a:1"}); err == nil {
		t.Fatal("no service, and no error")
	}
}
