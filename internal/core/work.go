package core

import (
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/policy"
)

// This file has keyed writes go out only with leave of those who would go on with them if this proxy were lost.

// TakeoverCoordinator asks for leave, and hears what came of works. Its calls come under the core's lock: none of them may wait, or call
// back at once.
type TakeoverCoordinator interface {
	// Claim asks for leave to send a write; [Core.ClaimDecided] follows before it expires. It tells whether there is room.
	Claim(id uint64, in *request.Request, window time.Duration, expires time.Time) bool
	// Complete tells what came of a work that was given leave.
	Complete(id uint64, outcome takeover.Outcome, receipt string)
	// RequiresReplica tells whether a work is refused where there is no room.
	RequiresReplica() bool
}

// SetTakeoverCoordinator has keyed writes be held with others from now on. It is for before the first request.
func (c *Core) SetTakeoverCoordinator(d TakeoverCoordinator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeover = d
}

// claimState is how far a request's leave has come.
type claimState uint8

const (
	claimNone    claimState = iota // it needs none
	claimPending                   // it waits for it
	claimGranted                   // until Held.leave
)

// requestClaim tells whether a request that has just come needs leave, and asks for it. c.mu is held.
func (c *Core) requestClaim(r *InFlightRequest, class *policy.Class) bool {
	if c.takeover == nil || class.Idempotency != policy.IdempotentWithKey || r.request.Verb != request.Set {
		return false
	}
	r.claim = claimPending
	switch {
	case c.takeover.Claim(r.id, r.request, class.DedupWindow, r.expiresAt):
	case c.takeover.RequiresReplica():
		c.counts.rejected++
		c.answer(r, &request.Answer{Kind: request.Busy, RetryAfter: time.Second}, "taken over")
	default:
		r.claim = claimNone
		return false
	}
	return true
}

// ClaimDecided tells what was decided on a work: with Send it may go out for a time yet. It tells whether it was still wanted.
func (c *Core) ClaimDecided(id uint64, verdict takeover.Verdict, within time.Duration, receipt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	r := c.requests[id]
	if r == nil || r.claim != claimPending || r.finished {
		return false
	}
	r.claim = claimNone
	switch verdict {
	case takeover.Proceed:
		r.claim, r.sendBefore = claimGranted, c.now()+within
		c.admit(r)
	case takeover.ReturnReceipt:
		c.counts.served++
		c.answer(r, &request.Answer{Kind: request.Stored, Receipt: receipt}, "taken over")
	case takeover.OutcomeUnknown:
		c.counts.failed++
		c.answer(r, &request.Answer{Kind: request.Failed}, "taken over")
	case takeover.KeyConflict:
		c.answer(r, &request.Answer{Kind: request.Invalid, Reason: "k belongs to another write"}, "taken over")
	default:
		c.counts.rejected++
		c.answer(r, &request.Answer{Kind: request.Busy, RetryAfter: c.retryAfter(r)}, "taken over")
	}
	return true
}

// retryAfter is when a refused request may come again.
func (c *Core) retryAfter(r *InFlightRequest) time.Duration {
	if class, ok := c.rules.classes[r.request.Class]; ok {
		return c.balancer.RetryAfter(class)
	}
	return 0
}

// admit gives a request to the decision module. What it named may be gone since it came.
func (c *Core) admit(r *InFlightRequest) {
	class, known := c.rules.classes[r.request.Class]
	tenant := 0
	if known && len(c.rules.tenants) > 0 {
		tenant, known = c.rules.tenants[r.request.Tenant]
	}
	if !known || c.now() >= r.deadline {
		c.answer(r, &request.Answer{Kind: request.Busy}, "taken over")
		return
	}
	c.handle(policy.Arrival{ID: r.id, Class: class, Tenant: tenant, Key: r.request.Key, Deadline: r.deadline,
		Write: r.request.Verb == request.Set, IsRetry: r.request.Retry})
}

// detachedReply is the reply of a work that no client waits for.
type detachedReply struct{ release func() }

func (detachedReply) Finish(*request.Answer) {}
func (n detachedReply) Release() {
	if n.release != nil {
		n.release()
	}
}

// ResumeWrite takes a work over that another proxy had in hand: it may be sent for a time yet, and TakeoverCoordinator.Complete tells of its id
// what came of it.
func (c *Core) ResumeWrite(in *request.Request, within time.Duration) (id uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	class, known := c.rules.classes[in.Class]
	if !known || within <= 0 || c.takeover == nil {
		return 0, false
	}
	c.lastID++
	in.Serial, in.SideEffects = uint32(c.lastID), true
	wait := c.rules.policy.Classes[class].Deadline
	r := &InFlightRequest{id: c.lastID, request: in, reply: detachedReply{}, deadline: c.now() + wait, expiresAt: time.Now().Add(wait), claim: claimGranted, sendBefore: c.now() + within}
	c.requests[r.id] = r
	c.requestIDs[in.ID] = struct{}{}
	c.setTimer(timer{at: r.deadline, id: r.id, attempt: allAttempts})
	c.admit(r)
	return r.id, true
}

// completeClaim tells what a request with leave came to. c.mu is held.
func (c *Core) completeClaim(r *InFlightRequest, a *request.Answer) {
	if r.claim != claimGranted {
		return
	}
	r.claim = claimNone
	if c.takeover == nil { // it ended meanwhile
		return
	}
	switch a.Kind {
	case request.Stored:
		c.takeover.Complete(r.id, takeover.Served, a.Receipt)
	case request.Busy, request.Invalid:
		c.takeover.Complete(r.id, takeover.NotExecuted, "")
	default:
		c.takeover.Complete(r.id, takeover.Unknown, "")
	}
}

// detachClient has a work with leave go on without its client, and tells whether it does: who asks again for it, anywhere,
// wants to know what came of it. c.mu is held.
func (c *Core) detachClient(r *InFlightRequest) bool {
	if r.claim != claimGranted {
		return false
	}
	r.reply = detachedReply{r.reply.Release}
	return true
}
