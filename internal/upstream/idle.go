package upstream

import (
	"context"
	"slices"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/socket"
)

// This file closes connections that are idle, silent or in excess of the connection budget.

const (
	// sweepsPerTimeout is the number of sweeps within the shorter of the idle and silence timeouts.
	sweepsPerTimeout = 8
	// minSweepInterval is the minimum time between two sweeps.
	minSweepInterval = time.Millisecond
	// warningInterval is the minimum time between two warnings about malformed answers, so that a node that
	// sends garbage does not flood the log.
	warningInterval = time.Second
)

// Run closes connections that have been idle for too long, before the node closes them in the middle of a request,
// and connections with attempts whose node has been silent for too long, since a machine that fails may not close
// them. When ctx ends it closes all connections and waits until every goroutine of the pool has ended.
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

// sweep closes connections whose idle or silence timeout has expired.
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

// CloseIdle closes the connections to a node that have no attempts. It ignores unknown nodes.
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

// CloseStale is called after a pause of the process, during which the pool noticed neither closed connections nor
// expired timeouts. It closes the idle connections that their nodes have closed or sent data on, and then sweeps,
// since nodes may close connections that have been idle for long. No lock is held while the state of the sockets is
// read.
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

// idleConnections returns all connections without outstanding attempts. p.mu is held.
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

// closeOldest closes the connection that has been idle longest, and reports whether there was an idle one. p.mu
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

// makeCapacity reports whether the limit allows one more connection. At the limit it closes an idle connection, if
// there is any, to make this possible. p.mu is held.
func (p *Pool) makeCapacity() bool {
	return p.connections < p.limits.MaxConnections || p.closeOldest("connection limit")
}

// closeExcess closes idle connections, the longest idle first, while there are more than the budget allows. p.mu
// is held.
func (p *Pool) closeExcess() {
	if p.connections <= connlimit.MinConnections {
		return
	}
	limit := p.budget.Limit(time.Since(p.startedAt), len(p.nodes))
	for p.connections > limit && p.closeOldest("share of the fleet") {
		p.counts.IdleClosed++
	}
}

// handleConnectionLimit retires a connection that was rejected by a node at its connection limit, and reduces the
// connection budget. The node is healthy, but other proxies use its connections; each proxy that such nodes reject then
// keeps fewer connections.
func (p *Pool) handleConnectionLimit(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.ConnectionLimitReached++
	p.budget.Rejected(time.Since(p.startedAt), p.connections, len(p.nodes))
	c.retired = true
}

// warnMalformed logs a malformed answer, at most once per warningInterval. p.mu is held.
func (p *Pool) warnMalformed(name string, err error) {
	now := time.Now()
	if now.Sub(p.lastWarning) < warningInterval {
		p.suppressedWarnings++
		return
	}
	p.log.Warn("node answer malformed", "node", name, "error", err, "suppressed", p.suppressedWarnings)
	p.lastWarning, p.suppressedWarnings = now, 0
}

// closeAll closes all connections and stops the pool from sending and dialing.
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
