package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/testutil"
)

// waitTimeout limits each wait of these tests. No result depends on its length.
const waitTimeout = 30 * time.Second

// harness is a proxy with scripted cache nodes, all on loopback.
type harness struct {
	t      *testing.T
	server *Server
	stop   func()          // starts the drain, as SIGTERM does
	served <-chan struct{} // closed when Serve has returned
}

// nodeCommand is a command that a node has received.
type nodeCommand struct {
	node net.Conn
	line string
	id   string
}

func (c nodeCommand) respond(format string, a ...any) { fmt.Fprintf(c.node, format, a...) }

// serve responds with a value.
func (c nodeCommand) serve() { c.respond("VA 2 O%s h1\r\nhi\r\n", c.id) }

// startNode starts a node that passes each command to handle, those of one connection in order, and returns its
// address.
func startNode(t *testing.T, handle func(nodeCommand)) string {
	t.Helper()
	return testutil.ServeConnections(t, func(connection net.Conn) { handleCommands(connection, handle) })
}

// handleCommands passes the commands of a connection to handle.
func handleCommands(socket net.Conn, handle func(nodeCommand)) {
	defer socket.Close()
	for in := bufio.NewReader(socket); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if words[0] == "mn" {
			fmt.Fprint(socket, "MN\r\n")
			continue
		}
		if words[0] == "ms" {
			var size int
			fmt.Sscan(words[2], &size)
			if _, err := in.Discard(size + len("\r\n")); err != nil {
				return
			}
		}
		c := nodeCommand{node: socket, line: strings.TrimSpace(line)}
		for _, w := range words {
			if w[0] == 'O' {
				c.id = w[1:]
			}
		}
		handle(c)
	}
}

// startHarness starts a proxy with a limit on sockets and nodes n0, n1 and so on at these addresses.
func startHarness(t *testing.T, sockets int, nodes ...string) *harness {
	t.Helper()
	return startHarnessWith(t, sockets, nil, nodes...)
}

// startHarnessWith is startHarness with changed settings; change may be nil.
func startHarnessWith(t *testing.T, sockets int, change func(settings map[string]any), nodes ...string) *harness {
	t.Helper()
	list := discovery.List{Index: 1, Snapshot: true, Endpoints: []discovery.Endpoint{}}
	for i, address := range nodes {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: fmt.Sprint("n", i), Address: address,
			Zone: "a", Type: "m1", Status: "up", Weight: 1})
	}
	registry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(settings)
	}
	config, err := readConfig(t, map[string]any{
		"name":      "p",
		"listen":    "127.0.0.1:0",
		"seed":      "1",
		"discovery": strings.TrimPrefix(registry.URL, "http://"),
		"known":     list,
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"settings":  settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen(config, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-served
		registry.CloseClientConnections()
		registry.Close()
	})
	return &harness{t: t, server: server, stop: stop, served: served}
}

// client is a meta client of the proxy that sends raw commands.
type client struct {
	t      *testing.T
	socket net.Conn
	in     *bufio.Reader
}

func (h *harness) connect() *client {
	h.t.Helper()
	socket, err := net.Dial("tcp", h.server.Address().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { socket.Close() })
	socket.SetDeadline(time.Now().Add(waitTimeout))
	return &client{t: h.t, socket: socket, in: bufio.NewReader(socket)}
}

func (u *client) send(format string, a ...any) { fmt.Fprintf(u.socket, format, a...) }

// line returns the next line of a response, "" for the end of the connection.
func (u *client) line() string {
	u.t.Helper()
	line, err := u.in.ReadString('\n')
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		u.t.Fatal("neither a response nor a close")
	}
	return strings.TrimSuffix(line, "\r\n")
}

func (u *client) expect(want string) {
	u.t.Helper()
	if got := u.line(); got != want {
		u.t.Errorf("answered %q, want %q", got, want)
	}
}

func (u *client) sendRead(id string) { u.send("mg k%s v O%s Pc=read,t=shops,d=2000\r\n", id, id) }

func (u *client) expectValue(id string) {
	u.t.Helper()
	u.expect("VA 2 O" + id)
	u.expect("hi")
}

// readConfig reads a platform configuration from a file with these fields.
func readConfig(t *testing.T, fields map[string]any) (*Config, error) {
	t.Helper()
	text, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadPlatformConfig(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] })
}
