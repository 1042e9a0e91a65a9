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

// TestRegistrationInConsul checks the daemon's registration in Consul: the registration's check passes while the daemon
// serves and is critical after a crash. While the daemon drains, the registration is in maintenance, and it is gone
// after the exit.
func TestRegistrationInConsul(t *testing.T) {
	c := consul.New()
	agent, err := c.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	d := newTestDaemon(t, node.Config{})
	for i, n := range d.nodes {
		host, text, _ := strings.Cut(n.Address(), ":")
		var port int
		fmt.Sscan(text, &port)
		c.Set(consul.Instance{Node: "host", ID: fmt.Sprint("n", i), Service: "cache", Address: host, Port: port})
	}
	const format = "listen = %q\n[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n" +
		"[consul.register]\nservice = \"proxy\"\nttl = \"1s\"\n"
	replaceFile(t, d.path, fmt.Appendf(nil, format, d.address, agent.Address()))
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
	d.start()
	d.awaitNotified("READY=1")
	testutil.WaitUntil(t, "the check to pass", func() bool { return status() == "passing " })
	d.signal(syscall.SIGTERM)
	testutil.WaitUntil(t, "maintenance, as the drain starts", func() bool { return status() == "passing critical " })
	d.awaitExit()
	if got := status(); got != "gone" {
		t.Errorf("after the exit the registration is %s", got)
	}
	d.start()
	d.awaitNotified("READY=1")
	testutil.WaitUntil(t, "the check to pass again", func() bool { return status() == "passing " })
	d.signal(syscall.SIGKILL)
	testutil.WaitUntil(t, "the TTL to end", func() bool { return status() == "critical " })
}
