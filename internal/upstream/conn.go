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
	readBufferSize = 4 << 10
	// An answer that has begun is all there within so long: nodes write it at
	// once, and stand still for 0.4 s at most. It meets lengths and lines that
	// promise more than comes, and values that never end.
	answerTimeout = 500 * time.Millisecond
	// Bodies up to this size are copied behind their line: one write less.
	maxCopiedBody = 8 << 10
	// A node without room for one connection more answers busy and ends it, which
	// come together but not always in one piece.
	closeCheckTimeout = 2 * time.Millisecond
	// A write that ends so long after what allowed it was looked at is told as late.
	lateWriteThreshold = 300 * time.Millisecond
	// Where a node takes nothing for so long, what has not begun is looked at anew before it is
	// written: meanwhile its client may leave, or its node begin to drain.
	writeTimeout = 100 * time.Millisecond
)

// conn is one connection to a node. Its fields are guarded by Nodes.mu.
type conn struct {
	pool         *Pool
	node         *node
	socket       *net.TCPConn
	dialect      Dialect
	openedAt     time.Time
	lastActive   time.Time // last sign of life, or start of waiting for one
	writerWake   sync.Cond // for the writer
	queued       []*Attempt
	inFlight     []*Attempt // written or being written, in order of their answers
	beingChecked int        // attempts in the writer's hands, whose beginning is being looked at
	writing      bool       // the writer holds a batch
	incomplete   int        // attempts at the end of sent that its write has not passed yet
	retired      bool
	writeFailed  bool // a write failed: what came before that is read yet
	hasServed    bool // an answer but busy has come; the reader's own
	malformed    bool // what came for the first of sent can't be read
	closed       bool
}

func newConn(ns *Pool, n *node, socket *net.TCPConn) *conn {
	now := time.Now()
	dialect := n.Dialect
	if dialect == nil {
		dialect = ns.dialect
	}
	c := &conn{pool: ns, node: n, socket: socket, dialect: dialect, openedAt: now, lastActive: now, writerWake: sync.Cond{L: &ns.mu}}
	ns.tasks.Go(c.runWriter)
	ns.tasks.Go(c.runReader)
	return c
}

func (c *conn) outstanding() int { return len(c.queued) + c.beingChecked + len(c.inFlight) }

// isAwaited tells whether anybody waits for something on the connection.
func (c *conn) isAwaited() bool { return c.writing || c.hasWaiters() }

// hasWaiters is awaited, of what is in writing only what somebody waits for.
func (c *conn) hasWaiters() bool {
	return len(c.queued) > 0 || slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return !a.abandoned })
}

func (c *conn) enqueue(a *Attempt) {
	if c.outstanding() == 0 {
		c.lastActive = time.Now()
	}
	c.queued = append(c.queued, a)
	c.writerWake.Signal()
}

// discardUndelivered has the kernel forget what the other end has not taken yet of what may change something and nobody waits for any
// more: it would deliver them whenever the way is open again, long after the window in which repeats are
// dropped. It meets cut links. It might hurt a node that would have answered just then: it sees a reset.
func (c *conn) discardUndelivered() {
	if slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return a.Request.SideEffects }) {
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
	if c.pool.recorder.Enabled() {
		c.pool.recorder.Record(eventlog.NodeDisconnected{Node: c.node.Name, Reason: reason, InFlight: len(c.inFlight), Queued: len(c.queued) + c.beingChecked})
	}
	c.pool.connections--
	if i := slices.Index(c.node.connections, c); i >= 0 {
		c.node.connections = slices.Delete(c.node.connections, i, i+1)
	}
	c.pool.removeIfUnused(c.node)
	c.discardUndelivered()
	c.socket.Close()
	c.writerWake.Signal()
}

