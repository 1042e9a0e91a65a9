// Package connlimit decides how many connections a proxy keeps to all cache nodes together, for nodes that accept few
// connections and share them among many proxies.
//
// Guarantees:
//
//  1. If nodes limit their connections, the budget is at most [Capacity.PerProxy] connections per node, but never less
//     than [MinConnections] in total.
//  2. If the number of proxies is configured correctly and all of them keep to their budgets, together they use
//     [TargetFill] of each node's connections.
//  3. If nodes reject connections because there are more proxies or fewer connections than configured, a few
//     rejections halve the budget, starting from the number of open connections however large the configured share
//     is. Without rejections the budget grows by one connection per node within [RecoveryTime].
//
// The package does no I/O, reads no clock and starts no goroutines. A [Budget] is not safe for concurrent use. The
// package does not choose which connections to keep: package upstream keeps the most recently used.
package connlimit

import "time"

const (
	// TargetFill is the fraction of a node's connections that all proxies together aim to use. Which proxies have a
	// connection to a node is random: with eighty proxies, of which 18 have one on average, the number varies by about
	// a fifth, and some capacity must remain for proxies that need a connection now. A node without free connections
	// is also slow.
	TargetFill = 0.6

	// MinConnections is the minimum budget of a proxy: with fewer connections each request would wait for a handshake.
	MinConnections = 4

	// RecoveryTime is the time in which the budget regains the full share, or one connection per node if that is less.
	RecoveryTime = 30 * time.Second

	// rejectionFactor is the factor by which a rejection reduces the budget.
	rejectionFactor = 0.85

	// quietPeriod is the time after a rejection during which further rejections are ignored: they have the same cause.
	quietPeriod = 250 * time.Millisecond

	// minFraction is the fraction of the share, or of one connection per node if that is less, that remains after any
	// number of rejections: a node that rejects for another reason must not make the proxy lose its connections to
	// other nodes too.
	minFraction = 0.25

	// unboundedPerNode is the budget per node if nodes have no known limit; a proxy never opens that many.
	unboundedPerNode = 1 << 10
)

// Capacity describes the connections that nodes accept and the proxies that share them.
type Capacity struct {
	ConnectionsPerNode int // connections that a node accepts from all proxies, 0 for unknown or unlimited
	Proxies            int // number of proxies that share them; 0 for unknown, which counts as 1
}

// PerProxy returns each proxy's share of a node's connections, 0 for unlimited.
func (c Capacity) PerProxy() float64 {
	return float64(c.ConnectionsPerNode) * TargetFill / float64(max(c.Proxies, 1))
}

// Budget limits the number of connections that a proxy keeps. The zero Budget is unlimited. Its methods take the time
// now as the duration since a fixed start.
type Budget struct {
	capacity      Capacity
	fraction      float64 // fraction of the share that may be used, initially 1
	updated       time.Duration
	lastRejection time.Duration
	started       bool
}

// SetCapacity sets the capacity. It keeps the reductions caused by earlier rejections.
func (b *Budget) SetCapacity(c Capacity) { b.capacity = c }

// Rejected reduces the budget after a node at its limit rejected a connection. open is the number of the proxy's open
// connections to all nodes, and nodes is the number of nodes.
func (b *Budget) Rejected(now time.Duration, open, nodes int) {
	if b.capacity.ConnectionsPerNode <= 0 || nodes <= 0 {
		return
	}
	b.regain(now, nodes)
	if b.lastRejection != 0 && now-b.lastRejection < quietPeriod {
		return
	}
	b.lastRejection = now
	// Start from the number of open connections: if too few proxies are configured, the share is far above that number
	// and would take minutes to fall to a value that limits anything.
	share := b.share(nodes)
	limit := min(share*b.fraction, max(float64(open), b.step(nodes)))
	b.fraction = max(limit*rejectionFactor/share, minFraction*b.step(nodes)/share)
}

// Limit returns the number of connections to all nodes that may stay open. Callers close idle connections in excess of
// the limit, but must not delay or reject a request because of it.
func (b *Budget) Limit(now time.Duration, nodes int) int {
	if b.capacity.ConnectionsPerNode <= 0 {
		return max(nodes, 1) * unboundedPerNode
	}
	b.regain(now, nodes)
	return max(int(b.share(nodes)*b.fraction), MinConnections)
}

// share returns this proxy's share of the connections of all nodes.
func (b *Budget) share(nodes int) float64 { return float64(nodes) * b.capacity.PerProxy() }

// step returns the share, or one connection per node if that is less. The budget recovers by one step per
// RecoveryTime, and minFraction of a step is its minimum.
func (b *Budget) step(nodes int) float64 { return min(b.share(nodes), float64(nodes)) }

// regain increases the budget linearly up to the full share, by one step per RecoveryTime.
func (b *Budget) regain(now time.Duration, nodes int) {
	if !b.started {
		b.started, b.fraction = true, 1
	} else if now > b.updated && nodes > 0 {
		gained := float64(now-b.updated) / float64(RecoveryTime) * b.step(nodes) / b.share(nodes)
		b.fraction = min(b.fraction+gained, 1)
	}
	b.updated = max(b.updated, now)
}
