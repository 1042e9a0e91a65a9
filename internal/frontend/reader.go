package frontend

import (
	"errors"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
)

const (
	// maxPipelined limits the commands of one connection in flight; further ones are not read until one is answered.
	maxPipelined = 32
	// commandTimeout bounds the time from the first byte of a command to its last. A command that never completes
	// must not occupy capacity, and its client must be answered within 3 s.
	commandTimeout = 2500 * time.Millisecond
	// commandsPerTurn is the number of commands after which the reader pauses for turnPause. While a client sends small
	// commands at full speed, its reader and writer wake each other, and the Go scheduler rarely polls for data
	// from other clients and from nodes. A pause lets it do so.
	commandsPerTurn = 64
	turnPause       = 100 * time.Microsecond
)

// readEnd is the reason why the reader stops.
type readEnd uint8

const (
	connectionEnded readEnd = iota // the client disconnected, or the connection was drained or closed
	framingLost                    // the session stopped or a command timed out; answers are still written
)

// readCommands reads and executes commands until the connection ends or the session stops, and returns which.
func (c *Conn) readCommands() readEnd {
	for count := 1; ; count++ {
		if !c.awaitCommand() {
			return connectionEnded
		}
		if count%commandsPerTurn == 0 {
			time.Sleep(turnPause)
		}
		c.setCommandDeadline()
		if c.session == nil {
			first, err := c.In.Peek(1)
			if err != nil {
				return connectionEnded
			}
			c.session = c.host.NewSession(c, first[0])
		}
		stop, err := c.session.ServeCommand()
		switch {
		case socket.IsTimeout(err):
			if text := c.session.TimeoutAnswer(); text != nil {
				c.AddSlot(new(Slot)).Finish(text)
			}
			return framingLost
		case stop:
			return framingLost
		case errors.Is(err, errReadingEnded): // the rest of the command is unread
			c.awaitDelivery()
			return connectionEnded
		case err != nil:
			return connectionEnded
		}
	}
}

// awaitCommand waits for the first byte of a command. It returns false if the connection has ended instead.
//
// Only the reader closes a connection between commands. Other goroutines set a flag and wake the reader: it may have
// read a command that they don't know of yet, and closing the connection would lose that command.
func (c *Conn) awaitCommand() bool {
	for {
		switch c.prepareNextCommand() {
		case keepReading:
		case lastCommandRead:
			c.linger()
			return false
		case leaveUnread:
			c.awaitDelivery()
			return false
		case closed:
			return false
		}
		_, err := c.In.Peek(1)
		if err == nil {
			c.mu.Lock()
			c.inCommand, c.hasReceived, c.closeIfIdle = true, true, false
			c.mu.Unlock()
			return true
		}
		if !socket.IsTimeout(err) && !errors.Is(err, errReadingEnded) {
			return false
		}
	}
}

// readDecision is the decision whether a connection is read on between two commands.
type readDecision uint8

const (
	keepReading     readDecision = iota
	lastCommandRead              // read no more commands, and close the connection once all are answered
	leaveUnread                  // the same, but what has arrived meanwhile stays unread, so that closing is a reset
	closed                       // the connection has been closed
)

// prepareNextCommand decides, before the next command is read, whether the connection is closed, and otherwise sets
// the read deadline. A command that has arrived but is unread is still read, until [Conn.EndReading]: the process may
// not have been scheduled for a while, or the client may have sent many commands at once. Commands that are read after
// the cutoff of a drain are rejected, as closing the connection would lose them.
func (c *Conn) prepareNextCommand() readDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inCommand, c.commandDeadline = false, time.Time{}
	c.endFlood()
	deadline := time.Time{}
	switch {
	case c.readingEnded:
		if c.In.Buffered() == 0 {
			return leaveUnread
		}
		return keepReading // the read deadline stays in the past
	case c.pastCutoff():
		if !c.hasCommand() { // otherwise the writer wakes the reader once everything is answered
			c.noteReason("drain, late")
			return lastCommandRead
		}
		c.closeIfIdle = false
	case c.closeIfIdle || c.draining:
		if next := c.decideClose(); next != keepReading {
			return next
		}
		c.closeIfIdle = false
		if c.draining {
			deadline = c.cutoff()
		}
	}
	c.socket.SetReadDeadline(deadline)
	return keepReading
}

