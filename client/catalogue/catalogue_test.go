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

// make256 returns many keys, which are asked for together.
func make256() (keys []string) {
	for i := range 256 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	return keys
}

// A client follows the catalogue: a proxy in maintenance gets nothing new, one that joins is
// asked, an empty list and an agent that goes quiet change nothing.
func TestClientFollowsTheCatalogue(t *testing.T) {
	var serving [2]atomic.Int64
	ns, err := scriptednode.Start(scriptednode.Meta, 2, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		serving[a.Node].Add(1)
		return scriptednode.Serve
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ns.Close()
	c := consul.New()
	agent, err := c.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	instance := func(i int) consul.Instance {
		host, text, _ := net.SplitHostPort(ns.Address(i))
		port, _ := strconv.Atoi(text)
		return consul.Instance{Node: "host", ID: fmt.Sprint("p", i), Service: "proxy", Address: host, Port: port}
	}
	c.Set(instance(0))
	from, err := Consul(Options{Agent: agent.Address(), Service: "proxy"})
	if err != nil {
		t.Fatal(err)
	}
	var lists atomic.Int64
	l, err := client.New(client.Options{Proxies: from, Trace: client.Trace{List: func(list []string, err error) {
		if err == nil {
			lists.Add(1)
		}
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	get := func() {
		t.Helper()
		for range 20 {
			if _, err := l.Get(context.Background(), "k"); err != nil {
				t.Fatal(err)
			}
		}
	}
	get()
	if serving[0].Load() != 20 {
		t.Fatalf("%d at the only proxy", serving[0].Load())
	}
	c.Set(instance(1))
	testutil.WaitUntil(t, "the second proxy", func() bool { return lists.Load() == 2 })
	testutil.WaitUntil(t, "it is asked", func() bool { // who asks for one thing at a time keeps to the first
		l.GetMulti(context.Background(), make256())
		return serving[1].Load() > 0
	})
	drained := instance(0)
	drained.Checks = []consul.Check{{CheckID: "_service_maintenance:p0", Status: "critical", Notes: "update"}}
	c.Set(drained)
	testutil.WaitUntil(t, "the first drains", func() bool { return lists.Load() == 3 })
	before := serving[0].Load()
	get()
	if serving[0].Load() != before {
		t.Fatal("a proxy in maintenance was asked")
	}
	agent.SetFault(consul.EmptyList)
	get()
	time.Sleep(50 * time.Millisecond)
	get()
	if _, err := Consul(Options{Agent: "a:1"}); err == nil {
		t.Fatal("no service, and no error")
	}
}
