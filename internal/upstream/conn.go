package upstream

import (
	"net"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/eventlog"
)

// conn is one connection to a node. Its fields are guarded by Pool.mu.
type conn struct {
	pool       *Pool
	node       *node
	socket     *net.TCPConn
	dialect    Dialect
	openedAt   time.Time
	lastActive time.Time // when anything last came, or an attempt began to wait

	queued       []*Attempt // not written yet
	beingChecked int        // attempts that the writer has and the handler checks
	inFlight     []*Attempt // written or being written, in the order of their answers
	incomplete   int        // attempts at the end of inFlight that have not been written completely
	writing      bool       // the writer has a batch
	writerWake   sync.Cond

	retired     bool // it gets no new attempts, and is closed once nobody waits for it
	writeFailed bool // answers that came before the failure are still read
	malformed   bool // what came for the first of inFlight can't be read
	closed      bool
	hasServed   bool // an answer other than busy has come; belongs to the reader
}

// newConn starts the reader and the writer of a connection. p.mu is held.
func newConn(p *Pool, n *node, socket *net.TCPConn) *conn {
	now := time.Now()
	dialect := n.Dialect
	if dialect == nil {
		dialect = p.dialect
	}
	c := &conn{
		pool:       p,
		node:       n,
		socket:     socket,
		dialect:    dialect,
		openedAt:   now,
		lastActive: now,
		writerWake: sync.Cond{L: &p.mu},
	}
	p.tasks.Go(c.runWriter)
	p.tasks.Go(c.runReader)
	return c
}

// outstanding returns the number of attempts that have been given to the connection and have not ended.
func (c *conn) outstanding() int { return len(c.queued) + c.beingChecked + len(c.inFlight) }

// hasWaiters reports whether anybody waits for an attempt on the connection.
func (c *conn) hasWaiters() bool {
	return len(c.queued) > 0 || slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return !a.abandoned })
}

// inUse reports whether the connection must stay open: it is being written to, or somebody waits for it.
func (c *conn) inUse() bool { return c.writing || c.hasWaiters() }

// enqueue gives an attempt to the writer.
func (c *conn) enqueue(a *Attempt) {
	if c.outstanding() == 0 {
		c.lastActive = time.Now()
	}
	c.queued = append(c.queued, a)
	c.writerWake.Signal()
}

// retire lets a connection finish what somebody waits for, and then close. The reason is for the event log.
func (c *conn) retire(reason string) {
	c.retired = true
	if !c.inUse() {
		c.close(reason)
	}
}

// close ends the connection. Its reader and writer notice, and the last of them ends its attempts. The reason
// is for the event log.
func (c *conn) close(reason string) {
	if c.closed {
		return
	}
	c.closed = true
	if recorder := c.pool.recorder; recorder.Enabled() {
		recorder.Record(eventlog.NodeDisconnected{
			Node:     c.node.Name,
			Reason:   reason,
			InFlight: len(c.inFlight),
			Queued:   len(c.queued) + c.beingChecked,
		})
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

// discardUndelivered has the close discard what the kernel has not delivered yet, if any of it has side
// effects: once a cut link is restored the kernel would deliver it, long after the window in which nodes drop
// repeats. The price is that a node that would have answered just then sees a reset.
func (c *conn) discardUndelivered() {
	if slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return a.Request.SideEffects }) {
		c.socket.SetLinger(0)
	}
}

// endAttempts ends the attempts of a closed connection, once no write can change what is known of them. What
// was not written moves to another connection, once: the end of a connection says little about its node, but a
// node that accepts and resets must not keep an attempt moving for ever. It is entered with Pool.mu held, and
// releases it.
func (c *conn) endAttempts() {
	if c.writing { // the writer calls it again
		c.pool.mu.Unlock()
		return
	}
	inFlight := c.inFlight
	complete := len(inFlight) - min(c.incomplete, len(inFlight))
	lost := c.requeue()
	c.queued, c.inFlight = nil, nil
	c.pool.mu.Unlock()
	for i, a := range inFlight {
		result := ConnectionLost
		switch {
		case i >= complete:
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

// requeue moves queued attempts to other connections, and returns those that can't be moved. Pool.mu is held.
func (c *conn) requeue() (lost []*Attempt) {
	for _, a := range c.queued {
		mayMove := !a.requeued && c.node.listed
		a.requeued = true
		if !mayMove || !c.pool.enqueue(c.node, a) {
			lost = append(lost, a)
		}
	}
	return lost
}
