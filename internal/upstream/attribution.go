package upstream

import (
	"bufio"
	"errors"
	"net"
	"time"

	"mulleinpier/internal/request"
)

// This file finds out which attempt an answer belongs to that names no request, such as "SERVER_ERROR busy". Nodes may
// send a second answer to an earlier request some time after the first one. If it were taken for the answer to the
// attempt in flight, that attempt would count as not executed while the node executes it.
//
// Such an answer is kept unconfirmed, and a no-op is sent behind the attempts in flight. Nodes answer commands in
// order. So if the answer to the attempt follows, the unconfirmed answer belonged to an earlier request. If the no-op
// is answered first, the unconfirmed answer is the one to the attempt.

// maxUnconfirmed bounds the unconfirmed answers of one connection. More are taken for a defect of the node.
const maxUnconfirmed = 256

// errUnattributed is the error for an answer of which it can't be found out whether it belongs to an attempt in flight.
var errUnattributed = errors.New("answer names no request")

// noopState is the state of the no-op, of which a connection carries one at most.
type noopState uint8

const (
	noopNone    noopState = iota
	noopWanted            // it is to be written
	noopWritten           // it was written and not answered
	noopDone              // it was answered
)

// needsConfirmation reports whether an answer must be confirmed before it ends an attempt. It need not be if it names
// its request, if it can only be the answer to the attempt because it is the first answer on the connection, or if a
// mistake does no harm because the attempt was abandoned or may be repeated while the node executes it. Pool.mu is
// held.
func (c *conn) needsConfirmation(a *Attempt, answer *request.Answer) bool {
	switch {
	case answer.Attributed:
		return false
	case len(c.unconfirmed) > 0:
		return true
	case c.answers == 0 || a.abandoned:
		return false
	}
	return a.Request.RunsAlone || answer.Kind == request.NotFound
}

// confirm keeps an answer until it is known which attempt it belongs to. The connection gets no new attempts any more,
// since a second answer to the no-op would be as ambiguous. It returns an error if the answer can't be confirmed.
func (c *conn) confirm(a *Attempt, answer *request.Answer) error {
	if !c.noopSent() && !c.pool.handler.MayConfirm(a) {
		return errUnattributed
	}
	c.unconfirmed = append(c.unconfirmed, *answer)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.writeFailed || c.noop == noopDone || len(c.unconfirmed) > maxUnconfirmed:
		return errUnattributed
	}
	c.retired = true
	if c.noop == noopNone {
		c.noop = noopWanted
		c.writerWake.Signal()
	}
	c.socket.SetReadDeadline(time.Time{})
	return nil
}

// noopSent reports whether the connection has carried a no-op or is to carry it.
func (c *conn) noopSent() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.noop != noopNone
}

// writeNoop writes the no-op. Pool.mu is held, except during the write.
func (c *conn) writeNoop() {
	c.noop, c.writing = noopWritten, true
	c.beforeNoop = len(c.inFlight)
	c.pool.mu.Unlock()
	command := c.dialect.AppendNoop(nil)
	c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.socket.Write(command)
	c.pool.mu.Lock()
	c.writing = false
	switch {
	case err != nil:
		c.failWrites()
	case !c.inUse():
		c.close("no attempt waited for")
	}
}

// handleNoop handles the answer to the no-op: all answers to the attempts before it have come.
func (c *conn) handleNoop(in *bufio.Reader) error {
	c.pool.mu.Lock()
	expected := c.noop == noopWritten && len(c.unconfirmed) >= c.beforeNoop
	count := c.beforeNoop
	if expected {
		c.noop = noopDone
	}
	c.pool.mu.Unlock()
	if !expected {
		return errUnexpectedAnswer
	}
	c.resolveUnconfirmed(in, count)
	return nil
}

// resolveUnconfirmed completes the first count attempts in flight, whose answers must be among the unconfirmed ones,
// since answers come in the order of the attempts. The other unconfirmed answers belonged to earlier requests.
func (c *conn) resolveUnconfirmed(in *bufio.Reader, count int) {
	unconfirmed := c.unconfirmed
	c.unconfirmed = nil
	for i := range count {
		a := c.firstInFlight()
		if a == nil {
			return
		}
		answer := confirmedAnswer(unconfirmed, i, count)
		c.complete(in, a, &answer, Busy)
	}
}

// firstInFlight returns the oldest attempt in flight, nil if the connection was closed.
func (c *conn) firstInFlight() *Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.inFlight) == 0 {
		return nil
	}
	return c.inFlight[0]
}

// confirmedAnswer returns the answer to the attempt with an index among count attempts, all of whose answers are among
// the unconfirmed ones. If it is ambiguous which of them belong to the attempts, and they are not all alike, the
// attempt may have been executed.
func confirmedAnswer(unconfirmed []request.Answer, index, count int) request.Answer {
	if len(unconfirmed) == count {
		return unconfirmed[index]
	}
	for i := range unconfirmed {
		if unconfirmed[i].Kind != unconfirmed[0].Kind {
			return request.Answer{Kind: request.Failed}
		}
	}
	return request.Answer{Kind: unconfirmed[0].Kind}
}
