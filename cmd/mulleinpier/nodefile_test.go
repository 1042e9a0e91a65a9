package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

// TestNodeFileIsFollowed checks that the proxy follows changes of the node file: a node that the file reports as
// draining gets no more requests, and a file that is invalid, empty or partially written changes nothing.
func TestNodeFileIsFollowed(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	nodes := filepath.Join(filepath.Dir(d.path), "nodes.toml")
	both := func(status string) []byte {
		const format = "[[node]]\nname = \"n0\"\naddress = %q\nstatus = %q\n[[node]]\nname = \"n1\"\naddress = %q\n"
		return fmt.Appendf(nil, format, d.nodes[0].Address(), status, d.nodes[1].Address())
	}
	replaceFile(t, nodes, both("up"))
	replaceFile(t, d.path, fmt.Appendf(nil, "listen = %q\nnodes.file = \"nodes.toml\"\n", d.address))
	d.start()
	d.awaitNotified("READY=1")
	serial := 0
	// reach sends reads until the node with index want receives one, and returns how many the other node has received.
	reach := func(want int) (others int) {
		before := [2]int{d.nodes[0].Stats().Requests, d.nodes[1].Stats().Requests}
		testutil.WaitUntil(t, fmt.Sprintf("a read at node %d", want), func() bool {
			c := d.connect()
			defer c.socket.Close()
			serial++
			c.send("mg k%d v Os%d Pc=read,d=2000\r\n", serial, serial)
			c.expect("VA ")
			return d.nodes[want].Stats().Requests > before[want]
		})
		return d.nodes[1-want].Stats().Requests - before[1-want]
	}
	reach(0)
	reach(1)
	replaceFile(t, nodes, both("draining"))
	testutil.WaitUntil(t, "the drain to be obeyed", func() bool {
		before := d.nodes[0].Stats().Requests
		for range 20 {
			reach(1)
		}
		return d.nodes[0].Stats().Requests == before
	})
	for _, text := range []string{"[[node", "", "[[node]]\nname = \"n0\"\n", string(both("upside"))} {
		replaceFile(t, nodes, []byte(text))
		waitLine(t, d.lines, "endpoint list: ")
		for range 10 {
			if others := reach(1); others > 0 {
				t.Errorf("with the file %q the draining node got a request", text)
			}
		}
	}
	replaceFile(t, nodes, both("up"))
	reach(0)
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}
