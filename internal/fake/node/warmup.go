package node

import "time"

// capacityShare returns the share of its full capacity that the node has at now. The share is below 1 only while the
// node warms up. n.mu is held.
func (n *Node) capacityShare(now time.Time) float64 {
	age := now.Sub(n.startedAt)
	if n.startedAt.IsZero() || age >= n.config.WarmUpTime {
		return 1
	}
	atStart := n.config.ColdCapacityShare
	return atStart + (1-atStart)*float64(age)/float64(n.config.WarmUpTime)
}

// recordArrival records a request and reports whether the load over the last CollapseTime makes the node collapse. Only
// a node that is warming up collapses. n.mu is held.
func (n *Node) recordArrival(now time.Time) (overloaded bool) {
	share := n.capacityShare(now)
	if share >= 1 || n.config.ServiceTime <= 0 {
		n.arrivals = nil
		return false
	}
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) > n.config.CollapseTime {
		n.arrivals = n.arrivals[1:]
	}
	capacity := share * float64(n.config.Slots) * float64(n.config.CollapseTime) / float64(n.config.ServiceTime)
	return float64(len(n.arrivals)) > n.config.CollapseLoadFactor*capacity
}
