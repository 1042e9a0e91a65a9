package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
)

const (
	readBufferSize = 4 << 10
	// answerTimeout is how long the rest of an answer may take after its first byte: nodes write answers
	// at once, and pause for 0.4 s at most. It ends lines and values that never end.
	answerTimeout = 500 * time.Millisecond
	// closeCheckTimeout is how long the end of a connection may follow its first answer. A node at its
	// limit of connections answers busy and closes, which arrive together but not always at once.
	closeCheckTimeout = 2 * time.Millisecond
)

// errUnexpectedAnswer is the error of an answer to no attempt.
var errUnexpectedAnswer = errors.New("answer without a request")

// runReader reads answers until the connection ends. It ends it at the first byte that is not part of the
// answer that is due: where the next answer starts is not known then.
func (c *conn) runReader() {
	err := c.readAnswers(bufio.NewReaderSize(c.socket, readBufferSize))
	c.pool.mu.Lock()
	if !c.closed && !c.writeFailed && isMalformed(err) {
		c.malformed = true
		c.pool.warnMalformed(c.node.Name, err)
	}
	c.close("read: " + err.Error())
	c.endAttempts()
}

// isMalformed reports whether an error of reading is the answer's, not the connection's. An answer that is
// not complete in time is malformed.
func isMalformed(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	var networkError *net.OpError
	return !errors.As(err, &networkError) || networkError.Timeout()
}

// readAnswers reads answers until an error.
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
		busyMeans := Busy // what a busy answer says of the node
		switch {
		case answer.Kind != request.Busy:
			c.hasServed = true
		case !c.hasServed && c.endsNow(in):
			busyMeans = ConnectionLimitReached
			c.pool.handleConnectionLimit(c)
		}
		c.completeFirst(in)
		c.reportAnswer(a, &answer, busyMeans)
	}
}

// reportAnswer reports an answer to the handler, one that says busy by the result that it means.
func (c *conn) reportAnswer(a *Attempt, answer *request.Answer, busyMeans Result) {
	handler := c.pool.handler
	switch answer.Kind {
	case request.Value, request.Stored, request.NotFound:
		handler.Answered(a, answer)
	case request.Busy:
		handler.Ended(a, answer, busyMeans)
	default:
		handler.Ended(a, answer, Failed)
	}
}

// firstInFlight returns the attempt whose answer is due.
func (c *conn) firstInFlight() (*Attempt, error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if len(c.inFlight) == 0 {
		return nil, errUnexpectedAnswer
	}
	c.lastActive = time.Now()
	return c.inFlight[0], nil
}

// completeFirst removes the attempt that was just answered. If more has arrived than its answer and nothing
// else is in flight, the connection gets no new attempts: what has arrived could pass for the answer to the
// next.
func (c *conn) completeFirst(in *bufio.Reader) {
	moreArrived := in.Buffered() > 0 || socket.Readable(c.socket)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.writeFailed {
		c.socket.SetReadDeadline(time.Time{})
	}
	if len(c.inFlight) == 0 {
		return // the connection was closed meanwhile, and the attempt has ended as lost
	}
	c.inFlight[0] = nil
	c.inFlight = c.inFlight[1:]
	c.lastActive = time.Now()
	if moreArrived && len(c.inFlight) == 0 && !c.writing {
		c.retired = true
	}
	switch {
	case c.retired && !c.writeFailed && !c.inUse():
		c.close("retired")
	case !c.retired && c.outstanding() == 0 && !c.writing:
		c.node.assignWaiting()
	}
	c.pool.closeExcess()
}

// endsNow reports whether the connection ends right after what was read of it.
func (c *conn) endsNow(in *bufio.Reader) bool {
	c.socket.SetReadDeadline(time.Now().Add(c.pool.closeCheckTimeout))
	_, err := in.Peek(1)
	return err != nil && !socket.IsTimeout(err)
}
