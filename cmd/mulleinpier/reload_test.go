package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

// TestReloadDuringDrainIsIgnored checks that a hangup during a drain does not reload the configuration: the daemon
// completes its drain, answers the request in flight and does not serve again.
func TestReloadDuringDrainIsIgnored(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.start()
	d.awaitNotified("READY=1")
	d.nodes[0].SetFault(node.Fault{Kind: node.Stall})
	d.nodes[1].SetFault(node.Fault{Kind: node.Stall})
	c := d.connect()
	c.send("mg k v O1 Pc=read,d=20000\r\n")
	testutil.WaitUntil(t, "the read to reach a node", func() bool { return d.timesSeen("1") > 0 })
	d.signal(syscall.SIGTERM)
	d.awaitNotified("STOPPING=1")
	d.configure("[[tenant]]\nname = \"only\"\n")
	d.signal(syscall.SIGHUP)
	waitLine(t, d.lines, "configuration reload ignored")
	d.nodes[0].SetFault(node.Fault{})
	d.nodes[1].SetFault(node.Fault{})
	c.expect("VA ")
	c.expect("")
	c.socket.Close()
	d.awaitExit()
	for len(d.notified) > 0 {
		if line := <-d.notified; strings.HasPrefix(line, "RELOADING") || strings.HasPrefix(line, "READY") {
			t.Errorf("the daemon notified %q while it drained", line)
		}
	}
}

// TestReloadsInQuickSuccession checks that the last file comes into force when hangups arrive faster than reloads
// complete. No reload may be lost or end the daemon.
func TestReloadsInQuickSuccession(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.start()
	d.awaitNotified("READY=1")
	for i := range 10 {
		d.configure(fmt.Sprintf("[[class]]\nname = \"c%d\"\n", i))
		d.signal(syscall.SIGHUP)
	}
	testutil.WaitUntil(t, "the last configuration to be in force", func() bool {
		c := d.connect()
		defer c.socket.Close()
		c.send("mg k v O1 Pc=c9,d=1000\r\n")
		return strings.HasPrefix(c.line(), "VA ")
	})
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestInvalidReloadChangesNothing checks that no configuration is applied in part. If the file is invalid, missing,
// partially written or empty, or changes a setting that requires a restart, the reload is logged as failed or rejected,
// and the former configuration stays in force.
func TestInvalidReloadChangesNothing(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.configure("[[class]]\nname = \"old\"\n")
	d.start()
	d.awaitNotified("READY=1")
	for _, reload := range invalidReloads {
		reload.write(d)
		d.signal(syscall.SIGHUP)
		waitLine(t, d.lines, reload.logged)
		c := d.connect()
		c.send("mg k v O1 Pc=new,d=1000\r\nmg k v O2 Pc=old,d=1000\r\n")
		if got := c.line(); got != "CLIENT_ERROR unknown class" {
			t.Errorf("%s: the class of the invalid file is in force: %q", reload.name, got)
		}
		c.expect("VA ")
		c.socket.Close()
	}
	d.configure(newClass)
	d.signal(syscall.SIGHUP)
	waitLine(t, d.lines, "configuration reloaded")
	c := d.connect()
	c.send("mg k v O1 Pc=new,d=1000\r\n")
	c.expect("VA ")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

const (
	newClass       = "[[class]]\nname = \"new\"\n"
	reloadFailed   = "configuration reload failed"
	reloadRejected = "configuration reload rejected"
)

// invalidReloads are changes of the file after which a reload must fail, each with a text that the log line must
// contain.
var invalidReloads = []struct {
	name, logged string
	write        func(d *testDaemon)
}{
	{"no syntax", reloadFailed, func(d *testDaemon) { d.configure(newClass + "[limits\n") }},
	{"unknown key", "class[0].colour is unknown", func(d *testDaemon) { d.configure(newClass + "colour = 1\n") }},
	{"missing", reloadFailed, func(d *testDaemon) { os.Remove(d.path) }},
	{"half written", reloadFailed, func(d *testDaemon) {
		replaceFile(d.t, d.path, []byte(d.configText(newClass))[:30])
	}},
	{"empty", "is empty", func(d *testDaemon) { replaceFile(d.t, d.path, nil) }},
	{"a directory", reloadFailed, func(d *testDaemon) {
		os.Remove(d.path)
		os.Mkdir(d.path, 0o700)
	}},
	{"other memory", reloadRejected, func(d *testDaemon) {
		os.Remove(d.path)
		d.configure(newClass + "[limits]\nmemory_mb = 128\n")
	}},
	{"other address", reloadRejected, func(d *testDaemon) {
		replaceFile(d.t, d.path, []byte(strings.Replace(d.configText(newClass), "127.0.0.3", "127.0.0.4", 1)))
	}},
	{"other zones", reloadRejected, func(d *testDaemon) {
		replaceFile(d.t, d.path, []byte("zones = [\"z\"]\nzone = \"z\"\n"+d.configText(newClass)))
	}},
}

// TestReloadLeavesOpenRequestsTheirConfiguration checks that a request in flight keeps its class and deadline although
// a reload removes the class.
func TestReloadLeavesOpenRequestsTheirConfiguration(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.configure("[[class]]\nname = \"old\"\ndeadline = \"30s\"\n")
	d.start()
	d.awaitNotified("READY=1")
	for _, n := range d.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	open := d.connect()
	open.send("mg k v O1 Pc=old,d=30000\r\n")
	testutil.WaitUntil(t, "the read to reach a node", func() bool { return d.timesSeen("1") > 0 })
	d.configure("[[class]]\nname = \"new\"\naim = \"1ms\"\ndeadline = \"1ms\"\n")
	d.signal(syscall.SIGHUP)
	d.awaitNotified("RELOADING=1")
	d.awaitNotified("READY=1")
	late := d.connect()
	late.send("mg k v O2 Pc=old,d=1000\r\n")
	late.expect("CLIENT_ERROR unknown class")
	for _, n := range d.nodes {
		n.SetFault(node.Fault{})
	}
	open.expect("VA ")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}
