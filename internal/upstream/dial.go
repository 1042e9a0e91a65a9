package upstream

import (
	"net"
	"time"

	"mulleinpier/internal/eventlog"
)

// Bounds of the backoff after a failed dial to a node. The first failure causes no backoff: networks reset single
// connections, and attempts on the few remaining connections would wait for one another and end together. The backoff
// doubles with each further failure, so a node at its connection limit still gets a few dials before the backoff is
// long.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 4 * time.Second
)

// node is the state of the connections to one node. It is guarded by Pool.mu.
type node struct {
	Node
	listed      bool          // added and not removed
	connections []*conn       // in order of opening
	dialing     int           // number of connections being established
	waiting     []*Attempt    // attempts that wait for a connection being established
	dialBackoff time.Duration // applies after the next failed dial
	nextDialAt  time.Time     // earliest next dial, unless the node has no usable connection
}

// openConnections returns the number of connections that are not retired.
func (n *node) openConnections() int {
	open := 0
	for _, c := range n.connections {
		if !c.retired {
			open++
		}
	}
	return open
}

// leastLoaded returns the connection that an attempt may use with the fewest outstanding attempts, or nil if all have
// limit or more. Among equals it returns the most recently used one, so that the others become idle and can be closed.
func (n *node) leastLoaded(a *Attempt, limit int) *conn {
	var best *conn
	for _, c := range n.connections {
		load := c.outstanding()
		if c.retired || load >= limit || !a.mayUse(c) {
			continue
		}
		if best == nil || load < best.outstanding() ||
			load == best.outstanding() && c.lastActive.After(best.lastActive) {
			best = c
		}
	}
	return best
}

// assignWaiting gives the first waiting attempt to an idle connection, if there is one.
func (n *node) assignWaiting() {
	if len(n.waiting) == 0 {
		return
	}
	if idle := n.leastLoaded(n.waiting[0], 1); idle != nil {
		idle.enqueue(n.waiting[0])
		n.waiting = n.waiting[1:]
	}
}

// mayDial reports whether another connection to a node may be established. A node without a usable connection is
// dialed regardless of the backoff, since its attempts can't be sent otherwise. p.mu is held.
func (p *Pool) mayDial(n *node, usable *conn) bool {
	return n.openConnections()+n.dialing < p.limits.MaxPerNode &&
		(usable == nil || !time.Now().Before(n.nextDialAt))
}

// dial starts to establish one more connection to a node. p.mu is held.
func (p *Pool) dial(n *node) {
	n.dialing++
	p.connections++
	p.counts.Dials++
	address, name, started := n.Address, n.Name, time.Now()
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}
	p.tasks.Go(func() {
		socket, err := dialer.DialContext(p.dialContext, "tcp", address)
		duration := time.Since(started)
		if err != nil {
			p.recorder.Record(eventlog.NodeDialFailed{Node: name, Duration: duration, Err: err})
		} else {
			p.recorder.Record(eventlog.NodeConnected{Node: name, Duration: duration})
		}
		p.dialFinished(n, address, socket, err)
	})
}

// dialFinished handles the result of a dial to a node at the given address: it adds the connection to the node, or
// sets the backoff after a failure.
func (p *Pool) dialFinished(n *node, address string, socket net.Conn, err error) {
	p.mu.Lock()
	n.dialing--
	switch {
	case err != nil:
		p.connections--
		p.counts.DialFailures++
		n.nextDialAt = time.Now().Add(n.dialBackoff)
		n.dialBackoff = min(max(2*n.dialBackoff, minDialBackoff), maxDialBackoff)
	case address != n.Address || !n.listed || p.closed: // the node has moved or was removed meanwhile
		p.connections--
		socket.Close()
	default:
		n.dialBackoff = 0
		n.connections = append(n.connections, newConn(p, n, socket.(*net.TCPConn)))
		n.assignWaiting()
	}
	unsent := n.reassignWaiting(p.limits.MaxPipelined)
	p.removeIfUnused(n)
	p.mu.Unlock()
	for _, a := range unsent {
		p.handler.Ended(a, nil, NotWritten)
	}
}

// reassignWaiting gives the attempts in excess of the dials under way to open connections, at most maxPipelined
// on each. It returns those that can't be sent because no connection has capacity and none is being established.
func (n *node) reassignWaiting(maxPipelined int) (unsent []*Attempt) {
	for len(n.waiting) > n.dialing {
		best := n.leastLoaded(n.waiting[0], maxPipelined)
		switch {
		case best != nil:
			best.enqueue(n.waiting[0])
		case n.dialing == 0:
			unsent = append(unsent, n.waiting[0])
		default:
			return unsent
		}
		n.waiting = n.waiting[1:]
	}
	return unsent
}
