package client

import (
	"errors"
	"time"

	"mulleinpier/client/internal/balance"
)

// sweepPeriodically calls sweep until the client is closed.
func (c *Client) sweepPeriodically() {
	const sweepsPerTimeout = 4
	ticker := time.NewTicker(max(min(c.options.Idle, lingerTimeout)/sweepsPerTimeout, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.sweep()
		case <-c.ctx.Done():
			return
		}
	}
}

// sweep closes connections that are no longer needed, and those that their proxies have closed.
func (c *Client) sweep() {
	type closing struct {
		conn   *connection
		reason error
	}
	var closings []closing
	var idle []*connection
	c.mu.Lock()
	now := c.options.clock().Monotonic
	for proxy, list := range c.conns {
		for _, conn := range list {
			if proxy.IsRemoved() {
				c.drainLocked(conn)
			}
			switch {
			case conn.draining && conn.inFlight == 0:
				closings = append(closings, closing{conn, errDrained})
			case conn.draining && conn.awaited == 0 && now-conn.idleSince >= lingerTimeout:
				closings = append(closings, closing{conn, errNoAnswer})
			case conn.inFlight == 0 && now-conn.idleSince >= c.options.Idle:
				c.drainLocked(conn)
				closings = append(closings, closing{conn, errIdle})
			case conn.inFlight == 0:
				idle = append(idle, conn)
			}
		}
	}
	c.mu.Unlock()
	for _, end := range closings {
		end.conn.fail(end.reason)
	}
	for _, conn := range idle {
		conn.checkIdle()
	}
}

// drainLocked marks a connection as draining: it takes no more requests. c.mu is held.
func (c *Client) drainLocked(conn *connection) {
	if !conn.draining {
		conn.draining = true
		c.balancer.ConnDraining(conn.proxy)
	}
}

// dialLocked starts opening a connection to a proxy. c.mu is held.
func (c *Client) dialLocked(proxy *balance.Proxy) {
	c.balancer.DialStarted(proxy)
	c.counters.dials.Add(1)
	c.tasks.Go(func() { c.dial(proxy) })
}

// dial opens a connection to a proxy and wakes the calls that wait for one.
func (c *Client) dial(proxy *balance.Proxy) {
	trace := &c.options.Trace
	if trace.DialStart != nil {
		trace.DialStart(proxy.Address)
	}
	start := time.Now()
	socket, err := c.options.Dial(c.ctx, "tcp", proxy.Address)
	if trace.DialDone != nil {
		trace.DialDone(proxy.Address, time.Since(start), err)
	}
	c.mu.Lock()
	now := c.options.clock().Monotonic
	if err != nil || c.closed {
		c.balancer.DialFailed(proxy, now)
		c.counters.dialFails.Add(1)
		c.wakeLocked(c.waiters.Len()) // the woken calls choose a proxy again
		c.mu.Unlock()
		if err == nil {
			socket.Close()
		}
		return
	}
	c.balancer.DialSucceeded(proxy)
	conn := newConnection(c, proxy, socket, now)
	c.conns[proxy] = append(c.conns[proxy], conn)
	c.tasks.Go(conn.writeLoop)
	c.tasks.Go(conn.readLoop)
	c.wakeLocked(c.options.Depth)
	c.mu.Unlock()
}

// growthThreshold is the number of requests on each connection to a proxy at which the client opens another connection.
// Answers come in the order of the requests, so a slow one delays those behind it.
const growthThreshold = 2

// pickConnLocked returns the connection to a proxy with the fewest requests, or nil if none has capacity. It starts to
// open another one if there is none or all have growthThreshold requests or more, and the balancer allows it. c.mu is
// held.
func (c *Client) pickConnLocked(proxy *balance.Proxy, now time.Duration) (best *connection) {
	for _, conn := range c.conns[proxy] {
		// A connection may hold up to twice options.Depth requests, including abandoned ones.
		if conn.draining || conn.inFlight >= 2*c.options.Depth {
			continue
		}
		if best == nil || conn.inFlight < best.inFlight {
			best = conn
		}
	}
	if (best == nil || best.inFlight >= growthThreshold) && c.balancer.CanDial(proxy, now) {
		c.dialLocked(proxy)
	}
	return best
}

// recentUse is the longest idle time after which the end of a connection still counts as the loss of its proxy. After a
// longer idle time the proxy may have closed it only because it had too many idle connections.
const recentUse = 100 * time.Millisecond

// closedByClient reports whether the client itself ended a connection for this reason.
func closedByClient(reason error) bool {
	for _, own := range []error{errIdle, errDrained, errNoAnswer, ErrClosed} {
		if errors.Is(reason, own) {
			return true
		}
	}
	return false
}

// connEnded removes a connection that has ended from the client; it is called once per connection. unanswered is the
// number of requests that were written to it and not answered.
func (c *Client) connEnded(conn *connection, unanswered int, reason error) {
	own := closedByClient(reason)
	c.mu.Lock()
	now := c.options.clock().Monotonic
	c.drainLocked(conn)
	if !own && (unanswered > 0 || now-conn.idleSince < recentUse) {
		c.balancer.ConnLost(conn.proxy, now)
	} else {
		c.balancer.ConnClosed(conn.proxy)
	}
	c.removeLocked(conn)
	c.wakeLocked(c.waiters.Len())
	c.mu.Unlock()
	if own {
		reason = nil
	}
	if hook := c.options.Trace.Disconnected; hook != nil {
		hook(conn.proxy.Address, reason)
	}
}

// removeLocked removes a connection from the client's list for its proxy. c.mu is held.
func (c *Client) removeLocked(conn *connection) {
	list := c.conns[conn.proxy]
	for i := range list {
		if list[i] == conn {
			last := len(list) - 1
			list[i] = list[last]
			list[last] = nil
			list = list[:last]
			break
		}
	}
	if len(list) == 0 {
		delete(c.conns, conn.proxy)
		return
	}
	c.conns[conn.proxy] = list
}

// abandonedEnded counts the end of a request whose caller no longer waited for the answer.
func (c *Client) abandonedEnded(conn *connection) {
	c.mu.Lock()
	conn.inFlight--
	drained := conn.draining && conn.inFlight == 0
	c.wakeLocked(1)
	c.mu.Unlock()
	if drained {
		conn.fail(errDrained)
	}
}
