package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"mulleinpier/internal/fake/consul"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

// TestDaemonStandsInTheCatalogue has the daemon register, serve, drain and leave, and a
// second one crash.
func TestDaemonStandsInTheCatalogue(t *testing.T) {
	c := consul.New()
	agent, err := c.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	r := newRig(t, node.Config{})
	for i, n := range r.nodes {
		host, text, _ := strings.Cut(n.Address(), ":")
		var port int
		fmt.Sscan(text, &port)
		c.Set(consul.Instance{Node: "host", ID: fmt.Sprint("n", i), Service: "cache", Address: host, Port: port})
	}
	replace(t, r.path, fmt.Appendf(nil, "listen = %q\n[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n[consul.register]\nservice = \"proxy\"\nttl = \"1s\"\n",
		r.address, agent.Address()))
	status := func() string {
		list := c.Instances("proxy")
		if len(list) == 0 {
			return "gone"
		}
		text := ""
		for _, k := range list[0].Checks {
			text += k.Status + " "
		}
		return text
	}
	r.start()
	r.hear("READY=1")
	testutil.WaitUntil(t, "the check to pass", func() bool { return status() == "passing " })
	r.signal(syscall.SIGTERM)
	testutil.WaitUntil(t, "maintenance, as the drain begins", func() bool { return status() == "passing critical " })
	r.end()
	if got := status(); got != "gone" {
		t.Errorf("after its end it is %s", got)
	}
	r.start()
	r.hear("READY=1")
	testutil.WaitUntil(t, "the check to pass again", func() bool { return status() == "passing " })
	r.signal(syscall.SIGKILL)
	testutil.WaitUntil(t, "the TTL to be over", func() bool { return status() == "critical " })
}
