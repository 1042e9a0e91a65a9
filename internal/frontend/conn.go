// Package frontend is a client's connection through its life, whatever dialect is spoken
// on it: who reads and writes it, when it idles and how it ends. A dialect's
// [Session] reads its commands and says its answers.
//
// Invariants:
//
//  1. The reader alone ends a connection between commands; a command that has come is
//     never closed over.
//  2. Answers go out in the order of their commands, each once.
//  3. Every connection ends: one that idles, stops half way in a command or takes no
//     answer is closed within a bound.
package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
)

const (
	readBufferSize = 4 << 10
	// Commands of one connection that are at work; further ones wait unread.
	maxPipelined = 32
	// A client has so long to write a command, from its first byte: one that
	// stops half way must not hold a place, and is told so within 3 s.
	commandTimeout = 2500 * time.Millisecond
	// A connection without a request is closed after so long. It meets clients
	// that connect and say nothing, or ask once and stay; whoever comes back
	// later pays for a new connection.
	IdleTimeout = 2100 * time.Millisecond
	// What a client may still send after its connection was half closed is
	// read for so long, and so much of it: closing with unread bytes would reset
	// the connection, and the reset can overtake the last answer. An endless
	// sender is reset all the same, after it was told.
	LingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// A client whose last command was answered by silence has its answer only with
	// the next one that speaks: it is waited for so long, also in a drain.
	silentAnswerTimeout = 2500 * time.Millisecond
	maxWriteBytes       = 64 << 10 // bytes in one write
	maxUnbudgetedAnswer = 512      // an answer up to this size is not budgeted
)

// Host is what the connections of a proxy have in common.
type Host struct {
	Core         *core.Core
	BodyBudget   *Budget // of writes being read or held
	AnswerBudget *Budget // of values that clients have yet to take
	// Stats are the figures of a kind that clients may ask for, "" for the usual ones; nil
	// where there is no such kind.
	Stats func(kind string) []core.Stat
	// NewSession begins the dialect of a connection whose client sent this byte first.
	NewSession func(c *Conn, first byte) Session
}

// ReserveBody takes room for a write's body, if there is any. Where handovers go first a part of
// all room is theirs.
func (h *Host) ReserveBody(size int, keyed bool) bool {
	if !keyed && h.Core.OverloadLevel() >= overload.Handovers {
		return h.BodyBudget.TryAcquireUnreserved(size, core.ReservedDivisor)
	}
	return h.BodyBudget.TryAcquire(size)
}

// Session is a dialect on one connection. Its methods are called by the
// connection's reader only.
type Session interface {
	// ServeCommand carries out one command, of which the first byte has come. It returns
	// true when what follows can't be read as commands, or is not to be.
	ServeCommand() (lost bool, err error)
	// TimeoutAnswer is what a client is told whose command took too long; nil for nothing.
	TimeoutAnswer() []byte
}

// Conn is a client's connection.
type Conn struct {
	In      *bufio.Reader // for the session only
	reader  timedReader
	host    *Host
	socket  *net.TCPConn
	session Session // nil until the first command

	mu                    sync.Mutex
	changed               sync.Cond // of what follows
	slots                 []*Slot   // in the order of the commands
	inCommand             bool      // within a command
	hasReceived           bool      // a command has begun on it, ever
	closeIfIdle           bool      // to be closed if it idles still
	draining              bool      // to be closed between requests
	drainDeadline         time.Time // when ending: no command is taken after it
	halfClosed            bool      // half closed: nothing more is answered
	gone                  bool      // nothing can be written any more
	readerBlocked         bool      // the reader waits for something else than the client
	rejectedWhileDraining int       // commands that came late in a drain
	lastAnswerAt          time.Time // of the last answer
	silentSince           time.Time // when the first silent answer was had that nothing has followed; zero for none
	writingSince          time.Time // since when a write has been out, zero for none
	commandDeadline       time.Time // of the command under way, as set by limitCommand; zero between commands
	closeReason           string    // why it ends, for the log; the first one known
	openedAt              time.Time
}

// Slot is the place of one command's answer among those of its connection.
type Slot struct {
	InFlight *core.InFlightRequest // of a command that became a request; set by the session at once
	conn     *Conn
	text     []byte // nil until it is answered; under conn.mu
}

// RemoteHost returns the host that the client's connection comes from.
func (c *Conn) RemoteHost() string {
	host, _, _ := net.SplitHostPort(c.socket.RemoteAddr().String())
	return host
}

