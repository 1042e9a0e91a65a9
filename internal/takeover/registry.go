package takeover

import (
	"cmp"
	"slices"
	"time"
)

// entry is a holder's record of a write.
type entry struct {
	write      Write
	owner      Owner
	epoch      uint64
	ownerCount int           // owners so far, including the present one
	rank       int           // rank of this holder; a lower rank takes over an orphaned write sooner
	firstSend  time.Duration // when the write may first have run, by this registry's clock
	orphaned   bool          // the owner is lost or has given the write up
	takeoverAt time.Duration // when this holder takes over an orphaned write, unless another has
	outcome    Outcome
	receipt    string
	since      time.Duration  // when the outcome was recorded, or the entry added
	waiters    []ClaimRequest // claims that wait for an outcome or for the owner's loss
	// uncertain is set for a write that first came as a retry during the recovery period: it may have run before
	// firstSend.
	uncertain bool
}

// Registry is a holder's table of writes. Use [NewRegistry] to create one.
type Registry struct {
	parameters      Parameters
	self            Owner
	recoveringSince time.Duration // when the process started, or rejoined
	entries         map[string]*entry
	byArrival       []string // IDs in order of arrival, for expireEntries
	payloadBytes    int
	orphans         map[string]struct{} // IDs of orphaned writes
}

// NewRegistry returns an empty registry whose recovery period starts now.
func NewRegistry(parameters Parameters, self Owner, now time.Duration) *Registry {
	return &Registry{
		parameters:      parameters,
		self:            self,
		recoveringSince: now,
		entries:         make(map[string]*entry),
		orphans:         make(map[string]struct{}),
	}
}

// Len returns the number of writes in the registry.
func (r *Registry) Len() int { return len(r.entries) }

// List returns up to limit writes: first those whose outcome is unknown, then the orphaned ones, those in flight and
// those served.
func (r *Registry) List(now time.Duration, limit int) []WriteStatus {
	ranks := map[State]int{StateUnknown: 0, StateOrphaned: 1, StateInFlight: 2, StateServed: 3}
	var list []WriteStatus
	for id, e := range r.entries {
		list = append(list, WriteStatus{
			ID:         id,
			Owner:      e.owner.Name,
			Epoch:      e.epoch,
			OwnerCount: e.ownerCount,
			State:      e.state(),
			Age:        now - e.firstSend,
			Receipt:    e.receipt,
		})
	}
	slices.SortFunc(list, func(a, b WriteStatus) int {
		return cmp.Or(ranks[a.State]-ranks[b.State], cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), limit)]
}

func (e *entry) state() State {
	switch {
	case e.outcome == Served:
		return StateServed
	case e.outcome == Unknown:
		return StateUnknown
	case e.orphaned:
		return StateOrphaned
	}
	return StateInFlight
}

// Handle processes an event that occurs at now. It appends the resulting actions to out.
func (r *Registry) Handle(now time.Duration, event Event, out []Action) []Action {
	switch e := event.(type) {
	case ClaimRequest:
		return r.claim(now, e, out)
	case Completion:
		return r.complete(now, &e, out)
	case OwnerLost:
		return r.ownerLost(now, e.Owner, out)
	case OwnerReturned:
		r.ownerReturned(e.Owner)
	case WaiterLeft:
		if w := r.entries[e.ID]; w != nil {
			w.waiters = slices.DeleteFunc(w.waiters, func(c ClaimRequest) bool { return c.RequestID == e.RequestID })
		}
	case Rejoined:
		r.recoveringSince = now
	case Tick:
		return r.expireEntries(now, r.takeOverOrphans(now, out))
	}
	return out
}

// ownerLost marks a lost owner's writes in flight as orphaned.
func (r *Registry) ownerLost(now time.Duration, owner Owner, out []Action) []Action {
	for _, id := range r.byArrival {
		e := r.entries[id]
		if e != nil && e.owner == owner && e.outcome == InFlight && !e.orphaned {
			out = r.orphan(now, e, out)
		}
	}
	return out
}

