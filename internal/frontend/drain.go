package frontend

import (
	"io"
	"time"
)

const (
	// IdleTimeout is how long a connection without a command is kept. It ends those of clients that connect
	// and send nothing, or send one command and stay; whoever comes back later pays for a new connection.
	IdleTimeout = 2100 * time.Millisecond
	// LingerTimeout and lingerBytes bound what is read from a client after its connection was half closed:
	// closing with unread bytes would reset the connection, and the reset can overtake the last answer. A
	// client that sends without end is reset all the same, after it was answered.
	LingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// drainGrace is how long a draining connection takes further commands.
	drainGrace = LingerTimeout / 3
	// firstCommandGrace is how long after its opening a connection in a drain waits for its first command: its client
	// could not tell what became of that if the connection had been closed as it was sent.
	firstCommandGrace = 500 * time.Millisecond
	// silentAnswerTimeout bounds the wait for a command after one that was answered by silence: the client
	// has its answer only with the next one, also in a drain.
	silentAnswerTimeout = 2500 * time.Millisecond
)

// Drain closes the connection as soon as nothing is in flight on it. As a client that always has a command in
// flight would never let it come to that, what it sends after a moment more is not carried out.
func (c *Conn) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.drainBy(time.Now().Add(drainGrace))
	}
}

// DrainNow closes the connection as soon as nothing is in flight on it, and takes no further command.
func (c *Conn) DrainNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainBy(time.Now())
}

// drainBy starts a drain that takes commands until a deadline. c.mu is held.
func (c *Conn) drainBy(deadline time.Time) {
	c.draining, c.drainDeadline = true, deadline
	if c.inCommand && !c.halfClosed { // a part of a command has arrived
		c.socket.SetReadDeadline(c.cutoff())
	}
	c.wakeReader()
}

// RejectsCommands reports whether commands arrive too late to be carried out.
func (c *Conn) RejectsCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pastCutoff()
}

// pastCutoff reports whether a draining connection takes no more commands. c.mu is held.
func (c *Conn) pastCutoff() bool { return c.draining && !time.Now().Before(c.cutoff()) }

// cutoff returns when a draining connection takes no more commands: at its deadline, or when the wait for its first
// command or after an answer by silence is over, whichever is later. c.mu is held.
func (c *Conn) cutoff() time.Time {
	cutoff := c.drainDeadline
	if !c.hasReceived {
		cutoff = later(cutoff, c.openedAt.Add(firstCommandGrace))
	}
	if c.owesAnswer(time.Now()) {
		cutoff = later(cutoff, c.silentSince.Add(silentAnswerTimeout))
	}
	return cutoff
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// owesAnswer reports whether the client waits for a sign that what was answered by silence is done: closing now
// would leave it without any answer. c.mu is held.
func (c *Conn) owesAnswer(now time.Time) bool {
	return !c.silentSince.IsZero() && now.Sub(c.silentSince) < silentAnswerTimeout
}

// linger waits until everything is answered, half closes the connection, and reads on until the client closes
// too.
func (c *Conn) linger() {
	c.mu.Lock()
	c.inCommand = false
	c.blockReader(c.allAnswered)
	c.halfClosed = true
	c.mu.Unlock()
	c.socket.CloseWrite()
	c.socket.SetReadDeadline(time.Now().Add(LingerTimeout))
	io.CopyN(io.Discard, c.In, lingerBytes)
}

// allAnswered reports whether all commands that were read are answered, and the answers written. c.mu is held.
func (c *Conn) allAnswered() bool { return len(c.slots) == 0 && c.writingSince.IsZero() }

// IdleSince reports whether the connection may be closed as idle, and since when it has been idle.
func (c *Conn) IdleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswerAt, c.isIdle()
}

// isIdle reports whether nothing is under way on the connection, nor is it about to end. An answer that is being
// written is under way: the writer may wait for its client, or for the core. c.mu is held.
func (c *Conn) isIdle() bool {
	aboutToEnd := c.draining || c.closeIfIdle
	return !c.inCommand && c.allAnswered() && !aboutToEnd && !c.owesAnswer(time.Now())
}

// CloseIdle closes an idle connection, if the reader finds that it is still idle.
func (c *Conn) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() {
		c.closeIfIdle = true
		c.wakeReader()
	}
}
