package frontend

import (
	"time"

	"mulleinpier/internal/socket"
)

// This file handles clients that send much more than their connection's pipeline takes. While the pipeline is full
// nothing is read, and the end of the connection stays hidden behind what is unread, partly in the client's kernel. So
// the requests would be sent on long after such a client has left. Its further commands are therefore read and
// rejected while the pipeline is full, until nothing is unread or the pipeline is half empty.

const (
	// maxUnread is the number of unread bytes behind a full pipeline from which on the end of the connection may be
	// hidden. Less than that and an end fit into the kernel's default receive buffer.
	maxUnread = 48 << 10
	// maxFloodSlots bounds the commands of a host's connections that are rejected beyond full pipelines and whose
	// answers wait for those before them.
	maxFloodSlots = 8192
	// floodWait is how long the reader must have waited. Commands that wait for no node fill the pipeline too, but only
	// until their answers are written.
	floodWait = 20 * time.Millisecond
)

// CheckFlood makes a reader that has waited for floodWait because the pipeline is full read on, if too much is unread.
func (c *Conn) CheckFlood() {
	isFlood := socket.Unread(c.socket) >= maxUnread && c.host.floodSlots.Load() < maxFloodSlots
	c.mu.Lock()
	defer c.mu.Unlock()
	waitsLong := time.Since(c.blockedSince) >= floodWait
	if isFlood && waitsLong && len(c.slots) >= maxPipelined {
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

// endFlood ends a flood once nothing is unread or the pipeline is half empty. c.mu is held.
func (c *Conn) endFlood() {
	if !c.floodSeen {
		return
	}
	nothingUnread := c.In.Buffered() == 0 && !socket.Readable(c.socket)
	c.floodSeen = !nothingUnread && len(c.slots) >= maxPipelined/2
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
