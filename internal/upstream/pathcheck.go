package upstream

import (
	"bufio"
	"errors"
	"time"

	"mulleinpier/internal/socket"
)

// This file checks that a connection delivers right before a repeat is written to it. A repeat of an attempt that may
// have been executed must reach its node before the nodes forget the attempt. On a connection that does not deliver,
// for example because of a network partition, it would wait in the network, and only this process could take it back,
// by a reset in time. A process that is paused can't do that. So a repeat is written only if the node has just answered
// a no-op; until then it is not sent, and may be sent to another node without risk.
//
// Limitation: a path that fails between the answer to the no-op and the delivery of the repeat is not noticed.

// pathCheckTimeout is how long after a no-op was written its answer confirms the path. Nodes answer a no-op at once.
const pathCheckTimeout = 100 * time.Millisecond

// errNoopRejected is the error for a no-op that a node rejects, for example because it drains or is at its connection
// limit.
var errNoopRejected = errors.New("no-op rejected")

// pathCheck is the state of the checks whether a connection delivers. The zero value is that of an unconfirmed path.
type pathCheck struct {
	pending     bool      // a no-op was written and not answered; nothing else is in flight
	startedAt   time.Time // when the pending no-op was written
	confirmedAt time.Time // when the latest answered no-op was written
}

// validUntil returns the time from which the path must be confirmed again.
func (p *pathCheck) validUntil() time.Time { return p.confirmedAt.Add(pathCheckTimeout) }

// needsPathCheck reports whether an attempt must not be written before a path check. Pool.mu is held.
func (c *conn) needsPathCheck(a *Attempt) bool {
	return a.ConfirmPath && isExpired(c.path.validUntil())
}

// checkPath writes a no-op, unless the attempt that waits for it must not be sent any more. Nothing is in flight.
// Pool.mu is held, except during the check of the attempt and the write.
func (c *conn) checkPath() {
	if c.noop != noopNone { // the answers to two no-ops could be confused
		c.close("path can't be confirmed")
		return
	}
	a := c.queued[0]
	c.writing = true
	c.pool.mu.Unlock()
	wanted := c.pool.handler.MayConfirm(a)
	c.pool.mu.Lock()
	c.writing = false
	switch {
	case c.closed:
	case wanted:
		c.writePathCheck()
	default:
		c.dropUnwanted(a)
	}
}

// writePathCheck writes a no-op. Pool.mu is held, except during the write.
func (c *conn) writePathCheck() {
	now := time.Now()
	c.path.pending, c.path.startedAt = true, now
	c.writing = true
	c.socket.SetReadDeadline(now.Add(pathCheckTimeout))
	c.socket.SetWriteDeadline(now.Add(pathCheckTimeout))
	c.pool.mu.Unlock()
	_, err := c.socket.Write(c.dialect.AppendNoop(nil))
	c.pool.mu.Lock()
	c.writing = false
	if err != nil {
		c.close("path check: " + err.Error())
	}
}

// dropUnwanted lets the handler end an attempt that waits for a path check and must not be sent any more. Pool.mu is
// held, except while the handler runs.
func (c *conn) dropUnwanted(a *Attempt) {
	if len(c.queued) == 0 || c.queued[0] != a { // it was abandoned in the meantime
		return
	}
	c.queued = c.queued[1:]
	c.writing, c.beingChecked = true, 1
	c.pool.mu.Unlock()
	kept := c.pool.handler.BeforeWrite([]*Attempt{a})
	c.pool.mu.Lock()
	c.writing, c.beingChecked = false, 0
	c.queued = append(kept, c.queued...)
	if c.retired && !c.inUse() {
		c.close("no attempt waited for")
	}
}

// readPathCheck reads the answer to a pending no-op. It returns false if none is pending.
func (c *conn) readPathCheck(in *bufio.Reader) (checked bool, err error) {
	c.pool.mu.Lock()
	pending := c.path.pending
	c.pool.mu.Unlock()
	if !pending {
		return false, nil
	}
	accepted, err := c.dialect.ReadNoopAnswer(in)
	if err != nil {
		return false, err
	}
	if !accepted {
		if c.answers == 0 && c.closedByNode(in) {
			c.pool.handleConnectionLimit(c)
		}
		return false, errNoopRejected
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.path.pending, c.path.confirmedAt = false, c.path.startedAt
	c.lastActive = time.Now()
	c.socket.SetReadDeadline(time.Time{})
	c.writerWake.Signal()
	if c.retired && !c.inUse() {
		c.close("no attempt waited for")
	}
	return true, nil
}

// isPathCheckFailure reports whether a read error means that a no-op was rejected or not answered in time, which is no
// malformed answer. Pool.mu is held.
func (c *conn) isPathCheckFailure(err error) bool {
	return errors.Is(err, errNoopRejected) || c.path.pending && socket.IsTimeout(err)
}
