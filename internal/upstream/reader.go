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
	if !c.closed && !c.writeFailed && isMalformed(err) && !c.isPathCheckFailure(err) {
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
	var expected []*request.Request // reused between answers
	for {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		c.socket.SetReadDeadline(time.Now().Add(answerTimeout))
		if checked, err := c.readPathCheck(in); err != nil {
			return err
		} else if checked {
			continue
		}
		var err error
		if expected, err = c.expectedRequests(expected[:0]); err != nil {
			return err
		}
		answer, index, err := c.dialect.ReadAnswer(in, expected)
		if err != nil {
			return err
		}
		if err := c.handleAnswer(in, &answer, index); err != nil {
			return err
		}
	}
}

// expectedRequests appends the requests in flight that the next answer may belong to: the oldest one, and those behind
// it that the unconfirmed answers may belong to. It returns an error if no attempt is in flight or the connection is
// closed.
func (c *conn) expectedRequests(expected []*request.Request) ([]*request.Request, error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if len(c.inFlight) == 0 {
		return nil, errUnexpectedAnswer
	}
	c.lastActive = time.Now()
	for _, a := range c.inFlight[:min(len(c.unconfirmed)+1, len(c.inFlight))] {
		expected = append(expected, a.Request)
	}
	return expected, nil
}

// handleAnswer completes the attempts that an answer ends, or has the answer confirmed. index is the index in flight
// of the attempt that the answer names, 0 if it names none. An error means that the answer belongs to no attempt.
func (c *conn) handleAnswer(in *bufio.Reader, answer *request.Answer, index int) error {
	if answer.Kind == request.Noop {
		return c.handleNoop(in)
	}
	a, confirmed := c.countAnswer(answer, index)
	switch {
	case a == nil:
		return net.ErrClosed
	case !confirmed:
		return c.confirm(a, answer)
	}
	c.resolveUnconfirmed(in, index)
	c.complete(in, a, answer, c.busyResult(in, answer))
	return nil
}

// countAnswer counts an answer, and returns the attempt in flight with an index, nil if the connection was closed.
// confirmed reports whether the answer is certainly the one to this attempt, or counts as such.
func (c *conn) countAnswer(answer *request.Answer, index int) (a *Attempt, confirmed bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if index >= len(c.inFlight) {
		return nil, false
	}
	a = c.inFlight[index]
	confirmed = !c.needsConfirmation(a, answer)
	c.recordAnswer(a, answer, confirmed)
	c.answers++
	c.lastAnswerAt = c.lastActive
	return a, confirmed
}

// complete ends the oldest attempt in flight with its answer. busyResult is the result to report for a busy answer.
func (c *conn) complete(in *bufio.Reader, a *Attempt, answer *request.Answer, busyResult Result) {
	c.completeFirst(in)
	c.reportAnswer(a, answer, busyResult)
}

// busyResult returns the result of an attempt if the answer to it, which has just been read, is busy.
func (c *conn) busyResult(in *bufio.Reader, answer *request.Answer) Result {
	switch {
	case answer.Kind != request.Busy:
		c.hasServed = true
	case !c.hasServed && c.closedByNode(in):
		c.pool.handleConnectionLimit(c)
		return ConnectionLimitReached
	}
	return Busy
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

// completeFirst removes the attempt that was just answered. If data beyond its answer has arrived and nothing else is
// in flight, the connection gets no new attempts, since the data could be read as the answer to the next attempt.
func (c *conn) completeFirst(in *bufio.Reader) {
	moreArrived := in.Buffered() > 0 || socket.Readable(c.socket)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastActive = time.Now()
	if !c.writeFailed {
		c.socket.SetReadDeadline(time.Time{})
	}
	if len(c.inFlight) == 0 {
		return // the connection was closed in the meantime, and the attempt has ended with ConnectionLost
	}
	c.inFlight[0] = nil
	c.inFlight = c.inFlight[1:]
	c.beforeNoop = max(c.beforeNoop-1, 0)
	if moreArrived && len(c.inFlight) == 0 && !c.writing {
		c.retired = true
	}
	if len(c.inFlight) == 0 && len(c.queued) > 0 {
		c.writerWake.Signal() // a path check waits until nothing is in flight
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
