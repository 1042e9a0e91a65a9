package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// TestEndsOfNodeConnections ends connections to nodes in every way under requests of every effect: each request has one answer, and
// nothing of an unsafe class comes to nodes twice; of a keyed one, what came more than once came with its key.
func TestEndsOfNodeConnections(t *testing.T) {
	nodes, err := scriptednode.Start(scriptednode.Meta, 3, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		_, kind, _ := strings.Cut(a.ID, "-") // the key is for the id, which is new with each try of the client's
		kind, _, _ = strings.Cut(kind, "-")
		return scriptednode.Reaction(kind)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	f := startFleetWith(t, 512, once, nodes.Address(0), nodes.Address(1), nodes.Address(2))
	u := f.connect()
	for i := range 300 { // or gates would shut
		u.send("mg kw%d v Ow-serve-%d Pc=read,t=shops,d=1900\r\n", i, i)
		if line := u.line(); strings.HasPrefix(line, "VA ") {
			u.line()
		}
	}
	sent := 0
	for class, request := range classes {
		for _, kind := range []scriptednode.Reaction{scriptednode.Reset, scriptednode.TruncatedAnswer, scriptednode.Garbage, scriptednode.OtherAnswer, scriptednode.DuplicateAnswer, scriptednode.EndlessValue, scriptednode.Fail, scriptednode.Hang} {
			for i := range 3 {
				id := fmt.Sprintf("%s-%s-%d", strings.ReplaceAll(class, " ", ""), kind, i)
				u := f.connect()
				u.send("%s", strings.ReplaceAll(request(id), "d=1900", "d=400"))
				sent++
				switch got := u.line(); {
				case strings.HasPrefix(got, "VA ") && strings.HasSuffix(got, " O"+id):
					if u.line(); kind != scriptednode.DuplicateAnswer && kind != scriptednode.TruncatedAnswer {
						t.Errorf("%s: served", id)
					}
				case strings.HasPrefix(got, "HD O"+id):
					if kind != scriptednode.DuplicateAnswer && kind != scriptednode.TruncatedAnswer {
						t.Errorf("%s: served", id)
					}
				case !strings.HasPrefix(got, "SERVER_ERROR "):
					t.Errorf("%s: answered %q", id, got)
				}
				u.send("mn\r\n")
				u.expect("MN") // and no second answer before it
				u.socket.Close()
			}
		}
	}
	testutil.WaitUntil(t, "nothing to be open", func() bool { return f.server.core.InFlight() == 0 })
	times := make(map[string]int)
	for _, a := range nodes.Requests() {
		if times[a.ID]++; a.Class == "put" && a.Idempotency == "" {
			t.Errorf("%s came without its key", a.ID)
		}
	}
	for id, n := range times {
		if strings.HasPrefix(id, "unsafe") && n > 1 {
			t.Errorf("%s came to nodes %d times", id, n)
		}
	}
	if len(times) < sent/2 {
		t.Errorf("%d requests came to nodes, of %d", len(times), sent)
	}
}

// TestHeldForANodeOfWhoLeft: a request waits between tries, as there is no node, and its client leaves. When one is there, nothing of it
// is sent.
func TestHeldForANodeOfWhoLeft(t *testing.T) {
	everyCase(t, []string{"safe", "keyed", "unsafe"}, func(t *testing.T, request func(string) string, leave func(net.Conn)) {
		var came recorder
		address := startNode(t, func(c command) {
			came.note(c.id)
			c.serve()
		})
		f := startFleetWith(t, 256, once)
		bodies := f.server.listeners[0].host.BodyBudget.Available()
		u := f.connect()
		u.send("%s", request("x"))
		testutil.WaitUntil(t, "the request to wait", func() bool { return f.server.core.InFlight() == 1 })
		leave(u.socket)
		testutil.WaitUntil(t, "the proxy to let go of it", func() bool { clients, _ := f.server.Load(); return clients == 0 })
		f.idle(t, bodies)
		service := endpointlist.New([]endpointlist.Entry{{Name: "n", Address: address, Status: "up", Weight: 1}})
		t.Cleanup(service.Close)
		at, err := service.Open(0)
		if err != nil {
			t.Fatal(err)
		}
		next := *f.server.config
		next.ListSources = []discovery.SourceConfig{{Address: at}}
		f.server.ReloadSources(&next)
		other := f.connect()
		for i := 0; ; i++ {
			if other.read(fmt.Sprint("other", i)); strings.HasPrefix(other.line(), "VA ") {
				break
			}
		}
		for _, id := range came.all() {
			if id == "x" {
				t.Error("it was sent on, which nobody waited for")
			}
		}
	})
}
