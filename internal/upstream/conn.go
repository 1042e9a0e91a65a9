package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
)

const (
	readBuffer = 4 << 10
	// An answer that has begun is all there within so long: nodes write it at
	// once, and stand still for 0.4 s at most. It meets lengths and lines that
	// promise more than comes, and values that never end.
	answerTime = 500 * time.Millisecond
	// Bodies up to this size are copied behind their line: one write less.
	copiedBody = 8 << 10
	// A node without room for one connection more answers busy and ends it, which
	// come together but not always in one piece.
	endTime = 2 * time.Millisecond
	// A write that ends so long after what allowed it was looked at is told as late.
	lateWrite = 300 * time.Millisecond
	// Where a node takes nothing for so long, what has not begun is looked at anew before it is
	// written: meanwhile its client may leave, or its node begin to drain.
	writeTime = 100 * time.Millisecond
)

// conn is one connection to a node. Its fields are guarded by Nodes.mu.
type conn struct {
	ns      *Pool
	node    *node
	socket  *net.TCPConn
	dialect Dialect
	opened  time.Time
	active  time.Time // last sign of life, or start of waiting for one
	wake    sync.Cond // for the writer
	out     []*Attempt
	sent    []*Attempt // written or being written, in order of their answers
	held    int        // attempts in the writer's hands, whose beginning is being looked at
	writing bool       // the writer holds a batch
	partly  int        // attempts at the end of sent that its write has not passed yet
	retired bool
	broken  bool // a write failed: what came before that is read yet
	used    bool // an answer but busy has come; the reader's own
	spoilt  bool // what came for the first of sent can't be read
	closed  bool
}

func newConn(ns *Pool, n *node, socket *net.TCPConn) *conn {
	now := time.Now()
	dialect := n.Dialect
	if dialect == nil {
		dialect = ns.dialect
	}
	c := &conn{ns: ns, node: n, socket: socket, dialect: dialect, opened: now, active: now, wake: sync.Cond{L: &ns.mu}}
	ns.tasks.Go(c.write)
	ns.tasks.Go(c.read)
	return c
}

func (c *conn) outstanding() int { return len(c.out) + c.held + len(c.sent) }

// awaited tells whether anybody waits for something on the connection.
func (c *conn) awaited() bool { return c.writing || c.wanted() }

// wanted is awaited, of what is in writing only what somebody waits for.
func (c *conn) wanted() bool {
	return len(c.out) > 0 || slices.ContainsFunc(c.sent, func(a *Attempt) bool { return !a.abandoned })
}

func (c *conn) queue(a *Attempt) {
	if c.outstanding() == 0 {
		c.active = time.Now()
	}
	c.out = append(c.out, a)
	c.wake.Signal()
}

// forsake has the kernel forget what the other end has not taken yet of what may change something and nobody waits for any
// more: it would deliver them whenever the way is open again, long after the window in which repeats are
// dropped. It meets cut links. It might hurt a node that would have answered just then: it sees a reset.
func (c *conn) forsake() {
	if slices.ContainsFunc(c.sent, func(a *Attempt) bool { return a.Request.SideEffects }) {
		c.socket.SetLinger(0)
	}
}

// close ends the connection; reader and writer notice, and the last of them
// ends its attempts. The reason is for the log.
func (c *conn) close(reason string) {
	if c.closed {
		return
	}
	c.closed = true
	if c.ns.record.Enabled() {
		c.ns.record.Record(eventlog.NodeDisconnected{Node: c.node.Name, Reason: reason, InFlight: len(c.sent), Queued: len(c.out) + c.held})
	}
	c.ns.conns--
	if i := slices.Index(c.node.conns, c); i >= 0 {
		c.node.conns = slices.Delete(c.node.conns, i, i+1)
	}
	c.ns.forget(c.node)
	c.forsake()
	c.socket.Close()
	c.wake.Signal()
}

