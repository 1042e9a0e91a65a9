package frontend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/socket"
)

// readBufferSize is the size of the buffer of what is read from a client, in bytes.
const readBufferSize = 4 << 10

// Host is what the connections of a listener have in common.
type Host struct {
	Core         *core.Core
	BodyBudget   *Budget // for the bodies of writes that are being read or are in flight
	AnswerBudget *Budget // for the values that clients have yet to take
	// Stats returns the statistics of a kind, "" for the general ones. It returns nil for an unknown kind.
	Stats func(kind string) []core.Stat
	// NewSession starts the dialect of a connection whose client sent this byte first.
	NewSession func(c *Conn, first byte) Session
}

// ReserveBody reserves budget for the body of a write of a class, and reports whether there was enough. From level
// overload.Handovers on a part of the budget is reserved for keyed writes.
func (h *Host) ReserveBody(size int, class string) bool {
	if !h.Core.IsKeyed(class) && h.Core.OverloadLevel() >= overload.Handovers {
		return h.BodyBudget.TryAcquireUnreserved(size, core.ReservedDivisor)
	}
	return h.BodyBudget.TryAcquire(size)
}

// Session is a dialect on one connection. Its methods are called by the connection's reader only.
type Session interface {
	// ServeCommand carries out one command, whose first byte has arrived. It returns true when what follows
	// can't be read as commands, or is not to be.
	ServeCommand() (lost bool, err error)
	// TimeoutAnswer returns the answer to a command that did not arrive completely in time, nil for none.
	TimeoutAnswer() []byte
}

// Conn is a client's connection.
type Conn struct {
	In      *bufio.Reader // for the session only
	reader  timedReader   // belongs to the reader
	host    *Host
	socket  *net.TCPConn
	session Session // belongs to the reader; nil until the first command

	openedAt time.Time

	mu      sync.Mutex // guards what follows
	changed sync.Cond  // signals changes of slots, gone and writingSince

	slots           []*Slot   // of commands that are not answered, in the order of the commands
	inCommand       bool      // the reader is within a command
	commandDeadline time.Time // for the rest of that command; zero between commands
	hasReceived     bool      // a command has begun on the connection, ever
	readerBlocked   bool      // the reader waits for something else than the client

	lastAnswerAt time.Time
	writingSince time.Time // of the write that is under way, zero for none
	// silentSince is when a command was answered by silence that no answer has followed yet, zero for none.
	silentSince time.Time

	closeIfIdle           bool      // close the connection if it is still idle
	draining              bool      // close the connection between requests
	drainDeadline         time.Time // when draining: no command is taken after it, see cutoff
	rejectedWhileDraining int       // commands that arrived after it
	halfClosed            bool      // nothing more is answered
	gone                  bool      // nothing can be written any more
	closeReason           string    // for the event log; the first that is known
}

// Slot is the place of one command's answer among those of its connection.
type Slot struct {
	InFlight *core.InFlightRequest // of a command that became a request; set by the reader
	conn     *Conn
	text     []byte // nil until the command is answered; guarded by conn.mu
}

// New returns a connection that is to be served by [Conn.Serve], and that may have waited to be accepted since a
// time by the core's clock.
func New(host *Host, connection *net.TCPConn, waitedSince time.Duration) *Conn {
	now := time.Now()
	c := &Conn{host: host, socket: connection, lastAnswerAt: now, openedAt: now}
	c.reader.init(c, waitedSince)
	c.In = bufio.NewReaderSize(&c.reader, readBufferSize)
	c.changed.L = &c.mu
	return c
}

// Address returns the address that the client's connection comes from.
func (c *Conn) Address() string { return c.socket.RemoteAddr().String() }

// RemoteHost returns the host of that address.
func (c *Conn) RemoteHost() string {
	host, _, _ := net.SplitHostPort(c.Address())
	return host
}

// Address implements core.Addressed.
func (s *Slot) Address() string { return s.conn.Address() }

// Serve serves a connection to its end.
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
	c.recordDisconnected(len(c.slots))
	var unanswered []*core.InFlightRequest
	for _, slot := range c.slots {
		if slot.InFlight != nil {
			unanswered = append(unanswered, slot.InFlight)
		}
	}
	c.host.Core.ClientDisconnected(unanswered)
}

// Close closes the connection, whatever is under way on it. The reason is for the event log.
func (c *Conn) Close(reason string) {
	c.mu.Lock()
	c.noteReason(reason)
	c.mu.Unlock()
	c.socket.Close()
}

// Disconnected implements core.DisconnectChecker.
func (s *Slot) Disconnected() bool { return s.conn.Disconnected() }

// Disconnected reports whether the client has closed, half closed or reset its connection, even if some of what
// it sent is unread. If so the connection is closed here too, with all that is under way on it.
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

// markGone notes that nothing can be written any more. c.mu is held.
func (c *Conn) markGone(reason string) {
	c.noteReason(reason)
	c.gone = true
	c.changed.Broadcast()
}

// noteReason notes why the connection ends, for the event log. c.mu is held.
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
