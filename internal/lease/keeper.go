package lease

import (
	"slices"
	"time"
)

// ExpiryManager is the time of a voter. While it leads it knows when each grant may be taken back; what another
// leader knew is not known, so who begins to lead counts every grant from then.
type ExpiryManager struct {
	terms Parameters
	book  *StateMachine
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

// NewExpiryManager returns the time of a voter with a book, which is applied to by its caller.
func NewExpiryManager(terms Parameters, book *StateMachine) *ExpiryManager {
	return &ExpiryManager{terms: terms, book: book, until: make(map[uint64]due), heard: make(map[waiting]time.Duration)}
}

// ExpiryEvent is what a Keeper is told.
type ExpiryEvent interface{ keeperEvent() }

type (
	// LeadershipAcquired tells that this voter leads, and has applied all that was decided before.
	LeadershipAcquired struct{}
	// LeadershipLost tells that it does not, or can't know.
	LeadershipLost struct{}
	// CommandApplied tells of a command that the book has carried out.
	CommandApplied struct {
		Command Command
		Result  Result
	}
	// Renew is a holder's wish to go on; Tag names it in the answer.
	Renew struct {
		RequestID uint64
		Task      string
		Token     uint64
	}
	// WaiterSeen tells that one who waits has been heard of.
	WaiterSeen struct {
		Task, Holder string
		Nonce        uint64
	}
	// LeadershipConfirmed tells that this voter led still after the question of this serial, and those before it, had been asked.
	LeadershipConfirmed struct{ Sequence uint64 }
	// Tick lets time pass.
	Tick struct{}
)

func (LeadershipAcquired) keeperEvent()  {}
func (LeadershipLost) keeperEvent()      {}
func (CommandApplied) keeperEvent()      {}
func (Renew) keeperEvent()               {}
func (WaiterSeen) keeperEvent()          {}
func (LeadershipConfirmed) keeperEvent() {}
func (Tick) keeperEvent()                {}

// ExpiryAction is what a Keeper wants done.
type ExpiryAction interface{ keeperAction() }

type (
	// ConfirmLeadership asks whether this voter leads still, as of now.
	ConfirmLeadership struct{ Sequence uint64 }
	// RenewalResult answers a Renew: Granted has the holder count its length anew from when it sent it; Gone
	// that it holds no more, Unheard that this voter can't know.
	RenewalResult struct {
		RequestID uint64
		Outcome   Outcome
	}
	// Propose puts a command before the voters.
	Propose struct{ Command Command }
)

func (ConfirmLeadership) keeperAction() {}
func (RenewalResult) keeperAction()     {}
func (Propose) keeperAction()           {}

// voters is how long a grant is kept for a holder, by this voter's clock: a holder whose clock is
// slow, and which has a margin to stop in, is over by then.
func (t Parameters) voters(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+t.MaxClockDrift)) + t.SafetyMargin
}

// holders is how long a holder may act from when it asked, by its own clock.
func (t Parameters) holders(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1-t.MaxClockDrift)) - t.SafetyMargin
}

// IsLeader tells whether the keeper takes itself for the leader.
func (k *ExpiryManager) IsLeader() bool { return k.leads }

// TimeLeft is how long a grant is kept yet, for those who ask; it is known to the leader alone.
func (k *ExpiryManager) TimeLeft(number uint64, now time.Duration) (time.Duration, bool) {
	d, ok := k.until[number]
	return d.at - now, ok
}

// Handle takes an event at a time and appends what is to be done to out.
func (k *ExpiryManager) Handle(now time.Duration, event ExpiryEvent, out []ExpiryAction) []ExpiryAction {
	switch e := event.(type) {
	case LeadershipAcquired:
		k.leads = true
		clear(k.until)
		clear(k.heard)
		for name, t := range k.book.Tasks {
			for _, g := range t.Grants {
				k.until[g.Token] = due{task: name, at: now + k.terms.voters(g.Duration)}
			}
			for _, w := range t.Waiters {
				k.heard[waiting{name, w.Holder, w.Nonce}] = now
			}
		}
	case LeadershipLost:
		k.leads = false
		for _, q := range k.asked {
			out = append(out, RenewalResult{q.tag, NoAnswer})
		}
		k.asked = nil
	case CommandApplied:
		if !k.leads {
			return out
		}
		for _, n := range e.Result.EndedTokens {
			delete(k.until, n)
		}
		for _, g := range e.Result.NewGrants {
			delete(k.heard, waiting{e.Command.Task, g.Holder, g.Nonce})
			k.until[g.Token] = due{task: e.Command.Task, at: now + k.terms.voters(g.Duration)}
		}
		if c := &e.Command; c.Kind == Acquire && e.Result.Err == nil && e.Result.Grant.Token == 0 {
			k.heard[waiting{c.Task, c.Holder, c.Nonce}] = now
		}
	case WaiterSeen:
		w := waiting{e.Task, e.Holder, e.Nonce}
		if _, ok := k.heard[w]; ok {
			k.heard[w] = now
		}
	case Renew:
		switch {
		case !k.leads || len(k.asked) >= mostAsked:
			return append(out, RenewalResult{e.RequestID, NoAnswer})
		case !k.renewable(e.Task, e.Token):
			return append(out, RenewalResult{e.RequestID, NotHeld})
		}
		// What was asked before a confirmation began is confirmed by it; so is all that comes together.
		k.serve++
		k.asked = append(k.asked, question{k.serve, e.RequestID, e.Task, e.Token})
		out = append(out, ConfirmLeadership{k.serve})
	case LeadershipConfirmed:
		for len(k.asked) > 0 && k.asked[0].serial <= e.Sequence {
			q := k.asked[0]
			k.asked = k.asked[1:]
			outcome := NotHeld
			if k.renewable(q.task, q.number) {
				g, _ := k.book.FindGrant(q.task, q.number)
				k.until[q.number] = due{task: q.task, at: max(k.until[q.number].at, now+k.terms.voters(g.Duration))}
				outcome = Granted
			}
			out = append(out, RenewalResult{q.tag, outcome})
		}
	case Tick:
		if k.leads {
			out = k.expire(now, out)
		}
	}
	return out
}

func (k *ExpiryManager) renewable(task string, number uint64) bool {
	g, ok := k.book.FindGrant(task, number)
	return k.leads && ok && !g.Revoked && !k.until[number].ending && k.until[number].task == task
}

// expire proposes the end of what is over, and takes those out of queues who have fallen silent. Both in a
// fixed order, so that the same events bring the same actions.
func (k *ExpiryManager) expire(now time.Duration, out []ExpiryAction) []ExpiryAction {
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
		out = append(out, Propose{Command{Kind: Expire, Task: d.task, Token: n}})
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
func (k *ExpiryManager) silence(w waiting) time.Duration {
	if t := k.book.Tasks[w.task]; t != nil {
		for _, x := range t.Waiters {
			if x.Holder == w.holder && x.Nonce == w.nonce {
				return k.terms.voters(x.Duration)
			}
		}
	}
	return 0
}
