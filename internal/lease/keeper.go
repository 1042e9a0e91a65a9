package lease

import (
	"slices"
	"time"
)

// Keeper is the time of a voter. While it leads it knows when each grant may be taken back; what another
// leader knew is not known, so who begins to lead counts every grant from then.
type Keeper struct {
	terms Terms
	book  *Book
	leads bool
	until map[uint64]due // by number
	heard map[waiting]time.Duration
	asked []question // for confirmation, in order
	serve uint64     // of the last question
}

type due struct {
	task   string
	at     time.Duration
	ending bool // its Expire has been proposed: no renewal any more
}

type waiting struct {
	task, holder string
	nonce        uint64
}

// question is a renewal that waits until this voter is known to lead still.
type question struct {
	serial uint64
	tag    uint64
	task   string
	number uint64
}

// mostAsked bounds the renewals that wait for confirmation.
const mostAsked = 4096

// NewKeeper returns the time of a voter with a book, which is applied to by its caller.
func NewKeeper(terms Terms, book *Book) *Keeper {
	return &Keeper{terms: terms, book: book, until: make(map[uint64]due), heard: make(map[waiting]time.Duration)}
}

// KeeperEvent is what a Keeper is told.
type KeeperEvent interface{ keeperEvent() }

type (
	// Led tells that this voter leads, and has applied all that was decided before.
	Led struct{}
	// Deposed tells that it does not, or can't know.
	Deposed struct{}
	// Applied tells of a command that the book has carried out.
	Applied struct {
		Command Command
		Result  Result
	}
	// Renew is a holder's wish to go on; Tag names it in the answer.
	Renew struct {
		Tag    uint64
		Task   string
		Number uint64
	}
	// Waits tells that one who waits has been heard of.
	Waits struct {
		Task, Holder string
		Nonce        uint64
	}
	// Confirmed tells that this voter led still after the question of this serial, and those before it, had been asked.
	Confirmed struct{ Serial uint64 }
	// Tick lets time pass.
	Tick struct{}
)

func (Led) keeperEvent()       {}
func (Deposed) keeperEvent()   {}
func (Applied) keeperEvent()   {}
func (Renew) keeperEvent()     {}
func (Waits) keeperEvent()     {}
func (Confirmed) keeperEvent() {}
func (Tick) keeperEvent()      {}

// KeeperAction is what a Keeper wants done.
type KeeperAction interface{ keeperAction() }

type (
	// Confirm asks whether this voter leads still, as of now.
	Confirm struct{ Serial uint64 }
	// Renewed answers a Renew: Granted has the holder count its length anew from when it sent it; Gone
	// that it holds no more, Unheard that this voter can't know.
	Renewed struct {
		Tag     uint64
		Outcome Outcome
	}
	// Propose puts a command before the voters.
	Propose struct{ Command Command }
)

func (Confirm) keeperAction() {}
func (Renewed) keeperAction() {}
func (Propose) keeperAction() {}

// voters is how long a grant is kept for a holder, by this voter's clock: a holder whose clock is
// slow, and which has a margin to stop in, is over by then.
func (t Terms) voters(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+t.Drift)) + t.Margin
}

// holders is how long a holder may act from when it asked, by its own clock.
func (t Terms) holders(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1-t.Drift)) - t.Margin
}

// Leads tells whether the keeper takes itself for the leader.
func (k *Keeper) Leads() bool { return k.leads }

// Left is how long a grant is kept yet, for those who ask; it is known to the leader alone.
func (k *Keeper) Left(number uint64, now time.Duration) (time.Duration, bool) {
	d, ok := k.until[number]
	return d.at - now, ok
}

