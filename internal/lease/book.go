// Package lease decides who holds a task of the whole fleet, and until when. It does no I/O and
// has no clock. Three parts that know each other by messages only:
//
//   - [Book] is what the voters agree on: grants, who waits, and the last number. It has no time at all.
//   - [Keeper] is the time of the voter that leads: when a grant may be taken back.
//   - [Session] is a holder's own time: until when it may act.
//
// Guarantees, as long as clocks run within [Parameters.MaxClockDrift] of one another and voters remember what they
// have promised:
//
//  1. No more than a task's Most sessions are valid at any moment.
//  2. Every grant's number is higher than all before it, of any task, for ever.
//  3. A holder's time ends before the voters': a grant is given anew only after its last holder has
//     stopped by its own clock.
//  4. A grant that is revoked is waited out, never believed to be over early.
//  5. The same request, sent twice or late, gets one grant.
//
// What it does not promise: that a process looks at its session between the look and what it does. Who
// acts compares numbers at the resource, or has the hole that docs/design/lease.md states.
package lease

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// Parameters are what holders and voters must have in common.
type Parameters struct {
	MaxClockDrift float64       // by which a clock may be fast or slow
	SafetyMargin  time.Duration // between a holder's end and the voters'
	MinDuration   time.Duration // of a lease's length
	MaxDuration   time.Duration
}

// DefaultParameters are the terms in service.
var DefaultParameters = Parameters{MaxClockDrift: 0.05, SafetyMargin: 20 * time.Millisecond, MinDuration: 200 * time.Millisecond, MaxDuration: time.Hour}

// Bounds of what a book holds.
const (
	mostTasks    = 4096
	mostWaiting  = 2048 // for one task
	mostHeld     = 1024 // of one task
	MaxNameBytes = 128  // bytes of a task's or a holder's name
	mostSeats    = 7
)

// CommandKind is what a command asks.
type CommandKind uint8

// The kinds of commands.
const (
	Acquire     CommandKind = iota + 1 // a grant of Task for Holder, or a place in the queue if Wait
	Release                            // Number is given back, or Holder's place in the queue if it is 0
	Transfer                           // Number goes to To, which waits
	Revoke                             // Number is not renewed any more
	Expire                             // Number's time is over: by the leader alone
	SetLimit                           // at most Most hold Task from now on
	HandOver                           // Number is revoked, and goes to To, which waits, once it has ended
	AddVoter                           // To votes from now on, under a seat that nobody has had
	RemoveVoter                        // To votes no more, nor does its seat ever again
)

// Command is one entry of the voters' log.
type Command struct {
	Kind       CommandKind   `cbor:"1,keyasint"`
	Task       string        `cbor:"2,keyasint,omitempty"`
	Holder     string        `cbor:"3,keyasint,omitempty"` // a process's name, of this run of it
	Nonce      uint64        `cbor:"4,keyasint,omitempty"` // of a Take: the same for its repetitions
	Duration   time.Duration `cbor:"5,keyasint,omitempty"`
	Wait       bool          `cbor:"6,keyasint,omitempty"`
	Token      uint64        `cbor:"7,keyasint,omitempty"`
	To         string        `cbor:"8,keyasint,omitempty"`
	MaxHolders int           `cbor:"9,keyasint,omitempty"`
	VoterID    uint64        `cbor:"10,keyasint,omitempty"` // of an Enrol or Dismiss, as the leader proposed it
}

// Grant is a task's holder.
type Grant struct {
	Holder   string        `cbor:"1,keyasint" json:"holder"`
	Nonce    uint64        `cbor:"2,keyasint" json:"-"`
	Token    uint64        `cbor:"3,keyasint" json:"number"`
	Duration time.Duration `cbor:"4,keyasint" json:"length"`
	Revoked  bool          `cbor:"5,keyasint,omitempty" json:"revoked,omitempty"`
}

// Waiter is one that waits for a task.
type Waiter struct {
	Holder   string        `cbor:"1,keyasint" json:"holder"`
	Nonce    uint64        `cbor:"2,keyasint" json:"-"`
	Duration time.Duration `cbor:"3,keyasint" json:"length"`
}

// Task is what is known of one.
type Task struct {
	MaxHolders int      `cbor:"1,keyasint" json:"most"`
	Grants     []Grant  `cbor:"2,keyasint" json:"held"`
	Waiters    []Waiter `cbor:"3,keyasint" json:"waiting"`
}

// StateMachine is what the voters agree on. The same commands in the same order make the same book.
type StateMachine struct {
	Tasks     map[string]*Task `cbor:"1,keyasint" json:"tasks"`
	LastToken uint64           `cbor:"2,keyasint" json:"last_number"`
	// Voters are the voters' names by seat. A voter that has lost its memory comes back under a new seat alone: what
	// the old one has promised it can't remember, so the old one never votes again.
	Voters      map[uint64]string `cbor:"3,keyasint" json:"seats"`
	LastVoterID uint64            `cbor:"4,keyasint" json:"last_seat"`
}

