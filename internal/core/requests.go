package core

import (
	"slices"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// Reply is where a request's answer goes. Its methods are called with the core's lock held: they must
// neither wait nor call the core.
type Reply interface {
	// Finish takes the only answer to the request.
	Finish(answer *request.Answer)
	// Release reports that nothing refers to the request's value any more.
	Release()
}

// DisconnectChecker is a [Reply] that can report, without waiting, whether its client has disconnected. It
// is called without the core's lock.
type DisconnectChecker interface{ Disconnected() bool }

// InFlightRequest is a client's request from its acceptance until it is answered and all its attempts have
// ended. It is guarded by Core.mu.
type InFlightRequest struct {
	id           uint64
	acceptedAt   time.Duration // by Core.policyTime
	request      *request.Request
	deadline     time.Duration // when its answer is due, by Core.policyTime
	expiresAt    time.Time     // the same by the system's clock
	reply        Reply
	attempts     []*nodeAttempt
	openAttempts int  // attempts that have not ended
	finished     bool // it was answered, or its client has disconnected
	claim        claimState
	sendBefore   time.Duration // with claimGranted: no attempt starts from then on, by Core.policyTime
}

// nothingStarted reports whether no byte of a request has been written to a node. Once the request is
// finished none will be.
func (r *InFlightRequest) nothingStarted() bool {
	return !slices.ContainsFunc(r.attempts, func(attempt *nodeAttempt) bool { return attempt.started })
}

// arrival returns the event that gives a request to the decision module.
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

// Submit takes a request that has been read completely. Its answer goes to reply. Submit returns nil for a
// request that it has answered at once, as invalid or as rejected.
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
	if in.SideEffects {
		c.observeSleep()
	}
	c.observeClocks()
	tenant, defect := c.checkRequest(in, class)
	if defect != "" {
		c.answerInvalid(in, reply, defect)
		return nil
	}
	if reason := c.refusalOf(class); reason != "" {
		c.answerRejected(in, reply, reason, c.balancer.RetryAfter(classIndex))
		return nil
	}
	deadline, tooOld := c.decideByAge(in, class, effectiveTimeout(in, class))
	if tooOld {
		c.pause.rejectedByAge++
		c.answerRejected(in, reply, "too old", c.balancer.RetryAfter(classIndex))
		return nil
	}
	req := c.register(in, reply, deadline)
	if !c.requestClaim(req, class) {
		c.handle(req.arrival(classIndex, tenant))
	}
	return req
}

// checkRequest returns the index of a request's tenant, or what is wrong with the request, "" for nothing. c.mu is
// held.
func (c *Core) checkRequest(in *request.Request, class *policy.Class) (tenant int, defect string) {
	tenant, known := c.rules.tenant(in.Tenant)
	if !known {
		return 0, "unknown tenant"
	}
	if class.Idempotency == policy.IdempotentWithKey && in.IdempotencyKey == "" {
		return 0, "missing k" // no node could drop its repeats
	}
	// Answers and duplicates of a request are told apart by the id alone.
	if _, taken := c.requestIDs[in.ID]; taken {
		return 0, "id in use"
	}
	return tenant, ""
}

// refusalOf returns why no request of a class is accepted now, "" for no reason. c.mu is held.
func (c *Core) refusalOf(class *policy.Class) string {
	switch {
	case c.aborted:
		return "process ends"
	case !c.hasCapacity(class):
		return "no capacity"
	}
	return ""
}

// effectiveTimeout returns how long a client waits, at most as long as the class allows: a request that
// claims more would occupy its capacity and its timers for as long.
func effectiveTimeout(in *request.Request, class *policy.Class) time.Duration {
	if in.Timeout < 0 {
		return class.Deadline
	}
	return min(class.Deadline, in.Timeout)
}

// register adds an accepted request. c.mu is held.
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

// answerInvalid answers a request that is not accepted because it is wrong. c.mu is held.
func (c *Core) answerInvalid(in *request.Request, reply Reply, reason string) {
	c.recordRejected(in, reply, reason)
	reply.Finish(&request.Answer{Kind: request.Invalid, Reason: reason})
}

// answerRejected answers a request that is not accepted now. c.mu is held.
func (c *Core) answerRejected(in *request.Request, reply Reply, reason string, retryAfter time.Duration) {
	c.recordRejected(in, reply, reason)
	reply.Finish(&request.Answer{Kind: request.Busy, RetryAfter: retryAfter})
}

// Reject answers a request that was received too late in a drain. It is never sent to a node.
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

// IsKeyed reports whether nodes drop repeats of a class's writes by their idempotency keys.
func (c *Core) IsKeyed(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, known := c.rules.classes[class]
	return known && c.rules.policy.Classes[i].Idempotency == policy.IdempotentWithKey
}

// InFlight returns the number of requests that have been accepted and still have an attempt out or no
// answer.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// LongestRemaining returns the time until the last of the unanswered requests expires.
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

// AbortAll answers all unanswered requests at once, because the process ends before they can be served. Those that
// are read after it are rejected.
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

// abandon ends a request whose client has disconnected. c.mu is held.
func (c *Core) abandon(req *InFlightRequest) {
	if req.finished || c.detachClient(req) {
		return
	}
	req.finished = true
	c.counts.abandoned++
	c.recordAbandoned(req)
	c.handle(policy.ClientLeft{ID: req.id})
	for _, attempt := range req.attempts { // those that have not started give up their place in a queue
		if !attempt.ended && (attempt.deferred || c.pool.Withdraw(&attempt.Attempt)) {
			c.endAttempt(req, attempt, policy.NotSent, nil)
		}
	}
	c.removeIfDone(req)
}

// answer finishes a request, unless it is finished. The reason is for the event log. c.mu is held.
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

// removeIfDone forgets a finished request of which no attempt is open, and releases its reply once: it is
// called again when the end of an attempt causes that of another. c.mu is held.
func (c *Core) removeIfDone(req *InFlightRequest) {
	if !req.finished || req.openAttempts != 0 || c.requests[req.id] != req {
		return
	}
	delete(c.requests, req.id)
	delete(c.requestIDs, req.request.ID)
	req.reply.Release()
}

// retryAfter returns when a client may retry a request that is rejected, zero for no advice. c.mu is held.
func (c *Core) retryAfter(req *InFlightRequest) time.Duration {
	if class, known := c.rules.classes[req.request.Class]; known {
		return c.balancer.RetryAfter(class)
	}
	return 0
}
