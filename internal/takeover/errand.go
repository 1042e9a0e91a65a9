package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Verdict is what an owner does with a work.
type Verdict uint8

// The verdicts.
const (
	Undecided           Verdict = iota // for holders
	Proceed                            // until Errand.Until, not a moment later
	ReturnReceipt                      // it was served: Errand.Receipt
	OutcomeUnknown                     // it may have run, and may not be sent: a failure
	Reject                             // as busy, at once: it was not sent by this owner, nor will it be
	KeyConflict                        // the key belongs to another write: an error of its own
	ProceedUnreplicated                // no holder can be had, and the configuration has it go on as without any
)

// Claim is an owner's side of one work. The zero value is not usable.
type Claim struct {
	terms   Parameters
	window  time.Duration
	asked   time.Duration // when the asks were sent, by the owner's clock
	open    int           // answers that have not come
	options Options
	kind    ClaimKind
	joined  bool
	spent   bool // a holder says that it may not be sent any more
	own     int
	leaves  int      // of others
	missed  int      // others that should have answered
	silent  []string // holders that said nothing, or may have forgotten
	was     string   // whose the work was that a holder knew
	number  uint64
	age     time.Duration // the most that any holder knows

	verdict Verdict
	until   time.Duration
	receipt string
}

// Options are how a proxy goes about works.
type Options struct {
	Replicas       int  // holders beside the owner: 1 or 2
	RequireReplica bool // a work is refused where none of them can be had
}

// ClaimKind is why an owner asks.
type ClaimKind uint8

// The kinds.
const (
	FirstAttempt ClaimKind = iota // a till's first try
	ClientRetry                   // a till says that it has asked before
	TakenOver                     // a holder takes it over
)

// NewClaim returns that of a work which is asked for at the owner's own register and at so many others. It takes the leave
// of all of them that live: so each of them knows of whatever was sent.
func NewClaim(terms Parameters, window, now time.Duration, others int, o Options, kind ClaimKind) *Claim {
	return &Claim{terms: terms, window: window, asked: now, open: 1 + others, options: o, kind: kind}
}

// Verdict is what is decided so far; Until, with Send, is when leave ends, by the owner's clock.
func (e *Claim) Verdict() (Verdict, time.Duration) { return e.verdict, e.until }

// Receipt is that of a work which was served, with that verdict.
func (e *Claim) Receipt() string { return e.receipt }

// Epoch is what the owner settles under.
func (e *Claim) Epoch() uint64 { return e.number }

// without decides where holders can't be had.
func (e *Claim) without() {
	switch {
	case e.kind != FirstAttempt || e.age > 0: // it may have run, as far as those can tell who answer
		e.verdict = OutcomeUnknown
	case e.options.RequireReplica:
		e.verdict = Reject
	default:
		e.verdict = ProceedUnreplicated
	}
}

// HandleResponse takes a holder's answer.
func (e *Claim) HandleResponse(holder string, a ClaimResponse) {
	if a.Decision == InProgress {
		e.joined = true
		return
	}
	e.open--
	if e.verdict != Undecided {
		return
	}
	switch a.Decision {
	case AlreadyServed:
		e.verdict, e.receipt = ReturnReceipt, a.Receipt
	case WindowExpired: // as far as that one knows: another may know that it was served
		e.spent = true
	case Conflict:
		e.verdict = KeyConflict
	case SafeToRetry:
		e.verdict = Reject
	case Declined:
		e.missed++
	case Granted:
		if e.own++; e.own > 1 { // the first is the owner's own
			e.leaves++
		}
		if a.MayHaveForgotten {
			e.silent = append(e.silent, holder)
		}
		if a.Age > 0 {
			e.age, e.was = max(e.age, e.terms.long(a.Age)), a.PreviousOwner.Name
		}
		e.number = max(e.number, a.Epoch)
	}
	e.decide()
}

// IsInProgress tells whether a holder has said that another owner has the work in hand: it is worth waiting for the rest.
func (e *Claim) IsInProgress() bool { return e.joined }

// ClientTimedOut ends the waiting, as the client's time is over.
func (e *Claim) ClientTimedOut() {
	switch {
	case e.verdict != Undecided:
	case e.joined || e.spent || e.age > 0:
		e.verdict = OutcomeUnknown
	default:
		e.verdict = Reject
	}
}

// ReplaceHolder has another holder be asked in place of one that does not answer.
func (e *Claim) ReplaceHolder(holder string) { e.silent = append(e.silent, holder) }

// HolderTimedOut takes that a holder has not answered, and that there is no other to ask. Gone takes that one has ended or can't be
// heard.
func (e *Claim) HolderTimedOut(holder string) {
	if e.verdict == Undecided {
		e.missed++
	}
	e.HolderGone(holder)
}

// HolderGone is described at Missed.
func (e *Claim) HolderGone(holder string) {
	e.open--
	e.silent = append(e.silent, holder)
	if e.verdict == Undecided {
		e.decide()
	}
}

// untold counts the holders that might have known more. Whose the work was, and was lost, is none of them.
func (e *Claim) untold() (n int) {
	for _, name := range e.silent {
		if name != e.was {
			n++
		}
	}
	return n
}

// decide looks whether enough is known. All that can be heard is waited for: one of several may know that it was served.
func (e *Claim) decide() {
	switch {
	case e.verdict != Undecided || e.open > 0:
	case e.spent:
		e.verdict = OutcomeUnknown
	case e.missed > 0 || e.leaves == 0 && e.kind != TakenOver:
		e.without()
	case e.kind == ClientRetry && e.untold() >= e.options.Replicas, e.kind == TakenOver && e.options.Replicas > 1 && e.untold() >= e.options.Replicas:
		e.verdict = OutcomeUnknown // it may have run longer ago than those know who answered
	default:
		e.verdict, e.until = Proceed, e.asked+e.terms.short(e.terms.PermissionDuration)
		if e.age > 0 { // it may have run: only while its repeats are dropped
			e.until = min(e.until, e.asked-e.age+e.terms.short(e.window))
		}
	}
}

// Candidate is an instance that may hold works.
type Candidate struct {
	Owner
	Zone string
}

// RankHolders ranks instances for a work, from its key alone: any proxy finds the same. Of those behind the first, such as lie in
// zones that none before them lies in come first.
func RankHolders(id string, places []Candidate) []Candidate {
	type ranked struct {
		Candidate
		weight uint64
	}
	list := make([]ranked, len(places))
	for i, p := range places {
		list[i] = ranked{p, mix(id, p.Name)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name)) })
	var out, rest []Candidate
	zones := make(map[string]bool)
	for _, p := range list {
		if zones[p.Zone] {
			rest = append(rest, p.Candidate)
			continue
		}
		zones[p.Zone] = true
		out = append(out, p.Candidate)
	}
	return append(out, rest...)
}

// mix is the same in every process.
func mix(id, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64() // whose last bytes change too few of its bits
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
