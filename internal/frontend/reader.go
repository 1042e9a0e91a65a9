package frontend

import (
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
)

const (
	// maxPipelined bounds the commands of one connection that are in flight; further ones wait unread.
	maxPipelined = 32
	// commandTimeout bounds the time from the first byte of a command to its last: one that stops half way
	// must not occupy capacity, and its client is answered within 3 s.
	commandTimeout = 2500 * time.Millisecond
	// rejectedReadTimeout is the same for a command that will be rejected.
	rejectedReadTimeout = LingerTimeout / 3
)

// readEnd is why the reader stops.
type readEnd uint8

const (
	connectionEnded readEnd = iota // the client has left, or the connection was drained or closed
	framingLost                    // what follows can't be read as commands
)

// readCommands reads commands until the connection ends or its framing is lost.
func (c *Conn) readCommands() readEnd {
	for {
		if !c.awaitCommand() {
			return connectionEnded
		}
		c.limitCommand()
		if c.session == nil {
			first, err := c.In.Peek(1)
			if err != nil {
				return connectionEnded
			}
			c.session = c.host.NewSession(c, first[0])
		}
		lost, err := c.session.ServeCommand()
		switch {
		case socket.IsTimeout(err):
			if text := c.session.TimeoutAnswer(); text != nil {
				c.AddSlot(new(Slot)).Finish(text)
			}
			return framingLost
		case lost:
			return framingLost
		case err != nil:
			return connectionEnded
		}
	}
}

// awaitCommand waits for the first byte of a command, and reports whether there is one to carry out.
//
// Only the reader ends a connection between commands. Whoever else wants it closed marks it and wakes the
// reader: it may have read a command that nobody else knows of yet, and closing would lose it.
func (c *Conn) awaitCommand() bool {
	for {
		switch c.prepareNextCommand() {
		case keepReading:
		case lastCommandRead:
			c.linger()
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
		if !socket.IsTimeout(err) {
			return false
		}
	}
}

// betweenCommands is what becomes of a connection between two commands.
type betweenCommands uint8

const (
	keepReading     betweenCommands = iota
	lastCommandRead                 // no more are taken; it is closed once all are answered
	closed                          // it has been closed
)

// prepareNextCommand decides on the connection as the reader comes to its next command. One that has arrived
// already but is unread is taken first, as far as time allows: the process may have been without a processor
// for a while. What arrives later in a drain, while others are in flight, is rejected: a close would lose it.
func (c *Conn) prepareNextCommand() betweenCommands {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inCommand, c.commandDeadline = false, time.Time{}
	deadline := time.Time{}
	switch {
	case c.pastCutoff():
		if c.mayCloseLate() {
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

// hasCommand reports whether anything has arrived or is in flight on the connection. c.mu is held.
func (c *Conn) hasCommand() bool {
	return c.In.Buffered() > 0 || socket.Readable(c.socket) || !c.allAnswered()
}

// mayCloseLate reports whether a connection that rejects commands has none to reject any more, or has rejected
// enough. Otherwise the writer wakes the reader when all is answered. c.mu is held.
func (c *Conn) mayCloseLate() bool {
	return !c.hasCommand() || c.rejectedWhileDraining >= maxPipelined
}

// decideClose decides whether an idle or draining connection is closed now. c.mu is held.
func (c *Conn) decideClose() betweenCommands {
	switch {
	case c.hasCommand() || c.owesAnswer(time.Now()):
		return keepReading
	case c.closeIfIdle:
		c.noteReason("idle")
		c.socket.Close() // without lingering: its last answer has long been received
		return closed
	case c.draining && c.hasReceived:
		c.noteReason("drain")
		return lastCommandRead
	}
	// A connection that was just opened is kept for a moment: its first command is on its way, and a client
	// whose new connection closes at once can't tell what became of it.
	return keepReading
}

// limitCommand sets the time in which a command that has begun must arrive completely. In a drain that is short:
// one that is taken late could not be answered before the end.
func (c *Conn) limitCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	deadline := now.Add(commandTimeout)
	if c.draining {
		deadline = earlier(deadline, c.cutoff())
		if c.pastCutoff() { // it will be rejected, and must still be read
			deadline = now.Add(rejectedReadTimeout)
		}
	}
	c.commandDeadline = deadline
	c.socket.SetReadDeadline(deadline)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// AddSlot makes slot the place of the next answer. It waits while too many commands are in flight. It is for
// sessions.
func (c *Conn) AddSlot(slot *Slot) *Slot {
	slot.conn = c
	if c.pipelineFull() {
		c.waitForSlot()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = append(c.slots, slot)
	return slot
}

// pipelineFull reports whether too many commands are in flight. Only the reader adds any, so that what it finds
// free stays free.
func (c *Conn) pipelineFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) >= maxPipelined && !c.gone
}

// waitForSlot waits until one more command may be in flight. Nothing is read meanwhile. The core's clock is read
// without c.mu: that may take the core's lock, under which the core answers commands of this connection.
func (c *Conn) waitForSlot() {
	start := c.host.Core.Now()
	c.mu.Lock()
	c.blockReader(func() bool { return len(c.slots) < maxPipelined })
	c.mu.Unlock()
	c.reader.noteUnread(start)
}

// blockReader has the reader wait until done, or until the connection is gone. c.mu is held.
func (c *Conn) blockReader(done func() bool) {
	c.readerBlocked = true
	for !done() && !c.gone {
		c.changed.Wait()
	}
	c.readerBlocked = false
}

// ReaderBlocked reports whether the reader would not notice that the client disconnects: then
// [Conn.Disconnected] finds out.
func (c *Conn) ReaderBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readerBlocked
}

// Submit gives the core a request that has been read completely, with slot as the place of its answer. In a drain
// it may be too late for that: then it is rejected, as a close would lose it. It is for sessions.
func (c *Conn) Submit(in *request.Request, slot *Slot, reply core.Reply) {
	in.Arrival = c.CommandArrival()
	c.AddSlot(slot)
	c.mu.Lock()
	pastCutoff, gone := c.pastCutoff(), c.gone
	if pastCutoff {
		c.rejectedWhileDraining++
	}
	c.mu.Unlock()
	switch {
	case gone:
		c.host.Core.Recorder().Record(eventlog.RequestRejected{
			ID:     in.ID,
			Client: c.Address(),
			Reason: "client gone",
		})
	case pastCutoff:
		c.host.Core.Reject(in, reply)
	default:
		slot.InFlight = c.host.Core.Submit(in, reply)
	}
}

// wakeReader has a reader that waits for a command decide on the connection again. c.mu is held.
func (c *Conn) wakeReader() {
	if !c.inCommand && !c.halfClosed {
		c.socket.SetReadDeadline(time.Unix(1, 0)) // long over
	}
}
