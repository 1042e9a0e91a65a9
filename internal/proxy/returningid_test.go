package proxy

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestIDOfDisconnectedClientDoesNotRunAgain guards against a request that runs twice because its id comes again after
// its client has left: a node has it, and an unsafe class has nothing that drops the second one. A keyed request may be
// sent again within the window, in which nodes drop it.
func TestIDOfDisconnectedClientDoesNotRunAgain(t *testing.T) {
	for effect, wantSends := range map[string]int{"unsafe": 1, "unsafe read": 1, "keyed": 2, "safe": 2} {
		for way, disconnect := range disconnects {
			t.Run(effect+", "+way, func(t *testing.T) {
				t.Parallel()
				var received idRecorder
				arrived := make(chan struct{}, 2)
				node := startNode(t, func(c nodeCommand) {
					received.add(c.id)
					arrived <- struct{}{}
				})
				h := startHarnessWith(t, 256, withUnsafeClass, node)
				request := requestsByEffect[effect]("x")
				first := h.connect()
				first.send("%s", request)
				testutil.Receive(t, "the request", arrived)
				disconnect(first.socket)
				testutil.WaitUntil(t, "the client to be gone", func() bool { return h.server.core.InFlight() == 0 })
				second := h.connect()
				second.send("%s", request)
				if wantSends == 1 {
					second.expect("SERVER_ERROR failed")
				} else {
					testutil.Receive(t, "the request again", arrived)
				}
				if got := received.list(); len(got) != wantSends {
					t.Errorf("the node got %q, want %d", got, wantSends)
				}
			})
		}
	}
}

// TestIDOfKeyedRequestDoesNotRunAfterWindow guards against a keyed request that comes again with its id when the nodes
// have forgotten its key.
func TestIDOfKeyedRequestDoesNotRunAfterWindow(t *testing.T) {
	var received idRecorder
	node := startNode(t, func(c nodeCommand) {
		received.add(c.id)
		c.respond("HD O%s cR1\r\n", c.id)
	})
	h := startHarnessWith(t, 256, func(settings map[string]any) {
		settings["Services"].([]any)[1].(map[string]any)["Window"] = shortWindow.Milliseconds()
	}, node)
	for i, want := range []string{"HD Ox cR1", "HD Ox cR1", "SERVER_ERROR failed"} {
		if i > 0 { // the second comes within the window of the first, the third of the second alone
			time.Sleep(shortWindow / 2)
		}
		u := h.connect()
		u.send("%s", requestsByEffect["keyed"]("x"))
		u.expect(want)
	}
	if got := fmt.Sprint(received.list()); got != "[x x]" {
		t.Errorf("the node got %s", got)
	}
}
