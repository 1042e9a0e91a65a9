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
	Waiting Verdict = iota // for holders
	Send                   // until Errand.Until, not a moment later
	Receipt                // it was served: Errand.Receipt
	Unsure                 // it may have run, and may not be sent: a failure
	Refuse                 // as busy, at once: it was not sent by this owner, nor will it be
	Clash                  // the key belongs to another write: an error of its own
	Plainly                // no holder can be had, and the configuration has it go on as without any
)

// Errand is an owner's side of one work. The zero value is not usable.
type Errand struct {
	terms   Terms
	window  time.Duration
	asked   time.Duration // when the asks were sent, by the owner's clock
	open    int           // answers that have not come
	options Options
	kind    Kind
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
	Others int  // holders beside the owner: 1 or 2
	Strict bool // a work is refused where none of them can be had
}

// Kind is why an owner asks.
type Kind uint8

// The kinds.
const (
	New   Kind = iota // a till's first try
	Retry             // a till says that it has asked before
	Taken             // a holder takes it over
)

// NewErrand returns that of a work which is asked for at the owner's own register and at so many others. It takes the leave
// of all of them that live: so each of them knows of whatever was sent.
func NewErrand(terms Terms, window, now time.Duration, others int, o Options, kind Kind) *Errand {
	return &Errand{terms: terms, window: window, asked: now, open: 1 + others, options: o, kind: kind}
}

// Verdict is what is decided so far; Until, with Send, is when leave ends, by the owner's clock.
func (e *Errand) Verdict() (Verdict, time.Duration) { return e.verdict, e.until }

// Receipt is that of a work which was served, with that verdict.
func (e *Errand) Receipt() string { return e.receipt }

// Number is what the owner settles under.
func (e *Errand) Number() uint64 { return e.number }

// without decides where holders can't be had.
func (e *Errand) without() {
	switch {
	case e.kind != New || e.age > 0: // it may have run, as far as those can tell who answer
		e.verdict = Unsure
	case e.options.Strict:
		e.verdict = Refuse
	default:
		e.verdict = Plainly
	}
}

// Heard takes a holder's answer.
func (e *Errand) Heard(holder string, a Answer) {
	if a.Word == Parked {
		e.joined = true
		return
	}
	e.open--
	if e.verdict != Waiting {
		return
	}
	switch a.Word {
	case Known:
		e.verdict, e.receipt = Receipt, a.Receipt
	case Spent: // as far as that one knows: another may know that it was served
		e.spent = true
	case Conflict:
		e.verdict = Clash
	case Again:
		e.verdict = Refuse
	case Full:
		e.missed++
	case Leave:
		if e.own++; e.own > 1 { // the first is the owner's own
			e.leaves++
		}
		if a.Young {
			e.silent = append(e.silent, holder)
		}
		if a.Age > 0 {
			e.age, e.was = max(e.age, e.terms.long(a.Age)), a.Was.Name
		}
		e.number = max(e.number, a.Number)
	}
	e.decide()
}

// Joined tells whether a holder has said that another owner has the work in hand: it is worth waiting for the rest.
func (e *Errand) Joined() bool { return e.joined }

// Over ends the waiting, as the client's time is over.
func (e *Errand) Over() {
	switch {
	case e.verdict != Waiting:
	case e.joined || e.spent || e.age > 0:
		e.verdict = Unsure
	default:
		e.verdict = Refuse
	}
}

// Instead has another holder be asked in place of one that does not answer.
func (e *Errand) Instead(holder string) { e.silent = append(e.silent, holder) }

// Missed takes that a holder has not answered, and that there is no other to ask. Gone takes that one has ended or can't be
// heard.
func (e *Errand) Missed(holder string) {
	if e.verdict == Waiting {
		e.missed++
	}
	e.Gone(holder)
}

// Gone is described at Missed.
func (e *Errand) Gone(holder string) {
	e.open--
	e.silent = append(e.silent, holder)
	if e.verdict == Waiting {
		e.decide()
	}
}

// untold counts the holders that might have known more. Whose the work was, and was lost, is none of them.
func (e *Errand) untold() (n int) {
	for _, name := range e.silent {
		if name != e.was {
			n++
		}
	}
	return n
}

// decide looks whether enough is known. All that can be heard is waited for: one of several may know that it was served.
func (e *Errand) decide() {
	switch {
	case e.verdict != Waiting || e.open > 0:
	case e.spent:
		e.verdict = Unsure
	case e.missed > 0 || e.leaves == 0 && e.kind != Taken:
		e.without()
	case e.kind == Retry && e.untold() >= e.options.Others, e.kind == Taken && e.options.Others > 1 && e.untold() >= e.options.Others:
		e.verdict = Unsure // it may have run longer ago than those know who answered
	default:
		e.verdict, e.until = Send, e.asked+e.terms.short(e.terms.Leave)
		if e.age > 0 { // it may have run: only while its repeats are dropped
			e.until = min(e.until, e.asked-e.age+e.terms.short(e.window))
		}
	}
}

// Place is an instance that may hold works.
type Place struct {
	Owner
	Zone string
}

// Order ranks instances for a work, from its key alone: any proxy finds the same. Of those behind the first, such as lie in
// zones that none before them lies in come first.
func Order(id string, places []Place) []Place {
	type ranked struct {
		Place
		weight uint64
	}
	list := make([]ranked, len(places))
	for i, p := range places {
		list[i] = ranked{p, mix(id, p.Name)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name)) })
	var out, rest []Place
	zones := make(map[string]bool)
	for _, p := range list {
		if zones[p.Zone] {
			rest = append(rest, p.Place)
			continue
		}
		zones[p.Zone] = true
		out = append(out, p.Place)
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