// Handle takes an event at a time and appends what is to be done to out.
func (k *Keeper) Handle(now time.Duration, event KeeperEvent, out []KeeperAction) []KeeperAction {
	switch e := event.(type) {
	case Led:
		k.leads = true
		clear(k.until)
		clear(k.heard)
		for name, t := range k.book.Tasks {
			for _, g := range t.Held {
				k.until[g.Number] = due{task: name, at: now + k.terms.voters(g.Length)}
			}
			for _, w := range t.Waiting {
				k.heard[waiting{name, w.Holder, w.Nonce}] = now
			}
		}
	case Deposed:
		k.leads = false
		for _, q := range k.asked {
			out = append(out, Renewed{q.tag, Unheard})
		}
		k.asked = nil
	case Applied:
		if !k.leads {
			return out
		}
		for _, n := range e.Result.Over {
			delete(k.until, n)
		}
		for _, g := range e.Result.Given {
			delete(k.heard, waiting{e.Command.Task, g.Holder, g.Nonce})
			k.until[g.Number] = due{task: e.Command.Task, at: now + k.terms.voters(g.Length)}
		}
		if c := &e.Command; c.Kind == Take && e.Result.Err == nil && e.Result.Mine.Number == 0 {
			k.heard[waiting{c.Task, c.Holder, c.Nonce}] = now
		}
	case Waits:
		w := waiting{e.Task, e.Holder, e.Nonce}
		if _, ok := k.heard[w]; ok {
			k.heard[w] = now
		}
	case Renew:
		switch {
		case !k.leads || len(k.asked) >= mostAsked:
			return append(out, Renewed{e.Tag, Unheard})
		case !k.renewable(e.Task, e.Number):
			return append(out, Renewed{e.Tag, Gone})
		}
		// What was asked before a confirmation began is confirmed by it; so is all that comes together.
		k.serve++
		k.asked = append(k.asked, question{k.serve, e.Tag, e.Task, e.Number})
		out = append(out, Confirm{k.serve})
	case Confirmed:
		for len(k.asked) > 0 && k.asked[0].serial <= e.Serial {
			q := k.asked[0]
			k.asked = k.asked[1:]
			outcome := Gone
			if k.renewable(q.task, q.number) {
				g, _ := k.book.Find(q.task, q.number)
				k.until[q.number] = due{task: q.task, at: max(k.until[q.number].at, now+k.terms.voters(g.Length))}
				outcome = Granted
			}
			out = append(out, Renewed{q.tag, outcome})
		}
	case Tick:
		if k.leads {
			out = k.expire(now, out)
		}
	}
	return out
}

func (k *Keeper) renewable(task string, number uint64) bool {
	g, ok := k.book.Find(task, number)
	return k.leads && ok && !g.Revoked && !k.until[number].ending && k.until[number].task == task
}

// expire proposes the end of what is over, and takes those out of queues who have fallen silent. Both in a
// fixed order, so that the same events bring the same actions.
func (k *Keeper) expire(now time.Duration, out []KeeperAction) []KeeperAction {
	var over []uint64
	for n, d := range k.until {
		if now >= d.at && !d.ending {
			over = append(over, n)
		}
	}
	slices.Sort(over)
	for _, n := range over {
		d := k.until[n]
		d.ending = true
		k.until[n] = d
		out = append(out, Propose{Command{Kind: Expire, Task: d.task, Number: n}})
	}
	var gone []waiting
	for w, at := range k.heard {
		if now-at > k.silence(w) {
			gone = append(gone, w)
		}
	}
	slices.SortFunc(gone, func(a, b waiting) int {
		if a.nonce != b.nonce {
			return int(min(max(int64(a.nonce-b.nonce), -1), 1))
		}
		return len(a.holder) - len(b.holder)
	})
	for _, w := range gone {
		delete(k.heard, w)
		out = append(out, Propose{Command{Kind: Release, Task: w.task, Holder: w.holder, Nonce: w.nonce}})
	}
	return out
}

// silence is how long one who waits may say nothing.
func (k *Keeper) silence(w waiting) time.Duration {
	if t := k.book.Tasks[w.task]; t != nil {
		for _, x := range t.Waiting {
			if x.Holder == w.holder && x.Nonce == w.nonce {
				return k.terms.voters(x.Length)
			}
		}
	}
	return 0
}
