// Package connlimit decides how many connections a proxy keeps to all cache nodes together,
// where each node takes but few and many proxies share them. It does no I/O and reads
// no clock.
//
// What it guarantees:
//  1. The budget is at least Least and never above what one node's table gives at all nodes.
//  2. Proxies that follow it, and are as many as they were told, fill Fill of each table.
//  3. Where more proxies or smaller tables than told make nodes refuse, the budget falls
//     by half within some refusals, from what is really open, however much was told; and rises
//     by a connection to each node within RiseTime without one.
//
// It does not say which connections are kept: those used last are, see package upstream.
package connlimit

import "time"

const (
	// TargetFill is the part of a table that proxies together aim to take. Which proxies hold
	// a connection to a node is chance: at eighty proxies of which 18 do, it scatters by about a fifth,
	// and some room must be left for those that need one now. A full table also slows a node.
	TargetFill = 0.6
	// MinConnections is kept by any proxy: fewer would make each request wait for a handshake.
	MinConnections = 4
	// fall is what remains of the budget after a refusal, and quiet the time after one in
	// which others don't count: they are of the same moment.
	fall  = 0.85
	quiet = 250 * time.Millisecond
	// RecoveryTime is how long it takes to regain the whole share, or a connection to each node where
	// that is less.
	RecoveryTime = 30 * time.Second
	// lowest is the part of the share, or of a connection to each node where that is less, that any
	// number of refusals leaves: a node whose table is full for another reason must not take the
	// others' connections as well.
	lowest = 0.25
)

// Capacity is what is known of the tables.
type Capacity struct {
	ConnectionsPerNode int // connections that a node takes from all, 0 for unknown or no bound
	Proxies            int // that share them, 0 for unknown: one
}

// Budget is how many connections to keep. The zero Budget has no bound.
type Budget struct {
	share Capacity
	part  float64 // of the share, 1 at first
	at    time.Duration
	fell  time.Duration
	set   bool
}

// SetCapacity puts what is known into force. What refusals have taught stays.
func (b *Budget) SetCapacity(s Capacity) { b.share = s }

// Rejected tells that a node had no room for a connection while so many were open to so many nodes.
func (b *Budget) Rejected(now time.Duration, open, nodes int) {
	if b.share.ConnectionsPerNode <= 0 || nodes <= 0 {
		return
	}
	b.rise(now, nodes)
	if b.fell != 0 && now-b.fell < quiet {
		return
	}
	b.fell = now
	whole := b.whole(nodes)
	// A share far above what is open, told by a wrong number of proxies, would fall for minutes
	// before it bites.
	most := min(whole*b.part, max(float64(open), min(whole, float64(nodes))))
	b.part = max(most*fall/whole, lowest*b.base(nodes)/whole)
}

// whole is the share as it follows from what was told.
func (b *Budget) whole(nodes int) float64 {
	return float64(nodes) * b.share.PerProxy()
}

// PerProxy is how many connections a node keeps for each proxy of those that share it, 0 for no bound.
func (s Capacity) PerProxy() float64 {
	return float64(s.ConnectionsPerNode) * TargetFill / float64(max(s.Proxies, 1))
}

// base is what falls and rises are measured by.
func (b *Budget) base(nodes int) float64 { return min(b.whole(nodes), float64(nodes)) }

// rise regains what refusals took, evenly.
func (b *Budget) rise(now time.Duration, nodes int) {
	if !b.set {
		b.set, b.part = true, 1
	} else if now > b.at && nodes > 0 {
		b.part = min(b.part+float64(now-b.at)/float64(RecoveryTime)*b.base(nodes)/b.whole(nodes), 1)
	}
	b.at = max(b.at, now)
}

// Limit returns how many connections may stay open to so many nodes. Idle ones beyond
// it are to be closed; those at work never count against a request.
func (b *Budget) Limit(now time.Duration, nodes int) int {
	if b.share.ConnectionsPerNode <= 0 {
		return max(nodes, 1) << 10
	}
	b.rise(now, nodes)
	return max(int(b.whole(nodes)*b.part), MinConnections)
}
