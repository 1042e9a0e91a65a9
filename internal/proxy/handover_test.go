package proxy_test

import (
	"fmt"
	"testing"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/testutil"
)

// setFault sets the fault of all nodes; node.NoFault ends it.
func (f *nodeFleet) setFault(kind node.FaultKind) {
	f.t.Helper()
	for _, n := range f.nodes {
		if err := n.SetFault(node.Fault{Kind: kind}); err != nil {
			f.t.Fatal(err)
		}
	}
}

// expectEffects waits until a write of a value has taken effect want times.
func (f *nodeFleet) expectEffects(want int, key, value string) {
	f.t.Helper()
	testutil.WaitUntil(f.t, fmt.Sprintf("%s to have taken effect %d times", value, want), func() bool {
		return f.origin.EffectCount(key, value) == want
	})
}

// TestRepeatedHandoverTakesEffectOnce checks that a handover that a client repeats at another proxy with the same
// ticket takes effect once. The first attempt got a failure or lost its response with the connection; the client
// repeats it within the deduplication window and long after it. The order of the cases is that of the table in the
// design note.
func TestRepeatedHandoverTakesEffectOnce(t *testing.T) {
	f := startNodes(t)
	a, b := startProxy(t, f.addresses, "[binary]\n"), startProxy(t, f.addresses, "[binary]\n")
	expectRepeatAfterDisconnect(f, a, b)
	expectRepeatAfterFailure(f, a, b)
	expectDifferentHandovers(f, a, b)
}

// expectRepeatAfterDisconnect repeats a handover whose connection ended with it in flight.
func expectRepeatAfterDisconnect(f *nodeFleet, a, b *testProxy) {
	f.t.Helper()
	first, second := a.dial(), b.dial()
	ticket := first.readTicket("order1")
	first.send(setCommand("order1", "cut", ticket))
	first.Socket.Close()
	second.send(setCommand("order1", "cut", ticket))
	second.next(codec.OK, setOpaque)
	f.expectEffects(1, "order1", "cut")
}

// expectRepeatAfterFailure has all nodes execute a handover and then reset the connection. The proxy retries and fails,
// so the client repeats the handover at the other proxy. Long afterwards no node detects the duplicate any more, so the
// repeated handover must not reach a node.
func expectRepeatAfterFailure(f *nodeFleet, a, b *testProxy) {
	f.t.Helper()
	first, second := a.dial(), b.dial()
	ticket := first.readTicket("order2")
	repeat := setCommand("order2", "reset", ticket)
	f.setFault(node.Reset)
	first.send(repeat)
	r, err := rawclient.ReadResponse(first.Reader)
	if err != nil || r.Status == codec.OK || r.Status == codec.Busy {
		f.t.Fatalf("%+v, %v: want a failure, as it may have taken effect", r, err)
	}
	f.setFault(node.NoFault)
	second.send(repeat)
	second.next(codec.OK, setOpaque)
	f.expectEffects(1, "order2", "reset")
	testutil.WaitUntil(f.t, "the ticket to be rejected", func() bool {
		second.send(repeat)
		r, err := rawclient.ReadResponse(second.Reader)
		return err == nil && r.Status == codec.Exists
	})
	time.Sleep(dedupWindow)
	second.send(repeat)
	second.next(codec.Exists, setOpaque)
	if n := f.origin.EffectCount("order2", "reset"); n != 1 {
		f.t.Fatalf("took effect %d times", n)
	}
}

// expectDifferentHandovers sends handovers that differ by value or by ticket, all of which must take effect. A handover
// whose CAS is not a ticket, or is a number that another server issued, must reach no node.
func expectDifferentHandovers(f *nodeFleet, a, b *testProxy) {
	f.t.Helper()
	first, second := a.dial(), b.dial()
	ticket := first.readTicket("order3")
	first.send(setCommand("order3", "left at door", ticket))
	first.next(codec.OK, setOpaque)
	second.send(setCommand("order3", "handed over", ticket))
	second.next(codec.OK, setOpaque)
	again := second.readTicket("order3")
	second.send(setCommand("order3", "left at door", again))
	second.next(codec.OK, setOpaque)
	f.expectEffects(2, "order3", "left at door")
	f.expectEffects(1, "order3", "handed over")
	for _, cas := range []uint64{1, 12345, 1<<64 - 1} {
		first.send(setCommand("order4", "made up", cas))
		first.next(codec.Exists, setOpaque)
	}
	f.expectEffects(0, "order4", "made up")
}
