package frontend

import (
	"errors"
	"io"
	"time"

	"mulleinpier/internal/socket"
)

const (
	// IdleTimeout is how long a connection without commands is kept. It closes the connections of clients that
	// connect and send nothing, or send one command and stay connected; a client that returns later has the cost of
	// a new connection.
	IdleTimeout = 2100 * time.Millisecond
	// LingerTimeout and lingerBytes limit how long and how much is read from a client after its connection was
	// half closed. Closing a socket with unread data resets the connection, and the reset can overtake the last
	// answer. A client that keeps sending is reset anyway, but after it was answered.
	LingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// deliveryTimeout bounds the wait for the delivery of the last answers before a reset, which is checked every
	// deliveryInterval.
	deliveryTimeout  = 20 * time.Millisecond
	deliveryInterval = time.Millisecond
	// drainGrace is how long a draining connection accepts further commands.
	drainGrace = LingerTimeout / 3
	// firstCommandGrace is how long after it was opened a draining connection waits for its first command. If the
	// connection were closed while that command is being sent, the client could not tell whether it was executed.
	firstCommandGrace = 500 * time.Millisecond
	// quietAnswerTimeout bounds the wait for the next command after a quiet command that completed without an
	// answer, also in a drain: only the next answer confirms the quiet command to the client.
	quietAnswerTimeout = 2500 * time.Millisecond
)

// Drain closes the connection as soon as nothing is in flight on it. Commands that arrive after the cutoff, normally
// drainGrace later, are rejected: a client that always has a command in flight would otherwise keep the connection
// open.
func (c *Conn) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.drainBy(time.Now().Add(drainGrace))
	}
}

// DrainNow closes the connection as soon as nothing is in flight on it. Unlike [Conn.Drain] it allows
// no drainGrace for further commands.
func (c *Conn) DrainNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainBy(time.Now())
}

// longPast is a read deadline in the past, which ends a read immediately.
var longPast = time.Unix(1, 0)

// errReadingEnded is the error of reads after [Conn.EndReading].
var errReadingEnded = errors.New("reading has ended")

// EndReading makes a draining connection read nothing more from its socket: a client that never stops sending must not
// hold up the drain. Commands that have been read are still answered. Closing the connection then resets it if anything
// is unread, from which the client learns that it has to send what was not answered elsewhere.
func (c *Conn) EndReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.halfClosed {
		c.readingEnded = true
		c.socket.SetReadDeadline(longPast)
	}
}

// hasReadingEnded reports whether [Conn.EndReading] was called.
func (c *Conn) hasReadingEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readingEnded
}

// drainBy starts a drain that accepts commands until the deadline. c.mu is held.
func (c *Conn) drainBy(deadline time.Time) {
	c.draining, c.drainDeadline = true, deadline
	if !c.readingEnded {
		c.wakeReader()
	}
}

// RejectsCommands reports whether the connection is draining and commands that arrive now are rejected.
func (c *Conn) RejectsCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pastCutoff()
}

// pastCutoff reports whether the connection is draining and accepts no more commands. c.mu is held.
func (c *Conn) pastCutoff() bool { return c.draining && !time.Now().Before(c.cutoff()) }

// cutoff returns the time from which a draining connection accepts no more commands: its drain deadline, or the end of
// firstCommandGrace or quietAnswerTimeout where one applies and is later. c.mu is held.
func (c *Conn) cutoff() time.Time {
	cutoff := c.drainDeadline
	if !c.hasReceived {
		cutoff = later(cutoff, c.openedAt.Add(firstCommandGrace))
	}
	if c.quietUnconfirmed(time.Now()) {
		cutoff = later(cutoff, c.quietSince.Add(quietAnswerTimeout))
	}
	return cutoff
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// quietUnconfirmed reports whether a quiet command completed without an answer and the client may still send another
// command, whose answer would confirm it. Closing the connection now would leave the client without any answer. c.mu
// is held.
func (c *Conn) quietUnconfirmed(now time.Time) bool {
	return !c.quietSince.IsZero() && now.Sub(c.quietSince) < quietAnswerTimeout
}

// linger waits until all commands are answered, half closes the connection, and discards what the client sends until
// it closes too, within LingerTimeout and lingerBytes.
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

// awaitDelivery waits until all commands that were read are answered and the client's machine has received the answers,
// the latter within deliveryTimeout: a reset discards answers that are still on their way.
func (c *Conn) awaitDelivery() {
	c.mu.Lock()
	c.noteReason("drain timeout")
	c.inCommand = false
	c.blockReader(c.allAnswered)
	c.halfClosed = true
	c.mu.Unlock()
	for end := time.Now().Add(deliveryTimeout); time.Now().Before(end) && socket.Undelivered(c.socket) > 0; {
		time.Sleep(deliveryInterval)
	}
}

// allAnswered reports whether the answers to all commands that were read have been written. c.mu is held.
func (c *Conn) allAnswered() bool { return len(c.slots) == 0 && c.writingSince.IsZero() }

// IdleSince returns the time of the last answer, or of the opening before there is one, and whether the connection is
// idle and may be closed.
func (c *Conn) IdleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswerAt, c.isIdle()
}

// isIdle reports whether the connection has no commands in flight and is not about to be closed. A command whose
// answer is being written is in flight: the writer may be waiting for the client, or for the core. c.mu is held.
func (c *Conn) isIdle() bool {
	aboutToEnd := c.draining || c.closeIfIdle
	return !c.inCommand && c.allAnswered() && !aboutToEnd && !c.quietUnconfirmed(time.Now())
}

// CloseIdle closes the connection if it is idle and the reader finds it still idle.
func (c *Conn) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() {
		c.closeIfIdle = true
		c.wakeReader()
	}
}
