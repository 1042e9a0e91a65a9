package upstream

import (
	"net"
	"time"

	"mulleinpier/internal/eventlog"
)

// The waits before a node that refused a connection is dialed again. The first refusal causes none: networks
// reset single connections, and on the few that are left attempts would wait for one another and end
// together. A node that is at its limit sees as many dials as it takes to double the wait.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 4 * time.Second
)

// node is the state of the connections to one node. It is guarded by Pool.mu.
type node struct {
	Node
	listed      bool          // it has been added and not removed
	connections []*conn       // in order of opening
	dialing     int           // connections that are being established
	waiting     []*Attempt    // for one of these
	dialBackoff time.Duration // after the next failure
	nextDialAt  time.Time     // no dial before, unless the node has no connection
}

// openConnections returns the number of connections that take new attempts.
func (n *node) openConnections() int {
	open := 0
	for _, c := range n.connections {
		if !c.retired {
			open++
		}
	}
	return open
}

// leastLoaded returns the connection with the fewest attempts, nil if all have limit or more. Of equal ones it
// returns the one that was used last, so that the others become idle and can be closed.
func (n *node) leastLoaded(limit int) *conn {
	var best *conn
	for _, c := range n.connections {
		load := c.outstanding()
		if c.retired || load >= limit {
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
	if idle := n.leastLoaded(1); idle != nil {
		idle.enqueue(n.waiting[0])
		n.waiting = n.waiting[1:]
	}
}

// mayDial reports whether another connection to a node may be established. One without a usable connection
// is dialed without backoff, as nothing else can help it. p.mu is held.
func (p *Pool) mayDial(n *node, usable *conn) bool {
	return n.openConnections()+n.dialing < p.limits.MaxPerNode &&
		(usable == nil || !time.Now().Before(n.nextDialAt))
}

// dial establishes one more connection to a node. p.mu is held.
func (p *Pool) dial(n *node) {
	n.dialing++
	p.connections++
	p.counts.Dials++
	address, name, started := n.Address, n.Name, time.Now()
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}
	p.tasks.Go(func() {
		socket, err := dialer.DialContext(p.dials, "tcp", address)
		duration := time.Since(started)
		if err != nil {
			p.recorder.Record(eventlog.NodeDialFailed{Node: name, Duration: duration, Err: err})
		} else {
			p.recorder.Record(eventlog.NodeConnected{Node: name, Duration: duration})
		}
		p.dialFinished(n, address, socket, err)
	})
}

// dialFinished takes the result of a dial of a node's address.
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
	lost := n.reassignWaiting(p.limits.MaxPipelined)
	p.removeIfUnused(n)
	p.mu.Unlock()
	for _, a := range lost {
		p.handler.Ended(a, nil, NotWritten)
	}
}

// reassignWaiting gives attempts that waited for a dial that has ended to other connections, at most
// maxPipelined on each. It returns those that can't be sent: no connection is left, nor being established.
func (n *node) reassignWaiting(maxPipelined int) (lost []*Attempt) {
	for len(n.waiting) > n.dialing {
		best := n.leastLoaded(maxPipelined)
		switch {
		case best != nil:
			best.enqueue(n.waiting[0])
		case n.dialing == 0:
			lost = append(lost, n.waiting[0])
		default:
			return lost
		}
		n.waiting = n.waiting[1:]
	}
	return lost
}
