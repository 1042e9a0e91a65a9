package proxy

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/testutil"
)

// These tests check that a request is no longer sent once its client has disconnected, for every class and every
// resource that the request waited for.

// requestsByEffect has a function for each effect, which returns a request with an id. The effect is that of the class,
// whatever the verb.
var requestsByEffect = map[string]func(id string) string{
	"safe":        requestFormat("mg k%[1]s v O%[1]s Pc=read,t=shops,d=1900\r\n"),
	"safe write":  requestFormat("ms k%[1]s 2 O%[1]s Pc=read,t=shops,d=1900\r\nhi\r\n"),
	"keyed":       requestFormat("ms k%[1]s 2 O%[1]s Pc=put,t=shops,d=1900,k=%[1]s\r\nhi\r\n"),
	"unsafe":      requestFormat("ms k%[1]s 2 O%[1]s Pc=once,t=shops,d=1900\r\nhi\r\n"),
	"unsafe read": requestFormat("mg k%[1]s v O%[1]s Pc=once,t=shops,d=1900\r\n"),
	"safe with k": requestFormat("mg k%[1]s v O%[1]s Pc=read,t=shops,d=1900,k=%[1]s\r\n"),
}

func requestFormat(format string) func(id string) string {
	return func(id string) string { return fmt.Sprintf(format, id) }
}

// withUnsafeClass adds an unsafe class, and allows 30 s for establishing a connection to a node.
func withUnsafeClass(settings map[string]any) {
	settings["Services"] = append(settings["Services"].([]any), map[string]any{
		"Name": "once", "Effect": "unsafe", "DedupScope": "all", "Aim": 500,
		"HardLimit": 2000, "Importance": 2, "LateShare": 0.3, "Window": 0,
	})
	settings["Limits"].(map[string]any)["ConnectTimeout"] = 30000
}

var disconnects = map[string]func(net.Conn){
	"close":      func(c net.Conn) { c.Close() },
	"half close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
}

// disconnectTest is a test with a kind of request and a way to disconnect.
type disconnectTest func(t *testing.T, request func(id string) string, disconnect func(net.Conn))

// forEachDisconnect runs a test for each of the given effects and each way to disconnect.
func forEachDisconnect(t *testing.T, effects []string, test disconnectTest) {
	for _, effect := range effects {
		request := requestsByEffect[effect]
		for way, disconnect := range disconnects {
			t.Run(effect+", "+way, func(t *testing.T) {
				t.Parallel()
				test(t, request, disconnect)
			})
		}
	}
}

// idRecorder records the ids of requests that reach a node.
type idRecorder struct {
	mu  sync.Mutex
	ids []string
}

func (r *idRecorder) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

func (r *idRecorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids...)
}

// waitReleased waits until no request is in flight at the proxy and the body budget has bodyBudget free bytes again.
func (h *harness) waitReleased(t *testing.T, bodyBudget int) {
	t.Helper()
	testutil.WaitUntil(t, "nothing to be in flight", func() bool { return h.server.core.InFlight() == 0 })
	testutil.WaitUntil(t, "the body budget to be released", func() bool { return h.bodyBudget() == bodyBudget })
}

// bodyBudget returns the free bytes of the budget for bodies.
func (h *harness) bodyBudget() int { return h.server.listeners[0].host.BodyBudget.Available() }

// waitNoClients waits until the proxy has closed all clients.
func (h *harness) waitNoClients(t *testing.T) {
	t.Helper()
	testutil.WaitUntil(t, "the proxy to close the client", func() bool {
		clients, _ := h.server.Load()
		return clients == 0
	})
}

// readUntilServed sends reads until one is served, as admission may still reject some after requests that hung.
func (h *harness) readUntilServed() {
	h.t.Helper()
	other := h.connect()
	for i := 0; ; i++ {
		other.sendRead(fmt.Sprint("other", i))
		if strings.HasPrefix(other.line(), "VA ") {
			return
		}
	}
}

// serveEnded returns a channel that receives a value when Serve has returned.
func (h *harness) serveEnded() <-chan bool {
	out := make(chan bool, 1)
	go func() {
		<-h.served
		out <- true
	}()
	return out
}

