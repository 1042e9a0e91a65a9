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

// lockedReply is a reply whose Finish, which the core calls with its lock held, gives a connection's reader time to
// take the connection's lock, and then answers one of the connection's commands.
type lockedReply struct {
	conn    *Conn
	started chan bool
}

func (r *lockedReply) Finish(*request.Answer) {
	r.started <- true
	for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); {
		if !r.conn.mu.TryLock() { // the connection's reader holds the lock
			break
		}
		r.conn.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	r.conn.slots[0].Finish([]byte("x"))
}

func (r *lockedReply) Release() {}

// newCore returns a core with one node, on which Run is not called.
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

// TestFullPipelineDuringAStallDoesNotDeadlock checks that a reader and the core do not deadlock on each other's locks.
// While a reader waits for a slot, it reads the core's clock, which takes the core's lock after a stall. At the same
// time the core, with its lock held, answers one of the connection's commands, which takes the connection's lock.
func TestFullPipelineDuringAStallDoesNotDeadlock(t *testing.T) {
	proxy := newCore(t)
	c, client := connectedClient(t)
	c.host.Core, c.reader.core = proxy, proxy
	for range maxPipelined {
		c.AddSlot(new(Slot))
	}
	time.Sleep(pause.MinStall + 10*time.Millisecond) // the core's clock is not read meanwhile and detects a stall
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
