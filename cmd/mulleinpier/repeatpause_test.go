package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/link"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
)

// TestRepeatIsNotDeliveredDuringPause guards against a repeat of a keyed write that the network holds up while the
// process is paused: nothing but the process could take it back before the nodes forget the write that ran.
func TestRepeatIsNotDeliveredDuringPause(t *testing.T) {
	const classes = `
[[class]]
name = "read"
effect = "safe"
[[class]]
name = "put"
effect = "keyed"
window = "600ms"
deadline = "2s"
`
	const (
		beyondWindow = 800 * time.Millisecond
		repeatSent   = 30 * time.Millisecond // long enough for the proxy to repeat a write after a reset
	)
	var links [2]*link.Link
	var writes atomic.Int32
	executed := make(chan struct{}, 10)
	nodes, err := scriptednode.Start(scriptednode.Meta, len(links),
		func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
			if r.Verb != request.Set {
				return scriptednode.Serve
			}
			executed <- struct{}{}
			if writes.Add(1) > 1 {
				return scriptednode.Serve
			}
			links[1-r.Node].Cut()
			return scriptednode.Reset
		})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	for i := range links {
		if links[i], err = link.Start(nodes.Address(i)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(links[i].Close)
	}
	d := newTestDaemon(t, node.Config{})
	replaceFile(t, d.path, fmt.Appendf(nil, "listen = %q\nnodes.addresses = [%q, %q]\n%s",
		d.address, links[0].Address(), links[1].Address(), classes))
	d.start()
	d.awaitNotified("READY=1")
	d.connectBusy(20) // opens connections to both nodes
	c := d.connect()
	c.send("ms k 2 Ow Pc=put,d=2000,k=i\r\nhi\r\n")
	testutil.Receive(t, "the write", executed)
	time.Sleep(repeatSent)
	d.pause()
	time.Sleep(beyondWindow)
	for _, l := range links {
		l.Restore()
	}
	time.Sleep(repeatSent)
	d.signal(syscall.SIGCONT)
	c.expect("SERVER_ERROR failed")
	if n := writes.Load(); n != 1 {
		t.Errorf("the nodes received the write %d times, want once within the window", n)
	}
}
