// Package takeover decides what becomes of a keyed write in hand when the proxy that accepted it is lost. It does no I/O
// and has no clock. Two parts that know each other by messages only:
//
//   - [Register] is a holder's: whose work it is, since when it may have run, what came of it.
//   - [Errand] is an owner's: from what holders answer it follows whether and until when the write may be sent.
//
// Who holds a work follows from its key ([Order]), so that any proxy finds them.
//
// Guarantees, as long as nodes drop repeats for the window that a work names and clocks run within [Parameters.MaxClockDrift]:
//
//  1. Leave to send is given for a work that may have run before only while repeats of its first possible send are
//     dropped: however many send, cut off from one another or not, it has one effect.
//  2. Once a work was served, that is the answer to all who ask, for [Parameters.OutcomeRetention].
//  3. The number of a work's owner only rises; a former owner gets no leave any more.
//  4. A key that comes with another write is refused.
//  5. Works, their bytes and those who wait are bounded; a register that is full says so, and gives no leave.
//
// What it can't promise: a stop between the look at the leave and the first byte, longer than the window, at nodes that
// compare nothing; and memory of a work whose owner and holders were all lost.
package takeover

import (
	"cmp"
	"slices"
	"time"
)

// Parameters are what owners and holders have in common.
type Parameters struct {
	MaxClockDrift      float64       // by which a clock may be fast or slow
	SafetyMargin       time.Duration // left of windows and leaves
	PermissionDuration time.Duration // how long leave to send lasts
	TakeoverInterval   time.Duration // between the turns in which holders take a lost work over
	OutcomeRetention   time.Duration // how long outcomes are kept
	RecoveryPeriod     time.Duration // who has begun, or come back, not longer ago may not know what it should: tills that ask again do so sooner
	MaxInFlightAge     time.Duration // after so long a work that nobody has settled is unknown
	MaxWrites          int           // in a register
	MaxBytes           int           // of their texts
	MaxWaiters         int           // who wait for one work
}

// DefaultParameters are the terms in service.
var DefaultParameters = Parameters{MaxClockDrift: 0.05, SafetyMargin: 100 * time.Millisecond, PermissionDuration: 2 * time.Second, TakeoverInterval: 150 * time.Millisecond, OutcomeRetention: 2 * time.Minute, RecoveryPeriod: 15 * time.Second,
	MaxInFlightAge: 30 * time.Second, MaxWrites: 100_000, MaxBytes: 16 << 20, MaxWaiters: 8}

// Owner is a proxy's process.
type Owner struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Write is a keyed write.
type Write struct {
	ID          string        `cbor:"1,keyasint"` // its idempotency key, with what else tells it apart
	Digest      uint64        `cbor:"2,keyasint"` // of all that it would do
	DedupWindow time.Duration `cbor:"3,keyasint"` // in which nodes drop its repeats, from when the first was begun
	Payload     []byte        `cbor:"4,keyasint"` // from which it can be sent again
}

// Outcome is what came of a work.
type Outcome uint8

// The outcomes.
const (
	InFlight    Outcome = iota // nothing is known yet
	Served                     // with a receipt
	Unknown                    // it may have run, and may not be sent any more
	NotExecuted                // it surely has not: it is as if it had never been
)

// Event is what a Register is told.
type Event interface{ event() }

type (
	// ClaimRequest is an owner's wish to send a work, or to hear what came of it. Tag names it in the answer. It asks its own
	// register first, and others only with leave of that: so it has one errand for a work at a time.
	ClaimRequest struct {
		RequestID uint64
		Write     Write
		Owner     Owner
		Rank      int           // of this holder among the work's
		Epoch     uint64        // of a taker that tells the others: its own; 0 for who asks
		Age       time.Duration // since it may have run first, with Number
		Retry     bool          // the till says that it has asked before
	}
	// Completion tells what came of a work.
	Completion struct {
		ID      string
		Digest  uint64
		Owner   Owner
		Epoch   uint64
		Outcome Outcome
		Receipt string
	}
	// OwnerLost tells that a process is gone; Back that it is heard again.
	OwnerLost     struct{ Owner Owner }
	OwnerReturned struct{ Owner Owner }
	// WaiterLeft tells that one who waits does not any more.
	WaiterLeft struct {
		ID        string
		RequestID uint64
	}
	// Rejoined tells that this process was out of the others' reach, or stood still: it may lack what it was told.
	Rejoined struct{}
	// Tick lets time pass.
	Tick struct{}
)

