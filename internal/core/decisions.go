package core

import (
	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// handle passes an event to the decision module and executes the resulting actions, then handles the events that these
// actions caused. If executing an action calls handle again, the inner call only queues its event. c.mu is held.
func (c *Core) handle(event policy.Event) {
	c.pendingEvents = append(c.pendingEvents, event)
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.pendingEvents); i++ {
		c.actions = c.balancer.Handle(c.policyTime(), c.pendingEvents[i], c.actions[:0])
		for j := range c.actions {
			c.execute(&c.actions[j])
		}
	}
	clear(c.pendingEvents)
	c.pendingEvents = c.pendingEvents[:0]
	c.handling = false
}

// execute executes one action of the decision module. c.mu is held.
func (c *Core) execute(action *policy.Action) {
	switch action.Kind {
	case policy.Send:
		c.dispatch(action)
	case policy.Cancel:
		c.cancel(action)
	case policy.Reject:
		if req := c.requests[action.ID]; req != nil {
			c.counts.rejected++
			answer := &request.Answer{Kind: request.Busy, RetryAfter: action.After}
			c.answer(req, answer, action.Reason.String())
		}
	case policy.Fail:
		if req := c.requests[action.ID]; req != nil {
			c.fail(req, action.Reason.String())
		}
	case policy.SetTimer:
		c.setTimer(timer{at: c.policyTime() + action.After, kind: policyTimer, id: action.Token})
	case policy.Subscribe:
		signal(c.subscribeRequested)
	case policy.FetchEndpoints:
		signal(c.fetchRequested)
	case policy.CloseIdle:
		c.pool.CloseIdle(action.Server)
	case policy.HealthCheck: // nodes have no command for a health check
	}
}

// cancel executes a Cancel action. It does nothing if there is no such attempt. c.mu is held.
func (c *Core) cancel(action *policy.Action) {
	req := c.requests[action.ID]
	if req == nil || action.Attempt < 0 || action.Attempt >= len(req.attempts) {
		return
	}
	c.cancelAttempt(req, req.attempts[action.Attempt], policy.Cancelled)
}

// fail answers a request whose outcome is unknown. If nothing of it has been written, it rejects the request
// instead: the waiting attempts can't start any more, and the client may safely retry. c.mu is held.
func (c *Core) fail(req *InFlightRequest, reason string) {
	if req.nothingStarted() {
		c.counts.rejected++
		answer := &request.Answer{Kind: request.Busy, RetryAfter: c.retryAfter(req)}
		c.answer(req, answer, reason+", never sent")
		return
	}
	c.counts.failed++
	c.answer(req, &request.Answer{Kind: request.Failed}, reason)
}
