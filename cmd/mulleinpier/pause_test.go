package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
	faults "mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/testutil"
)

// startPaused starts a daemon and a client whose first request has been answered, and pauses the daemon.
func startPaused(t *testing.T, more string) (*testDaemon, *client) {
	d := newTestDaemon(t, node.Config{})
	d.configure(more)
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	c.send("mg warm v Owarm Pc=read\r\n")
	c.expect("VA ")
	d.pause()
	return d, c
}

// pause stops the process until it gets SIGCONT.
func (d *testDaemon) pause() {
	d.t.Helper()
	d.signal(syscall.SIGSTOP)
	d.t.Cleanup(func() { d.signalIfRunning(syscall.SIGCONT) })
	testutil.WaitUntil(d.t, "the daemon to be paused", func() bool { return faults.IsStopped(d.process.Process.Pid) })
}

// signalIfRunning sends a signal to the process. Unlike signal it ignores errors, as the process may have exited.
func (d *testDaemon) signalIfRunning(s syscall.Signal) { d.process.Process.Signal(s) }

// connectBusy returns n clients with one connection each. Each client has read its own key, so the nodes have cached
// the keys.
func (d *testDaemon) connectBusy(n int) (list []*client) {
	for i := range n {
		c := d.connect()
		c.send("mg k%d v Owarm%d Pc=read\r\n", i, i)
		c.expect("VA ")
		list = append(list, c)
	}
	return list
}

// pauseTime is long enough to be detected as a pause, and longer than the deadlines of the requests that must expire.
const pauseTime = 1500 * time.Millisecond

