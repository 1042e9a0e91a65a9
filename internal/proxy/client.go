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
)

const (
	clientBuffer = 4 << 10
	// Commands of one connection that are at work; further ones wait unread.
	pipelined = 64
	// A client may take 2 s to write a command.
	commandTime = 10 * time.Second
	// What a client may still send after its connection was half closed is
	// read for so long: closing with unread bytes would reset the connection,
	// and the reset can overtake the last answer.
	lingerTime = time.Second
	// A stream's part that waits for no budget, so that each goes on.
	streamWindow = 64 << 10
	writeMost    = 64 << 10 // bytes in one write of a stream
)

// client is a client's connection.
type client struct {
	server *Server
	socket *net.TCPConn
	in     *bufio.Reader

	mu       sync.Mutex
	changed  sync.Cond // of what follows
	replies  []*reply  // in the order of the commands
	busy     bool      // within a command
	ending   bool      // to be closed between requests
	finished bool      // half closed: nothing more is answered
	gone     bool      // nothing can be written any more
	since    time.Time // of the last answer
	writing  time.Time // since when a write has been out, zero for none
}

// reply is the place of one command's answer among those of its connection.
// It is guarded by client.mu.
type reply struct {
	client   *client
	request  *request // of a command that became one
	parts    [][]byte
	size     int  // bytes in parts
	budgeted int  // of them from the server's budget for streams
	done     bool // no further parts come
	broken   bool // and the last is missing
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
	c.server.core.leave(c.replies)
}

// read takes commands until the client leaves. It returns true when what
// follows cannot be read as commands.
func (c *client) read() bool {
	for {
		if c.in.Buffered() == 0 {
			c.idle()
			if _, err := c.in.Peek(1); err != nil {
				return false
			}
			if !c.begin() {
				c.linger()
				return false
			}
		}
		whole, _ := c.in.Peek(c.in.Buffered())
		if bytes.IndexByte(whole, '\n') < 0 {
			c.socket.SetReadDeadline(time.Now().Add(commandTime))
		}
		text, err := c.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(text) > meta.MaxLine {
			c.add().finish([]byte("CLIENT_ERROR line too long\r\n"))
			return true
		}
		if err != nil {
			return false
		}
		line, ok := strings.CutSuffix(string(text), "\r\n")
		if !ok {
			c.add().finish([]byte("CLIENT_ERROR line does not end in CRLF\r\n"))
			return true
		}
		if lost, err := c.command(line); lost || err != nil {
			return lost
		}
		c.socket.SetReadDeadline(time.Time{})
	}
}

// command carries out one command, of which the line has been read.
func (c *client) command(line string) (lost bool, err error) {
	command, err := meta.ParseCommand(line)
	var bad *meta.ClientError
	switch {
	case errors.As(err, &bad):
		if bad.Skip > 0 {
			c.socket.SetReadDeadline(time.Now().Add(commandTime))
			if _, err := c.in.Discard(bad.Skip); err != nil {
				return false, err
			}
		}
		c.add().finish([]byte("CLIENT_ERROR " + bad.Reason + "\r\n"))
		return bad.Skip < 0, nil
	case err != nil:
		c.add().finish([]byte("ERROR\r\n"))
		return false, nil
	case command.Verb == meta.Noop:
		c.add().finish([]byte("MN\r\n"))
		return false, nil
	}
	var body []byte
	if command.Verb == meta.Set {
		if c.in.Buffered() < command.Size+2 {
			c.socket.SetReadDeadline(time.Now().Add(commandTime))
		}
		c.server.bodies.take(command.Size + 2)
		body = make([]byte, command.Size+2)
		if _, err := io.ReadFull(c.in, body); err != nil {
			c.server.bodies.give(len(body))
			return false, err
		}
		if !bytes.HasSuffix(body, []byte("\r\n")) {
			c.server.bodies.give(len(body))
			c.add().finish([]byte("CLIENT_ERROR bad data chunk\r\n"))
			return true, nil
		}
	}
	reply := c.add()
	r := c.server.core.arrive(command, body, reply)
	if r == nil {
		c.server.bodies.give(len(body))
		return false, nil
	}
	reply.request = r
	return false, nil
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

// idle tells that the reader is between commands.
func (c *client) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.maybeFinish()
}

