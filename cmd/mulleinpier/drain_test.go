package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

// TestDrainWithEndlessPipeline checks that a drain ends although a client keeps pipelining commands, and that each
// request that a node has received is answered.
func TestDrainWithEndlessPipeline(t *testing.T) {
	d := newTestDaemon(t, node.Config{ServiceTime: 5 * time.Millisecond})
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	go func() { // send requests until the connection is closed
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(c.socket, "mg k%d v O%d Pc=read,d=2000\r\n", i%10, i); err != nil {
				return
			}
		}
	}()
	first, answered := make(chan struct{}, 1), make(chan int, 1)
	go func() { answered <- c.countResponses(first) }()
	testutil.Receive(t, "a response", first)
	d.signal(syscall.SIGTERM)
	d.awaitExit()
	n := testutil.Receive(t, "the end of the responses", answered)
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.requestsSeen {
		var i int
		if fmt.Sscan(id, &i); i >= n {
			t.Errorf("request %s reached a node, but only the first %d requests were answered", id, n)
		}
	}
	if n == 0 || len(d.requestsSeen) == 0 {
		t.Errorf("%d answered, %d received by nodes", n, len(d.requestsSeen))
	}
}

// countResponses counts the responses to requests 0, 1 and so on until the connection ends or a response has the wrong
// number. It sends on first when the first response arrives.
func (c *client) countResponses(first chan<- struct{}) (count int) {
	for ; ; count++ {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return count
		}
		if count == 0 {
			first <- struct{}{}
		}
		if !strings.HasPrefix(line, "VA ") {
			continue
		}
		var size int
		fmt.Sscanf(line, "VA %d", &size)
		_, err = c.in.Discard(size + len("\r\n"))
		if err != nil || !strings.Contains(line, fmt.Sprintf(" O%d", count)) {
			return count
		}
	}
}

// TestDrainWithClientThatNeverReads checks that a client that does not read its responses delays a drain no longer than
// any response may take.
func TestDrainWithClientThatNeverReads(t *testing.T) {
	d := newTestDaemon(t, node.Config{ValueSize: 60 << 10})
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	c.socket.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(c.socket, "mg k v O%d Pc=read,d=2000\r\n", i); err != nil {
				return
			}
		}
	}()
	testutil.WaitUntil(t, "reads to reach the nodes", func() bool {
		return d.nodes[0].Stats().Requests+d.nodes[1].Stats().Requests > 10
	})
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestSecondTerminationShortensDrain checks that a second termination bounds the drain by the deadlines of the requests
// in flight: an accepted request is still answered, no new ones are accepted, and a client that does not read its
// responses does not delay the exit.
func TestSecondTerminationShortensDrain(t *testing.T) {
	d := newTestDaemon(t, node.Config{ValueSize: 60 << 10})
	d.configure("[[class]]\nname = \"read\"\ndeadline = \"60s\"\n")
	d.start()
	d.awaitNotified("READY=1")
	// This client does not read its responses, and the deadline of its class would let it delay the drain for a minute.
	stuck := d.connect()
	stuck.socket.(*net.TCPConn).SetReadBuffer(4 << 10)
	for i, blocked := 0, false; !blocked; i++ { // send requests until the proxy stops reading from this connection
		stuck.socket.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		_, err := fmt.Fprintf(stuck.socket, "mg k v Od%d Pc=read,d=60000\r\n", i)
		blocked = err != nil
	}
	for _, n := range d.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	c := d.connect()
	c.send("mg k v O1 Pc=read,d=1500\r\n")
	testutil.WaitUntil(t, "the read to reach a node", func() bool { return d.timesSeen("1") > 0 })
	d.signal(syscall.SIGTERM)
	d.awaitNotified("STOPPING=1")
	d.signal(syscall.SIGTERM)
	c.expect("SERVER_ERROR ") // sent at the request's deadline, not at that of its class
	c.expect("")
	c.socket.Close()
	d.awaitExit()
}
