package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/config"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/testutil"
)

// dedupWindow is the deduplication window of the fake nodes and of class write.
const dedupWindow = 1500 * time.Millisecond

// nodeFleet is two fake nodes and the origin that they share.
type nodeFleet struct {
	t         *testing.T
	origin    *origin.Origin
	nodes     []*node.Node
	addresses string // as a configuration lists them
}

func startNodes(t *testing.T) *nodeFleet {
	t.Helper()
	return startNodesWithValueSize(t, 0)
}

// startNodesWithValueSize starts nodes whose values have a size in bytes, 0 for the default.
func startNodesWithValueSize(t *testing.T, valueSize int) *nodeFleet {
	t.Helper()
	f := &nodeFleet{t: t, origin: origin.New(origin.Config{Slots: 64, Queue: 1024})}
	t.Cleanup(f.origin.Close)
	group := node.NewGroup(dedupWindow)
	var addresses []string
	for i := range 2 {
		n, err := node.Start(node.Config{
			Name: fmt.Sprint("n", i), Origin: f.origin, Group: group, LedgerByValue: true, MissingKeyPrefix: "none",
			Slots: 64, Queue: 1024, ValueSize: valueSize,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		f.nodes = append(f.nodes, n)
		addresses = append(addresses, fmt.Sprintf("%q", n.Address()))
	}
	f.addresses = strings.Join(addresses, ", ")
	return f
}

// requestCount returns the number of requests that all nodes have received.
func (f *nodeFleet) requestCount() (count int) {
	for _, n := range f.nodes {
		count += n.Stats().Requests
	}
	return count
}

// testProxy is a proxy in this process.
type testProxy struct {
	t      *testing.T
	server *proxy.Server
	path   string
	nodes  string // the part of the configuration that lists the nodes
	stop   func()
}

// config reads a configuration that consists of a listener and text.
func (p *testProxy) config(text string) *config.Config {
	p.t.Helper()
	if err := os.WriteFile(p.path, []byte("listen = \"127.0.0.1:0\"\n"+text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	c, err := config.Read(p.path)
	if err != nil {
		p.t.Fatal(err)
	}
	return c
}

// configWithNodes reads a configuration that also lists the nodes that the proxy was started with.
func (p *testProxy) configWithNodes(text string) *config.Config {
	p.t.Helper()
	return p.config(p.nodes + text)
}

// reload reloads a configuration that also lists the nodes that the proxy was started with.
func (p *testProxy) reload(text string) {
	p.t.Helper()
	if err := p.server.Reload(p.configWithNodes(text).Proxy); err != nil {
		p.t.Fatal(err)
	}
}

// startProxy starts a proxy with nodes at addresses. The rest of its configuration is text.
func startProxy(t *testing.T, addresses, text string) *testProxy {
	t.Helper()
	return startTestProxy(t, "nodes.addresses = ["+addresses+"]\n", text)
}

// startTestProxy starts a proxy. The part nodes of its configuration lists its nodes, and text is the rest.
func startTestProxy(t *testing.T, nodes, text string) *testProxy {
	t.Helper()
	p := &testProxy{t: t, path: filepath.Join(t.TempDir(), "proxy.toml"), nodes: nodes}
	server, err := proxy.Listen(p.configWithNodes(text).Proxy, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	p.server = server
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(ctx)
	}()
	p.stop = stop
	t.Cleanup(func() {
		stop()
		<-served
	})
	return p
}

// binaryClient is a client of the binary protocol that sends raw bytes.
type binaryClient struct {
	t *testing.T
	*rawclient.Client
}

func (p *testProxy) dial() binaryClient { return dialBinary(p.t, p.server.Address()) }

func dialBinary(t *testing.T, address net.Addr) binaryClient {
	t.Helper()
	c, err := rawclient.Dial(scriptednode.Binary, address.String(), testutil.Timeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Socket.Close() })
	return binaryClient{t, c}
}

// send sends commands. It ignores errors: reading the responses fails if the connection has ended.
func (c binaryClient) send(commands ...[]byte) {
	for _, command := range commands {
		c.Socket.Write(command)
	}
}

// next returns the next response, and expects it to have a status and an opaque.
func (c binaryClient) next(status codec.Status, opaque uint32) rawclient.Response {
	c.t.Helper()
	r, err := rawclient.ReadResponse(c.Reader)
	if err != nil {
		c.t.Fatalf("opaque %d: %v", opaque, err)
	}
	if r.Status != status || r.Opaque != opaque {
		c.t.Fatalf("got %#x %q with opaque %d, want %#x with %d", r.Status, r.Value, r.Opaque, status, opaque)
	}
	return r
}

// expectEnd expects the end of the connection.
func (c binaryClient) expectEnd() {
	c.t.Helper()
	if b, err := c.Reader.ReadByte(); err == nil {
		c.t.Fatalf("byte %#x came, want the end of the connection", b)
	} else if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		c.t.Fatal("neither a response nor an end")
	}
}

// readTicket reads a key and returns the ticket that comes with its value, as the response's CAS.
func (c binaryClient) readTicket(key string) (ticket uint64) {
	c.t.Helper()
	// After a client has disconnected, reads may be rejected at random for a moment.
	testutil.WaitUntil(c.t, "a read of "+key, func() bool {
		c.send(getCommand(key, 1))
		r, err := rawclient.ReadResponse(c.Reader)
		if err != nil || r.Opaque != 1 || r.Status != codec.OK && r.Status != codec.Busy {
			c.t.Fatalf("got %#x with opaque %d: %v", r.Status, r.Opaque, err)
		}
		ticket = r.CAS
		return r.Status == codec.OK
	})
	return ticket
}

func getCommand(key string, opaque uint32) []byte {
	return rawclient.AppendKeyOnly(nil, codec.Get, key, opaque)
}

// emptyCommand returns a command without a key.
func emptyCommand(op codec.Opcode, opaque uint32) []byte {
	return rawclient.AppendKeyOnly(nil, op, "", opaque)
}

// setCommand returns a Set with opaque setOpaque.
func setCommand(key, value string, cas uint64) []byte {
	return rawclient.AppendSet(nil, codec.Set, key, value, setOpaque, cas)
}

const setOpaque = 2
