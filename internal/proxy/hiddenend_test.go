package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

const (
	hiddenCommands   = 3000
	hiddenSendBuffer = 4 << 20 // bytes in which the client's kernel keeps what the proxy does not take
	hiddenDeadline   = 2 * time.Second
	// startsAfterEnd is how long after its client's end a request may still begin: 0.1 s, and 50 ms for sockets.
	startsAfterEnd = 150 * time.Millisecond
)

// halfCloseBehindCommands sends more commands than the kernel's buffers take, and half closes the connection behind
// them, so that no answer causes a reset. It returns the time of the half close.
func (h *harness) halfCloseBehindCommands() time.Time {
	u := h.connect()
	socket := u.socket.(*net.TCPConn)
	socket.SetWriteBuffer(hiddenSendBuffer)
	go io.Copy(io.Discard, socket)
	var text strings.Builder
	for i := range hiddenCommands {
		fmt.Fprintf(&text, "mg k%d v Ox%d Pc=read,t=shops,d=%d,f=%s\r\n",
			i, i, hiddenDeadline.Milliseconds(), strings.Repeat("f", 1400))
	}
	u.send("%s", text.String())
	socket.CloseWrite()
	return time.Now()
}

// waitDropped waits until the proxy has no client and no request in flight.
func (h *harness) waitDropped() {
	h.t.Helper()
	testutil.WaitUntil(h.t, "the proxy to drop the client", func() bool {
		clients, inFlight := h.server.Load()
		return clients == 0 && inFlight == 0
	})
	if n := h.server.listeners[0].host.FloodSlots(); n != 0 {
		h.t.Errorf("%d slots of rejected commands are still counted", n)
	}
}

// TestEndHiddenBehindUnreadCommandsIsSeen guards against a client whose end is hidden behind its unread commands, which
// the proxy does not read while earlier ones wait for a node: it must be seen long before these are due.
func TestEndHiddenBehindUnreadCommandsIsSeen(t *testing.T) {
	h := startHarness(t, 256, startNode(t, func(nodeCommand) {}))
	left := h.halfCloseBehindCommands()
	h.waitDropped()
	if took := time.Since(left); took > hiddenDeadline/2 {
		t.Errorf("the end was seen after %v, want at most %v", took, hiddenDeadline/2)
	}
}

// TestNoRequestBeginsAfterHiddenEnd checks that no request begins over 0.1 s after the end of its client, where the end
// is hidden behind more unread commands than the kernel's buffers take.
func TestNoRequestBeginsAfterHiddenEnd(t *testing.T) {
	var mu sync.Mutex
	var begun []time.Time
	h := startHarness(t, 256, startNode(t, func(c nodeCommand) {
		mu.Lock()
		begun = append(begun, time.Now())
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		c.serve()
	}))
	left := h.halfCloseBehindCommands()
	h.waitDropped()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range begun {
		if at.Sub(left) > startsAfterEnd {
			late++
		}
	}
	if len(begun) == 0 || late > 0 {
		t.Errorf("%d requests of %d began over %v after their client had left", late, len(begun), startsAfterEnd)
	}
}
