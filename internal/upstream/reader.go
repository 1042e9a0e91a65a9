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
	// answerTimeout bounds the time from the first byte of an answer to its last. Nodes write an answer without
	// delay and pause for 0.4 s at most, so a longer wait means a line or value that never ends.
	answerTimeout = 500 * time.Millisecond
	// closeCheckTimeout is how long the reader waits for a connection to be closed after its first answer, if that
	// is busy. A node at its connection limit answers busy and closes; the two usually arrive together, but not
	// always at the same moment.
	closeCheckTimeout = 2 * time.Millisecond
)

// errUnexpectedAnswer is the error for data that arrives while no attempt is in flight.
var errUnexpectedAnswer = errors.New("node sent data while no request was in flight")

// runReader reads answers until the connection ends. It closes the connection at the first byte that is not part of
// the expected answer, since it can't find the start of the next answer from there.
func (c *conn) runReader() {
	in := bufio.NewReaderSize(c.socket, readBufferSize)
	err := c.readAnswers(in)
	c.pool.mu.Lock()
	if !c.closed && !c.writeFailed && isMalformed(err) {
		c.malformed = true
		c.recordMalformed(in, err)
		c.pool.warnMalformed(c.node.Name, err)
	}
	c.close("read: " + err.Error())
	c.endAttempts()
}

// isMalformed reports whether a read error is caused by a malformed answer rather than by the connection. An
// answer that is not complete within answerTimeout is malformed.
func isMalformed(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	var networkError *net.OpError
	return !errors.As(err, &networkError) || networkError.Timeout()
}

// readAnswers reads answers and reports them to the handler until an error occurs, which it returns.
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
		busyResult := Busy // the result if the answer is busy
		switch {
		case answer.Kind != request.Busy:
			c.hasServed = true
		case !c.hasServed && c.closedByNode(in):
			busyResult = ConnectionLimitReached
			c.pool.handleConnectionLimit(c)
		}
		c.completeFirst(in, a, &answer)
		c.reportAnswer(a, &answer, busyResult)
	}
}

// reportAnswer reports an answer to the handler. busyResult is the result to report for a busy answer.
func (c *conn) reportAnswer(a *Attempt, answer *request.Answer, busyResult Result) {
	handler := c.pool.handler
	switch answer.Kind {
	case request.Value, request.Stored, request.NotFound:
		handler.Answered(a, answer)
	case request.Busy:
		handler.Ended(a, answer, busyResult)
	default:
		handler.Ended(a, answer, Failed)
	}
}

// firstInFlight returns the oldest attempt in flight, which the next answer belongs to. It returns an error if no
// attempt is in flight or the connection is closed.
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

// completeFirst removes the attempt that was just answered. If data beyond its answer has arrived and nothing else is
// in flight, the connection gets no new attempts, since the data could be read as the answer to the next attempt.
func (c *conn) completeFirst(in *bufio.Reader, a *Attempt, answer *request.Answer) {
	moreArrived := in.Buffered() > 0 || socket.Readable(c.socket)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.recordAnswer(a, answer)
	c.answers++
	c.lastActive = time.Now()
	c.lastAnswerAt = c.lastActive
	if !c.writeFailed {
		c.socket.SetReadDeadline(time.Time{})
	}
	if len(c.inFlight) == 0 {
		return // the connection was closed in the meantime, and the attempt has ended with ConnectionLost
	}
	c.inFlight[0] = nil
	c.inFlight = c.inFlight[1:]
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

// closedByNode reports whether the connection ends within closeCheckTimeout without further data.
func (c *conn) closedByNode(in *bufio.Reader) bool {
	c.socket.SetReadDeadline(time.Now().Add(c.pool.closeCheckTimeout))
	_, err := in.Peek(1)
	return err != nil && !socket.IsTimeout(err)
}