// New returns a connection that is yet to be served, and may have waited to be accepted since a time by the core's
// clock.
func New(host *Host, socket *net.TCPConn, since time.Duration) *Conn {
	now := time.Now()
	c := &Conn{host: host, socket: socket, lastAnswerAt: now, openedAt: now}
	c.reader.begin(c, since)
	c.In = bufio.NewReaderSize(&c.reader, readBufferSize)
	c.changed.L = &c.mu
	return c
}

// Address returns the address that the client's connection comes from.
func (c *Conn) Address() string { return c.socket.RemoteAddr().String() }

// Address implements core.Addressed.
func (r *Slot) Address() string { return r.conn.Address() }

// noteReason notes why the connection ends, for the log. c.mu is held.
func (c *Conn) noteReason(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// recordBegin and recordEnd write the connection's life down where events are logged.
func (c *Conn) recordBegin() {
	if record := c.host.Core.Recorder(); record.Enabled() {
		record.Record(eventlog.ClientConnected{Client: c.Address()})
	}
}

func (c *Conn) recordEnd(unanswered int) {
	if record := c.host.Core.Recorder(); record.Enabled() {
		record.Record(eventlog.ClientDisconnected{Client: c.Address(), Reason: c.closeReason, Unanswered: unanswered, Duration: time.Since(c.openedAt)})
	}
}

// Serve runs a connection to its end.
func (c *Conn) Serve() {
	c.recordBegin()
	var writer sync.WaitGroup
	writer.Go(c.writeAnswers)
	if c.readCommands() {
		// Framing is lost: say so and go, but only after all that was asked before.
		c.mu.Lock()
		c.noteReason("framing lost")
		c.mu.Unlock()
		c.Drain()
		c.linger()
	}
	c.mu.Lock()
	c.noteReason("client closed")
	c.gone = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.socket.Close()
	writer.Wait()
	var unanswered []*core.InFlightRequest
	for _, r := range c.slots {
		if r.InFlight != nil {
			unanswered = append(unanswered, r.InFlight)
		}
	}
	c.recordEnd(len(c.slots))
	c.host.Core.ClientDisconnected(unanswered)
}

// readCommands takes commands until the client leaves. It returns true when what
// follows cannot be read as commands.
func (c *Conn) readCommands() bool {
	for {
		if !c.awaitCommand() {
			return false
		}
		c.limitCommand()
		if c.session == nil {
			first, err := c.In.Peek(1)
			if err != nil {
				return false
			}
			c.session = c.host.NewSession(c, first[0])
		}
		if lost, err := c.session.ServeCommand(); isTimeout(err) {
			if text := c.session.TimeoutAnswer(); text != nil {
				c.AddSlot(new(Slot)).Finish(text)
			}
			return true
		} else if lost || err != nil {
			return lost
		}
	}
}

// limitCommand bounds the time of a command that has begun. One that comes in
// while its connection ends is whole soon, or is never taken: what is taken late
// in a drain could not be answered before its end.
func (c *Conn) limitCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(commandTimeout)
	if c.draining {
		if cutoff := c.cutoff(); cutoff.Before(until) {
			// One that is to be refused still has to be read.
			if until = cutoff; c.rejectsCommands() {
				until = time.Now().Add(LingerTimeout / 3)
			}
		}
	}
	c.commandDeadline = until
	c.socket.SetReadDeadline(until)
}

// AddSlot makes slot the place of the next answer, and waits while there are too many.
func (c *Conn) AddSlot(slot *Slot) *Slot {
	slot.conn = c
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.slots) >= maxPipelined && !c.gone {
		c.waitForSlot()
	}
	c.slots = append(c.slots, slot)
	return slot
}

// waitForSlot waits until one more command may be in flight. Nothing is read meanwhile. c.mu is held, also while
// the core's clock is asked, which may take the core's lock: see KNOWN-RED.txt.
func (c *Conn) waitForSlot() {
	start := c.host.Core.Now()
	c.blockReader(func() bool { return len(c.slots) < maxPipelined })
	c.reader.noteUnread(start)
}

// blockReader waits with the reader until done, or until the connection is gone. c.mu is held.
func (c *Conn) blockReader(done func() bool) {
	c.readerBlocked = true
	for !done() && !c.gone {
		c.changed.Wait()
	}
	c.readerBlocked = false
}

// ReaderBlocked tells whether the reader would not notice that the client leaves: whoever
// tidies up has to ask [Conn.Disconnected] then.
func (c *Conn) ReaderBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readerBlocked
}