// TestPipelinedRequestsOfDisconnectedClientAreDropped checks that commands that are unread when their client
// disconnects are not sent. The limit on commands in flight blocks the connection's reader, so the reader does not
// reach the end of the connection behind the unread commands.
func TestPipelinedRequestsOfDisconnectedClientAreDropped(t *testing.T) {
	effects := slices.Collect(maps.Keys(requestsByEffect))
	forEachDisconnect(t, effects, func(t *testing.T, request func(string) string, disconnect func(net.Conn)) {
		const sent, maxInFlight = 60, 32
		var received idRecorder
		arrived, proceed := make(chan struct{}, 2*sent), make(chan struct{})
		h := startHarnessWith(t, 256, withUnsafeClass, startNode(t, func(c nodeCommand) {
			received.add(c.id)
			arrived <- struct{}{}
			<-proceed
			c.serve()
		}))
		budget := h.bodyBudget()
		u := h.connect()
		var text strings.Builder
		for i := range sent {
			text.WriteString(request(fmt.Sprint("x", i)))
		}
		u.send("%s", text.String())
		testutil.WaitUntil(t, "the reader to be blocked", func() bool {
			h.server.mu.Lock()
			defer h.server.mu.Unlock()
			for c := range h.server.clients {
				return c.ReaderBlocked()
			}
			return false
		})
		testutil.Receive(t, "the first request", arrived)
		disconnect(u.socket)
		h.waitNoClients(t)
		close(proceed)
		h.waitReleased(t, budget)
		for _, id := range received.list() {
			var n int
			if fmt.Sscanf(id, "x%d", &n); n >= maxInFlight {
				t.Errorf("%s was sent after its client had disconnected", id)
			}
		}
		h.readUntilServed()
	})
}

// linesWritten returns the lines that are written to a node's connections.
func linesWritten(t *testing.T, node *unresponsive.Node) <-chan string {
	lines := make(chan string, 100)
	go func() {
		for {
			c, err := node.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				for in := bufio.NewScanner(c); in.Scan(); {
					lines <- in.Text()
				}
			}()
		}
	}()
	return lines
}

// TestNothingIsSentOnLateConnectionAfterDisconnect checks that a request that waits for a connection to a node is not
// sent if the connection is established after the client has disconnected, also during a drain.
func TestNothingIsSentOnLateConnectionAfterDisconnect(t *testing.T) {
	effects := []string{"safe", "keyed", "unsafe"}
	t.Run("in a drain false", func(t *testing.T) {
		forEachDisconnect(t, effects, func(t *testing.T, request func(string) string, disconnect func(net.Conn)) {
			l := startLateConnection(t, request)
			l.disconnect(disconnect)
			lines := linesWritten(t, l.node)
			expectOnlyOther(t, l.harness, lines)
			expectNotSent(t, lines)
		})
	})
	t.Run("in a drain true", func(t *testing.T) {
		forEachDisconnect(t, effects, func(t *testing.T, request func(string) string, disconnect func(net.Conn)) {
			l := startLateConnection(t, request)
			l.stop()
			l.waitDraining()
			l.disconnect(disconnect)
			lines := linesWritten(t, l.node)
			testutil.Receive(t, "the end of Serve", l.serveEnded())
			l.node.Close()
			expectNotSent(t, lines)
		})
	})
}

// lateConnection is a proxy with a request that waits for a connection to a node.
type lateConnection struct {
	*harness
	node   *unresponsive.Node
	client *client
	budget int // free bytes for bodies before the request
}

// startLateConnection sends request x to a proxy whose node does not accept connections yet.
func startLateConnection(t *testing.T, request func(string) string) *lateConnection {
	t.Helper()
	node, err := unresponsive.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	l := &lateConnection{harness: startHarnessWith(t, 256, withUnsafeClass, node.Address()), node: node}
	l.budget = l.bodyBudget()
	l.client = l.connect()
	l.client.send("%s", request("x"))
	testutil.WaitUntil(t, "the request to wait", func() bool { return l.server.core.InFlight() == 1 })
	return l
}

// disconnect disconnects the client, and waits until its request holds no resources any more.
func (l *lateConnection) disconnect(disconnect func(net.Conn)) {
	l.t.Helper()
	disconnect(l.client.socket)
	l.waitNoClients(l.t)
	l.waitReleased(l.t, l.budget)
}

// expectNotSent expects request x not to be among the lines that were written to a node.
func expectNotSent(t *testing.T, lines <-chan string) {
	t.Helper()
	for len(lines) > 0 {
		if got := <-lines; strings.Contains(got, "Ox") {
			t.Errorf("the node got %q", got)
		}
	}
}

// expectOnlyOther sends a request and expects it to be the first that is written to a node.
func expectOnlyOther(t *testing.T, h *harness, lines <-chan string) {
	t.Helper()
	h.connect().sendRead("other")
	if got := testutil.Receive(t, "the other request", lines); !strings.Contains(got, "Oother") {
		t.Errorf("the node got %q", got)
	}
}
