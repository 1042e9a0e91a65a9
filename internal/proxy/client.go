package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"wrenroute/internal/meta"
	"wrenroute/internal/request"
	"wrenroute/internal/upstream"
)

const (
	clientBuffer = 4 << 10
	// Commands of one connection that are at work; further ones wait unread.
	pipelined = 32
	// A client has so long to write a command, from its first byte: one that
	// stops half way must not hold a place, and is told so within 3 s.
	commandTime = 2500 * time.Millisecond
	// A connection without a request is closed after so long. It meets clients
	// that connect and say nothing, or ask once and stay; whoever comes back
	// later pays for a new connection.
	idleTime = 2100 * time.Millisecond
	// What a client may still send after its connection was half closed is
	// read for so long, and so much of it: closing with unread bytes would reset
	// the connection, and the reset can overtake the last answer. An endless
	// sender is reset all the same, after it was told.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// A connection that sends so many commands in a row that can't be meant is
	// noise: it is told so and closed.
	badCommands = 8
	writeMost   = 64 << 10 // bytes in one write
	smallAnswer = 512      // an answer up to this size is not budgeted
)

// client is a client's connection.
type client struct {
	server *Server
	socket *net.TCPConn
	in     *bufio.Reader
	bad    int // commands in a row that can't be meant

	mu       sync.Mutex
	changed  sync.Cond // of what follows
	replies  []*reply  // in the order of the commands
	busy     bool      // within a command
	asked    bool      // a command has begun on it, ever
	closing  bool      // to be closed if it idles still
	ending   bool      // to be closed between requests
	until    time.Time // when ending: no command is taken after it
	finished bool      // half closed: nothing more is answered
	gone     bool      // nothing can be written any more
	since    time.Time // of the last answer
	writing  time.Time // since when a write has been out, zero for none
}

// reply is the place of one command's answer among those of its connection.
// It is guarded by client.mu.
type reply struct {
	client *client
	id     string // of a command that is a request
	size   int    // of its value, as budgeted
	held   *held  // of a command that became a request
	text   []byte // nil until it is answered
}

func newClient(s *Server, socket *net.TCPConn) *client {
	c := &client{server: s, socket: socket, in: bufio.NewReaderSize(socket, clientBuffer), since: time.Now()}
	c.changed.L = &c.mu
	return c
}

// serve runs a connection to its end.
func (c *client) serve() {
	var writer sync.WaitGroup
	writer.Go(c.write)
	if c.read() {
		// Framing is lost: say so and go, but only after all that was asked before.
		c.end()
		c.linger()
	}
	c.mu.Lock()
	c.gone = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.socket.Close()
	writer.Wait()
	var unanswered []*held
	for _, r := range c.replies {
		if r.held != nil {
			unanswered = append(unanswered, r.held)
		}
	}
	c.server.core.leave(unanswered)
}

// read takes commands until the client leaves. It returns true when what
// follows cannot be read as commands.
func (c *client) read() bool {
	for {
		if !c.await() {
			return false
		}
		c.limitCommand()
		if lost, err := c.readCommand(); isTimeout(err) {
			return c.refuse("CLIENT_ERROR command took too long\r\n")
		} else if lost || err != nil {
			return lost
		}
		if c.bad >= badCommands {
			return c.refuse("CLIENT_ERROR too many bad commands\r\n")
		}
	}
}

// refuse answers what can't be read on from. It returns true.
func (c *client) refuse(text string) bool {
	c.add().finish([]byte(text))
	return true
}