// write sends what is queued, as much as there is at a time.
func (c *conn) write() {
	var text []byte
	ns := c.ns
	ns.mu.Lock()
	for {
		for (len(c.out) == 0 || c.broken) && !c.closed {
			c.wake.Wait()
		}
		if c.closed {
			break
		}
		batch := c.out
		c.out, c.writing, c.held = nil, true, len(batch)
		ns.mu.Unlock()
		looked := time.Now()
		batch = ns.handler.BeforeWrite(batch)
		var parts net.Buffers
		parts, text = render(c.dialect, batch, text[:0])
		ns.mu.Lock()
		c.held = 0
		if c.closed {
			c.out, c.writing = append(batch, c.out...), false
			break
		}
		c.sent, c.partly = append(c.sent, batch...), len(batch)
		batch = c.put(parts, batch, looked)
		c.writing = false
		if slices.ContainsFunc(batch, func(a *Attempt) bool { return a.abandoned }) {
			c.retired = true // given up while it was being written
		}
		if c.retired && !c.broken && !c.awaited() {
			c.close("nobody waits")
		}
	}
	c.finish()
}

// put writes a batch, and returns what of it was begun. What was not when the node took nothing for
// writeTime is queued again. ns.mu is held, but during writes.
func (c *conn) put(parts net.Buffers, batch []*Attempt, looked time.Time) []*Attempt {
	for written := 0; written < last(batch); {
		c.ns.mu.Unlock()
		c.socket.SetWriteDeadline(time.Now().Add(writeTime))
		n, err := parts.WriteTo(c.socket)
		if by := time.Since(looked); by >= lateWrite && written == 0 && n > 0 {
			c.ns.handler.WrittenLate(batch, by)
		}
		c.ns.mu.Lock()
		written += int(n)
		var broken net.Error
		timeout := errors.As(err, &broken) && broken.Timeout()
		if timeout && !c.closed {
			begun := 0
			for from := 0; begun < len(batch) && from < written; begun++ {
				from = batch[begun].end
			}
			again := batch[begun:]
			batch = batch[:begun]
			c.sent = c.sent[:max(len(c.sent)-len(again), 0)] // nothing has been answered that was not asked
			c.out = append(slices.Clone(again), c.out...)
			parts = first(parts, last(batch)-written)
			if c.retired && !c.wanted() { // the rest of it would be for nobody
				c.close("given up half written")
			}
		}
		c.partly = 0
		for _, a := range batch {
			if a.end > written {
				c.partly++
			}
		}
		if err != nil && !timeout || c.closed {
			c.fail()
			break
		}
	}
	return batch
}

// last is how many bytes a batch has.
func last(batch []*Attempt) int {
	if len(batch) == 0 {
		return 0
	}
	return batch[len(batch)-1].end
}

// first returns the first n bytes of parts.
func first(parts net.Buffers, n int) net.Buffers {
	for i, p := range parts {
		if n <= len(p) {
			return append(parts[:i:i], p[:n])
		}
		n -= len(p)
	}
	return parts
}

// fail ends a connection that can't be written to. An answer that came before its end may wait unread: the
// reader comes to the end behind it, and soon. ns.mu is held.
func (c *conn) fail() {
	if c.broken, c.retired = true, true; !c.closed {
		c.socket.SetReadDeadline(time.Now().Add(answerTime))
	}
}

// render lays a batch out as parts to write and notes where each request ends.
func render(dialect Dialect, batch []*Attempt, text []byte) (net.Buffers, []byte) {
	var parts net.Buffers
	now, from, written := time.Now(), 0, 0
	for _, a := range batch {
		before, value := len(text), a.Request.Value
		text = dialect.AppendHead(text, a.Request, a.Deadline.Sub(now))
		if len(value) <= copiedBody {
			text = append(text, value...)
		} else {
			parts = append(parts, text[from:len(text):len(text)], value)
			from, written = len(text), written+len(value)
		}
		text = dialect.AppendTail(text, a.Request)
		written += len(text) - before
		a.end = written
	}
	return append(parts, text[from:]), text
}

