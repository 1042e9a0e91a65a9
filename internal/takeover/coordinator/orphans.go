package coordinator

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
)

// takeOver claims an orphaned write, which the registry has taken over, at the other holders before it is sent.
func (c *Coordinator) takeOver(a takeover.TakeOver) {
	now := c.options.Clock()
	cl := c.newClaim(a.Write, takeover.TakenOver, now)
	cl.completionEpoch = a.Epoch
	cl.deadline = now + a.Write.DedupWindow
	cl.HandleResponse(c.options.Self.Name, takeover.ClaimResponse{
		Decision:      takeover.Granted,
		Epoch:         a.Epoch,
		Age:           a.Age,
		PreviousOwner: a.PreviousOwner,
	})
	c.requestFromOthers(cl, a.Epoch, a.Age)
	c.decide(cl)
}

// decideTakenOver acts on the verdict on a write that was taken over: it resumes the write or reports its outcome.
func (c *Coordinator) decideTakenOver(cl *claim, verdict takeover.Verdict, deadline time.Duration) {
	if verdict == takeover.ReturnReceipt {
		c.reportOutcome(cl, takeover.Served, cl.Receipt())
		return
	}
	if verdict == takeover.Proceed && c.resume(cl, deadline) {
		return
	}
	c.count(func(n *Counts) { n.Abandoned++ })
	c.options.Log.Warn("write outcome unknown", "write", cl.write.ID, "verdict", verdict.String())
	c.reportOutcome(cl, takeover.Unknown, cl.Receipt())
}

// resume passes a write that was taken over to the core, and reports whether the core accepted it.
func (c *Coordinator) resume(cl *claim, deadline time.Duration) bool {
	c.resumedWrites++
	var p payload
	if cbor.Unmarshal(cl.write.Payload, &p) != nil {
		return false
	}
	in := &request.Request{
		Verb:           request.Set,
		Key:            p.Key,
		ID:             fmt.Sprintf("%s.%x.%d", c.options.Self.Name, c.options.Self.Incarnation, c.resumedWrites),
		Value:          p.Value,
		Class:          p.Class,
		Tenant:         p.Tenant,
		IdempotencyKey: p.IdempotencyKey,
		Timeout:        -1, // no client is waiting
		Retry:          true,
		Flags:          p.Flags,
	}
	requestID, ok := c.core.ResumeWrite(in, deadline-c.options.Clock())
	if !ok {
		return false
	}
	cl.requestID = requestID
	c.permittedClaims[requestID] = cl
	c.count(func(n *Counts) { n.TakenOver++ })
	c.options.Log.Info("write taken over",
		"key", p.Key, "idempotency_key", p.IdempotencyKey, "remaining", deadline-c.options.Clock())
	return true
}
