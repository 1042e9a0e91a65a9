package coordinator

import (
	"slices"
	"time"

	"mulleinpier/internal/takeover"
)

const (
	// responseTimeout bounds the wait for a holder's response.
	responseTimeout = 150 * time.Millisecond
	// answerMargin is how long before the client's deadline an undecided claim is ended.
	answerMargin = 30 * time.Millisecond
)

// claim is this proxy's claim to a write.
type claim struct {
	*takeover.Claim
	id              uint64 // unique among this proxy's claims
	requestID       uint64 // the core's request ID; 0 for a write that was taken over
	write           takeover.Write
	kind            takeover.ClaimKind
	completionEpoch uint64 // the epoch in the write's completion
	holders         []takeover.Owner
	// awaited has the time at which each holder's response times out, by the holder's name.
	awaited         map[string]time.Duration
	deadline        time.Duration // when the claim is ended if still undecided
	othersRequested bool
	// The epoch and age that are sent to the other holders of a write that was taken over.
	takeoverEpoch uint64
	takeoverAge   time.Duration
}

// newClaim adds a claim at this proxy's registry and the write's other holders, without sending requests.
func (c *Coordinator) newClaim(write takeover.Write, kind takeover.ClaimKind, now time.Duration) *claim {
	holders, gone := c.holdersOf(write.ID)
	c.lastID++
	options := takeover.Options{Replicas: c.options.Replicas, RequireReplica: c.options.RequireReplica}
	cl := &claim{
		Claim: takeover.NewClaim(
			takeover.DefaultParameters, write.DedupWindow, now, len(holders), options, kind),
		id:      c.lastID,
		write:   write,
		kind:    kind,
		awaited: make(map[string]time.Duration),
	}
	for _, name := range gone {
		cl.ReplaceHolder(name)
	}
	for _, m := range holders {
		cl.holders = append(cl.holders, m.Owner)
	}
	c.claims[cl.id] = cl
	return cl
}

// startClaim starts the claim to a client's write at this proxy's own registry. Other holders are asked later.
func (c *Coordinator) startClaim(w *writeArrived) {
	c.count(func(n *Counts) { n.Claims++ })
	kind := takeover.FirstAttempt
	if w.retry {
		kind = takeover.ClientRetry
	}
	now := c.options.Clock()
	cl := c.newClaim(w.write, kind, now)
	cl.requestID = w.requestID
	cl.deadline = now + time.Until(w.expires) - answerMargin
	c.requesters[cl.id] = requester{claimID: cl.id, isSelf: true}
	c.handleRegistryEvent(takeover.ClaimRequest{
		RequestID: cl.id,
		Write:     w.write,
		Owner:     c.options.Self,
		Rank:      len(cl.holders), // this proxy is the last to take over the write
		Retry:     w.retry,
	})
}

// holderAnswered applies a holder's response to a claim. Late responses are ignored.
func (c *Coordinator) holderAnswered(cl *claim, holder string, r takeover.ClaimResponse) {
	if r.Decision == takeover.InProgress {
		c.count(func(n *Counts) { n.InProgress++ })
	}
	isSelf := holder == c.options.Self.Name
	if _, awaited := cl.awaited[holder]; !isSelf && !awaited && !cl.IsInProgress() {
		return // the holder has timed out or is gone
	}
	delete(cl.awaited, holder)
	if r.Decision == takeover.Granted && r.Age == 0 && c.wasAbsent(holder) {
		r.MayHaveForgotten = true // others did not ask the absent holder, which may not know of its absence
	}
	cl.HandleResponse(holder, r)
	othersMayKnow := r.Decision == takeover.Granted || r.Decision == takeover.WindowExpired
	if isSelf && othersMayKnow && !cl.othersRequested {
		c.requestFromOthers(cl, 0, 0)
	}
	c.decide(cl)
}

// wasAbsent reports whether a holder was lost or came back within the last recovery period.
func (c *Coordinator) wasAbsent(holder string) bool {
	at, ok := c.presenceChanged[holder]
	return ok && c.options.Clock()-at < takeover.DefaultParameters.RecoveryPeriod
}

// requestFromOthers sends the claim to the other holders. Those that have ended or are unreachable count as gone.
func (c *Coordinator) requestFromOthers(cl *claim, epoch uint64, age time.Duration) {
	cl.othersRequested = true
	cl.takeoverEpoch, cl.takeoverAge = epoch, age
	for rank, o := range cl.holders {
		m := c.members[o.Name]
		if m == nil || m.Owner != o || c.gone[o] {
			cl.HolderGone(o.Name)
			continue
		}
		c.requestFrom(cl, m, rank)
	}
}

func (c *Coordinator) requestFrom(cl *claim, m *member, rank int) {
	cl.awaited[m.Name] = c.options.Clock() + responseTimeout
	m.queue(func(o *outbox) {
		o.claims = append(o.claims, claimRequest{
			ClaimID: cl.id,
			Write:   cl.write,
			Rank:    rank,
			Epoch:   cl.takeoverEpoch,
			Age:     cl.takeoverAge,
			Retry:   cl.kind != takeover.FirstAttempt,
		})
	})
}

