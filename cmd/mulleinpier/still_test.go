package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
	faults "mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/testutil"
)

// stopped starts a daemon and a client whose connection is in use, and stops the daemon.
func stopped(t *testing.T, more string) (*rig, *caller) {
	r := newRig(t, node.Config{})
	r.configure(more)
	r.start()
	r.hear("READY=1")
	c := r.call()
	c.send("mg warm v Owarm Pc=read\r\n")
	c.expect("VA ")
	r.stop()
	return r, c
}

func (r *rig) stop() {
	r.t.Helper()
	r.signal(syscall.SIGSTOP)
	r.t.Cleanup(func() { r.signalAny(syscall.SIGCONT) })
	testutil.WaitUntil(r.t, "the daemon to stand", func() bool { return faults.IsStopped(r.cmd.Process.Pid) })
}

// signalAny is signal for a process that may have ended.
func (r *rig) signalAny(s syscall.Signal) { r.cmd.Process.Signal(s) }

// callers are clients whose connections are in use, and whose keys nodes hold.
func (r *rig) callers(n int) (list []*caller) {
	for i := range n {
		c := r.call()
		c.send("mg k%d v Owarm%d Pc=read\r\n", i, i)
		c.expect("VA ")
		list = append(list, c)
	}
	return list
}

// long is surely a stop, and longer than the deadlines that these tests' clients give.
const long = 1500 * time.Millisecond

