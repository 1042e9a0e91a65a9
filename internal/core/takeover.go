package core

import (
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/policy"
)

// This file requests claims for keyed writes before they are sent, so that another proxy can resume the writes if this
// one fails.

// takeoverRejectionDelay is the retry delay for a client whose write is rejected because it can't be replicated.
const takeoverRejectionDelay = time.Second

// claimDecided is the reason in the event log for an answer that results from a claim.
const claimDecided = "claim decided"

// TakeoverCoordinator claims writes and is notified of their outcomes. Its methods are called with the core's lock
// held: they must not block, and must not call the core before they return.
type TakeoverCoordinator interface {
	// Claim requests permission to send a write; window is the dedup window of its class. [Core.ClaimDecided] is called
	// with the verdict before the write expires. Claim returns false, and does nothing, if there is no capacity to
	// replicate the write.
	Claim(id uint64, in *request.Request, window time.Duration, expires time.Time) bool
	// Complete reports the outcome of a write whose claim was granted.
	Complete(id uint64, outcome takeover.Outcome, receipt string)
	// RequiresReplica reports whether a write that can't be replicated is rejected, instead of sent without a claim.
	RequiresReplica() bool
}

// SetTakeoverCoordinator sets the coordinator that claims keyed writes from now on. With nil they are sent without a
// claim. It is called with a coordinator before the first request.
func (c *Core) SetTakeoverCoordinator(coordinator TakeoverCoordinator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeover = coordinator
}

// claimState is the state of a request's claim.
type claimState uint8

const (
	claimNone    claimState = iota // no claim is needed, or the claim has been settled
	claimPending                   // the coordinator has not decided yet
	claimGranted                   // attempts may start until InFlightRequest.sendBefore
)

// requestClaim requests a claim for a request that has just been accepted, if it needs one. It returns
// false if the request can be sent without a claim. c.mu is held.
func (c *Core) requestClaim(req *InFlightRequest, class *policy.Class) bool {
	isKeyedWrite := class.Idempotency == policy.IdempotentWithKey && req.request.Verb == request.Set
	if c.takeover == nil || !isKeyedWrite {
		return false
	}
	req.claim = claimPending
	if c.takeover.Claim(req.id, req.request, class.DedupWindow, req.expiresAt) {
		return true
	}
	if c.takeover.RequiresReplica() {
		c.counts.rejected++
		c.answer(req, &request.Answer{Kind: request.Busy, RetryAfter: takeoverRejectionDelay}, claimDecided)
		return true
	}
	req.claim = claimNone
	return false
}

// ClaimDecided passes on the verdict on the claim of a write. With takeover.Proceed, attempts of the write may start
// until the duration within has passed. With takeover.ReturnReceipt, the write is answered with receipt. ClaimDecided
// returns false if the request no longer waits for the verdict.
func (c *Core) ClaimDecided(id uint64, verdict takeover.Verdict, within time.Duration, receipt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	req := c.requests[id]
	if req == nil || req.claim != claimPending || req.finished {
		return false
	}
	req.claim = claimNone
	switch verdict {
	case takeover.Proceed:
		req.claim = claimGranted
		req.sendBefore = c.policyTime() + within
		c.admit(req)
	case takeover.ReturnReceipt:
		c.counts.served++
		c.answer(req, &request.Answer{Kind: request.Stored, Receipt: receipt}, claimDecided)
	case takeover.OutcomeUnknown:
		c.counts.failed++
		c.answer(req, &request.Answer{Kind: request.Failed}, claimDecided)
	case takeover.KeyConflict:
		answer := &request.Answer{Kind: request.Invalid, Reason: "k belongs to another write"}
		c.answer(req, answer, claimDecided)
	default:
		c.counts.rejected++
		c.answer(req, &request.Answer{Kind: request.Busy, RetryAfter: c.retryAfter(req)}, claimDecided)
	}
	return true
}

// claimExpired reports whether a request has a granted claim whose time to start attempts is over. c.mu is held.
func (c *Core) claimExpired(req *InFlightRequest) bool {
	return req.claim == claimGranted && c.policyTime() >= req.sendBefore
}

// admit passes a request to the decision module once its claim has been granted, or if it is resumed for another proxy.
// It rejects the request if its class or tenant has been removed or its deadline has passed. c.mu is held.
func (c *Core) admit(req *InFlightRequest) {
	class, classKnown := c.rules.classes[req.request.Class]
	tenant, tenantKnown := c.rules.tenant(req.request.Tenant)
	if !classKnown || !tenantKnown || c.policyTime() >= req.deadline {
		c.answer(req, &request.Answer{Kind: request.Busy}, claimDecided)
		return
	}
	c.handle(req.arrival(class, tenant))
}

// detachedReply is the reply of a write that no client waits for.
type detachedReply struct {
	release func() // nil if there is nothing to release
}

// Finish implements Reply.
func (detachedReply) Finish(*request.Answer) {}

// Release implements Reply.
func (r detachedReply) Release() {
	if r.release != nil {
		r.release()
	}
}

// ResumeWrite sends a write that another proxy had claimed and not completed. Its attempts may start until the duration
// within has passed. The outcome is reported to TakeoverCoordinator.Complete under the returned id. ResumeWrite returns
// false for a write that can't be sent any more.
func (c *Core) ResumeWrite(in *request.Request, within time.Duration) (id uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	class, known := c.rules.classes[in.Class]
	if !known || within <= 0 || c.takeover == nil || c.aborted {
		return 0, false
	}
	c.lastID++
	in.Serial, in.SideEffects, in.RunsAlone = uint32(c.lastID), true, true
	timeout := c.rules.policy.Classes[class].Deadline
	req := &InFlightRequest{
		id:         c.lastID,
		request:    in,
		reply:      detachedReply{},
		deadline:   c.policyTime() + timeout,
		expiresAt:  time.Now().Add(timeout),
		claim:      claimGranted,
		sendBefore: c.policyTime() + within,

		mayHaveRunBefore: true,
	}
	c.requests[req.id] = req
	c.requestIDs[in.ID] = struct{}{}
	c.setTimer(timer{at: req.deadline, kind: requestTimer, id: req.id})
	c.admit(req)
	return req.id, true
}

// completeClaim reports the outcome of a request to the takeover coordinator if its claim was granted. c.mu is held.
func (c *Core) completeClaim(req *InFlightRequest, answer *request.Answer) {
	if req.claim != claimGranted {
		return
	}
	req.claim = claimNone
	if c.takeover == nil { // the coordinator was removed in the meantime
		return
	}
	switch answer.Kind {
	case request.Stored:
		c.takeover.Complete(req.id, takeover.Served, answer.Receipt)
	case request.Busy, request.Invalid:
		c.takeover.Complete(req.id, takeover.NotExecuted, "")
	default:
		c.takeover.Complete(req.id, takeover.Unknown, "")
	}
}

// detachClient lets a claimed write continue without its client, since a retry of the write at any proxy needs its
// outcome. It returns false, and does nothing, if the request has no granted claim. c.mu is held.
func (c *Core) detachClient(req *InFlightRequest) bool {
	if req.claim != claimGranted {
		return false
	}
	req.reply = detachedReply{req.reply.Release}
	return true
}
