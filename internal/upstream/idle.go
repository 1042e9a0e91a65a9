package upstream

import (
	"context"
	"slices"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/socket"
)

// This file closes connections that are idle, silent or beyond what may be kept.

const (
	// sweepsPerTimeout is how often connections are checked within the shorter of their timeouts.
	sweepsPerTimeout = 8
	// minSweepInterval bounds the rate of these checks.
	minSweepInterval = time.Millisecond
	// warningInterval is the shortest time between two warnings about malformed answers: a node that sends
	// noise must not flood the log.
	warningInterval = time.Second
)

// Run closes connections that were idle for long, before the node does so in the middle of a request, and
// those whose node has fallen silent: a machine that vanished sends no end. When ctx ends it closes all
// connections and waits for the end of every goroutine that the package has started.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.sweepInterval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			p.tasks.Wait()
			return
		case now := <-tick.C:
			p.sweep(now)
			tick.Reset(p.sweepInterval())
		}
	}
}

func (p *Pool) sweepInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	shorter := min(p.limits.IdleTimeout, p.limits.SilenceTimeout)
	return max(shorter/sweepsPerTimeout, minSweepInterval)
}

// sweep closes the connections whose timeout is over.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		for _, c := range slices.Clone(n.connections) {
			timeout, reason := p.limits.SilenceTimeout, "silent"
			if c.outstanding() == 0 {
				timeout, reason = p.limits.IdleTimeout, "idle"
			}
			if now.Sub(c.lastActive) > timeout {
				c.close(reason)
			}
		}
	}
}

// CloseIdle closes the idle connections to a node.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[name]
	if n == nil {
		return
	}
	for _, c := range slices.Clone(n.connections) {
		if c.outstanding() == 0 {
			c.close("node not in use")
		}
	}
}

// CloseStale closes the idle connections that their nodes have closed, or may close because they were idle
// for long: after a pause of the process neither has been noticed. No lock is held while the state
// of the sockets is read.
func (p *Pool) CloseStale() {
	p.mu.Lock()
	idle := p.idleConnections()
	sweeps := p.limits.IdleTimeout > 0
	p.mu.Unlock()
	ended := slices.DeleteFunc(idle, func(c *conn) bool {
		return !socket.PeerClosed(c.socket) && !socket.Readable(c.socket)
	})
	p.mu.Lock()
	for _, c := range ended {
		if c.outstanding() == 0 {
			c.close("ended during a pause")
		}
	}
	p.mu.Unlock()
	if sweeps {
		p.sweep(time.Now())
	}
}

// idleConnections returns all connections without attempts. p.mu is held.
func (p *Pool) idleConnections() (idle []*conn) {
	for _, n := range p.nodes {
		for _, c := range n.connections {
			if c.outstanding() == 0 {
				idle = append(idle, c)
			}
		}
	}
	return idle
}

// closeOldest closes the connection that has been idle for longest, and reports whether there was one. p.mu
// is held.
func (p *Pool) closeOldest(reason string) bool {
	var oldest *conn
	for _, n := range p.nodes {
		for _, c := range n.connections {
			if c.outstanding() == 0 && (oldest == nil || c.lastActive.Before(oldest.lastActive)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close(reason)
	return true
}

// makeCapacity reports whether one more connection is within the limit, after closing an idle one if need be.
// p.mu is held.
func (p *Pool) makeCapacity() bool {
	return p.connections < p.limits.MaxConnections || p.closeOldest("connection limit")
}

// closeExcess closes the connections that have been idle for longest while there are more than the budget
// allows. p.mu is held.
func (p *Pool) closeExcess() {
	if p.connections <= connlimit.MinConnections {
		return
	}
	limit := p.budget.Limit(time.Since(p.startedAt), len(p.nodes))
	for p.connections > limit && p.closeOldest("share of the fleet") {
		p.counts.IdleClosed++
	}
}

// handleConnectionLimit notes that a node does not take a further connection. The node is well, and its
// connections to other proxies are in use: this proxy keeps fewer itself, as all do that meet such nodes.
func (p *Pool) handleConnectionLimit(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.ConnectionLimitReached++
	p.budget.Rejected(time.Since(p.startedAt), p.connections, len(p.nodes))
	c.retired = true
}

// warnMalformed logs that a node's answer can't be read. p.mu is held.
func (p *Pool) warnMalformed(name string, err error) {
	now := time.Now()
	if now.Sub(p.lastWarning) < warningInterval {
		p.suppressedWarnings++
		return
	}
	p.log.Warn("node answer malformed", "node", name, "error", err, "suppressed", p.suppressedWarnings)
	p.lastWarning, p.suppressedWarnings = now, 0
}

// closeAll closes all connections, for good.
func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.stopDials()
	for _, n := range p.nodes {
		for _, c := range slices.Clone(n.connections) {
			c.close("process ends")
		}
	}
}