// Submit gives the core a request that has come, with r as the place of its answer. In a drain
// it may be too late for that: then it is refused at once, as a close would lose it. It is for sessions.
func (c *Conn) Submit(in *request.Request, r *Slot, reply core.Reply) {
	in.Arrival = c.CommandArrival()
	c.AddSlot(r)
	c.mu.Lock()
	late, gone := c.rejectsCommands(), c.gone
	if late {
		c.rejectedWhileDraining++
	}
	c.mu.Unlock()
	switch {
	case gone:
		c.host.Core.Recorder().Record(eventlog.RequestRejected{ID: in.ID, Client: c.Address(), Reason: "client gone"})
	case late:
		c.host.Core.Reject(in, reply)
	default:
		r.InFlight = c.host.Core.Submit(in, reply)
	}
}

// awaitCommand waits for the first byte of a command, and tells whether one is to be taken.
//
// The reader alone ends a connection between commands. Whoever else wants it ended
// says so and wakes the reader: a command may have been read that nobody knows of
// yet, and closing over it would lose it.
func (c *Conn) awaitCommand() bool {
	for {
		switch c.prepareNextCommand() {
		case keepReading:
		case drained:
			c.linger()
			return false
		case closed:
			return false
		}
		_, err := c.In.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.inCommand, c.hasReceived, c.closeIfIdle = true, true, false
			return true
		}
		if !isTimeout(err) {
			return false
		}
	}
}

// What becomes of a connection between two commands.
type readerState uint8

const (
	keepReading readerState = iota // it is read on
	drained                        // it takes no more, and is closed once all is answered
	closed                         // it has been closed
)

// prepareNextCommand decides on the connection as the reader comes to its next command. One that
// has come already, but is not read yet, is taken first, as far as time allows:
// the proxy may have been short of its core for a while. What comes later in a drain, while
// others are waited for, is refused: a close over it would lose it.
func (c *Conn) prepareNextCommand() readerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inCommand, c.commandDeadline = false, time.Time{}
	until := time.Time{}
	if c.closeIfIdle || c.draining {
		late := c.rejectsCommands()
		waits := c.In.Buffered() > 0 || socket.Readable(c.socket) || !c.allAnswered()
		switch {
		case late && (!waits || c.rejectedWhileDraining >= maxPipelined):
			c.noteReason("drain, late")
			return drained
		case late: // the writer wakes the reader when all is answered
		case waits || c.owesAnswer(time.Now()):
		case c.closeIfIdle:
			c.noteReason("idle")
			c.socket.Close() // its last answer has long been taken: nothing to linger for
			return closed
		// One that was just opened is spared for a moment: its first command is on its
		// way, and a client whose new connection closes at once can't tell what
		// became of it.
		case c.draining && c.hasReceived:
			c.noteReason("drain")
			return drained
		}
		c.closeIfIdle = false
		if c.draining && !late {
			until = c.cutoff()
		}
	}
	c.socket.SetReadDeadline(until)
	return keepReading
}

// allAnswered tells whether all commands that were read are answered, and the answers
// written. c.mu is held.
func (c *Conn) allAnswered() bool { return len(c.slots) == 0 && c.writingSince.IsZero() }

// wakeReader has a reader that waits for a command decide anew. c.mu is held.
func (c *Conn) wakeReader() {
	if !c.inCommand && !c.halfClosed {
		c.socket.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close cuts the connection, whatever is under way on it. The reason is for the log.
func (c *Conn) Close(reason string) {
	c.mu.Lock()
	c.noteReason(reason)
	c.mu.Unlock()
	c.socket.Close()
}

// Drain closes the connection as soon as nothing is under way on it. A client that
// always has a command out would never let it come to that: what it sends
// after a moment more is not read, and it asks elsewhere.
func (c *Conn) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.drainBy(time.Now().Add(LingerTimeout / 3))
	}
}

// DrainNow ends the connection and takes no further command.
func (c *Conn) DrainNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainBy(time.Now())
}

// drainBy is what end and hurry have in common. c.mu is held.
func (c *Conn) drainBy(until time.Time) {
	c.draining, c.drainDeadline = true, until
	if c.inCommand && !c.halfClosed { // a command that is half there
		c.socket.SetReadDeadline(c.cutoff())
	}
	c.wakeReader()
}

// RejectsCommands tells whether commands come too late to be taken.
func (c *Conn) RejectsCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejectsCommands()
}

// rejectsCommands is Late with c.mu held.
func (c *Conn) rejectsCommands() bool { return c.draining && !time.Now().Before(c.cutoff()) }

// cutoff is when an ending connection takes no more commands. c.mu is held.
func (c *Conn) cutoff() time.Time {
	if now := time.Now(); c.owesAnswer(now) && c.drainDeadline.Before(c.silentSince.Add(silentAnswerTimeout)) {
		return c.silentSince.Add(silentAnswerTimeout)
	}
	return c.drainDeadline
}

