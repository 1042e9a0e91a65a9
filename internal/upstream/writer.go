package upstream

import (
	"net"
	"os"
	"slices"
	"time"

	"mulleinpier/internal/socket"
)

const (
	// maxCopiedBody is the size in bytes up to which values are copied into the buffer of the request heads, which
	// saves a separate buffer in the vectored write.
	maxCopiedBody = 8 << 10
	// writeTimeout bounds each write of a batch. When it expires, the attempts that have not been started are
	// queued again and checked again before they are written: in the meantime the client may have disconnected or
	// the node may have begun to drain.
	writeTimeout = 100 * time.Millisecond
	// lateWriteThreshold is the delay after the check of a batch from which on the write of its first bytes is
	// reported as late.
	lateWriteThreshold = 300 * time.Millisecond
)

// writerStep is what a connection's writer does next.
type writerStep uint8

const (
	waitForWork   writerStep = iota // there is nothing that may be written now
	confirmAnswer                   // write the no-op that confirms an answer
	checkPath                       // write the no-op of a path check
	writeAttempts                   // write queued attempts
	endWriter                       // the connection is closed
)

// runWriter writes the queued attempts, all that are queued at a time in one batch, until the connection is closed.
func (c *conn) runWriter() {
	var buffer []byte // reused between batches
	c.pool.mu.Lock()
	for {
		switch c.nextStep() {
		case waitForWork:
			c.writerWake.Wait()
		case confirmAnswer:
			c.writeNoop()
		case checkPath:
			c.checkPath()
		case writeAttempts:
			buffer = c.writeQueued(buffer)
		case endWriter:
			c.endAttempts()
			return
		}
	}
}

// nextStep returns what the writer does next. A path check, and all that is queued behind it, waits until nothing is in
// flight. After a failed write the writer only waits for the connection to be closed. Pool.mu is held.
func (c *conn) nextStep() writerStep {
	switch {
	case c.closed:
		return endWriter
	case c.writeFailed || c.path.pending:
		return waitForWork
	case c.noop == noopWanted:
		return confirmAnswer
	case len(c.queued) == 0:
		return waitForWork
	case !c.needsPathCheck(c.queued[0]):
		return writeAttempts
	case len(c.inFlight) == 0:
		return checkPath
	}
	return waitForWork
}

// writeQueued lets the handler check the queued attempts before the first that needs a path check, and writes those
// that it keeps. It returns the buffer for reuse. Pool.mu is held, except during the check and the write.
func (c *conn) writeQueued(buffer []byte) []byte {
	batch, rest := c.queued, []*Attempt(nil)
	if i := slices.IndexFunc(batch, c.needsPathCheck); i > 0 {
		batch, rest = batch[:i:i], slices.Clone(batch[i:])
	}
	c.queued, c.writing, c.beingChecked = rest, true, len(batch)
	c.pool.mu.Unlock()
	checkedAt := time.Now()
	batch = c.pool.handler.BeforeWrite(batch)
	parts, buffer := encodeBatch(c.dialect, batch, buffer[:0])
	c.pool.mu.Lock()
	c.beingChecked = 0
	if c.closed {
		c.queued, c.writing = append(batch, c.queued...), false
		return buffer
	}
	if slices.ContainsFunc(batch, (*Attempt).mustNotRun) {
		c.requeueWithoutAbandoned(batch)
	} else {
		c.writeChecked(parts, batch, checkedAt)
	}
	if c.retired && !c.writeFailed && !c.inUse() {
		c.close("no attempt waited for")
	}
	return buffer
}

// requeueWithoutAbandoned queues a batch again, except for the attempts that must not run because they were abandoned
// since the check. Pool.mu is held, except while these attempts are reported.
func (c *conn) requeueWithoutAbandoned(batch []*Attempt) {
	var kept, dropped []*Attempt
	for _, a := range batch {
		if a.mustNotRun() {
			dropped = append(dropped, a)
		} else {
			kept = append(kept, a)
		}
	}
	c.queued = append(kept, c.queued...)
	c.pool.mu.Unlock()
	for _, a := range dropped {
		c.pool.handler.Ended(a, nil, NotWritten)
	}
	c.pool.mu.Lock()
	c.writing = false
}

// writeChecked writes a batch that the handler has checked at checkedAt. Pool.mu is held, except during writes.
func (c *conn) writeChecked(parts net.Buffers, batch []*Attempt, checkedAt time.Time) {
	for _, a := range batch {
		a.conn = c.number
	}
	c.inFlight, c.incomplete = append(c.inFlight, batch...), len(batch)
	batch = c.writeBatch(parts, batch, checkedAt)
	c.writing = false
	if slices.ContainsFunc(batch, func(a *Attempt) bool { return a.abandoned }) {
		c.retired = true // an attempt was abandoned while it was being written
	}
}

