package frontend

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/socket"
)

// readBufferSize is the size in bytes of a connection's read buffer.
const readBufferSize = 4 << 10

// Host is the state that the connections of a listener share.
type Host struct {
	Core         *core.Core
	BodyBudget   *Budget      // for the bodies of writes that are being read or are in flight
	AnswerBudget *Budget      // for answers that have not been written to their clients
	floodSlots   atomic.Int32 // rejected commands of full pipelines whose answers have not been written, see flood.go
	// Stats returns the statistics of a kind, "" for the general ones. It returns nil for an unknown kind.
	Stats func(kind string) []core.Stat
	// NewSession creates the session of a connection. first is the first byte that the client sent.
	NewSession func(c *Conn, first byte) Session
}

// ReserveBody reserves size bytes of BodyBudget for the body of a write in the given class, and reports whether the
// budget sufficed. From degradation level overload.Handovers on, part of the budget is reserved for keyed writes.
func (h *Host) ReserveBody(size int, class string) bool {
	if !h.Core.IsKeyed(class) && h.Core.OverloadLevel() >= overload.Handovers {
		return h.BodyBudget.TryAcquireUnreserved(size, core.ReservedDivisor)
	}
	return h.BodyBudget.TryAcquire(size)
}

// Session implements a dialect on one connection. Only the connection's reader calls its methods.
type Session interface {
	// ServeCommand reads and executes one command, whose first byte has arrived. It returns stop if no further
	// commands are to be read, for example because the start of the next one can't be found.
	ServeCommand() (stop bool, err error)
	// TimeoutAnswer returns the answer to a command that did not arrive completely in time, nil for none.
	TimeoutAnswer() []byte
}

// Conn is a client's connection.
type Conn struct {
	In      *bufio.Reader // for the session only
	reader  timedReader   // for the reader only
	host    *Host
	socket  *net.TCPConn
	session Session // for the reader only; nil until the first command

	openedAt time.Time

	mu      sync.Mutex // guards the fields below
	changed sync.Cond  // signals changes of slots, gone and writingSince

	slots           []*Slot   // slots whose answers have not been taken for writing, in the order of the commands
	inCommand       bool      // the reader is reading or executing a command
	commandDeadline time.Time // for reading the rest of that command; zero between commands
	hasReceived     bool      // the first byte of a command has been received
	readerBlocked   bool      // the reader waits for something other than the client
	blockedSince    time.Time // when that wait, or the latest one, began
	floodSeen       bool      // so much is unread that the end of the connection may be hidden behind it

	lastAnswerAt time.Time
	writingSince time.Time // start of the write that is under way, zero for none
	// quietSince is when the first quiet command since the last answer completed without an answer, zero for none.
	quietSince time.Time

	closeIfIdle   bool      // the reader closes the connection if it is still idle
	draining      bool      // the reader closes the connection between commands
	drainDeadline time.Time // when draining: end of accepting commands, which cutoff may extend
	readingEnded  bool      // nothing more is read from the socket; the read deadline stays in the past
	halfClosed    bool      // the sending side is closed, or about to be: nothing more is answered
	gone          bool      // nothing can be written any more
	closeReason   string    // for the event log; the first one noted
}

// Slot holds the position of one command's answer in the order of its connection's answers. Once it has the answer it
// holds nothing of the command, since answers may wait for long until the client reads them.
type Slot struct {
	conn     *Conn
	flood    bool                  // counts against Host.floodSlots
	inFlight *core.InFlightRequest // while the core has the command's request and it is unanswered; guarded by conn.mu
	text     []byte                // the answer, nil until the command is answered; guarded by conn.mu
}

// New returns a connection to be served by [Conn.Serve]. waitedSince is the time, by the core's clock, since which it
// may have waited to be accepted.
func New(host *Host, connection *net.TCPConn, waitedSince time.Duration) *Conn {
	now := time.Now()
	c := &Conn{host: host, socket: connection, lastAnswerAt: now, openedAt: now}
	c.reader.init(c, waitedSince)
	c.In = bufio.NewReaderSize(&c.reader, readBufferSize)
	c.changed.L = &c.mu
	return c
}

// Address returns the client's address and port.
func (c *Conn) Address() string { return c.socket.RemoteAddr().String() }

// RemoteHost returns the client's address without the port.
func (c *Conn) RemoteHost() string {
	host, _, _ := net.SplitHostPort(c.Address())
	return host
}

// Address implements core.Addressed.
func (s *Slot) Address() string { return s.conn.Address() }

// Serve serves the connection until it ends, closes the socket, and tells the core which requests are unanswered.
func (c *Conn) Serve() {
	c.recordConnected()
	var writer sync.WaitGroup
	writer.Go(c.writeAnswers)
	if c.readCommands() == framingLost {
		c.mu.Lock()
		c.noteReason("framing lost")
		c.mu.Unlock()
		c.Drain()
		c.linger()
	}
	c.mu.Lock()
	c.markGone("client closed")
	c.mu.Unlock()
	c.socket.Close()
	writer.Wait()
	c.releaseFloodSlots(c.slots)
	c.recordDisconnected(len(c.slots))
	c.host.Core.ClientDisconnected(c.unanswered())
}

// unanswered returns the requests in flight that have not been answered.
func (c *Conn) unanswered() (requests []*core.InFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, slot := range c.slots {
		if slot.inFlight != nil {
			requests = append(requests, slot.inFlight)
		}
	}
	return requests
}

// Close closes the connection immediately, even if commands are in flight. The reason is for the event log.
func (c *Conn) Close(reason string) {
	c.mu.Lock()
	c.noteReason(reason)
	c.mu.Unlock()
	c.socket.Close()
}

// Disconnected implements core.DisconnectChecker.
func (s *Slot) Disconnected() bool { return s.conn.Disconnected() }

// Disconnected reports whether the client has closed, half closed or reset its connection, even if some of the data
// that it sent is unread. If so, Disconnected also closes the connection, even if commands are in flight.
func (c *Conn) Disconnected() bool {
	if !socket.PeerClosed(c.socket) {
		return false
	}
	c.mu.Lock()
	c.markGone("client gone")
	c.mu.Unlock()
	c.socket.Close()
	return true
}

// markGone records that nothing can be written any more, and why. c.mu is held.
func (c *Conn) markGone(reason string) {
	c.noteReason(reason)
	c.gone = true
	c.changed.Broadcast()
}

// noteReason records why the connection ends, for the event log; the first reason counts. c.mu is held.
func (c *Conn) noteReason(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

func (c *Conn) recordConnected() {
	if recorder := c.host.Core.Recorder(); recorder.Enabled() {
		recorder.Record(eventlog.ClientConnected{Client: c.Address()})
	}
}

func (c *Conn) recordDisconnected(unanswered int) {
	recorder := c.host.Core.Recorder()
	if !recorder.Enabled() {
		return
	}
	c.mu.Lock()
	reason := c.closeReason
	c.mu.Unlock()
	recorder.Record(eventlog.ClientDisconnected{
		Client:     c.Address(),
		Reason:     reason,
		Unanswered: unanswered,
		Duration:   time.Since(c.openedAt),
	})
}
