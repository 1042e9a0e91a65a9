// Package connlimit decides how many connections a proxy keeps to all cache nodes together, where each node accepts few
// and many proxies share them.
//
// Guarantees:
//
//  1. Where nodes bound their connections the budget is at least [MinConnections], and otherwise never above
//     [Capacity.PerProxy] connections to each node.
//  2. Proxies that follow it, and are as many as configured, use [TargetFill] of each node's connections.
//  3. Where more proxies or fewer connections than configured make nodes reject, the budget falls by half within some
//     rejections, from what is really open, however much was configured; it rises by a connection to each node within
//     [RecoveryTime] without one.
//
// The package does no I/O, reads no clock and starts no goroutine; a [Budget] belongs to the caller. It does not say
// which connections are kept: package upstream keeps the most recently used.
package connlimit

import "time"

const (
	// TargetFill is the share of a node's connections that proxies aim to use together. Which proxies have a
	// connection to a node is chance: with eighty proxies, of which 18 have one, their number scatters by about a
	// fifth, and some capacity must be left for those that need one now. A node with no connection left is also slow.
	TargetFill = 0.6

	// MinConnections are kept by any proxy: with fewer each request would wait for a handshake.
	MinConnections = 4

	// RecoveryTime is how long it takes to regain the full share, or a connection to each node where that is less.
	RecoveryTime = 30 * time.Second

	// rejectionFactor is what remains of the budget after a rejection.
	rejectionFactor = 0.85

	// quietPeriod is the time after a rejection in which others do not count: they have the same cause.
	quietPeriod = 250 * time.Millisecond

	// minPart is the part of the share, or of a connection to each node where that is less, that any number of
	// rejections leaves: a node that rejects for another reason must not take the other nodes' connections as well.
	minPart = 0.25

	// unboundedPerNode is the limit for each node where nodes have no bound: more than is ever opened.
	unboundedPerNode = 1 << 10
)

// Capacity is what is known of the nodes' connections.
type Capacity struct {
	ConnectionsPerNode int // that a node accepts from all proxies, 0 for unknown or no bound
	Proxies            int // that share them, 0 for unknown: one
}

// PerProxy is how many connections a node keeps for each proxy, 0 for no bound.
func (c Capacity) PerProxy() float64 {
	return float64(c.ConnectionsPerNode) * TargetFill / float64(max(c.Proxies, 1))
}

// Budget is how many connections to keep. The zero Budget has no bound.
type Budget struct {
	capacity      Capacity
	part          float64 // of the share, 1 at first
	updated       time.Duration
	lastRejection time.Duration
	started       bool
}

// SetCapacity puts what is known of the nodes' connections into force. What rejections have taught stays.
func (b *Budget) SetCapacity(c Capacity) { b.capacity = c }

// Rejected reports that a node accepted no further connection, with so many open to so many nodes in all.
func (b *Budget) Rejected(now time.Duration, open, nodes int) {
	if b.capacity.ConnectionsPerNode <= 0 || nodes <= 0 {
		return
	}
	b.regain(now, nodes)
	if b.lastRejection != 0 && now-b.lastRejection < quietPeriod {
		return
	}
	b.lastRejection = now
	// A share far above what is open, from a wrong number of proxies, would take minutes to fall to where it bites.
	share := b.share(nodes)
	limit := min(share*b.part, max(float64(open), b.step(nodes)))
	b.part = max(limit*rejectionFactor/share, minPart*b.step(nodes)/share)
}

// Limit returns how many connections may stay open to so many nodes. Idle ones beyond it are to be closed; those in use
// never count against a request.
func (b *Budget) Limit(now time.Duration, nodes int) int {
	if b.capacity.ConnectionsPerNode <= 0 {
		return max(nodes, 1) * unboundedPerNode
	}
	b.regain(now, nodes)
	return max(int(b.share(nodes)*b.part), MinConnections)
}

// share is this proxy's share of the connections of so many nodes.
func (b *Budget) share(nodes int) float64 { return float64(nodes) * b.capacity.PerProxy() }

// step is the unit of falls and rises: the share, or a connection to each node where that is less.
func (b *Budget) step(nodes int) float64 { return min(b.share(nodes), float64(nodes)) }

// regain takes back evenly what rejections took.
func (b *Budget) regain(now time.Duration, nodes int) {
	if !b.started {
		b.started, b.part = true, 1
	} else if now > b.updated && nodes > 0 {
		gained := float64(now-b.updated) / float64(RecoveryTime) * b.step(nodes) / b.share(nodes)
		b.part = min(b.part+gained, 1)
	}
	b.updated = max(b.updated, now)
}