func (ClaimRequest) event()  {}
func (Completion) event()    {}
func (OwnerLost) event()     {}
func (OwnerReturned) event() {}
func (WaiterLeft) event()    {}
func (Tick) event()          {}

func (Rejoined) event() {}

// Decision is what a register answers.
type Decision uint8

// The words.
const (
	Granted       Decision = iota + 1 // it may be sent, for Parameters.PermissionDuration from when the owner asked
	AlreadyServed                     // it was served: Receipt
	WindowExpired                     // it may have run, and its window is over
	Conflict                          // the key belongs to another write
	Declined                          // there is no room: no leave, and nothing is noted
	SafeToRetry                       // it surely has not run, and its owner gave it up: harmless to ask again
	InProgress                        // another has it in hand: one of the other words follows when that has ended
)

// Action is what a Register wants done.
type Action interface{ action() }

type (
	// ClaimResponse ends an Ask.
	ClaimResponse struct {
		RequestID        uint64
		Decision         Decision
		Epoch            uint64        // with Leave
		Age              time.Duration // with Leave: since it may have run first; 0 for never
		Receipt          string        // with Known
		MayHaveForgotten bool          // with Leave: the work may have run before, unknown to this holder, as it has begun or come back lately
		PreviousOwner    Owner         // with Leave of a work that it knew: whose it was
	}
	// TakeOver has this process be the owner of a work from now on, which nobody asks for. The other holders are to be heard
	// before it is sent: one of them may know more.
	TakeOver struct {
		Write         Write
		Epoch         uint64
		Age           time.Duration
		PreviousOwner Owner
	}
)

func (ClaimResponse) action() {}
func (TakeOver) action()      {}

// entry is a work as a holder knows it.
type entry struct {
	work    Write
	owner   Owner
	number  uint64
	owners  int // that have had leave
	rank    int
	first   time.Duration // when it may have run first, by this register's clock
	gone    bool          // the owner is
	turn    time.Duration // when this holder takes it over, if nobody else has
	outcome Outcome
	receipt string
	since   time.Duration // of the outcome, or of the entry
	parked  []ClaimRequest
	weak    bool // it came as a retry, while this register was young: it may have run longer ago than is known here
}

// Registry is what a holder knows. The zero value is not usable.
type Registry struct {
	terms Parameters
	self  Owner
	born  time.Duration
	works map[string]*entry
	order []string // by when they came, for what runs out
	bytes int
	turns map[string]struct{} // of those whose owner is gone
}

// NewRegistry returns an empty one of a process that has begun now.
func NewRegistry(terms Parameters, self Owner, now time.Duration) *Registry {
	return &Registry{terms: terms, self: self, born: now, works: make(map[string]*entry), turns: make(map[string]struct{})}
}

// Len is how many works are known.
func (r *Registry) Len() int { return len(r.works) }

// WriteStatus is a work as a holder knows it, for those who ask.
type WriteStatus struct {
	ID         string        `json:"id"`
	Owner      string        `json:"owner"`
	Epoch      uint64        `json:"number"`
	OwnerCount int           `json:"owners"` // that have had leave
	State      string        `json:"state"`  // open, lost, served or unknown
	Age        time.Duration `json:"age"`    // since it may have run first
	Receipt    string        `json:"receipt,omitempty"`
}

// List are the works that are known, the unknown and the lost ones first, then those that are open, most at the most.
func (r *Registry) List(now time.Duration, most int) []WriteStatus {
	ranks := map[string]int{"unknown": 0, "lost": 1, "open": 2, "served": 3}
	var list []WriteStatus
	for id, w := range r.works {
		h := WriteStatus{ID: id, Owner: w.owner.Name, Epoch: w.number, OwnerCount: w.owners, State: "open", Age: now - w.first, Receipt: w.receipt}
		switch {
		case w.outcome == Served:
			h.State = "served"
		case w.outcome == Unknown:
			h.State = "unknown"
		case w.gone:
			h.State = "lost"
		}
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b WriteStatus) int { return cmp.Or(ranks[a.State]-ranks[b.State], cmp.Compare(a.ID, b.ID)) })
	return list[:min(len(list), most)]
}

