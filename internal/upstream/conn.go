package upstream

import (
	"net"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
)

// conn is one connection to a node. Its fields are guarded by Pool.mu.
type conn struct {
	pool       *Pool
	number     uint64 // identifies the connection in the event log
	node       *node
	socket     *net.TCPConn
	dialect    Dialect
	openedAt   time.Time
	lastActive time.Time // when an answer last began or ended, or an idle connection got an attempt

	queued       []*Attempt // attempts of which no byte has been written
	beingChecked int        // number of attempts that the writer has taken and the handler is checking
	inFlight     []*Attempt // written or being written, in the order in which their answers come
	incomplete   int        // number of attempts at the end of inFlight whose last byte has not been written
	writing      bool       // the writer is checking or writing a batch
	writerWake   sync.Cond

	retired     bool // gets no new attempts, and is closed once nobody waits for an attempt on it
	writeFailed bool // nothing more is written; answers that came before the failure are still read
	malformed   bool // the answer to the first attempt of inFlight can't be parsed
	closed      bool

	answers    int // answers read so far
	noop       noopState
	beforeNoop int // number of attempts at the start of inFlight that were written before the no-op
	path       pathCheck

	// Used by the reader only, without the lock.
	hasServed    bool             // an answer other than busy has come
	lastAnswerAt time.Time        // when the latest answer was read
	unconfirmed  []request.Answer // answers of which it is not known which attempt they belong to, see attribution.go
}

// newConn wraps an established connection and starts its reader and writer. p.mu is held.
func newConn(p *Pool, n *node, socket *net.TCPConn) *conn {
	now := time.Now()
	dialect := n.Dialect
	if dialect == nil {
		dialect = p.dialect
	}
	p.connectionsOpened++
	c := &conn{
		pool:       p,
		number:     p.connectionsOpened,
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

// outstanding returns the number of attempts assigned to the connection that have not ended.
func (c *conn) outstanding() int { return len(c.queued) + c.beingChecked + len(c.inFlight) }

// hasWaiters reports whether the connection has queued attempts, or attempts in flight that were not abandoned.
func (c *conn) hasWaiters() bool {
	return len(c.queued) > 0 || slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return !a.abandoned })
}

// inUse reports whether the connection must stay open because it is being written to or has waiters.
func (c *conn) inUse() bool { return c.writing || c.hasWaiters() }

// enqueue adds an attempt to the writer's queue.
func (c *conn) enqueue(a *Attempt) {
	if c.outstanding() == 0 {
		c.lastActive = time.Now()
	}
	c.queued = append(c.queued, a)
	c.writerWake.Signal()
}

// retire stops assigning attempts to the connection, and closes it once it is no longer in use. If the connection
// closes now, reason goes to the event log.
func (c *conn) retire(reason string) {
	c.retired = true
	if !c.inUse() {
		c.close(reason)
	}
}

// close closes the connection. Its reader and writer then stop and end its attempts. reason goes to the event log.
func (c *conn) close(reason string) {
	if c.closed {
		return
	}
	c.closed = true
	if recorder := c.pool.recorder; recorder.Enabled() {
		recorder.Record(eventlog.NodeDisconnected{
			Node:       c.node.Name,
			Connection: c.number,
			Reason:     reason,
			InFlight:   len(c.inFlight),
			Queued:     len(c.queued) + c.beingChecked,
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

// discardUndelivered makes the kernel reset the connection on close and discard the data that it has not delivered, if
// an attempt in flight has side effects. Otherwise the kernel would deliver that data once a broken network link is
// restored, long after the window in which nodes drop duplicates. The drawback is that a node that was just about to
// answer gets a reset.
func (c *conn) discardUndelivered() {
	if slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return a.Request.SideEffects }) {
		c.socket.SetLinger(0)
	}
}

// endAttempts ends the attempts of a closed connection, once no write is under way that could change how they
// end. Queued attempts move to another connection, each at most once: the end of a connection says little about
// its node, but a node that accepts and resets connections must not keep an attempt moving forever. The caller
// holds Pool.mu; endAttempts releases it.
func (c *conn) endAttempts() {
	if c.writing { // the writer calls endAttempts when it is done
		c.pool.mu.Unlock()
		return
	}
	inFlight := c.inFlight
	complete := len(inFlight) - min(c.incomplete, len(inFlight))
	unsent := c.requeue()
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
	for _, a := range unsent {
		c.pool.handler.Ended(a, nil, NotWritten)
	}
}

// requeue moves queued attempts to other connections, and returns those that can't be moved. A repeat whose path check
// has failed is better sent to another node. Pool.mu is held.
func (c *conn) requeue() (unsent []*Attempt) {
	for _, a := range c.queued {
		mayMove := !a.requeued && c.node.listed && !(a.ConfirmPath && c.path.pending)
		a.requeued = true
		if !mayMove || !c.pool.enqueue(c.node, a) {
			unsent = append(unsent, a)
		}
	}
	return unsent
}
