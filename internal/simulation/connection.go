package simulation

import (
	"slices"

	"mulleinpier/policy"
)

// connection is a proxy's connection to a node.
type connection struct {
	inUse int // attempts in flight
}

// handshakeDelays is how many message delays an attempt over a new connection takes to reach the node.
const handshakeDelays = 3

// send sends an attempt to a node over the open connection, or over a new one.
func (p *proxy) send(r *proxyRequest, n *node) {
	f := p.fleet
	a := &attempt{request: r, number: len(r.attempts), node: n, sentAt: f.now}
	r.attempts = append(r.attempts, a)
	if !p.isServing(n.Server) {
		f.violation("proxy %d sends to %s, which its endpoint list does not have as serving", p.index, n.Server)
	}
	delay := f.MessageDelay
	if p.connections[n.Server] == nil {
		delay *= handshakeDelays
		if !p.connect(a) {
			return
		}
	}
	p.touch(n.Server)
	p.connections[n.Server].inUse++
	a.hasConnection = true
	f.scheduleAfter(delay, func() {
		if !a.done && p.balancer.MaySend(f.now, r.id, a.number) {
			f.receive(n, a)
		} else {
			f.complete(a, policy.NotSent, policy.CacheUnknown)
		}
	})
	p.closeExcess()
}

// connect opens a connection for an attempt. If that fails, it ends the attempt and returns false.
func (p *proxy) connect(a *attempt) (ok bool) {
	f, n := p.fleet, a.node
	f.counters().Handshakes++
	if n.fault == Unreachable {
		f.counters().SendsToUnreachable++
		f.scheduleAfter(2*f.MessageDelay, func() { f.complete(a, policy.ConnectFailed, policy.CacheUnknown) })
		return false
	}
	if f.Node.MaxConnections > 0 && n.connections >= f.Node.MaxConnections {
		f.counters().ConnectionsRejected++
		f.scheduleAfter((handshakeDelays+1)*f.MessageDelay, func() {
			p.budget.Rejected(f.now, len(p.connections), len(p.endpoints))
			p.closeExcess()
			f.complete(a, policy.ConnectionLimitReached, policy.CacheUnknown)
		})
		return false
	}
	p.connections[n.Server] = &connection{}
	n.connections++
	f.Peak.Connections = max(f.Peak.Connections, n.connections)
	return true
}

// touch marks a connection as the most recently used.
func (p *proxy) touch(name string) {
	p.recentlyUsed = append(without(p.recentlyUsed, name), name)
}

// closeExcess closes idle connections beyond the proxy's budget, the least recently used first.
func (p *proxy) closeExcess() {
	limit := p.budget.Limit(p.fleet.now, len(p.endpoints))
	for i := 0; i < len(p.recentlyUsed) && len(p.recentlyUsed) > limit; {
		name := p.recentlyUsed[i]
		if p.connections[name].inUse == 0 {
			p.closeConnection(name)
		} else {
			i++
		}
	}
}

func (p *proxy) closeConnection(name string) {
	p.recentlyUsed = without(p.recentlyUsed, name)
	delete(p.connections, name)
	p.fleet.nodes[name].connections--
}

func without(names []string, name string) []string {
	if i := slices.Index(names, name); i >= 0 {
		return slices.Delete(names, i, i+1)
	}
	return names
}

// connectionLost closes the connection to a node that has crashed, and resets the attempts on it.
func (p *proxy) connectionLost(n *node) {
	if p.dead || p.connections[n.Server] == nil {
		return
	}
	f := p.fleet
	p.closeConnection(n.Server)
	for _, id := range p.sortedIDs() {
		for _, a := range p.inFlight[id].attempts {
			if a.node == n && !a.done {
				a.hasConnection = false
				f.scheduleAfter(f.MessageDelay, func() { f.complete(a, policy.Reset, policy.CacheUnknown) })
			}
		}
	}
}