// readCommand carries out one command. It returns true when framing is lost.
func (c *client) readCommand() (lost bool, err error) {
	text, err := c.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(text) > meta.MaxLine {
		return c.refuse("CLIENT_ERROR line too long\r\n"), nil
	}
	if err != nil {
		return false, err
	}
	line, ok := strings.CutSuffix(string(text), "\r\n")
	if !ok {
		return c.refuse("CLIENT_ERROR line does not end in CRLF\r\n"), nil
	}
	command, err := meta.ParseCommand(line)
	var bad *meta.ClientError
	switch {
	case errors.As(err, &bad):
		if bad.Skip > 0 {
			if _, err := c.in.Discard(bad.Skip); err != nil {
				return false, err
			}
		}
		c.bad++
		c.refuse("CLIENT_ERROR " + bad.Reason + "\r\n")
		return bad.Skip < 0, nil
	case err != nil:
		c.bad++
		c.refuse("ERROR\r\n")
		return false, nil
	case command.Noop:
		c.bad = 0
		c.add().finish([]byte("MN\r\n"))
		return false, nil
	}
	var body []byte
	if command.Verb == request.Set {
		size := command.Size + 2
		if !c.server.bodies.try(size) {
			if _, err := c.in.Discard(size); err != nil {
				return false, err
			}
			c.add().Finish(&request.Answer{Kind: request.Busy})
			return false, nil
		}
		body = make([]byte, size)
		if _, err := io.ReadFull(c.in, body); err != nil {
			c.server.bodies.give(size)
			return false, err
		}
		if !bytes.HasSuffix(body, []byte("\r\n")) {
			c.server.bodies.give(size)
			return c.refuse("CLIENT_ERROR bad data chunk\r\n"), nil
		}
		command.Value = body[:command.Size]
	}
	reply := c.add()
	reply.id, reply.size, command.Room = command.ID, len(body), meta.Room(command.ID)
	if reply.held = c.server.core.arrive(&command.Request, reply); reply.held == nil {
		reply.Release()
		c.bad++
	} else {
		c.bad = 0
	}
	return false, nil
}

// limitCommand bounds the time of a command that has begun. One that comes in
// while its connection ends is whole soon, or is never taken: what is taken late
// in a drain could not be answered before its end.
func (c *client) limitCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(commandTime)
	if c.ending && c.until.Before(until) {
		until = c.until
	}
	c.socket.SetReadDeadline(until)
}

// add makes a place for the next answer, and waits while there are too many.
func (c *client) add() *reply {
	r := &reply{client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.replies) >= pipelined && !c.gone {
		c.changed.Wait()
	}
	c.replies = append(c.replies, r)
	return r
}

// await waits for the first byte of a command, and tells whether one is to be taken.
//
// The reader alone ends a connection between commands. Whoever else wants it ended
// says so and wakes the reader: a command may have been read that nobody knows of
// yet, and closing over it would lose it.
func (c *client) await() bool {
	for {
		switch c.rest() {
		case resting:
		case ending:
			c.linger()
			return false
		case closed:
			return false
		}
		_, err := c.in.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.busy, c.asked, c.closing = true, true, false
			return true
		}
		if !isTimeout(err) {
			return false
		}
	}
}

// What becomes of a connection between two commands.
type between uint8

const (
	resting between = iota // it is read on
	ending                 // it takes no more, and is closed once all is answered
	closed                 // it has been closed
)

// rest decides on the connection as the reader comes to its next command. One that
// has come already, but is not read yet, is taken first, as far as time allows:
// the proxy may have been short of its core for a while.
func (c *client) rest() between {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if !c.closing && !c.ending {
		c.socket.SetReadDeadline(time.Time{})
		return resting
	}
	switch {
	case c.late():
		return ending
	case c.in.Buffered() > 0 || !c.quiet() || upstream.Pending(c.socket):
	case c.closing:
		c.socket.Close() // its last answer has long been taken: nothing to linger for
		return closed
	// One that was just opened is spared for a moment: its first command is on its
	// way, and a client whose new connection closes at once can't tell what
	// became of it.
	case c.ending && c.asked:
		return ending
	}
	c.closing = false
	var until time.Time
	if c.ending {
		until = c.until
	}
	c.socket.SetReadDeadline(until)
	return resting
}

// quiet tells whether all commands that were read are answered, and the answers
// written. c.mu is held.
func (c *client) quiet() bool { return len(c.replies) == 0 && c.writing.IsZero() }

