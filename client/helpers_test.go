package client

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
)

const ms = time.Millisecond

// reaction decides what the scripted proxies do with a request. number counts the requests of all proxies, from 0.
type reaction = func(number int, r scriptednode.ReceivedRequest) scriptednode.Reaction

// newTestClient starts scripted proxies and returns a client of them, see open.
func newTestClient(t *testing.T, count int, o Options, react reaction) (*Client, *scriptednode.Nodes) {
	t.Helper()
	ns, err := scriptednode.Start(scriptednode.Meta, count, react)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ns.Close)
	if o.Proxies == nil {
		var list []string
		for i := range count {
			list = append(list, ns.Address(i))
		}
		o.Proxies = Static(list...)
	}
	return open(t, o), ns
}

// openClients is the number of clients that are not closed yet.
var openClients atomic.Int64

// open returns a client. The test fails if goroutines, connections or requests are left after the client is closed.
func open(t *testing.T, o Options) *Client {
	t.Helper()
	openClients.Add(1)
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		if openClients.Add(-1) == 0 { // no client is open, and Close has waited for the goroutines of each
			if stacks := clientGoroutines(); stacks != "" {
				t.Errorf("left after Close:\n%s", stacks)
			}
		}
		if s := c.Stats(); s.Conns+s.InFlight+s.Waiting != 0 || s.Calls != s.endedCalls() {
			t.Errorf("after Close: %+v", s)
		}
	})
	return c
}

// clientGoroutines returns the stacks of the goroutines that clients started. Callers that are about to return from a
// call do not count.
func clientGoroutines() (found string) {
	stacks := make([]byte, 4<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		caller := strings.Contains(stack, "client.(*Client).Do(")
		test := strings.Contains(stack, "testing.tRunner") || strings.Contains(stack, "client.Test") ||
			startedByTest(stack)
		if strings.Contains(stack, "mulleinpier/client.") && !caller && !test {
			found += stack + "\n\n"
		}
	}
	return found
}

// startedByTest reports whether a goroutine was started by a statement in a test file. That also holds for a goroutine
// that is about to exit, whose stack has no function of the test any more.
func startedByTest(stack string) bool {
	_, startedAt, _ := strings.Cut(stack, "\ncreated by ")
	return strings.Contains(startedAt, "_test.go:")
}

// always reacts to every request in the same way.
func always(r scriptednode.Reaction) reaction {
	return func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return r }
}

// first reacts to the first requests as listed, and serves the others.
func first(reactions ...scriptednode.Reaction) reaction {
	return func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
		if number < len(reactions) {
			return reactions[number]
		}
		return scriptednode.Serve
	}
}

// silentSource never provides a list.
type silentSource struct{}

func (silentSource) Follow(ctx context.Context, _ func([]string)) error {
	<-ctx.Done()
	return ctx.Err()
}

// blockedDial never connects.
func blockedDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
