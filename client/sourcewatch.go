package client

import "time"

// minSourceRetryDelay is the shortest delay before a source that failed is followed again; the longest is twice that.
const minSourceRetryDelay = 500 * time.Millisecond

// followSource applies the lists of the source until the client is closed.
func (c *Client) followSource() {
	for c.ctx.Err() == nil {
		err := c.options.Proxies.Follow(c.ctx, c.applyList)
		if c.ctx.Err() != nil {
			return
		}
		c.traceList(nil, err)
		c.mu.Lock()
		delay := minSourceRetryDelay + time.Duration(c.rng.Int64N(int64(minSourceRetryDelay)))
		c.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-c.ctx.Done():
		}
	}
}

// applyList replaces the list of proxies, unless the new one is empty.
func (c *Client) applyList(addresses []string) {
	if len(addresses) == 0 {
		c.traceList(nil, ErrUnavailable)
		return
	}
	c.mu.Lock()
	changed := c.balancer.Update(c.options.clock().Monotonic, addresses)
	c.wakeLocked(c.waiters.Len())
	c.mu.Unlock()
	if changed {
		c.sweep()
		c.traceList(addresses, nil)
	}
}

func (c *Client) traceList(addresses []string, err error) {
	if hook := c.options.Trace.List; hook != nil {
		hook(addresses, err)
	}
}