// Handle takes an event at a time and appends what is to be done to out.
func (r *Registry) Handle(now time.Duration, event Event, out []Action) []Action {
	switch e := event.(type) {
	case ClaimRequest:
		return r.ask(now, e, out)
	case Completion:
		return r.settle(now, &e, out)
	case OwnerLost:
		for _, id := range r.order {
			if w := r.works[id]; w != nil && w.owner == e.Owner && w.outcome == InFlight && !w.gone {
				w.gone, w.turn = true, now+time.Duration(w.rank)*r.terms.TakeoverInterval
				r.turns[id] = struct{}{}
				out = r.pass(now, w, out)
			}
		}
	case OwnerReturned:
		for id := range r.turns {
			if w := r.works[id]; w != nil && w.owner == e.Owner && w.gone {
				w.gone = false
				delete(r.turns, id)
			}
		}
	case WaiterLeft:
		if w := r.works[e.ID]; w != nil {
			w.parked = slices.DeleteFunc(w.parked, func(a ClaimRequest) bool { return a.RequestID == e.RequestID })
		}
	case Rejoined:
		r.born = now
	case Tick:
		return r.tick(now, out)
	}
	return out
}

// within tells whether a repeat that is sent now, or while a leave lasts that is cut to it, is dropped.
func (r *Registry) within(now time.Duration, w *entry) bool {
	return now-w.first < r.terms.short(w.work.DedupWindow)
}

// short is what of a span surely lies within it by another's clock.
func (t Parameters) short(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1-t.MaxClockDrift)) - t.SafetyMargin
}

// long is what of an age by another's clock it may be by one's own.
func (t Parameters) long(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.MaxClockDrift))
}

func (r *Registry) ask(now time.Duration, e ClaimRequest, out []Action) []Action {
	w := r.works[e.Write.ID]
	if w == nil {
		if len(r.works) >= r.terms.MaxWrites || r.bytes+len(e.Write.Payload) > r.terms.MaxBytes {
			return append(out, ClaimResponse{RequestID: e.RequestID, Decision: Declined})
		}
		age := time.Duration(0)
		if e.Epoch > 0 { // a taker tells
			age = r.terms.long(e.Age)
		}
		young := now-r.born < r.terms.RecoveryPeriod
		w = &entry{weak: young && e.Retry, work: e.Write, owner: e.Owner, number: max(e.Epoch, 1), owners: 1, rank: e.Rank, first: now - age, since: now}
		r.works[e.Write.ID] = w
		r.order = append(r.order, e.Write.ID)
		r.bytes += len(e.Write.Payload)
		return append(out, ClaimResponse{RequestID: e.RequestID, Decision: Granted, Epoch: w.number, Age: age, MayHaveForgotten: young})
	}
	if w.work.Digest != e.Write.Digest {
		return append(out, ClaimResponse{RequestID: e.RequestID, Decision: Conflict})
	}
	switch {
	case w.outcome != InFlight:
		return append(out, w.answer(e.RequestID))
	case e.Epoch > w.number: // a taker tells: its word on the age counts if it is older
		w.first = min(w.first, now-r.terms.long(e.Age))
		return r.give(now, w, e, e.Epoch, out)
	case e.Epoch > 0 && e.Epoch < w.number:
		return append(out, ClaimResponse{RequestID: e.RequestID, Decision: Declined}) // another has taken it since
	case w.gone && e.Owner != w.owner:
		return r.give(now, w, e, w.number+1, out)
	case len(w.parked) >= r.terms.MaxWaiters:
		return append(out, ClaimResponse{RequestID: e.RequestID, Decision: Declined})
	}
	w.parked = append(w.parked, e)
	return append(out, ClaimResponse{RequestID: e.RequestID, Decision: InProgress})
}

// give gives leave to another owner, or to the same anew, while repeats are dropped.
func (r *Registry) give(now time.Duration, w *entry, e ClaimRequest, number uint64, out []Action) []Action {
	if !r.within(now, w) {
		return append(r.end(now, w, Unknown, "", out), ClaimResponse{RequestID: e.RequestID, Decision: WindowExpired})
	}
	was := w.owner
	if e.Owner != w.owner {
		w.owners++
	}
	w.owner, w.number, w.gone = e.Owner, number, false
	delete(r.turns, w.work.ID)
	return append(out, ClaimResponse{RequestID: e.RequestID, Decision: Granted, Epoch: number, Age: max(now-w.first, 1), PreviousOwner: was, MayHaveForgotten: w.weak})
}

