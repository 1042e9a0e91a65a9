package frontend

import (
	"bytes"
	"testing"
	"time"

	"mulleinpier/internal/socket"
	"mulleinpier/internal/testutil"
)

// TestFloodEndsOnceNothingIsUnread guards against rejected commands on a connection whose client has sent very much
// once: the flag that makes the reader read on behind a full pipeline ends when all has been read, and the rejected
// commands are not counted any more when they have been answered.
func TestFloodEndsOnceNothingIsUnread(t *testing.T) {
	c, client := connectedClient(t)
	defer markGoneForTest(c)
	fillPipeline(c)
	c.CheckFlood()
	if c.floodSeen {
		t.Error("a full pipeline with nothing unread counts as a flood")
	}
	client.Write(bytes.Repeat([]byte("x"), maxUnread))
	testutil.WaitUntil(t, "the flood to arrive", func() bool { return socket.Unread(c.socket) >= maxUnread })
	c.blockedSince = time.Now()
	if c.CheckFlood(); c.floodSeen {
		t.Error("a reader that has just begun to wait counts as one that waits for long")
	}
	c.blockedSince = time.Now().Add(-floodWait)
	c.CheckFlood()
	beyond := c.AddSlot(new(Slot)) // does not block
	if !c.floodSeen || !beyond.flood || c.host.FloodSlots() != 1 {
		t.Errorf("flood seen %v, slot beyond the pipeline %v, %d counted",
			c.floodSeen, beyond.flood, c.host.FloodSlots())
	}
	if c.prepareNextCommand(); !c.floodSeen {
		t.Error("the flood has ended, but much is unread")
	}
	c.In.Discard(maxUnread)
	if c.prepareNextCommand(); c.floodSeen {
		t.Error("the flood goes on, but nothing is unread")
	}
	for _, slot := range c.slots {
		slot.Finish([]byte("x"))
	}
	c.mu.Lock()
	c.takeReady()
	c.mu.Unlock()
	if n := c.host.FloodSlots(); n != 0 {
		t.Errorf("%d rejected commands are counted after their answers", n)
	}
}

// fillPipeline adds as many commands as may be in flight.
func fillPipeline(c *Conn) {
	for range maxPipelined {
		c.AddSlot(new(Slot))
	}
}