// writeBatch writes a batch, and returns it without the attempts that were queued again: those of which no byte
// was written when a write timed out. Pool.mu is held, except during writes.
func (c *conn) writeBatch(parts net.Buffers, batch []*Attempt, checkedAt time.Time) []*Attempt {
	for written := 0; written < batchSize(batch); {
		startBefore := c.startDeadline(batch, written)
		c.pool.mu.Unlock()
		n, err := c.writeParts(&parts, startBefore)
		delay := time.Since(checkedAt)
		if delay >= lateWriteThreshold && written == 0 && n > 0 {
			c.pool.handler.WrittenLate(batch, delay)
		}
		c.pool.mu.Lock()
		c.recordWritten(batch, written, written+n)
		written += n
		timedOut := socket.IsTimeout(err)
		if timedOut && !c.closed {
			batch = c.requeueNotStarted(batch, written)
			parts = firstBytes(parts, batchSize(batch)-written)
			switch {
			case c.retired && !c.hasWaiters(): // nobody waits for the remaining attempts
				c.close("attempt abandoned while written")
			case isExpired(c.startDeadline(batch, written)):
				c.close("attempt expired while written")
			}
		}
		c.incomplete = countIncomplete(batch, written)
		if err != nil && !timedOut || c.closed {
			c.failWrites()
			break
		}
	}
	return batch
}

// writeParts writes as much of parts as the node accepts within writeTimeout, and removes the written bytes from
// parts. It writes nothing from startBefore on, and returns an expired timeout then: this process may have been held up
// since the attempts were checked. Nothing but the system call follows this check.
func (c *conn) writeParts(parts *net.Buffers, startBefore time.Time) (int, error) {
	c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if isExpired(startBefore) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := parts.WriteTo(c.socket)
	return int(n), err
}

// isExpired reports whether a deadline has passed; the zero time is none.
func isExpired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// startDeadline returns the earliest time from which an attempt of a batch must not be written, among those of which no
// byte is among the first written bytes, or that have side effects and are incomplete: a node begins a command when it
// has received its last byte. It returns the zero time if there is no such attempt.
func (c *conn) startDeadline(batch []*Attempt, written int) (earliest time.Time) {
	start := 0
	for _, a := range batch {
		started := start < written
		start = a.endOffset
		if a.endOffset <= written || started && !a.Request.SideEffects {
			continue
		}
		before := a.Deadline
		if !a.StartBefore.IsZero() && a.StartBefore.Before(before) {
			before = a.StartBefore
		}
		if a.ConfirmPath && c.path.validUntil().Before(before) {
			before = c.path.validUntil()
		}
		if earliest.IsZero() || before.Before(earliest) {
			earliest = before
		}
	}
	return earliest
}

// requeueNotStarted queues the attempts of a batch again of which no byte has been written, and returns the others.
// written is the number of bytes of the batch that have been written. Pool.mu is held.
func (c *conn) requeueNotStarted(batch []*Attempt, written int) (started []*Attempt) {
	count, start := 0, 0
	for count < len(batch) && start < written {
		start = batch[count].endOffset
		count++
	}
	notStarted := batch[count:]
	// The attempts that were not started are the last in flight: no answer can have come to them.
	c.inFlight = c.inFlight[:max(len(c.inFlight)-len(notStarted), 0)]
	c.queued = append(slices.Clone(notStarted), c.queued...)
	return batch[:count]
}

// failWrites retires a connection that can't be written to. Answers that came before the failure may be unread, so the
// reader may continue for up to answerTimeout until it reads the end of the connection. Pool.mu is held.
func (c *conn) failWrites() {
	c.writeFailed, c.retired = true, true
	if !c.closed {
		c.socket.SetReadDeadline(time.Now().Add(answerTimeout))
	}
}

// encodeBatch encodes a batch into parts for a vectored write, and sets the endOffset of each attempt. It also
// returns the grown buffer for reuse; values above maxCopiedBody are not copied into it.
func encodeBatch(dialect Dialect, batch []*Attempt, buffer []byte) (net.Buffers, []byte) {
	var parts net.Buffers
	now := time.Now()
	partStart, written := 0, 0
	for _, a := range batch {
		headStart, value := len(buffer), a.Request.Value
		buffer = dialect.AppendHead(buffer, a.Request, a.Deadline.Sub(now))
		if len(value) <= maxCopiedBody {
			buffer = append(buffer, value...)
		} else {
			parts = append(parts, buffer[partStart:len(buffer):len(buffer)], value)
			partStart = len(buffer)
			written += len(value)
		}
		buffer = dialect.AppendTail(buffer, a.Request)
		written += len(buffer) - headStart
		a.endOffset = written
	}
	return append(parts, buffer[partStart:]), buffer
}

// batchSize returns the size of an encoded batch in bytes.
func batchSize(batch []*Attempt) int {
	if len(batch) == 0 {
		return 0
	}
	return batch[len(batch)-1].endOffset
}

// countIncomplete returns the number of attempts of a batch whose last byte is not among the first written bytes.
func countIncomplete(batch []*Attempt, written int) (count int) {
	for _, a := range batch {
		if a.endOffset > written {
			count++
		}
	}
	return count
}

// firstBytes returns the first n bytes of parts.
func firstBytes(parts net.Buffers, n int) net.Buffers {
	for i, part := range parts {
		if n <= len(part) {
			return append(parts[:i:i], part[:n])
		}
		n -= len(part)
	}
	return parts
}