// runWriter sends what is queued, as much as there is at a time.
func (c *conn) runWriter() {
	var text []byte
	ns := c.pool
	ns.mu.Lock()
	for {
		for (len(c.queued) == 0 || c.writeFailed) && !c.closed {
			c.writerWake.Wait()
		}
		if c.closed {
			break
		}
		batch := c.queued
		c.queued, c.writing, c.beingChecked = nil, true, len(batch)
		ns.mu.Unlock()
		looked := time.Now()
		batch = ns.handler.BeforeWrite(batch)
		var parts net.Buffers
		parts, text = encodeBatch(c.dialect, batch, text[:0])
		ns.mu.Lock()
		c.beingChecked = 0
		if c.closed {
			c.queued, c.writing = append(batch, c.queued...), false
			break
		}
		c.inFlight, c.incomplete = append(c.inFlight, batch...), len(batch)
		batch = c.writeBatch(parts, batch, looked)
		c.writing = false
		if slices.ContainsFunc(batch, func(a *Attempt) bool { return a.abandoned }) {
			c.retired = true // given up while it was being written
		}
		if c.retired && !c.writeFailed && !c.isAwaited() {
			c.close("nobody waits")
		}
	}
	c.endAttempts()
}

// writeBatch writes a batch, and returns what of it was begun. What was not when the node took nothing for
// writeTime is queued again. ns.mu is held, but during writes.
func (c *conn) writeBatch(parts net.Buffers, batch []*Attempt, looked time.Time) []*Attempt {
	for written := 0; written < batchSize(batch); {
		c.pool.mu.Unlock()
		c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := parts.WriteTo(c.socket)
		if by := time.Since(looked); by >= lateWriteThreshold && written == 0 && n > 0 {
			c.pool.handler.WrittenLate(batch, by)
		}
		c.pool.mu.Lock()
		written += int(n)
		var broken net.Error
		timeout := errors.As(err, &broken) && broken.Timeout()
		if timeout && !c.closed {
			begun := 0
			for from := 0; begun < len(batch) && from < written; begun++ {
				from = batch[begun].endOffset
			}
			again := batch[begun:]
			batch = batch[:begun]
			c.inFlight = c.inFlight[:max(len(c.inFlight)-len(again), 0)] // nothing has been answered that was not asked
			c.queued = append(slices.Clone(again), c.queued...)
			parts = prefix(parts, batchSize(batch)-written)
			if c.retired && !c.hasWaiters() { // the rest of it would be for nobody
				c.close("given up half written")
			}
		}
		c.incomplete = 0
		for _, a := range batch {
			if a.endOffset > written {
				c.incomplete++
			}
		}
		if err != nil && !timeout || c.closed {
			c.failWrites()
			break
		}
	}
	return batch
}

// batchSize is how many bytes a batch has.
func batchSize(batch []*Attempt) int {
	if len(batch) == 0 {
		return 0
	}
	return batch[len(batch)-1].endOffset
}

// prefix returns the first n bytes of parts.
func prefix(parts net.Buffers, n int) net.Buffers {
	for i, p := range parts {
		if n <= len(p) {
			return append(parts[:i:i], p[:n])
		}
		n -= len(p)
	}
	return parts
}

// failWrites ends a connection that can't be written to. An answer that came before its end may wait unread: the
// reader comes to the end behind it, and soon. ns.mu is held.
func (c *conn) failWrites() {
	if c.writeFailed, c.retired = true, true; !c.closed {
		c.socket.SetReadDeadline(time.Now().Add(answerTimeout))
	}
}

// encodeBatch lays a batch out as parts to write and notes where each request ends.
func encodeBatch(dialect Dialect, batch []*Attempt, text []byte) (net.Buffers, []byte) {
	var parts net.Buffers
	now, from, written := time.Now(), 0, 0
	for _, a := range batch {
		before, value := len(text), a.Request.Value
		text = dialect.AppendHead(text, a.Request, a.Deadline.Sub(now))
		if len(value) <= maxCopiedBody {
			text = append(text, value...)
		} else {
			parts = append(parts, text[from:len(text):len(text)], value)
			from, written = len(text), written+len(value)
		}
		text = dialect.AppendTail(text, a.Request)
		written += len(text) - before
		a.endOffset = written
	}
	return append(parts, text[from:]), text
}

