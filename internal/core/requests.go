package core

import (
	"slices"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// Reply receives the answer to a request. Its methods are called with the core's lock held: they must not block and
// must not call the core.
type Reply interface {
	// Finish takes the answer to the request. It is called at most once, and not after the client has disconnected.
	Finish(answer *request.Answer)
	// Release reports that the request's value is no longer referenced.
	Release()
}

// DisconnectChecker is a [Reply] that can report, without blocking, whether its client has disconnected. It
// is called without the core's lock.
type DisconnectChecker interface{ Disconnected() bool }

// InFlightRequest is a client's request from its acceptance until it is answered and all its attempts have
// ended. It is guarded by Core.mu.
type InFlightRequest struct {
	id           uint64
	acceptedAt   time.Duration // by Core.policyTime
	request      *request.Request
	deadline     time.Duration // when its answer is due, by Core.policyTime
	expiresAt    time.Time     // the deadline by the wall clock
	reply        Reply
	attempts     []*nodeAttempt
	openAttempts int  // attempts that have not ended
	finished     bool // the request was answered, or its client has disconnected
	claim        claimState
	sendBefore   time.Duration // with claimGranted: attempts must start before it, by Core.policyTime
	// mayHaveRunBefore is set for a keyed request that may have been executed when it came the first time, or when
	// another proxy sent it.
	mayHaveRunBefore bool
}

// nothingStarted reports whether no byte of a request has been written to a node. Once the request is finished, no
// further attempt can start.
func (r *InFlightRequest) nothingStarted() bool {
	return !slices.ContainsFunc(r.attempts, func(attempt *nodeAttempt) bool { return attempt.started })
}

// arrival returns the event that passes a request to the decision module.
func (r *InFlightRequest) arrival(class, tenant int) policy.Arrival {
	return policy.Arrival{
		ID:       r.id,
		Class:    class,
		Tenant:   tenant,
		Key:      r.request.Key,
		Deadline: r.deadline,
		Write:    r.request.Verb == request.Set,
		IsRetry:  r.request.Retry,
	}
}

// Submit takes a request that has been read completely, and passes its answer to reply. It returns nil if it does not
// accept the request and has already answered it, as invalid or as rejected.
func (c *Core) Submit(in *request.Request, reply Reply) *InFlightRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	classIndex, known := c.rules.classes[in.Class]
	if !known {
		c.answerInvalid(in, reply, "unknown class")
		return nil
	}
	class := &c.rules.policy.Classes[classIndex]
	in.SideEffects = class.Idempotency != policy.Idempotent
	in.RunsAlone = in.SideEffects || !c.rules.policy.Limits.AllowHedging
	if in.SideEffects {
		c.observeSleep()
	}
	c.observeClocks()
	tenant, defect := c.checkRequest(in, class)
	if defect != "" {
		c.answerInvalid(in, reply, defect)
		return nil
	}
	if reason := c.rejectionReason(class); reason != "" {
		c.answerRejected(in, reply, reason, c.balancer.RetryAfter(classIndex))
		return nil
	}
	deadline, tooOld := c.decideByAge(in, class, effectiveTimeout(in, class))
	if tooOld {
		c.pause.rejectedByAge++
		c.answerRejected(in, reply, "too old", c.balancer.RetryAfter(classIndex))
		return nil
	}
	deadline, mayHaveRun, mayBeSent := c.repeatDeadline(in, class, deadline)
	if !mayBeSent {
		c.answerUnknown(in, reply)
		return nil
	}
	req := c.register(in, reply, deadline)
	req.mayHaveRunBefore = mayHaveRun
	if !c.requestClaim(req, class) {
		c.handle(req.arrival(classIndex, tenant))
	}
	return req
}

// checkRequest returns the index of a request's tenant. If the request is invalid, defect says what is wrong; otherwise
// it is "". c.mu is held.
func (c *Core) checkRequest(in *request.Request, class *policy.Class) (tenant int, defect string) {
	tenant, known := c.rules.tenant(in.Tenant)
	if !known {
		return 0, "unknown tenant"
	}
	if class.Idempotency == policy.IdempotentWithKey && in.IdempotencyKey == "" {
		return 0, "missing k" // without a key nodes can't drop retries of the request
	}
	// Answers and duplicates are matched to requests by the ID alone.
	if _, inUse := c.requestIDs[in.ID]; inUse {
		return 0, "id in use"
	}
	return tenant, ""
}

// rejectionReason returns why requests of a class are rejected now, or "" if they are not. c.mu is held.
func (c *Core) rejectionReason(class *policy.Class) string {
	switch {
	case c.aborted:
		return "process ends"
	case !c.hasCapacity(class):
		return "no capacity"
	}
	return ""
}

// effectiveTimeout returns how long a client waits, limited to the deadline of the class: a request with a longer
// timeout would occupy capacity and timers for that time.
func effectiveTimeout(in *request.Request, class *policy.Class) time.Duration {
	if in.Timeout < 0 {
		return class.Deadline
	}
	return min(class.Deadline, in.Timeout)
}