// hasCommand reports whether unread data has arrived or a command is in flight on the connection. c.mu is held.
func (c *Conn) hasCommand() bool {
	return c.In.Buffered() > 0 || socket.Readable(c.socket) || !c.allAnswered()
}

// decideClose decides whether an idle or draining connection is closed now. c.mu is held.
func (c *Conn) decideClose() readDecision {
	switch {
	case c.hasCommand() || c.quietUnconfirmed(time.Now()):
		return keepReading
	case c.closeIfIdle:
		c.noteReason("idle")
		c.socket.Close() // no linger: the client received the last answer long ago
		return closed
	case c.draining && c.hasReceived:
		c.noteReason("drain")
		return lastCommandRead
	}
	// A draining connection without a command yet is kept for firstCommandGrace: its first command may be on its
	// way, and a client whose new connection is closed can't tell whether that command was executed.
	return keepReading
}

// setCommandDeadline sets the deadline for reading the rest of a command that has begun. It is the same in a drain,
// also for a command that will be rejected: giving it up loses the commands that the client has sent behind it.
func (c *Conn) setCommandDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingEnded {
		return
	}
	c.commandDeadline = time.Now().Add(commandTimeout)
	c.socket.SetReadDeadline(c.commandDeadline)
}

// AddSlot appends slot to the connection's answers, and returns it. It blocks while maxPipelined commands are in
// flight. Only the connection's reader may call it, in the order of the commands.
func (c *Conn) AddSlot(slot *Slot) *Slot {
	slot.conn = c
	if c.pipelineFull() {
		c.waitForSlot()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.slots) >= maxPipelined && !c.gone {
		c.addFloodSlot(slot)
	}
	c.slots = append(c.slots, slot)
	return slot
}

// pipelineFull reports whether maxPipelined commands are in flight. Only the reader adds commands, so a free slot that
// it finds remains free.
func (c *Conn) pipelineFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) >= maxPipelined && !c.gone
}

// waitForSlot waits until fewer than maxPipelined commands are in flight. The connection is not read in the meantime.
// The core's clock must be read without c.mu: it may take the core's lock, under which the core answers commands of
// this connection.
func (c *Conn) waitForSlot() {
	start := c.host.Core.Now()
	c.mu.Lock()
	c.blockReader(func() bool { return len(c.slots) < maxPipelined || c.floodSeen })
	c.mu.Unlock()
	c.reader.noteUnread(start)
}

// blockReader blocks the reader until done returns true or the connection is gone. c.mu is held, except while waiting.
func (c *Conn) blockReader(done func() bool) {
	c.readerBlocked, c.blockedSince = true, time.Now()
	for !done() && !c.gone {
		c.changed.Wait()
	}
	c.readerBlocked = false
}

// ReaderBlocked reports whether the reader waits for something other than the client, and so would not notice that the
// client disconnects. Callers then have to check [Conn.Disconnected].
func (c *Conn) ReaderBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readerBlocked
}

// Submit gives a completely read request to the core and adds slot for its answer. After the cutoff of a drain the
// request is rejected instead, since closing the connection would lose it, and so is one beyond a full pipeline. If the
// client is gone the request is dropped. Submit reports whether the core has accepted the request. Sessions call it
// from the connection's reader.
func (c *Conn) Submit(in *request.Request, slot *Slot, reply core.Reply) (accepted bool) {
	in.Arrival = c.CommandArrival()
	c.AddSlot(slot)
	c.mu.Lock()
	rejects, gone := c.pastCutoff() || slot.flood, c.gone
	c.mu.Unlock()
	switch {
	case gone:
		c.host.Core.Recorder().Record(eventlog.RequestRejected{
			ID:     in.ID,
			Client: c.Address(),
			Reason: "client gone",
		})
		return false
	case rejects:
		c.host.Core.Reject(in, reply)
		return false
	}
	inFlight := c.host.Core.Submit(in, reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slot.text == nil {
		slot.inFlight = inFlight
	}
	return inFlight != nil
}

// wakeReader makes a reader that waits for a command run prepareNextCommand again. c.mu is held.
func (c *Conn) wakeReader() {
	if !c.inCommand && !c.halfClosed {
		c.socket.SetReadDeadline(longPast)
	}
}
