package frontend

import "mulleinpier/internal/socket"

// This file handles clients that send much more than their connection's pipeline takes. While the pipeline is full
// nothing is read, and the end of the connection stays hidden behind what is unread, partly in the client's kernel. So
// the requests would be sent on long after such a client has left. Its further commands are therefore read and
// rejected while the pipeline is full, until nothing is unread.

const (
	// maxUnread is the number of unread bytes behind a full pipeline from which on the end of the connection may be
	// hidden. Less than that and an end fit into the kernel's default receive buffer.
	maxUnread = 48 << 10
	// maxFloodSlots bounds the commands of all connections that are rejected beyond full pipelines and whose answers
	// wait for those before them.
	maxFloodSlots = 8192
)

// CheckFlood makes a reader that waits because the pipeline is full read on, if too much is unread.
func (c *Conn) CheckFlood() {
	isFlood := socket.Unread(c.socket) >= maxUnread && c.host.floodSlots.Load() < maxFloodSlots
	c.mu.Lock()
	defer c.mu.Unlock()
	if isFlood && len(c.slots) >= maxPipelined {
		c.floodSeen = true
		c.changed.Broadcast()
	}
}

// addFloodSlot counts the slot of a command beyond a full pipeline, which is to be rejected. c.mu is held.
func (c *Conn) addFloodSlot(slot *Slot) {
	slot.flood = true
	if c.host.floodSlots.Add(1) >= maxFloodSlots {
		c.floodSeen = false
	}
}

// endFlood ends a flood once nothing is unread. c.mu is held.
func (c *Conn) endFlood() {
	if c.floodSeen && c.In.Buffered() == 0 && !socket.Readable(c.socket) {
		c.floodSeen = false
	}
}

// releaseFloodSlots returns slots whose answers are being written, or whose connection has ended, to Host.floodSlots.
func (c *Conn) releaseFloodSlots(slots []*Slot) {
	for _, slot := range slots {
		if slot.flood {
			slot.flood = false
			c.host.floodSlots.Add(-1)
		}
	}
}

// FloodSlots returns the number of commands that were rejected beyond full pipelines and whose answers wait.
func (h *Host) FloodSlots() int { return int(h.floodSlots.Load()) }

// rejectsFlood reports whether commands beyond a full pipeline are being read and rejected.
func (c *Conn) rejectsFlood() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.floodSeen && len(c.slots) > maxPipelined
}