// NewStateMachine returns a book in which nothing is held, with voters in seats from 1.
func NewStateMachine(voters ...string) *StateMachine {
	b := &StateMachine{Tasks: make(map[string]*Task), Voters: make(map[uint64]string)}
	for _, name := range voters {
		b.LastVoterID++
		b.Voters[b.LastVoterID] = name
	}
	return b
}

// Clone copies a book.
func (b *StateMachine) Clone() *StateMachine {
	c := &StateMachine{Tasks: make(map[string]*Task, len(b.Tasks)), LastToken: b.LastToken, Voters: maps.Clone(b.Voters), LastVoterID: b.LastVoterID}
	for name, t := range b.Tasks {
		c.Tasks[name] = &Task{MaxHolders: t.MaxHolders, Grants: slices.Clone(t.Grants), Waiters: slices.Clone(t.Waiters)}
	}
	return c
}

// VoterID is that of a voter, 0 for none.
func (b *StateMachine) VoterID(name string) uint64 {
	for seat, n := range b.Voters {
		if n == name {
			return seat
		}
	}
	return 0
}

// Errors of commands.
var (
	ErrHeld               = errors.New("lease: the task is taken")
	ErrUnknownGrant       = errors.New("lease: there is no such grant")
	ErrLimitExceeded      = errors.New("lease: too many tasks, holders or waiters")
	ErrInvalidCommand     = errors.New("lease: bad command")
	ErrInvalidVoterChange = errors.New("lease: the voters can't be changed so")
)

// Result is what a command came to. Given are grants that it made, of the task itself or of one who
// had waited; Mine is that of a Take's own sender, new or not.
type Result struct {
	Err         error
	Grant       Grant // Number 0 for none: it waits
	Created     bool  // Mine was made by this very command
	NewGrants   []Grant
	EndedTokens []uint64 // numbers that ended
}

// FindGrant returns a grant by its number.
func (b *StateMachine) FindGrant(task string, number uint64) (Grant, bool) {
	if t := b.Tasks[task]; t != nil && number > 0 {
		if i := t.find(number); i >= 0 {
			return t.Grants[i], true
		}
	}
	return Grant{}, false
}

func (t *Task) find(number uint64) int {
	return slices.IndexFunc(t.Grants, func(g Grant) bool { return g.Token == number })
}

// CheckCommand tells what is wrong with a command from outside.
func (t Parameters) CheckCommand(c *Command) error {
	named := func(s string) bool { return s != "" && len(s) <= MaxNameBytes }
	ok := named(c.Task) || c.Kind == AddVoter || c.Kind == RemoveVoter
	switch c.Kind {
	case Acquire:
		ok = ok && named(c.Holder) && c.Nonce > 0 && c.Duration >= t.MinDuration && c.Duration <= t.MaxDuration
	case Release:
		ok = ok && (c.Token > 0 || named(c.Holder) && c.Nonce > 0)
	case Transfer, HandOver:
		ok = ok && c.Token > 0 && named(c.To)
	case AddVoter, RemoveVoter:
		ok = named(c.To)
	case Revoke:
		ok = ok && c.Token > 0
	case SetLimit:
		ok = ok && c.MaxHolders >= 1 && c.MaxHolders <= mostHeld
	default:
		ok = false // Expire comes from the leader alone
	}
	if !ok {
		return ErrInvalidCommand
	}
	return nil
}

// Apply carries out the next command.
func (b *StateMachine) Apply(c *Command) Result {
	if c.Kind == AddVoter || c.Kind == RemoveVoter {
		return Result{Err: b.seat(c)}
	}
	t := b.Tasks[c.Task]
	if t == nil {
		if c.Kind != Acquire && c.Kind != SetLimit {
			return Result{Err: ErrUnknownGrant}
		}
		if len(b.Tasks) >= mostTasks {
			return Result{Err: ErrLimitExceeded}
		}
		t = &Task{MaxHolders: 1}
		b.Tasks[c.Task] = t
	}
	switch c.Kind {
	case Acquire:
		return b.take(t, c)
	case Release, Expire:
		return b.end(t, c)
	case Transfer:
		return b.transfer(t, c)
	case Revoke:
		i := t.find(c.Token)
		if i < 0 {
			return Result{Err: ErrUnknownGrant}
		}
		t.Grants[i].Revoked = true
		return Result{}
	case HandOver:
		i := t.find(c.Token)
		w := slices.IndexFunc(t.Waiters, func(w Waiter) bool { return w.Holder == c.To })
		if i < 0 || w < 0 {
			return Result{Err: ErrUnknownGrant}
		}
		t.Grants[i].Revoked = true
		first := t.Waiters[w]
		t.Waiters = slices.Insert(slices.Delete(t.Waiters, w, w+1), 0, first)
		return Result{}
	case SetLimit:
		t.MaxHolders = c.MaxHolders
		return b.serve(t, Result{})
	}
	return Result{Err: ErrInvalidCommand}
}

