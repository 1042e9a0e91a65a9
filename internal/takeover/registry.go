package takeover

import (
	"cmp"
	"slices"
	"time"
)

// entry is a write as a holder knows it.
type entry struct {
	write      Write
	owner      Owner
	epoch      uint64
	ownerCount int           // owners so far that had permission
	rank       int           // of this holder: the lower it is, the sooner it takes an orphaned write over
	firstSend  time.Duration // when the write may have run first, by this registry's clock
	orphaned   bool          // its owner is lost, or has given it up
	takeoverAt time.Duration // when this holder takes an orphaned write over, if no other has
	outcome    Outcome
	receipt    string
	since      time.Duration  // of the outcome, or of the entry
	waiters    []ClaimRequest // of other owners, until there is an outcome or the write is orphaned
	// uncertain marks a write that came as a retry in the registry's recovery period: it may have run longer ago than
	// is known here.
	uncertain bool
}

// Registry is a holder's table of writes. The zero value is not usable.
type Registry struct {
	parameters      Parameters
	self            Owner
	recoveringSince time.Duration // or when it returned
	entries         map[string]*entry
	byArrival       []string // IDs in the order of arrival, for expireEntries
	payloadBytes    int
	orphans         map[string]struct{} // IDs of orphaned writes
}

// NewRegistry returns an empty registry of a process that starts now.
func NewRegistry(parameters Parameters, self Owner, now time.Duration) *Registry {
	return &Registry{
		parameters:      parameters,
		self:            self,
		recoveringSince: now,
		entries:         make(map[string]*entry),
		orphans:         make(map[string]struct{}),
	}
}

// Len returns how many writes are known.
func (r *Registry) Len() int { return len(r.entries) }

// List returns up to limit of the writes that are known: first those whose outcome is unknown, then the orphaned ones,
// those in flight and those served.
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

// Handle handles an event that occurs at now, and appends the actions to out.
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

// ownerLost orphans the writes in flight of a lost owner.
func (r *Registry) ownerLost(now time.Duration, owner Owner, out []Action) []Action {
	for _, id := range r.byArrival {
		e := r.entries[id]
		if e != nil && e.owner == owner && e.outcome == InFlight && !e.orphaned {
			out = r.orphan(now, e, out)
		}
	}
	return out
}

// orphan grants a write to the first that waits for it, or leaves it to the holders' turns.
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

// isWithinWindow reports whether nodes drop a repeat that is sent now. A permission that is granted now is cut to the
// end of the window.
func (r *Registry) isWithinWindow(now time.Duration, e *entry) bool {
	return now-e.firstSend < r.parameters.atLeast(e.write.DedupWindow)
}

// finish gives a write its outcome, and answers all that wait for it.
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

// outcomeResponse answers a claim to a write that has an outcome.
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

// takeOverOrphans takes over the orphaned writes for which it is this holder's turn.
func (r *Registry) takeOverOrphans(now time.Duration, out []Action) []Action {
	var due []string
	for id := range r.orphans {
		if now >= r.entries[id].takeoverAt {
			due = append(due, id)
		}
	}
	slices.Sort(due) // the same events bring the same actions
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

// expireEntries gives writes that nobody has completed in time the outcome Unknown, and removes outcomes that were kept
// for long enough.
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
