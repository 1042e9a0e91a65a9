package core

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/testutil"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// scriptedSource is a source of the endpoint list whose calls are answered by the test.
type scriptedSource struct {
	addr  string
	calls chan *sourceCall
}

// sourceCall is a call that the proxy makes to a scriptedSource.
type sourceCall struct {
	net.Conn
	watch       bool   // true for a watch, false for a fetch of the complete list
	fromVersion string // version of the latest list that the proxy has applied
}

func startSource(t *testing.T) *scriptedSource {
	t.Helper()
	source := &scriptedSource{calls: make(chan *sourceCall, 1000)}
	source.addr = testutil.ServeConnections(t, func(connection net.Conn) {
		t.Cleanup(func() { connection.Close() })
		r, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		source.calls <- &sourceCall{
			Conn:        connection,
			watch:       r.FormValue("watch") == "1",
			fromVersion: r.FormValue("from"),
		}
	})
	return source
}

// next waits for the next call; what describes the call in the error if there is none.
func (s *scriptedSource) next(t *testing.T, what string) *sourceCall {
	t.Helper()
	return testutil.Receive(t, what, s.calls)
}

// firstWatch waits for the first watch, reports over it that the node is up, and waits until the core has applied the
// list.
func (s *scriptedSource) firstWatch(t *testing.T, c *Core, index int) *sourceCall {
	t.Helper()
	first := s.next(t, "a watch")
	first.sendHeader()
	first.sendList(index, true, "up")
	c.expectServing(t, "the node to be up", true)
	return first
}

// sendHeader sends the header of a response, before any list.
func (c *sourceCall) sendHeader() { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n") }

// sendList sends a list in which node n1 has the given status.
func (c *sourceCall) sendList(index int, complete bool, status string) {
	endpoint := fmt.Sprintf(`{"name":"n1","address":"127.0.0.1:9","status":"%s"}`, status)
	fmt.Fprintf(c, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`+"\n", index, complete, endpoint)
}

// isOpen reports whether the proxy has kept the connection of a call open.
func (c *sourceCall) isOpen() bool {
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// sendHeartbeats sends empty lines until the test ends, as an idle source does.
func (c *sourceCall) sendHeartbeats(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for tick := time.NewTicker(tolerableSilence / 4); ctx.Err() == nil; <-tick.C {
			if _, err := fmt.Fprintln(c); err != nil {
				return
			}
		}
	}()
}

// waitClosed waits until the proxy has closed the connection of a call.
func (c *sourceCall) waitClosed(t *testing.T) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testutil.Timeout))
	if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Fatal("a call that is no longer needed was kept open")
	}
}

// startCore runs a core with one list source until the test ends. With onRequest, the endpoint list is requested only
// when the decision module asks for it.
func startCore(t *testing.T, onRequest bool, address string) *Core {
	t.Helper()
	return runCore(t, oneSourceConfig(onRequest, address))
}

// oneSourceConfig configures a core with one list source.
func oneSourceConfig(onRequest bool, address string) *Config {
	return &Config{
		ListSources: []discovery.SourceConfig{{Address: address}},
		MaxInFlight: 10,
		Upstream: upstream.Limits{
			MaxPerNode:     1,
			MaxConnections: 4,
			MaxPipelined:   4,
			ConnectTimeout: time.Second,
			IdleTimeout:    time.Hour,
			SilenceTimeout: time.Hour,
		},
		Policy: policy.Settings{
			ProxyCount:         1,
			EndpointsOnRequest: onRequest,
			Classes:            []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: time.Second}},
			Limits:             policy.Limits{MaxAttempts: 3},
			Rules:              policy.Rules{MaxPollInterval: 400 * time.Millisecond},
		},
	}
}

// runCore runs a core until the test ends.
func runCore(t *testing.T, config *Config) *Core {
	t.Helper()
	c, err := New(config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		c.Run(ctx)
	}()
	go func() { // the proxy checks the clocks periodically, too
		for tick := time.NewTicker(pause.DefaultLimits.CheckInterval); ctx.Err() == nil; <-tick.C {
			c.CheckClocks()
		}
	}()
	t.Cleanup(func() {
		stop()
		testutil.Receive(t, "the end of Core.Run", notifyClosed(ran))
	})
	return c
}

// notifyClosed returns a channel that receives true once c is closed.
func notifyClosed(c <-chan struct{}) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		<-c
		out <- true
	}()
	return out
}

// expectServing waits until the core has a serving node, or until it has none if serves is false.
func (c *Core) expectServing(t *testing.T, what string, serves bool) {
	t.Helper()
	testutil.WaitUntil(t, what, func() bool { return c.HasServingNodes() == serves })
}