// runReader takes the answers. It ends the connection at the first byte that is
// not what was asked for: where the next answer begins can't be known then.
func (c *conn) runReader() {
	err := c.readAnswers(bufio.NewReaderSize(c.socket, readBufferSize))
	c.pool.mu.Lock()
	if !c.closed && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		var broken *net.OpError
		if c.malformed = !c.writeFailed && (!errors.As(err, &broken) || broken.Timeout()); c.malformed {
			c.pool.warnMalformed(c.node.Name, err)
		}
	}
	c.close("read: " + err.Error())
	c.endAttempts()
}

// endAttempts ends the attempts of a closed connection, once no write can
// change what is known of them. It is entered with ns.mu held and frees it.
// What was not written goes over another connection, once: a connection's
// end tells little of the node, and a node that accepts and resets must not
// keep an attempt going round.
func (c *conn) endAttempts() {
	if c.writing { // the writer comes here itself
		c.pool.mu.Unlock()
		return
	}
	sent, partly := c.inFlight, min(c.incomplete, len(c.inFlight))
	var lost []*Attempt
	for _, a := range c.queued {
		again := !a.requeued && c.node.listed
		if a.requeued = true; !again || !c.pool.enqueue(c.node, a) {
			lost = append(lost, a)
		}
	}
	c.queued, c.inFlight = nil, nil
	c.pool.mu.Unlock()
	for i, a := range sent {
		result := ConnectionLost
		switch {
		case i >= len(sent)-partly:
			result = NotWritten
		case i == 0 && c.malformed:
			result = Malformed
		}
		c.pool.handler.Ended(a, nil, result)
	}
	for _, a := range lost {
		c.pool.handler.Ended(a, nil, NotWritten)
	}
}

// firstInFlight returns the attempt whose answer is next; none means that the node
// speaks unasked.
func (c *conn) firstInFlight() (*Attempt, error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if len(c.inFlight) == 0 {
		return nil, errors.New("unasked answer")
	}
	c.lastActive = time.Now()
	return c.inFlight[0], nil
}

// completeFirst takes the attempt just answered off the queue. If more has come than
// belongs to it and nothing else is out, the connection gets nothing new: what
// is there could pass for the answer of whatever is sent next.
func (c *conn) completeFirst(in *bufio.Reader) {
	more := in.Buffered() > 0 || socket.Readable(c.socket)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.writeFailed {
		c.socket.SetReadDeadline(time.Time{})
	}
	if len(c.inFlight) == 0 {
		return // closed meanwhile, and its end was told as broken
	}
	c.inFlight[0] = nil
	c.inFlight = c.inFlight[1:]
	c.lastActive = time.Now()
	if more && len(c.inFlight) == 0 && !c.writing {
		c.retired = true
	}
	switch {
	case c.retired && !c.writeFailed && !c.isAwaited():
		c.close("retired")
	case !c.retired && c.outstanding() == 0 && !c.writing:
		c.node.assignWaiting()
	}
	c.pool.closeExcess()
}

// closesNow tells whether the connection has ended behind what was read of it.
func (c *conn) closesNow(in *bufio.Reader) bool {
	c.socket.SetReadDeadline(time.Now().Add(c.pool.closeCheckTimeout))
	_, err := in.Peek(1)
	var broken *net.OpError
	return err != nil && !(errors.As(err, &broken) && broken.Timeout())
}

func (c *conn) readAnswers(in *bufio.Reader) error {
	for {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		c.socket.SetReadDeadline(time.Now().Add(answerTimeout))
		a, err := c.firstInFlight()
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
			c.hasServed = true
		case !c.hasServed:
			noRoom = c.closesNow(in)
		}
		if noRoom {
			c.pool.handleConnectionLimit(c)
		}
		c.completeFirst(in)
		switch answer.Kind {
		case request.Value, request.Stored, request.NotFound:
			c.pool.handler.Answered(a, &answer)
		case request.Busy:
			if noRoom {
				c.pool.handler.Ended(a, &answer, ConnectionLimitReached)
			} else {
				c.pool.handler.Ended(a, &answer, Busy)
			}
		default:
			c.pool.handler.Ended(a, &answer, Failed)
		}
	}
}