// register adds an accepted request and sets the timer of its deadline. c.mu is held.
func (c *Core) register(in *request.Request, reply Reply, deadline time.Duration) *InFlightRequest {
	c.lastID++
	c.counts.accepted++
	in.Serial = uint32(c.lastID)
	req := &InFlightRequest{
		id:         c.lastID,
		acceptedAt: c.policyTime(),
		request:    in,
		reply:      reply,
		deadline:   deadline,
		expiresAt:  time.Now().Add(deadline - c.policyTime()),
	}
	c.requests[req.id] = req
	c.requestIDs[in.ID] = struct{}{}
	c.recordAccepted(req)
	c.setTimer(timer{at: req.deadline, kind: requestTimer, id: req.id})
	return req
}

// answerInvalid answers a request that is not accepted because it is invalid. c.mu is held.
func (c *Core) answerInvalid(in *request.Request, reply Reply, reason string) {
	c.recordRejected(in, reply, reason)
	reply.Finish(&request.Answer{Kind: request.Invalid, Reason: reason})
}

// answerRejected answers busy to a request that is not accepted now. c.mu is held.
func (c *Core) answerRejected(in *request.Request, reply Reply, reason string, retryAfter time.Duration) {
	c.recordRejected(in, reply, reason)
	reply.Finish(&request.Answer{Kind: request.Busy, RetryAfter: retryAfter})
}

// answerUnknown answers a request that has come again and may have run. c.mu is held.
func (c *Core) answerUnknown(in *request.Request, reply Reply) {
	c.counts.failed++
	c.recordRejected(in, reply, "id may have run")
	reply.Finish(&request.Answer{Kind: request.Failed})
}

// Reject answers busy to a request that was received too late during a drain. The request is not sent to a node.
func (c *Core) Reject(in *request.Request, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	retryAfter := time.Duration(0)
	if class, known := c.rules.classes[in.Class]; known {
		retryAfter = c.balancer.RetryAfter(class)
	}
	c.counts.rejected++
	c.answerRejected(in, reply, "draining", retryAfter)
}

// IsKeyed reports whether a class is idempotent with key, so that nodes drop repeats of its writes by idempotency key.
// It returns false for an unknown class.
func (c *Core) IsKeyed(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, known := c.rules.classes[class]
	return known && c.rules.policy.Classes[i].Idempotency == policy.IdempotentWithKey
}

// InFlight returns the number of accepted requests that are unanswered or have an attempt that has not ended.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// LongestRemaining returns the time until the last of the unanswered requests expires, zero if there are none.
func (c *Core) LongestRemaining() (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, req := range c.requests {
		if !req.finished {
			longest = max(longest, time.Until(req.expiresAt))
		}
	}
	return longest
}

// AbortAll answers all unanswered requests immediately because the process is about to exit. Requests that are
// submitted later are rejected.
func (c *Core) AbortAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	for _, req := range c.requests {
		if req.finished {
			continue
		}
		answer := &request.Answer{Kind: request.Failed}
		if !req.request.SideEffects || req.nothingStarted() {
			answer = &request.Answer{Kind: request.Busy, RetryAfter: c.retryAfter(req)}
		}
		c.log.Warn("request aborted", "request", req.request.ID, "attempts", len(req.attempts))
		c.answer(req, answer, "process ends")
		c.handle(policy.ClientLeft{ID: req.id})
	}
}

// ClientDisconnected ends the unanswered requests of a client that has disconnected.
func (c *Core) ClientDisconnected(unanswered []*InFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, req := range unanswered {
		c.abandon(req)
	}
}

// abandon ends a request whose client has disconnected, unless the request goes on without its client. c.mu is held.
func (c *Core) abandon(req *InFlightRequest) {
	if req.finished || c.detachClient(req) {
		return
	}
	req.finished = true
	c.counts.abandoned++
	c.recordAbandoned(req)
	c.handle(policy.ClientLeft{ID: req.id})
	for _, attempt := range req.attempts {
		switch {
		case attempt.ended:
		case attempt.deferred || c.pool.Withdraw(&attempt.Attempt): // attempts that have not started leave their queues
			c.endAttempt(req, attempt, policy.NotSent, nil)
		case req.request.SideEffects: // it must not be delivered after a repeat by the client
			c.cancelAttempt(req, attempt, policy.Cancelled)
		}
	}
	c.removeIfDone(req)
}

// answer finishes a request, unless it is finished already. The reason is for the event log. c.mu is held.
func (c *Core) answer(req *InFlightRequest, answer *request.Answer, reason string) {
	if req.finished {
		return
	}
	req.finished = true
	c.recordAnswered(req, answer, reason)
	c.completeClaim(req, answer)
	req.reply.Finish(answer)
	c.removeIfDone(req)
}

// removeIfDone removes a finished request that has no open attempt, and releases its reply. It may be called again for
// a removed request, when the end of one attempt causes the end of another, and then does nothing. c.mu is held.
func (c *Core) removeIfDone(req *InFlightRequest) {
	if !req.finished || req.openAttempts != 0 || c.requests[req.id] != req {
		return
	}
	c.rememberIfRun(req)
	delete(c.requests, req.id)
	delete(c.requestIDs, req.request.ID)
	req.reply.Release()
}

// retryAfter returns the delay before a client may retry a rejected request, zero for no advice. c.mu is held.
func (c *Core) retryAfter(req *InFlightRequest) time.Duration {
	if class, known := c.rules.classes[req.request.Class]; known {
		return c.balancer.RetryAfter(class)
	}
	return 0
}
