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
// Such an answer is held, and a command without effect is sent behind the attempts in flight. Nodes answer commands in
// order. So if the answer to the attempt follows, the held answer belonged to an earlier request. If the command
// without effect is answered first, the held answer is the one to the attempt.

// maxHeld is the number of answers that are held on one connection. More are taken for a defect of the node.
const maxHeld = 256

// errUnattributed is the error for an answer of which it can't be found out whether it belongs to an attempt in flight.
var errUnattributed = errors.New("answer names no request")

// noopState is the state of the command without effect, of which a connection carries one at most.
type noopState uint8

const (
	noopNone    noopState = iota
	noopWanted            // it is to be written
	noopWritten           // it was written and not answered
	noopDone              // it was answered
)

// mustHold reports whether an answer must be held. It need not be if it names its request, if it can only be the answer
// to the attempt because it is the first answer on the connection, or if a mistake does no harm because the attempt may
// be repeated while the node executes it. Pool.mu is held.
func (c *conn) mustHold(a *Attempt, answer *request.Answer) bool {
	switch {
	case answer.Attributed:
		return false
	case len(c.held) > 0:
		return true
	}
	return c.answers > 0 && (a.Request.RunsAlone || answer.Kind == request.NotFound)
}

// hold holds an answer until it is known which attempt it belongs to. The connection gets no new attempts any more,
// since a second answer to the command without effect would be as ambiguous. It returns an error if the answer can't be
// held.
func (c *conn) hold(a *Attempt, answer *request.Answer) error {
	mayConfirm := c.pool.handler.MayConfirm(a)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case !mayConfirm || c.writeFailed || c.noop == noopDone || len(c.held) >= maxHeld:
		return errUnattributed
	}
	c.held = append(c.held, *answer)
	c.retired = true
	if c.noop == noopNone {
		c.noop = noopWanted
		c.writerWake.Signal()
	}
	c.socket.SetReadDeadline(time.Time{})
	return nil
}

// writeNoop writes the command without effect. Pool.mu is held, except during the write.
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

// handleNoop handles the answer to the command without effect: all answers to the attempts before it have come.
func (c *conn) handleNoop(in *bufio.Reader) error {
	c.pool.mu.Lock()
	expected := c.noop == noopWritten && len(c.held) >= c.beforeNoop
	count := c.beforeNoop
	if expected {
		c.noop = noopDone
	}
	c.pool.mu.Unlock()
	if !expected {
		return errUnexpectedAnswer
	}
	c.resolveHeld(in, count)
	return nil
}

// resolveHeld completes the first count attempts in flight, whose answers must be among those held, since answers come
// in the order of the attempts. The others held belonged to earlier requests.
func (c *conn) resolveHeld(in *bufio.Reader, count int) {
	held := c.takeHeld()
	for i := range count {
		a := c.firstInFlight()
		if a == nil {
			return
		}
		answer := heldAnswer(held, i, count)
		c.complete(in, a, &answer, Busy)
	}
}

// takeHeld returns the answers held, and holds none any more.
func (c *conn) takeHeld() []request.Answer {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	held := c.held
	c.held = nil
	return held
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

// heldAnswer returns the answer to the attempt with an index among count attempts, all of whose answers are among those
// held. If it can't be told which ones these are, and they are not all alike, the attempt may have been executed.
func heldAnswer(held []request.Answer, index, count int) request.Answer {
	if len(held) == count {
		return held[index]
	}
	for i := range held {
		if held[i].Kind != held[0].Kind {
			return request.Answer{Kind: request.Failed}
		}
	}
	return request.Answer{Kind: held[0].Kind}
}
