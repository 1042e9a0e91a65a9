package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

// TestSuccessorAtSameAddress checks that a new process starts although the former one still uses the address, and that
// the former process answers its requests although the new one serves.
func TestSuccessorAtSameAddress(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	d.configure("[start]\nwait_for_address = \"60s\"\n")
	d.start()
	d.awaitNotified("READY=1")
	for _, n := range d.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	before := d.connect()
	before.send("mg k v O1 Pc=read,d=2000\r\n")
	testutil.WaitUntil(t, "the read to reach a node", func() bool { return d.timesSeen("1") > 0 })
	former, formerExited := d.process, d.exited
	d.start()
	former.Process.Signal(syscall.SIGTERM)
	d.awaitNotified("READY=1")
	for _, n := range d.nodes {
		n.SetFault(node.Fault{})
	}
	after := d.connect()
	after.send("mg k v O2 Pc=read,d=2000\r\n")
	after.expect("VA ")
	if got := before.line(); !strings.Contains(got, " O1") && !strings.HasPrefix(got, "SERVER_ERROR ") {
		t.Errorf("the former process answered %q", got)
	}
	before.socket.Close()
	if err := testutil.Receive(t, "the former process to exit", formerExited); err != nil {
		t.Errorf("the former process exited with %v", err)
	}
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestPassedListenerLosesNoConnection checks restarts with a listener that the service manager holds: while processes
// replace one another, each connection is established and its first request is answered.
func TestPassedListenerLosesNoConnection(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	file := d.listenerFile()
	startWithListener := func() { d.startWithListener(file) }
	startWithListener()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost, answered := map[string]int{}, 0
	for worker := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				line, err := readOnce(d.address, fmt.Sprintf("w%d.%d", worker, i))
				mu.Lock()
				if answered++; !strings.HasPrefix(line, "VA ") {
					lost[fmt.Sprint(line, err)]++
				}
				mu.Unlock()
			}
		})
	}
	for range 6 {
		former, formerExited := d.process, d.exited
		startWithListener()
		former.Process.Signal(syscall.SIGTERM)
		if err := testutil.Receive(t, "the former process to exit", formerExited); err != nil {
			t.Errorf("the former process exited with %v", err)
		}
	}
	close(stop)
	clients.Wait()
	if len(lost) > 0 || answered == 0 {
		t.Errorf("of %d new connections, these got no value: %v", answered, lost)
	}
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// readOnce sends one read over a new connection and returns the first line of the response.
func readOnce(address, id string) (string, error) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	fmt.Fprintf(socket, "mg k v O%s Pc=read,d=2000\r\n", id)
	return bufio.NewReader(socket).ReadString('\n')
}