// begin tells that a command has begun; false means that it comes too late,
// and the client will send it again elsewhere.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.finished
}

// end closes the connection as soon as nothing is under way on it.
func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.maybeFinish()
}

// maybeFinish half closes an ending connection that has answered all.
func (c *client) maybeFinish() {
	if c.ending && !c.busy && len(c.replies) == 0 && !c.finished {
		c.finished = true
		c.socket.CloseWrite()
		c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// linger reads on until the client closes too.
func (c *client) linger() {
	c.mu.Lock()
	c.busy = false
	c.maybeFinish()
	for !c.finished && !c.gone {
		c.changed.Wait()
	}
	c.mu.Unlock()
	c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, c.in)
}

// isIdle tells whether the connection may be closed, and since when it has idled.
func (c *client) isIdle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, !c.busy && len(c.replies) == 0 && !c.ending
}

// stuckSince tells since when the client has taken nothing of what is being written.
func (c *client) stuckSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// finish sets the answer of a command.
func (r *reply) finish(text []byte) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.parts, r.done = append(r.parts, text), true
	c.changed.Broadcast()
}

// begin starts an answer that comes in parts.
func (r *reply) begin(text []byte) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.parts = append(r.parts, text)
	c.changed.Broadcast()
}

// Write implements upstream.Stream. It waits for a slow client once the budget
// for streams is used up, so that until then others on the node's connection
// are not held up.
func (r *reply) Write(part []byte) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.gone {
		if r.size < streamWindow || c.server.streams.try(len(part)) {
			if r.size >= streamWindow {
				r.budgeted += len(part)
			}
			r.parts = append(r.parts, part)
			r.size += len(part)
			c.changed.Broadcast()
			return
		}
		c.changed.Wait()
	}
}

// complete ends an answer in parts; if it is not whole, the client can tell by
// the end of its connection only.
func (r *reply) complete(whole bool) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.done, r.broken = true, !whole
	c.changed.Broadcast()
}

// write sends answers in the order of the commands.
func (c *client) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		parts, broken := c.ready()
		switch {
		case c.gone:
			c.abandon()
			return
		case broken:
			c.gone = true
			c.socket.Close() // wakes the reader
		case len(parts) == 0:
			c.changed.Wait()
		default:
			c.writing = time.Now()
			c.mu.Unlock()
			_, err := parts.WriteTo(c.socket)
			c.mu.Lock()
			c.since, c.writing = time.Now(), time.Time{}
			if err != nil {
				c.gone = true
				c.socket.Close()
			}
			c.maybeFinish()
			c.changed.Broadcast()
		}
	}
}

// ready takes what can be written now off the replies.
func (c *client) ready() (parts net.Buffers, broken bool) {
	size := 0
	for len(c.replies) > 0 && size < writeMost {
		r := c.replies[0]
		for len(r.parts) > 0 && size < writeMost {
			part := r.parts[0]
			r.parts[0] = nil
			r.parts = r.parts[1:]
			parts = append(parts, part)
			size += len(part)
			r.size = max(r.size-len(part), 0)
			if spare := r.budgeted - r.size; spare > 0 {
				r.budgeted -= spare
				c.server.streams.give(spare)
			}
		}
		if !r.done || len(r.parts) > 0 {
			break
		}
		if r.broken {
			return parts, len(parts) == 0
		}
		c.replies[0] = nil
		c.replies = c.replies[1:]
	}
	return parts, false
}

// abandon gives back what the replies of a client that has gone held.
func (c *client) abandon() {
	for _, r := range c.replies {
		c.server.streams.give(r.budgeted)
		r.budgeted, r.parts = 0, nil
	}
}
