package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestBurstsReleaseAllResources checks that places, budgets and descriptors are released after hundreds of clients have
// sent requests of every kind, invalid and incomplete ones too, and disconnected all at the same time. A client
// that keeps reading gets a response to each read.
func TestBurstsReleaseAllResources(t *testing.T) {
	h := startHarnessWith(t, 1024, withUnsafeClass, startNode(t, func(c nodeCommand) {
		if !strings.HasPrefix(c.id, "burst") {
			c.serve()
		}
	}))
	responseBudget := h.server.listeners[0].host.AnswerBudget
	bodiesBefore, responsesBefore := h.bodyBudget(), responseBudget.Available()
	steady := &steadyClient{harness: h}
	steady.expectServed()
	descriptorsBefore := countDescriptors(t)
	burstEnded := make(chan struct{})
	steadyErrors := make(chan error, 1)
	go func() { steadyErrors <- steady.readUntil(burstEnded) }()
	sendBurst(h)
	close(burstEnded)
	if err := testutil.Receive(t, "the end of the steady client's reads", steadyErrors); err != nil {
		t.Fatal(err)
	}
	steady.expectServed()
	testutil.WaitUntil(t, "the places to be free", func() bool {
		clients, _ := h.server.Load()
		return clients <= 1
	})
	h.waitReleased(t, bodiesBefore)
	testutil.WaitUntil(t, "the response budget to be released", func() bool {
		return responseBudget.Available() == responsesBefore
	})
	// The proxy opens and closes connections to the node on its own, up to the limit for each node. The node is in this
	// process, so each connection takes two descriptors.
	testutil.WaitUntil(t, "the descriptors to be released", func() bool {
		return countDescriptors(t) <= descriptorsBefore+2*h.server.config.Upstream.MaxPerNode
	})
}

// steadyReadInterval is the time between the reads of a steady client. It is well below minIdleToEvict.
const steadyReadInterval = 5 * time.Millisecond

// steadyClient is a client that sends reads one after another on one connection.
type steadyClient struct {
	*harness
	socket net.Conn // nil before the first read, and after the proxy has closed it
	in     *bufio.Reader
	usedAt time.Time // time before the connection was opened, or before the previous read was sent
	reads  int
}

// readUntil sends reads until end is closed. It returns an error if one gets no response.
func (c *steadyClient) readUntil(end <-chan struct{}) error {
	for {
		select {
		case <-end:
			return nil
		case <-time.After(steadyReadInterval):
		}
		if _, err := c.read(); err != nil {
			return err
		}
	}
}

// expectServed sends reads until one is served.
func (c *steadyClient) expectServed() {
	c.t.Helper()
	testutil.WaitUntil(c.t, "a read of the steady client to be served", func() bool {
		served, err := c.read()
		if err != nil {
			c.t.Fatal(err)
		}
		return served
	})
}

// read sends a read and reports whether it was served: it may also be rejected. It returns an error if there is no
// response. The proxy may close the connection without a response only if it can have been idle for minIdleToEvict,
// which happens if this process is not scheduled.
func (c *steadyClient) read() (served bool, err error) {
	if err := c.open(); err != nil {
		return false, err
	}
	previouslyUsedAt := c.usedAt
	c.usedAt = time.Now()
	c.reads++
	id := fmt.Sprint("steady", c.reads)
	fmt.Fprintf(c.socket, "mg k%s v O%s Pc=read,t=shops,d=2000\r\n", id, id)
	line, err := c.in.ReadString('\n')
	switch {
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && time.Since(previouslyUsedAt) >= minIdleToEvict:
		c.socket.Close()
		c.socket = nil
		return false, nil
	case err != nil:
		return false, fmt.Errorf("no response to read %d, %v after the previous one: %w",
			c.reads, time.Since(previouslyUsedAt), err)
	case strings.HasPrefix(line, "SERVER_ERROR "):
		return false, nil
	}
	value, err := c.in.ReadString('\n')
	if response := line + value; err != nil || response != "VA 2 O"+id+"\r\nhi\r\n" {
		return false, fmt.Errorf("read %d was answered %q, %v", c.reads, response, err)
	}
	return true, nil
}

// open opens a connection if there is none.
func (c *steadyClient) open() error {
	if c.socket != nil {
		return nil
	}
	c.usedAt = time.Now()
	socket, err := net.Dial("tcp", c.server.Address().String())
	if err != nil {
		return err
	}
	c.t.Cleanup(func() { socket.Close() })
	socket.SetDeadline(time.Now().Add(waitTimeout))
	c.socket, c.in = socket, bufio.NewReader(socket)
	return nil
}

// burstPayloads return what a client of a burst sends, by the client's number.
var burstPayloads = []func(i int) string{
	func(int) string { return strings.Repeat("noise\r\n", 2000) },
	func(int) string { return strings.Repeat("x", 60000) },
	func(i int) string {
		return fmt.Sprintf("ms kb%d 60000 Oburst%d Pc=put,t=shops,k=1\r\n%s", i, i, strings.Repeat("v", 30000))
	},
	func(i int) string { return fmt.Sprintf("ms kb%d 2 Oburst%d Pc=put,t=shops,k=1\r\nhello\r\n", i, i) },
	func(i int) string { return fmt.Sprintf("mg kb%d v Oburst%d Pc=no,t=shops\r\nmg", i, i) },
	func(i int) string {
		var b strings.Builder
		for n := range 100 {
			b.WriteString(requestsByEffect["safe"](fmt.Sprintf("burst%d-%d", i, n)))
		}
		return b.String()
	},
	func(i int) string { return requestsByEffect["keyed"](fmt.Sprint("burst", i)) },
	func(i int) string { return requestsByEffect["unsafe"](fmt.Sprint("burst", i)) },
}

// sendBurst has hundreds of clients send their payloads and disconnect.
func sendBurst(h *harness) {
	const clients = 400
	var sockets []net.Conn
	var sending sync.WaitGroup
	for i := range clients {
		u := h.connect()
		sockets = append(sockets, u.socket)
		sending.Go(func() { u.send("%s", burstPayloads[i%len(burstPayloads)](i)) })
	}
	sending.Wait()
	ways := []func(net.Conn){disconnects["close"], disconnects["reset"]}
	for i, c := range sockets {
		ways[i%len(ways)](c)
	}
}

// countDescriptors returns the number of open descriptors of this process.
func countDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}
