package takeover

import "time"

// claim responds to an owner's claim request.
func (r *Registry) claim(now time.Duration, c ClaimRequest, out []Action) []Action {
	e := r.entries[c.Write.ID]
	if e == nil {
		return append(out, r.addClaimed(now, c))
	}
	if e.write.Digest != c.Write.Digest {
		return append(out, ClaimResponse{RequestID: c.RequestID, Decision: Conflict})
	}
	switch {
	case e.outcome != InFlight:
		return append(out, e.outcomeResponse(c.RequestID))
	case c.Epoch > e.epoch: // the write was taken over: the longer of the two ages applies
		e.firstSend = min(e.firstSend, now-r.parameters.atMost(c.Age))
		return r.grantTo(now, e, c, c.Epoch, out)
	case c.Epoch > 0 && c.Epoch < e.epoch: // a later owner has the write
		return append(out, ClaimResponse{RequestID: c.RequestID, Decision: Declined})
	case e.orphaned && c.Owner != e.owner:
		return r.grantTo(now, e, c, e.epoch+1, out)
	case len(e.waiters) >= r.parameters.MaxWaiters:
		return append(out, ClaimResponse{RequestID: c.RequestID, Decision: Declined})
	}
	e.waiters = append(e.waiters, c)
	return append(out, ClaimResponse{RequestID: c.RequestID, Decision: InProgress})
}

// addClaimed adds a new write and grants the claim, or declines it if the registry is full.
func (r *Registry) addClaimed(now time.Duration, c ClaimRequest) ClaimResponse {
	isFull := len(r.entries) >= r.parameters.MaxWrites ||
		r.payloadBytes+len(c.Write.Payload) > r.parameters.MaxBytes
	if isFull {
		return ClaimResponse{RequestID: c.RequestID, Decision: Declined}
	}
	age := time.Duration(0)
	if c.Epoch > 0 { // the write was taken over
		age = r.parameters.atMost(c.Age)
	}
	recovering := now-r.recoveringSince < r.parameters.RecoveryPeriod
	e := &entry{
		write:      c.Write,
		owner:      c.Owner,
		epoch:      max(c.Epoch, 1),
		ownerCount: 1,
		rank:       c.Rank,
		firstSend:  now - age,
		since:      now,
		uncertain:  recovering && c.Retry,
	}
	r.entries[c.Write.ID] = e
	r.byArrival = append(r.byArrival, c.Write.ID)
	r.payloadBytes += len(c.Write.Payload)
	return ClaimResponse{
		RequestID:        c.RequestID,
		Decision:         Granted,
		Epoch:            e.epoch,
		Age:              age,
		MayHaveForgotten: recovering,
	}
}

// grantTo makes the claimant the owner, with a permission to send, if nodes still drop duplicates of the write.
func (r *Registry) grantTo(now time.Duration, e *entry, c ClaimRequest, epoch uint64, out []Action) []Action {
	if !r.isWithinWindow(now, e) {
		out = r.finish(now, e, Unknown, "", out)
		return append(out, ClaimResponse{RequestID: c.RequestID, Decision: WindowExpired})
	}
	previous := e.owner
	if c.Owner != e.owner {
		e.ownerCount++
	}
	e.owner = c.Owner
	e.epoch = epoch
	e.orphaned = false
	delete(r.orphans, e.write.ID)
	return append(out, ClaimResponse{
		RequestID:        c.RequestID,
		Decision:         Granted,
		Epoch:            epoch,
		Age:              max(now-e.firstSend, 1), // never 0, as the write may have run
		MayHaveForgotten: e.uncertain,
		PreviousOwner:    previous,
	})
}

// complete records the outcome of a write. It accepts the outcome Served from any process, others only from the present
// owner.
func (r *Registry) complete(now time.Duration, c *Completion, out []Action) []Action {
	e := r.entries[c.ID]
	switch {
	case e == nil:
		r.addServed(now, c)
		return out
	case e.outcome == Served:
		return out
	case c.Outcome == Served && e.outcome == Unknown:
		e.outcome, e.receipt = Served, c.Receipt
		return out
	case c.Outcome == Served:
		return r.finish(now, e, Served, c.Receipt, out)
	case e.outcome != InFlight || c.Owner != e.owner || c.Epoch != e.epoch:
		return out
	case c.Outcome == Unknown:
		return r.finish(now, e, Unknown, "", out)
	case c.Outcome == NotExecuted && e.ownerCount == 1:
		for _, w := range e.waiters {
			out = append(out, ClaimResponse{RequestID: w.RequestID, Decision: SafeToRetry})
		}
		r.remove(c.ID)
	case c.Outcome == NotExecuted: // this owner's sends had no effect, but an earlier owner's may have
		return r.orphan(now, e, out)
	}
	return out
}

// addServed adds a served write that is not in the registry, if there is room.
func (r *Registry) addServed(now time.Duration, c *Completion) {
	if c.Outcome != Served || len(r.entries) >= r.parameters.MaxWrites {
		return
	}
	r.entries[c.ID] = &entry{
		write:      Write{ID: c.ID, Digest: c.Digest},
		owner:      c.Owner,
		epoch:      c.Epoch,
		ownerCount: 1,
		outcome:    Served,
		receipt:    c.Receipt,
		since:      now,
	}
	r.byArrival = append(r.byArrival, c.ID)
}