// replaceSilentHolders replaces the holders that have not responded in time.
func (c *Coordinator) replaceSilentHolders(cl *claim, now time.Duration) {
	for holder, until := range cl.awaited {
		if now < until {
			continue
		}
		delete(cl.awaited, holder)
		c.count(func(n *Counts) { n.HolderTimeouts++ })
		if !c.replaceHolder(cl, holder) {
			cl.HolderTimedOut(holder)
		}
	}
}

// replaceHolder asks another proxy instead of a holder that has not responded. The holder may be paused, which the list
// of members shows only later. It reports whether there was another proxy to ask.
func (c *Coordinator) replaceHolder(cl *claim, holder string) bool {
	maxHolders := 2*c.options.Replicas + 1
	if len(cl.holders) >= maxHolders {
		return false
	}
	for _, m := range c.rankedMembers(cl.write.ID) {
		if !slices.Contains(cl.holders, m.Owner) && !c.gone[m.Owner] {
			cl.ReplaceHolder(holder)
			cl.holders = append(cl.holders, m.Owner)
			c.requestFrom(cl, m, len(cl.holders)-1)
			return true
		}
	}
	return false
}

// decide acts on a claim's verdict once it is final.
func (c *Coordinator) decide(cl *claim) {
	verdict, deadline := cl.Verdict()
	if verdict == takeover.Undecided || c.claims[cl.id] != cl {
		return
	}
	delete(c.claims, cl.id)
	delete(c.requesters, cl.id)
	if cl.requestID == 0 {
		c.decideTakenOver(cl, verdict, deadline)
		return
	}
	c.decideForClient(cl, verdict, deadline)
}

// decideForClient either permits the core to send the write, or passes the verdict to the core and reports an outcome
// to the holders.
func (c *Coordinator) decideForClient(cl *claim, verdict takeover.Verdict, deadline time.Duration) {
	switch verdict {
	case takeover.Proceed:
		c.count(func(n *Counts) { n.Proceeded++ })
		c.permit(cl, deadline-c.options.Clock())
		return
	case takeover.ProceedUnreplicated:
		c.count(func(n *Counts) { n.Unreplicated++ })
		// The outcome is still reported later, as this proxy's registry and some holders may know of the write.
		c.permit(cl, takeover.DefaultParameters.PermissionDuration)
		return
	}
	c.core.ClaimDecided(cl.requestID, verdict, 0, cl.Receipt())
	switch verdict {
	case takeover.ReturnReceipt:
		c.count(func(n *Counts) { n.Served++ })
		cl.completionEpoch = cl.Epoch()
		c.reportOutcome(cl, takeover.Served, cl.Receipt())
	case takeover.OutcomeUnknown:
		c.count(func(n *Counts) { n.OutcomeUnknown++ })
		// Recorded as unknown, so that a later claim does not mistake the write for a new one once the holders that
		// may have forgotten it are past their recovery period.
		c.reportUnsent(cl, takeover.Unknown)
	case takeover.KeyConflict:
		c.count(func(n *Counts) { n.Rejected++ })
	default:
		c.count(func(n *Counts) { n.Rejected++ })
		c.reportUnsent(cl, takeover.NotExecuted)
	}
}

// permit lets the core send a write until the duration within has passed. If its client no longer waits, the write
// counts as not executed.
func (c *Coordinator) permit(cl *claim, within time.Duration) {
	cl.completionEpoch = max(cl.Epoch(), 1)
	c.permittedClaims[cl.requestID] = cl
	if !c.core.ClaimDecided(cl.requestID, takeover.Proceed, within, "") {
		delete(c.permittedClaims, cl.requestID)
		c.reportUnsent(cl, takeover.NotExecuted)
	}
}

// reportUnsent reports the outcome of a write that this proxy does not send.
func (c *Coordinator) reportUnsent(cl *claim, outcome takeover.Outcome) {
	cl.completionEpoch = max(cl.Epoch(), 1)
	c.reportOutcome(cl, outcome, "")
}

// reportOutcome reports the outcome of a write to its holders, this proxy's own registry first.
func (c *Coordinator) reportOutcome(cl *claim, outcome takeover.Outcome, receipt string) {
	c.handleRegistryEvent(takeover.Completion{
		ID:      cl.write.ID,
		Digest:  cl.write.Digest,
		Owner:   c.options.Self,
		Epoch:   cl.completionEpoch,
		Outcome: outcome,
		Receipt: receipt,
	})
	for _, o := range cl.holders {
		if m := c.members[o.Name]; m != nil && m.Owner == o {
			m.queue(func(out *outbox) {
				out.completions = append(out.completions,
					completion{cl.write.ID, cl.write.Digest, cl.completionEpoch, outcome, receipt})
			})
		}
	}
}