// orphan grants a write to its first waiter. Without a waiter, the holder with the earliest takeoverAt takes the
// write over.
func (r *Registry) orphan(now time.Duration, e *entry, out []Action) []Action {
	e.orphaned = true
	e.takeoverAt = now + time.Duration(e.rank)*r.parameters.TakeoverInterval
	r.orphans[e.write.ID] = struct{}{}
	if len(e.waiters) == 0 {
		return out
	}
	next := e.waiters[0]
	e.waiters = e.waiters[1:]
	return r.grantTo(now, e, next, e.epoch+1, out)
}

func (r *Registry) ownerReturned(owner Owner) {
	for id := range r.orphans {
		if e := r.entries[id]; e != nil && e.owner == owner && e.orphaned {
			e.orphaned = false
			delete(r.orphans, id)
		}
	}
}

// isWithinWindow reports whether nodes still drop a duplicate that is sent now. The owner ends its permission at the
// end of the window at the latest.
func (r *Registry) isWithinWindow(now time.Duration, e *entry) bool {
	return now-e.firstSend < r.parameters.atLeast(e.write.DedupWindow)
}

// finish records a write's outcome and responds to its waiters.
func (r *Registry) finish(now time.Duration, e *entry, o Outcome, receipt string, out []Action) []Action {
	e.outcome, e.receipt, e.since = o, receipt, now
	r.payloadBytes -= len(e.write.Payload)
	e.write.Payload = nil
	delete(r.orphans, e.write.ID)
	for _, w := range e.waiters {
		out = append(out, e.outcomeResponse(w.RequestID))
	}
	e.waiters = nil
	return out
}

// outcomeResponse returns the response to a claim to a write that has an outcome.
func (e *entry) outcomeResponse(requestID uint64) ClaimResponse {
	if e.outcome == Served {
		return ClaimResponse{RequestID: requestID, Decision: AlreadyServed, Receipt: e.receipt}
	}
	return ClaimResponse{RequestID: requestID, Decision: WindowExpired}
}

func (r *Registry) remove(id string) {
	e := r.entries[id]
	r.payloadBytes -= len(e.write.Payload)
	delete(r.entries, id)
	delete(r.orphans, id)
}

// takeOverOrphans takes over the orphaned writes whose takeover time for this holder has come.
func (r *Registry) takeOverOrphans(now time.Duration, out []Action) []Action {
	var due []string
	for id := range r.orphans {
		if now >= r.entries[id].takeoverAt {
			due = append(due, id)
		}
	}
	slices.Sort(due) // makes the actions deterministic
	for _, id := range due {
		e := r.entries[id]
		if !r.isWithinWindow(now, e) || e.uncertain {
			out = r.finish(now, e, Unknown, "", out)
			continue
		}
		previous := e.owner
		e.owner = r.self
		e.epoch++
		e.ownerCount++
		e.orphaned = false
		delete(r.orphans, id)
		out = append(out, TakeOver{e.write, e.epoch, now - e.firstSend, previous})
	}
	return out
}

// expireEntries records the outcome Unknown for writes in flight past MaxInFlightAge, and removes entries past
// OutcomeRetention.
func (r *Registry) expireEntries(now time.Duration, out []Action) []Action {
	for len(r.byArrival) > 0 {
		id := r.byArrival[0]
		e := r.entries[id]
		switch {
		case e == nil:
		case e.outcome == InFlight && now-e.since >= r.parameters.MaxInFlightAge:
			out = r.finish(now, e, Unknown, "", out)
			r.byArrival = append(r.byArrival, id)
		case e.outcome != InFlight && now-e.since >= r.parameters.OutcomeRetention:
			r.remove(id)
		default:
			return out
		}
		r.byArrival = r.byArrival[1:]
	}
	return out
}