// TestExpiredRequestsAreRejectedAfterPause checks that a request that was sent to a paused process and has expired when
// the process resumes is rejected as busy and never reaches a node (rule 2). A request that has not expired is served.
func TestExpiredRequestsAreRejectedAfterPause(t *testing.T) {
	d, c := startPaused(t, "")
	expired := []*client{c, d.connect(), d.connect()} // clients with one existing connection and two new ones
	expired[0].send("ms a 1 Oold0 Pc=write,k=k0,d=300\r\nx\r\n")
	expired[1].send("ms a 1 Oold1 Pc=write,k=k1,d=300\r\nx\r\n")
	expired[2].send("mg a v Oold2 Pc=read,d=300\r\n")
	time.Sleep(pauseTime)
	fresh := []*client{d.connect(), d.connect()}
	fresh[0].send("ms b 1 Onew0 Pc=write,k=k2,d=20000\r\nx\r\n")
	fresh[1].send("mg b v Onew1 Pc=read,d=20000\r\n")
	d.signal(syscall.SIGCONT)
	for i, c := range expired {
		if got := c.line(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
			t.Errorf("expired request %d: %q", i, got)
		}
	}
	fresh[0].expect("HD ")
	fresh[1].expect("VA ")
	for i := range expired {
		if n := d.timesSeen(fmt.Sprint("old", i)); n > 0 {
			t.Errorf("expired request %d reached nodes %d times", i, n)
		}
	}
	waitLine(t, d.lines, "process paused")
	waitLine(t, d.lines, "process resumed")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestRequestsOfDisconnectedClientsAreDropped checks that a request whose client has closed the connection during a
// pause is not sent to a node, whatever its class (rule 2). The proxy cannot know the age of these requests.
func TestRequestsOfDisconnectedClientsAreDropped(t *testing.T) {
	d, c := startPaused(t, "")
	c.send("ms a 1 Ogone0 Pc=write,k=k0,d=20000\r\nx\r\n")
	c.socket.Close()
	pipelined := d.connect()
	pipelined.send("ms a 1 Ogone1 Pc=write,k=k1,d=20000\r\nx\r\n" +
		"ms a 1 Ogone2 Pc=write,k=k2,d=20000\r\nx\r\n")
	pipelined.socket.Close()
	for i, beforeClose := range []func(*net.TCPConn){
		func(*net.TCPConn) {},
		func(c *net.TCPConn) { c.SetLinger(0) },
		func(c *net.TCPConn) { c.CloseWrite() },
	} {
		reader := d.connect()
		reader.send("mg a v Ogone%d Pc=read,d=20000\r\n", 3+i)
		beforeClose(reader.socket.(*net.TCPConn))
		reader.socket.Close()
	}
	time.Sleep(pauseTime)
	d.signal(syscall.SIGCONT)
	last := d.connect()
	last.send("mg a v Olast Pc=read\r\n")
	last.expect("VA ")
	d.signal(syscall.SIGTERM)
	d.awaitExit() // after the exit no request can reach a node
	for i := range 6 {
		if n := d.timesSeen(fmt.Sprint("gone", i)); n > 0 {
			t.Errorf("request %d of a disconnected client reached nodes %d times", i, n)
		}
	}
}

// TestHalfWrittenCommandSurvivesPause checks that a command whose second half arrives during a pause is served. The
// timeout for reading a complete command does not include a pause, during which the proxy could not read (rule 1).
func TestHalfWrittenCommandSurvivesPause(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	c.send("mg warm v Owarm Pc=read\r\n")
	c.expect("VA ")
	c.send("ms a 5 Ohalf Pc=write,k=k0,d=20000\r\nab")
	time.Sleep(100 * time.Millisecond) // the proxy has probably read the first half; the result does not depend on it
	d.pause()
	time.Sleep(3 * time.Second) // longer than the timeout for a command
	c.send("cde\r\n")
	d.signal(syscall.SIGCONT)
	c.expect("HD ")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestDrainNotifiedDuringPauseIsObeyed checks that a drain that the endpoint list reported during a pause takes effect
// before any request is sent after the pause, whatever the process reads first (rule 3).
func TestDrainNotifiedDuringPauseIsObeyed(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	entry := func(i int, status string) endpointlist.Entry {
		return endpointlist.Entry{Name: d.nodes[i].Name(), Address: d.nodes[i].Address(), Status: status, Weight: 1}
	}
	service := endpointlist.New([]endpointlist.Entry{entry(0, "up"), entry(1, "up")})
	t.Cleanup(service.Close)
	at, err := service.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, d.path, fmt.Appendf(nil, "listen = %q\nnodes.discovery = %q\n", d.address, at))
	d.start()
	d.awaitNotified("READY=1")
	waiting := d.connectBusy(40)
	if d.nodes[0].Stats().Requests == 0 || d.nodes[1].Stats().Requests == 0 {
		t.Fatal("one node received no request")
	}
	d.pause()
	change := []endpointlist.Entry{entry(1, "draining")}
	for i := range 3000 { // 3000 more entries, so that reading the list takes long
		change = append(change, endpointlist.Entry{
			Name: fmt.Sprint("filler", i), Address: "127.0.0.1:1", Status: "draining", Weight: 1,
		})
	}
	service.Set(change...)
	testutil.WaitUntil(t, "the drain to be notified", func() bool {
		_, notified := service.DrainNotifiedAt(0, d.nodes[1].Name())
		return notified
	})
	time.Sleep(pauseTime)
	before := d.nodes[1].Stats().Requests
	for i, c := range waiting {
		c.send("mg k%d v Odrain%d Pc=read,d=20000\r\n", i, i)
	}
	d.signal(syscall.SIGCONT)
	for _, c := range waiting {
		if got := c.line(); strings.HasPrefix(got, "VA ") {
			c.line()
		} else if !strings.HasPrefix(got, "SERVER_ERROR busy") { // a single node may reject some of the 40 requests
			t.Errorf("got %q", got)
		}
	}
	if n := d.nodes[1].Stats().Requests - before; n > 0 {
		t.Errorf("%d requests reached the draining node", n)
	}
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestUnresponsiveListDelaysNoRequest checks that after a pause requests are answered although the list service does
// not respond, as the wait for the list is bounded (rule 1).
func TestUnresponsiveListDelaysNoRequest(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	entry := endpointlist.Entry{Name: d.nodes[0].Name(), Address: d.nodes[0].Address(), Status: "up", Weight: 1}
	service := endpointlist.New([]endpointlist.Entry{entry})
	t.Cleanup(service.Close)
	at, err := service.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	link, err := faults.NewLink("127.0.0.1", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	replaceFile(t, d.path, fmt.Appendf(nil, "listen = %q\nnodes.discovery = %q\n", d.address, link.Address()))
	d.start()
	d.awaitNotified("READY=1")
	waiting := d.connectBusy(40) // the largest number of connections that may be idle
	for i, c := range waiting {
		for j := range 10 { // admission has to observe how many requests are answered in time
			c.send("mg k%d v Owarm%d.%d Pc=read\r\n", i, i, j)
			c.expect("VA ")
		}
	}
	if err := link.SetFault(faults.LinkFaults["back"](0)); err != nil {
		t.Fatal(err)
	}
	d.pause()
	time.Sleep(pauseTime)
	for i, c := range waiting { // the clients send more requests than the proxy releases at a time
		for j := range 3 {
			c.send("mg k%d v Oa%d.%d Pc=read,d=20000\r\n", i, i, j)
		}
	}
	d.signal(syscall.SIGCONT)
	for _, c := range waiting {
		for range 3 {
			if got := c.line(); strings.HasPrefix(got, "VA ") {
				c.line()
			} else if !strings.HasPrefix(got, "SERVER_ERROR busy") {
				t.Errorf("got %q", got)
			}
		}
	}
	waitLine(t, d.lines, "process resumed")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestRequestsExpireDuringMachineSleep checks that a sleep of the machine, here simulated, is detected as a pause
// although the monotonic clock does not show it, so that requests that may have expired meanwhile are rejected (rule
// 2).
func TestRequestsExpireDuringMachineSleep(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.configure("[test]\nsleep_at = \"1s\"\nsleep_for = \"30s\"\n")
	d.start()
	d.awaitNotified("READY=1")
	line := waitLine(t, d.lines, "process paused")
	isAsleepFor30s := func(text string) bool { return strings.Contains(line, "slept="+text) }
	if !slices.ContainsFunc([]string{"30.0", "29.9", "30s"}, isAsleepFor30s) {
		t.Errorf("%s", line)
	}
	waitLine(t, d.lines, "process resumed")
	c := d.connect()
	c.send("ms a 1 Oa Pc=write,k=k0,d=2000\r\nx\r\n")
	if got := c.line(); !strings.HasPrefix(got, "HD ") && !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("%q", got)
	}
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}
