package frontend

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
	"mulleinpier/policy"
)

// lockedReply is a reply that, with the core's lock held, waits until a connection's reader has had time to come
// to a lock of its own, and then answers one of the connection's commands.
type lockedReply struct {
	conn    *Conn
	started chan bool
}

func (r *lockedReply) Finish(*request.Answer) {
	r.started <- true
	for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); {
		if !r.conn.mu.TryLock() { // its reader holds it
			break
		}
		r.conn.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	r.conn.slots[0].Finish([]byte("x"))
}

func (r *lockedReply) Release() {}

// newCore returns a core that knows a node, and does not run.
func newCore(t *testing.T) *core.Core {
	t.Helper()
	const node = "127.0.0.1:9"
	c, err := core.New(&core.Config{
		ListSources: []discovery.SourceConfig{{StaticAddresses: node}},
		InitialList: discovery.StaticList(node),
		MaxInFlight: 10,
		Policy: policy.Settings{
			ProxyCount: 1,
			OriginKind: -1,
			Limits:     policy.Limits{MaxAttempts: 1},
			Classes:    []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: time.Second}},
		},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestFullPipelineDuringAStallDoesNotDeadlock guards the order of locks: a reader that waits for a slot asks the
// core's clock, which takes the core's lock after a stall, while the core answers one of the connection's
// commands.
func TestFullPipelineDuringAStallDoesNotDeadlock(t *testing.T) {
	proxy := newCore(t)
	c, client := connectedClient(t)
	c.host.Core, c.reader.core = proxy, proxy
	for range maxPipelined {
		c.AddSlot(new(Slot))
	}
	time.Sleep(pause.MinStall + 10*time.Millisecond) // nobody checks the clocks meanwhile
	reply := &lockedReply{c, make(chan bool, 1)}
	answered, added := make(chan bool, 1), make(chan bool, 1)
	go func() {
		proxy.Reject(&request.Request{ID: "a", Class: "read"}, reply)
		answered <- true
	}()
	testutil.Receive(t, "the core to answer", reply.started)
	go func() {
		c.AddSlot(new(Slot))
		added <- true
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Fatal("the core waits for the connection, and its reader for the core")
	}
	go io.Copy(io.Discard, client)
	writerEnded := make(chan bool, 1)
	go func() {
		c.writeAnswers()
		writerEnded <- true
	}()
	testutil.Receive(t, "a slot", added)
	markGoneForTest(c)
	testutil.Receive(t, "the writer's end", writerEnded)
}