// wake has a reader that waits for a command decide anew. c.mu is held.
func (c *client) wake() {
	if !c.busy && !c.finished {
		c.socket.SetReadDeadline(time.Unix(1, 0))
	}
}

// end closes the connection as soon as nothing is under way on it. A client that
// always has a command out would never let it come to that: what it sends
// after a moment more is not read, and it asks elsewhere.
func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.endBy(time.Now().Add(lingerTime / 3))
	}
}

// hurry ends the connection and takes no further command.
func (c *client) hurry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endBy(time.Now())
}

// endBy is what end and hurry have in common. c.mu is held.
func (c *client) endBy(until time.Time) {
	c.ending, c.until = true, until
	if c.busy && !c.finished { // a command that is half there
		c.socket.SetReadDeadline(until)
	}
	c.wake()
}

// late tells whether commands come too late to be taken. c.mu is held.
func (c *client) late() bool { return c.ending && !time.Now().Before(c.until) }

// linger answers what was read, half closes the connection, and reads on until the
// client closes too.
func (c *client) linger() {
	c.mu.Lock()
	c.busy = false
	for !c.quiet() && !c.gone {
		c.changed.Wait()
	}
	c.finished = true
	c.mu.Unlock()
	c.socket.CloseWrite()
	c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.in, lingerBytes)
}

// idleSince tells whether the connection may be closed, and since when it has idled.
func (c *client) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.idles()
}

// idles tells whether nothing is under way on the connection, nor will it end by
// itself. An answer in writing is under way: the writer may wait for its
// client, or for the core. c.mu is held.
func (c *client) idles() bool { return !c.busy && c.quiet() && !c.ending && !c.closing }

// closeIdle closes a connection that idles, if the reader finds that it still does.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idles() {
		c.closing = true
		c.wake()
	}
}

// stuckSince tells since when the client has taken nothing of what is being written.
func (c *client) stuckSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// Finish implements Reply.
func (r *reply) Finish(a *request.Answer) { r.finish(meta.Append(a, r.id)) }

// Release implements Reply.
func (r *reply) Release() { r.client.server.bodies.give(r.size) }

// finish sets the answer of a command. One that finds no room among those held
// for clients slow to take theirs becomes a failure.
func (r *reply) finish(text []byte) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	if len(text) > smallAnswer && !c.server.answers.try(len(text)) {
		text = []byte("SERVER_ERROR out of memory\r\n")
	}
	r.text = text
	c.changed.Broadcast()
}

// release gives back what held answers took of the budget.
func (s *Server) release(texts net.Buffers) {
	held := 0
	for _, text := range texts {
		if len(text) > smallAnswer {
			held += len(text)
		}
	}
	s.answers.give(held)
}

// write sends answers in the order of the commands.
func (c *client) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		texts := c.ready()
		switch {
		case c.gone:
			c.server.release(texts)
			for _, r := range c.replies {
				c.server.release(net.Buffers{r.text})
			}
			return
		case len(texts) == 0:
			c.changed.Wait()
		default:
			c.writing = time.Now()
			c.mu.Unlock()
			left := append(net.Buffers(nil), texts...) // WriteTo eats its receiver
			_, err := left.WriteTo(c.socket)
			c.server.release(texts)
			c.mu.Lock()
			c.since, c.writing = time.Now(), time.Time{}
			if err != nil {
				c.gone = true
				c.socket.Close() // wakes the reader
			}
			if c.ending && c.quiet() {
				c.wake()
			}
			c.changed.Broadcast()
		}
	}
}

// ready takes the answers that can be written now off the replies.
func (c *client) ready() (texts net.Buffers) {
	for size := 0; len(c.replies) > 0 && c.replies[0].text != nil && size < writeMost; {
		text := c.replies[0].text
		texts, size = append(texts, text), size+len(text)
		c.replies[0] = nil
		c.replies = c.replies[1:]
	}
	return texts
}
