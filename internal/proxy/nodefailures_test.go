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

// TestBrokenNodeConnectionsRepeatNoUnsafeRequest checks that each request gets one response when connections to nodes
// break in every way with requests of every effect in flight, that no request of an unsafe class reaches nodes twice,
// and that every request of a keyed class that reaches a node has its key.
func TestBrokenNodeConnectionsRepeatNoUnsafeRequest(t *testing.T) {
	react := func(_ int, request scriptednode.ReceivedRequest) scriptednode.Reaction {
		_, kind, _ := strings.Cut(request.ID, "-")
		kind, _, _ = strings.Cut(kind, "-")
		return scriptednode.Reaction(kind)
	}
	nodes, err := scriptednode.Start(scriptednode.Meta, 3, react)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	h := startHarnessWith(t, 512, withUnsafeClass, nodes.Address(0), nodes.Address(1), nodes.Address(2))
	u := h.connect()
	for i := range 300 { // warm up, or the failures that follow would reduce admission
		u.send("mg kw%d v Ow-serve-%d Pc=read,t=shops,d=1900\r\n", i, i)
		if line := u.line(); strings.HasPrefix(line, "VA ") {
			u.line()
		}
	}
	sent := 0
	for effect, request := range requestsByEffect {
		for _, kind := range failingReactions {
			for i := range 3 {
				id := fmt.Sprintf("%s-%s-%d", strings.ReplaceAll(effect, " ", ""), kind, i)
				expectOneResponse(h.connect(), id, strings.ReplaceAll(request(id), "d=1900", "d=400"), kind)
				sent++
			}
		}
	}
	testutil.WaitUntil(t, "nothing to be in flight", func() bool { return h.server.core.InFlight() == 0 })
	attempts := make(map[string]int)
	for _, request := range nodes.Requests() {
		attempts[request.ID]++
		if request.Class == "put" && request.IdempotencyKey == "" {
			t.Errorf("%s came without its key", request.ID)
		}
	}
	for id, n := range attempts {
		if strings.HasPrefix(id, "unsafe") && n > 1 {
			t.Errorf("%s reached nodes %d times", id, n)
		}
	}
	if len(attempts) < sent/2 {
		t.Errorf("%d requests reached nodes, of %d", len(attempts), sent)
	}
}

// failingReactions are the ways in which a node breaks its connection or fails to serve a request.
var failingReactions = []scriptednode.Reaction{
	scriptednode.Reset, scriptednode.TruncatedAnswer, scriptednode.Garbage, scriptednode.OtherAnswer,
	scriptednode.DuplicateAnswer, scriptednode.EndlessValue, scriptednode.Fail, scriptednode.Hang,
}

// expectOneResponse sends a request to which the node reacts with kind, and expects one response that fits this
// reaction.
func expectOneResponse(u *client, id, command string, kind scriptednode.Reaction) {
	u.t.Helper()
	mayBeServed := kind == scriptednode.DuplicateAnswer || kind == scriptednode.TruncatedAnswer
	u.send("%s", command)
	switch got := u.line(); {
	case strings.HasPrefix(got, "VA ") && strings.HasSuffix(got, " O"+id):
		u.line()
		if !mayBeServed {
			u.t.Errorf("%s: served", id)
		}
	case strings.HasPrefix(got, "HD O"+id):
		if !mayBeServed {
			u.t.Errorf("%s: served", id)
		}
	case !strings.HasPrefix(got, "SERVER_ERROR "):
		u.t.Errorf("%s: got %q", id, got)
	}
	u.send("mn\r\n")
	u.expect("MN") // no second response arrived before MN
	u.socket.Close()
}

// TestQueuedRequestOfDisconnectedClientIsDropped checks that a request whose client disconnects while the request waits
// between attempts, as there is no node, is not sent once there is a node.
func TestQueuedRequestOfDisconnectedClientIsDropped(t *testing.T) {
	effects := []string{"safe", "keyed", "unsafe"}
	forEachDisconnect(t, effects, func(t *testing.T, request func(string) string, disconnect func(net.Conn)) {
		var received idRecorder
		address := startNode(t, func(c nodeCommand) {
			received.add(c.id)
			c.serve()
		})
		h := startHarnessWith(t, 256, withUnsafeClass)
		budget := h.bodyBudget()
		u := h.connect()
		u.send("%s", request("x"))
		testutil.WaitUntil(t, "the request to wait", func() bool { return h.server.core.InFlight() == 1 })
		disconnect(u.socket)
		h.waitNoClients(t)
		h.waitReleased(t, budget)
		service := endpointlist.New([]endpointlist.Entry{{Name: "n", Address: address, Status: "up", Weight: 1}})
		t.Cleanup(service.Close)
		at, err := service.Open(0)
		if err != nil {
			t.Fatal(err)
		}
		next := *h.server.config
		next.ListSources = []discovery.SourceConfig{{Address: at}}
		h.server.ReloadSources(&next)
		h.readUntilServed()
		for _, id := range received.list() {
			if id == "x" {
				t.Error("the request was sent after its client had disconnected")
			}
		}
	})
}