// TestWhatWaitedBeyondItsTimeIsRefused guards rule 2: what was written to a process that stood still
// until its client had given up never reaches a node, and its client is told so at once. What its client
// still waits for is carried out.
func TestWhatWaitedBeyondItsTimeIsRefused(t *testing.T) {
	r, c := stopped(t, "")
	old := []*caller{c, r.call(), r.call()} // one in use, two new
	old[0].send("ms a 1 Oold0 Pc=write,k=k0,d=300\r\nx\r\n")
	old[1].send("ms a 1 Oold1 Pc=write,k=k1,d=300\r\nx\r\n")
	old[2].send("mg a v Oold2 Pc=read,d=300\r\n")
	time.Sleep(long)
	fresh := []*caller{r.call(), r.call()}
	fresh[0].send("ms b 1 Onew0 Pc=write,k=k2,d=20000\r\nx\r\n")
	fresh[1].send("mg b v Onew1 Pc=read,d=20000\r\n")
	r.signal(syscall.SIGCONT)
	for i, c := range old {
		if got := c.line(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
			t.Errorf("old request %d: %q", i, got)
		}
	}
	fresh[0].expect("HD ")
	fresh[1].expect("VA ")
	for i := range old {
		if n := r.sawTimes(fmt.Sprint("old", i)); n > 0 {
			t.Errorf("old request %d came to nodes %d times", i, n)
		}
	}
	waitLine(t, r.lines, "process paused")
	waitLine(t, r.lines, "process resumed")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestWhoHasLeftIsNotServed guards rule 2 where ages are not known, and the term on clients that left: a request behind
// which its client has closed is not begun, whatever its class.
func TestWhoHasLeftIsNotServed(t *testing.T) {
	r, c := stopped(t, "")
	c.send("ms a 1 Ogone0 Pc=write,k=k0,d=20000\r\nx\r\n")
	c.socket.Close()
	pipelined := r.call()
	pipelined.send("ms a 1 Ogone1 Pc=write,k=k1,d=20000\r\nx\r\nms a 1 Ogone2 Pc=write,k=k2,d=20000\r\nx\r\n")
	pipelined.socket.Close()
	for i, leave := range []func(*net.TCPConn){func(*net.TCPConn) {}, func(c *net.TCPConn) { c.SetLinger(0) }, func(c *net.TCPConn) { c.CloseWrite() }} {
		reader := r.call()
		reader.send("mg a v Ogone%d Pc=read,d=20000\r\n", 3+i)
		leave(reader.socket.(*net.TCPConn))
		reader.socket.Close()
	}
	time.Sleep(long)
	r.signal(syscall.SIGCONT)
	last := r.call()
	last.send("mg a v Olast Pc=read\r\n")
	last.expect("VA ")
	r.signal(syscall.SIGTERM)
	r.end() // all that was read has had its time
	for i := range 6 {
		if n := r.sawTimes(fmt.Sprint("gone", i)); n > 0 {
			t.Errorf("request %d of a client that had left came to nodes %d times", i, n)
		}
	}
}

// TestCommandHalfWrittenOutlivesAStop guards rule 1: the time that a client has for a command is not that
// in which nobody could read it.
func TestCommandHalfWrittenOutlivesAStop(t *testing.T) {
	r := newRig(t, node.Config{})
	r.start()
	r.hear("READY=1")
	c := r.call()
	c.send("mg warm v Owarm Pc=read\r\n")
	c.expect("VA ")
	c.send("ms a 5 Ohalf Pc=write,k=k0,d=20000\r\nab")
	time.Sleep(100 * time.Millisecond) // it is read that far, or it makes no difference
	r.stop()
	time.Sleep(3 * time.Second) // longer than a client has for a command
	c.send("cde\r\n")
	r.signal(syscall.SIGCONT)
	c.expect("HD ")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestDrainToldInAStopHolds guards rule 3: what the list told while the process stood still is known to it,
// whatever it reads first when it wakes.
func TestDrainToldInAStopHolds(t *testing.T) {
	r := newRig(t, node.Config{})
	entry := func(i int, status string) endpointlist.Entry {
		return endpointlist.Entry{Name: r.nodes[i].Name(), Address: r.nodes[i].Address(), Status: status, Weight: 1}
	}
	service := endpointlist.New([]endpointlist.Entry{entry(0, "up"), entry(1, "up")})
	t.Cleanup(service.Close)
	at, err := service.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	replace(t, r.path, fmt.Appendf(nil, "listen = %q\nnodes.discovery = %q\n", r.address, at))
	r.start()
	r.hear("READY=1")
	waiting := r.callers(40)
	if r.nodes[0].Stats().Requests == 0 || r.nodes[1].Stats().Requests == 0 {
		t.Fatal("one node got nothing")
	}
	r.stop()
	change := []endpointlist.Entry{entry(1, "draining")}
	for i := range 3000 { // it takes a while to read
		change = append(change, endpointlist.Entry{Name: fmt.Sprint("filler", i), Address: "127.0.0.1:1", Status: "draining", Weight: 1})
	}
	service.Set(change...)
	testutil.WaitUntil(t, "the drain to be told", func() bool { _, told := service.DrainNotifiedAt(0, r.nodes[1].Name()); return told })
	time.Sleep(long)
	before := r.nodes[1].Stats().Requests
	for i, c := range waiting {
		c.send("mg k%d v Odrain%d Pc=read,d=20000\r\n", i, i)
	}
	r.signal(syscall.SIGCONT)
	for _, c := range waiting {
		if got := c.line(); strings.HasPrefix(got, "VA ") {
			c.line()
		} else if !strings.HasPrefix(got, "SERVER_ERROR busy") { // there are many at once for one node
			t.Errorf("answered %q", got)
		}
	}
	if n := r.nodes[1].Stats().Requests - before; n > 0 {
		t.Errorf("%d requests came to the node that drains", n)
	}
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestListThatSaysNothingHoldsNobodyUp guards rule 1: a list whose answers don't come is waited for within
// a bound.
func TestListThatSaysNothingHoldsNobodyUp(t *testing.T) {
	r := newRig(t, node.Config{})
	entry := endpointlist.Entry{Name: r.nodes[0].Name(), Address: r.nodes[0].Address(), Status: "up", Weight: 1}
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
	replace(t, r.path, fmt.Appendf(nil, "listen = %q\nnodes.discovery = %q\n", r.address, link.Address()))
	r.start()
	r.hear("READY=1")
	waiting := r.callers(40) // as many as may idle
	for i, c := range waiting {
		for j := range 10 { // so that the gates know how much comes back in time
			c.send("mg k%d v Owarm%d.%d Pc=read\r\n", i, i, j)
			c.expect("VA ")
		}
	}
	if err := link.SetFault(faults.LinkFaults["back"](0)); err != nil {
		t.Fatal(err)
	}
	r.stop()
	time.Sleep(long)
	for i, c := range waiting { // together more than are let go at a time
		for j := range 3 {
			c.send("mg k%d v Oa%d.%d Pc=read,d=20000\r\n", i, i, j)
		}
	}
	r.signal(syscall.SIGCONT)
	for _, c := range waiting {
		for range 3 {
			if got := c.line(); strings.HasPrefix(got, "VA ") {
				c.line()
			} else if !strings.HasPrefix(got, "SERVER_ERROR busy") {
				t.Errorf("answered %q", got)
			}
		}
	}
	waitLine(t, r.lines, "process resumed")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestMachineThatSleptCountsIt guards rule 2 where the monotonic clock tells nothing of a stop: a machine
// that seems to have slept refuses what it may have slept over.
func TestMachineThatSleptCountsIt(t *testing.T) {
	r := newRig(t, node.Config{})
	r.configure("[test]\nsleep_at = \"1s\"\nsleep_for = \"30s\"\n")
	r.start()
	r.hear("READY=1")
	if line := waitLine(t, r.lines, "process paused"); !strings.Contains(line, "slept=30.0") && !strings.Contains(line, "slept=29.9") && !strings.Contains(line, "slept=30s") {
		t.Errorf("%s", line)
	}
	waitLine(t, r.lines, "process resumed")
	c := r.call()
	c.send("ms a 1 Oa Pc=write,k=k0,d=2000\r\nx\r\n")
	if got := c.line(); !strings.HasPrefix(got, "HD ") && !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("%q", got)
	}
	r.signal(syscall.SIGTERM)
	r.end()
}