// CheckVoterChange tells whether the voters can be changed so, and the seat that it is about.
func (b *StateMachine) CheckVoterChange(c *Command) (seat uint64, err error) {
	seat = b.VoterID(c.To)
	switch {
	case c.Kind == AddVoter && (seat != 0 || len(b.Voters) >= mostSeats), c.Kind == RemoveVoter && (seat == 0 || len(b.Voters) == 1):
		return 0, ErrInvalidVoterChange
	case c.Kind == AddVoter:
		seat = b.LastVoterID + 1
	}
	return seat, nil
}

func (b *StateMachine) seat(c *Command) error {
	seat, err := b.CheckVoterChange(c)
	switch {
	case err != nil:
		return err
	case seat != c.VoterID: // another change came before it
		return ErrInvalidVoterChange
	case c.Kind == AddVoter:
		b.LastVoterID = seat
		b.Voters[seat] = c.To
	default:
		delete(b.Voters, seat)
	}
	return nil
}

func (b *StateMachine) take(t *Task, c *Command) Result {
	for _, g := range t.Grants {
		if g.Holder == c.Holder && g.Nonce == c.Nonce { // it has been granted before
			return Result{Grant: g}
		}
	}
	for _, w := range t.Waiters {
		if w.Holder == c.Holder && w.Nonce == c.Nonce {
			return Result{}
		}
	}
	if len(t.Grants) < t.MaxHolders && len(t.Waiters) == 0 {
		g := b.grant(t, c.Holder, c.Nonce, c.Duration)
		return Result{Grant: g, Created: true, NewGrants: []Grant{g}}
	}
	if !c.Wait {
		return Result{Err: ErrHeld}
	}
	if len(t.Waiters) >= mostWaiting {
		return Result{Err: ErrLimitExceeded}
	}
	t.Waiters = append(t.Waiters, Waiter{c.Holder, c.Nonce, c.Duration})
	return Result{}
}

func (b *StateMachine) grant(t *Task, holder string, nonce uint64, length time.Duration) Grant {
	b.LastToken++
	g := Grant{Holder: holder, Nonce: nonce, Token: b.LastToken, Duration: length}
	t.Grants = append(t.Grants, g)
	return g
}

// end takes a grant back, or a waiter out of the queue.
func (b *StateMachine) end(t *Task, c *Command) Result {
	if c.Token == 0 {
		before := len(t.Waiters)
		t.Waiters = slices.DeleteFunc(t.Waiters, func(w Waiter) bool { return w.Holder == c.Holder && w.Nonce == c.Nonce })
		if len(t.Waiters) == before {
			return Result{Err: ErrUnknownGrant}
		}
		return b.serve(t, Result{})
	}
	i := t.find(c.Token)
	if i < 0 {
		return Result{Err: ErrUnknownGrant}
	}
	t.Grants = slices.Delete(t.Grants, i, i+1)
	return b.serve(t, Result{EndedTokens: []uint64{c.Token}})
}

// transfer ends a grant for the good of one who waits, before all others.
func (b *StateMachine) transfer(t *Task, c *Command) Result {
	i := t.find(c.Token)
	w := slices.IndexFunc(t.Waiters, func(w Waiter) bool { return w.Holder == c.To })
	if i < 0 || w < 0 {
		return Result{Err: ErrUnknownGrant}
	}
	taker := t.Waiters[w]
	t.Grants, t.Waiters = slices.Delete(t.Grants, i, i+1), slices.Delete(t.Waiters, w, w+1)
	r := Result{EndedTokens: []uint64{c.Token}}
	if len(t.Grants) < t.MaxHolders {
		r.NewGrants = append(r.NewGrants, b.grant(t, taker.Holder, taker.Nonce, taker.Duration))
	} else { // the limit was lowered meanwhile
		t.Waiters = slices.Insert(t.Waiters, 0, taker)
	}
	return b.serve(t, r)
}

// serve grants to those who wait, in turn, as far as the limit lets it.
func (b *StateMachine) serve(t *Task, r Result) Result {
	for len(t.Waiters) > 0 && len(t.Grants) < t.MaxHolders {
		w := t.Waiters[0]
		t.Waiters = slices.Delete(t.Waiters, 0, 1)
		r.NewGrants = append(r.NewGrants, b.grant(t, w.Holder, w.Nonce, w.Duration))
	}
	return r
}
