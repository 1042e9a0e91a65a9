package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
)

// TestLateSecondAnswerRepeatsNothing checks that a node's second answer to an earlier request, which names no request
// and arrives while the next one is in flight on its connection, is not taken for a rejection of that request: the
// request is neither rejected nor sent to another node while the first node executes it.
func TestLateSecondAnswerRepeatsNothing(t *testing.T) {
	const classes = `
[[class]]
name = "read"
effect = "unsafe"
deadline = "2s"
[[class]]
name = "put"
effect = "unsafe"
deadline = "2s"
[[class]]
name = "keyed"
effect = "keyed"
window = "1500ms"
deadline = "2s"
`
	for _, test := range []struct {
		name, command string
		maxReceived   int // how many nodes may receive a request: those of a keyed one drop repeats
	}{
		{"unsafe read", "mg k v O%[1]d Pc=read,d=2000\r\n", 1},
		{"unsafe write", "ms k 2 O%[1]d Pc=put,d=2000\r\nhi\r\n", 1},
		{"keyed write", "ms k 2 O%[1]d Pc=keyed,d=2000,k=key%[1]d\r\nhi\r\n", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTestDaemon(t, node.Config{ServiceTime: 20 * time.Millisecond})
			d.configure(classes)
			for _, n := range d.nodes {
				if err := n.SetFault(node.Fault{Kind: node.SecondBusy}); err != nil {
					t.Fatal(err)
				}
			}
			d.start()
			d.awaitNotified("READY=1")
			c := d.connect()
			for id := range 20 {
				c.send(test.command, id)
				d.checkNotRepeated(c.answer(), fmt.Sprint(id), test.maxReceived)
			}
		})
	}
}

// answer returns the first line of the next answer. It skips the value, if there is one.
func (c *client) answer() string {
	c.t.Helper()
	line := c.line()
	if strings.HasPrefix(line, "VA ") {
		c.line()
	}
	return line
}

// checkNotRepeated checks that a request that nodes have received was not rejected, and that at most maxReceived nodes
// have received it.
func (d *testDaemon) checkNotRepeated(answer, id string, maxReceived int) {
	d.t.Helper()
	seen := d.timesSeen(id)
	if strings.HasPrefix(answer, "SERVER_ERROR busy") && seen > 0 || seen > maxReceived {
		d.t.Errorf("request %s was answered %q, and nodes have received it %d times", id, answer, seen)
	}
}