// owesAnswer tells whether the client waits for a sign that what was answered by silence is
// done: closing now would leave it without any answer. c.mu is held.
func (c *Conn) owesAnswer(now time.Time) bool {
	return !c.silentSince.IsZero() && now.Sub(c.silentSince) < silentAnswerTimeout
}

// linger answers what was read, half closes the connection, and reads on until the
// client closes too.
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

// IdleSince tells whether the connection may be closed, and since when it has idled.
func (c *Conn) IdleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswerAt, c.isIdle()
}

// isIdle tells whether nothing is under way on the connection, nor will it end by
// itself. An answer in writing is under way: the writer may wait for its
// client, or for the core. c.mu is held.
func (c *Conn) isIdle() bool {
	return !c.inCommand && c.allAnswered() && !c.draining && !c.closeIfIdle && !c.owesAnswer(time.Now())
}

// CloseIdle closes a connection that idles, if the reader finds that it still does.
func (c *Conn) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() {
		c.closeIfIdle = true
		c.wakeReader()
	}
}

// WriteBlockedSince tells since when the client has taken nothing of what is being written.
func (c *Conn) WriteBlockedSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writingSince
}

// Disconnected implements core.DisconnectChecker.
func (r *Slot) Disconnected() bool { return r.conn.Disconnected() }

// Disconnected tells whether the client has gone: closed, half closed or reset its connection, whatever of what it sent
// is unread. That ends the connection here too, with all that is open on it.
func (c *Conn) Disconnected() bool {
	if !socket.PeerClosed(c.socket) {
		return false
	}
	c.mu.Lock()
	c.noteReason("client gone")
	c.gone = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.socket.Close()
	return true
}

// FinishSilently answers a command by nothing.
func (r *Slot) FinishSilently() { r.Finish([]byte{}) }

// Finish sets the answer of a command, whether or not there is room for it: it is
// for what is small or the proxy's own.
func (r *Slot) Finish(text []byte) { r.FinishValue(text, nil) }

// FinishValue sets the answer of a command. One that finds no room among those held
// for clients slow to take theirs becomes what instead returns, in the words of the
// client's dialect.
func (r *Slot) FinishValue(text []byte, instead func() []byte) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	if len(text) > maxUnbudgetedAnswer {
		if instead == nil {
			c.host.AnswerBudget.Release(-len(text))
		} else if !c.host.AnswerBudget.TryAcquire(len(text)) {
			text = instead()
		}
	}
	r.text = text
	c.changed.Broadcast()
}

// releaseAnswers gives back what held answers took of the budget.
func (h *Host) releaseAnswers(texts net.Buffers) {
	held := 0
	for _, text := range texts {
		if len(text) > maxUnbudgetedAnswer {
			held += len(text)
		}
	}
	h.AnswerBudget.Release(held)
}

// writeAnswers sends answers in the order of the commands.
func (c *Conn) writeAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		texts, taken := c.takeReady()
		switch {
		case c.gone:
			c.host.releaseAnswers(texts)
			for _, r := range c.slots {
				c.host.releaseAnswers(net.Buffers{r.text})
			}
			return
		case len(texts) == 0 && taken:
			c.lastAnswerAt = time.Now()
			if c.draining && c.allAnswered() {
				c.wakeReader()
			}
			c.changed.Broadcast()
		case len(texts) == 0:
			c.changed.Wait()
		default:
			c.writingSince = time.Now()
			c.mu.Unlock()
			left := append(net.Buffers(nil), texts...) // WriteTo eats its receiver
			_, err := left.WriteTo(c.socket)
			c.host.releaseAnswers(texts)
			c.mu.Lock()
			c.lastAnswerAt, c.writingSince = time.Now(), time.Time{}
			if err != nil {
				c.noteReason("write: " + err.Error())
				c.gone = true
				c.socket.Close() // wakes the reader
			}
			if c.draining && c.allAnswered() {
				c.wakeReader()
			}
			c.changed.Broadcast()
		}
	}
}

// takeReady takes the answers that can be written now off the replies, and tells whether
// there were any, silent ones among them. c.mu is held.
func (c *Conn) takeReady() (texts net.Buffers, taken bool) {
	for size := 0; len(c.slots) > 0 && c.slots[0].text != nil && size < maxWriteBytes; taken = true {
		if text := c.slots[0].text; len(text) > 0 {
			texts, size, c.silentSince = append(texts, text), size+len(text), time.Time{}
		} else if c.silentSince.IsZero() {
			c.silentSince = time.Now()
		}
		c.slots[0] = nil
		c.slots = c.slots[1:]
	}
	return texts, taken
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