// answer says what came of a work.
func (w *entry) answer(tag uint64) ClaimResponse {
	if w.outcome == Served {
		return ClaimResponse{RequestID: tag, Decision: AlreadyServed, Receipt: w.receipt}
	}
	return ClaimResponse{RequestID: tag, Decision: WindowExpired}
}

// end gives a work its outcome, which all who wait hear.
func (r *Registry) end(now time.Duration, w *entry, o Outcome, receipt string, out []Action) []Action {
	w.outcome, w.receipt, w.since = o, receipt, now
	r.bytes -= len(w.work.Payload)
	w.work.Payload = nil
	delete(r.turns, w.work.ID)
	for _, p := range w.parked {
		out = append(out, w.answer(p.RequestID))
	}
	w.parked = nil
	return out
}

func (r *Registry) settle(now time.Duration, e *Completion, out []Action) []Action {
	w := r.works[e.ID]
	switch {
	case w == nil && e.Outcome == Served && len(r.works) < r.terms.MaxWrites: // of which this holder was not told
		r.works[e.ID] = &entry{work: Write{ID: e.ID, Digest: e.Digest}, owner: e.Owner, number: e.Epoch, owners: 1, outcome: Served, receipt: e.Receipt, since: now}
		r.order = append(r.order, e.ID)
		return out
	case w == nil || w.outcome == Served:
		return out
	case e.Outcome == Served: // it is a fact, whoever tells it
		if w.outcome == Unknown {
			w.outcome, w.receipt = Served, e.Receipt
			return out
		}
		return r.end(now, w, Served, e.Receipt, out)
	case w.outcome != InFlight || e.Owner != w.owner || e.Epoch != w.number:
		return out
	case e.Outcome == Unknown:
		return r.end(now, w, Unknown, "", out)
	case e.Outcome == NotExecuted && w.owners == 1:
		for _, p := range w.parked {
			out = append(out, ClaimResponse{RequestID: p.RequestID, Decision: SafeToRetry})
		}
		r.drop(e.ID)
	case e.Outcome == NotExecuted: // by this owner; an earlier one's may have
		w.gone, w.turn = true, now+time.Duration(w.rank)*r.terms.TakeoverInterval
		r.turns[e.ID] = struct{}{}
		return r.pass(now, w, out)
	}
	return out
}

// pass gives a lost work to one who waits for it, if there is any.
func (r *Registry) pass(now time.Duration, w *entry, out []Action) []Action {
	if len(w.parked) == 0 {
		return out
	}
	next := w.parked[0]
	w.parked = w.parked[1:]
	return r.give(now, w, next, w.number+1, out)
}

func (r *Registry) drop(id string) {
	w := r.works[id]
	r.bytes -= len(w.work.Payload)
	delete(r.works, id)
	delete(r.turns, id)
}

// tick takes over what is lost, in turn, and forgets.
func (r *Registry) tick(now time.Duration, out []Action) []Action {
	var due []string
	for id := range r.turns {
		if w := r.works[id]; now >= w.turn {
			due = append(due, id)
		}
	}
	slices.Sort(due) // the same events bring the same actions
	for _, id := range due {
		w := r.works[id]
		if !r.within(now, w) || w.weak {
			out = r.end(now, w, Unknown, "", out)
			continue
		}
		was := w.owner
		w.owner, w.number, w.gone, w.owners = r.self, w.number+1, false, w.owners+1
		delete(r.turns, id)
		out = append(out, TakeOver{w.work, w.number, now - w.first, was})
	}
	for len(r.order) > 0 {
		id := r.order[0]
		w := r.works[id]
		switch {
		case w == nil:
		case w.outcome == InFlight && now-w.since >= r.terms.MaxInFlightAge:
			out = r.end(now, w, Unknown, "", out)
			r.order = append(r.order, id)
		case w.outcome != InFlight && now-w.since >= r.terms.OutcomeRetention:
			r.drop(id)
		default:
			return out
		}
		r.order = r.order[1:]
	}
	return out
}