// read takes the answers. It ends the connection at the first byte that is
// not what was asked for: where the next answer begins can't be known then.
func (c *conn) read() {
	err := c.answers(bufio.NewReaderSize(c.socket, readBuffer))
	c.ns.mu.Lock()
	if !c.closed && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		var broken *net.OpError
		if c.spoilt = !c.broken && (!errors.As(err, &broken) || broken.Timeout()); c.spoilt {
			c.ns.warn(c.node.Name, err)
		}
	}
	c.close("read: " + err.Error())
	c.finish()
}

// finish ends the attempts of a closed connection, once no write can
// change what is known of them. It is entered with ns.mu held and frees it.
// What was not written goes over another connection, once: a connection's
// end tells little of the node, and a node that accepts and resets must not
// keep an attempt going round.
func (c *conn) finish() {
	if c.writing { // the writer comes here itself
		c.ns.mu.Unlock()
		return
	}
	sent, partly := c.sent, min(c.partly, len(c.sent))
	var lost []*Attempt
	for _, a := range c.out {
		again := !a.moved && c.node.listed
		if a.moved = true; !again || !c.ns.place(c.node, a) {
			lost = append(lost, a)
		}
	}
	c.out, c.sent = nil, nil
	c.ns.mu.Unlock()
	for i, a := range sent {
		result := ConnectionLost
		switch {
		case i >= len(sent)-partly:
			result = NotWritten
		case i == 0 && c.spoilt:
			result = Malformed
		}
		c.ns.handler.Ended(a, nil, result)
	}
	for _, a := range lost {
		c.ns.handler.Ended(a, nil, NotWritten)
	}
}

// head returns the attempt whose answer is next; none means that the node
// speaks unasked.
func (c *conn) head() (*Attempt, error) {
	c.ns.mu.Lock()
	defer c.ns.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if len(c.sent) == 0 {
		return nil, errors.New("unasked answer")
	}
	c.active = time.Now()
	return c.sent[0], nil
}

// next takes the attempt just answered off the queue. If more has come than
// belongs to it and nothing else is out, the connection gets nothing new: what
// is there could pass for the answer of whatever is sent next.
func (c *conn) next(in *bufio.Reader) {
	more := in.Buffered() > 0 || socket.Readable(c.socket)
	c.ns.mu.Lock()
	defer c.ns.mu.Unlock()
	if !c.broken {
		c.socket.SetReadDeadline(time.Time{})
	}
	if len(c.sent) == 0 {
		return // closed meanwhile, and its end was told as broken
	}
	c.sent[0] = nil
	c.sent = c.sent[1:]
	c.active = time.Now()
	if more && len(c.sent) == 0 && !c.writing {
		c.retired = true
	}
	switch {
	case c.retired && !c.broken && !c.awaited():
		c.close("retired")
	case !c.retired && c.outstanding() == 0 && !c.writing:
		c.node.take()
	}
	c.ns.spare()
}

// ending tells whether the connection has ended behind what was read of it.
func (c *conn) ending(in *bufio.Reader) bool {
	c.socket.SetReadDeadline(time.Now().Add(c.ns.end))
	_, err := in.Peek(1)
	var broken *net.OpError
	return err != nil && !(errors.As(err, &broken) && broken.Timeout())
}

func (c *conn) answers(in *bufio.Reader) error {
	for {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		c.socket.SetReadDeadline(time.Now().Add(answerTime))
		a, err := c.head()
		if err != nil {
			return err
		}
		answer, err := c.dialect.ReadAnswer(in, a.Request)
		if err != nil {
			return err
		}
		noRoom := false
		switch {
		case answer.Kind != request.Busy:
			c.used = true
		case !c.used:
			noRoom = c.ending(in)
		}
		if noRoom {
			c.ns.full(c)
		}
		c.next(in)
		switch answer.Kind {
		case request.Value, request.Stored, request.NotFound:
			c.ns.handler.Answered(a, &answer)
		case request.Busy:
			if noRoom {
				c.ns.handler.Ended(a, &answer, ConnectionLimitReached)
			} else {
				c.ns.handler.Ended(a, &answer, Busy)
			}
		default:
			c.ns.handler.Ended(a, &answer, Failed)
		}
	}
}
