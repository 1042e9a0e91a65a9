// Package lease decides who holds a task of the whole fleet, and until when. It does no I/O and
// has no clock. Three parts that know each other by messages only:
//
//   - [Book] is what the voters agree on: grants, who waits, and the last number. It has no time at all.
//   - [Keeper] is the time of the voter that leads: when a grant may be taken back.
//   - [Session] is a holder's own time: until when it may act.
//
// Guarantees, as long as clocks run within [Terms.Drift] of one another and voters remember what they
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

// Terms are what holders and voters must have in common.
type Terms struct {
	Drift  float64       // by which a clock may be fast or slow
	Margin time.Duration // between a holder's end and the voters'
	Least  time.Duration // of a lease's length
	Most   time.Duration
}

// Usual are the terms in service.
var Usual = Terms{Drift: 0.05, Margin: 20 * time.Millisecond, Least: 200 * time.Millisecond, Most: time.Hour}

// Bounds of what a book holds.
const (
	mostTasks   = 4096
	mostWaiting = 2048 // for one task
	mostHeld    = 1024 // of one task
	MostName    = 128  // bytes of a task's or a holder's name
	mostSeats   = 7
)

// Kind is what a command asks.
type Kind uint8

// The kinds of commands.
const (
	Take     Kind = iota + 1 // a grant of Task for Holder, or a place in the queue if Wait
	Release                  // Number is given back, or Holder's place in the queue if it is 0
	Transfer                 // Number goes to To, which waits
	Revoke                   // Number is not renewed any more
	Expire                   // Number's time is over: by the leader alone
	Limit                    // at most Most hold Task from now on
	Hand                     // Number is revoked, and goes to To, which waits, once it has ended
	Enrol                    // To votes from now on, under a seat that nobody has had
	Dismiss                  // To votes no more, nor does its seat ever again
)

// Command is one entry of the voters' log.
type Command struct {
	Kind   Kind          `cbor:"1,keyasint"`
	Task   string        `cbor:"2,keyasint,omitempty"`
	Holder string        `cbor:"3,keyasint,omitempty"` // a process's name, of this run of it
	Nonce  uint64        `cbor:"4,keyasint,omitempty"` // of a Take: the same for its repetitions
	Length time.Duration `cbor:"5,keyasint,omitempty"`
	Wait   bool          `cbor:"6,keyasint,omitempty"`
	Number uint64        `cbor:"7,keyasint,omitempty"`
	To     string        `cbor:"8,keyasint,omitempty"`
	Most   int           `cbor:"9,keyasint,omitempty"`
	Seat   uint64        `cbor:"10,keyasint,omitempty"` // of an Enrol or Dismiss, as the leader proposed it
}

// Grant is a task's holder.
type Grant struct {
	Holder  string        `cbor:"1,keyasint" json:"holder"`
	Nonce   uint64        `cbor:"2,keyasint" json:"-"`
	Number  uint64        `cbor:"3,keyasint" json:"number"`
	Length  time.Duration `cbor:"4,keyasint" json:"length"`
	Revoked bool          `cbor:"5,keyasint,omitempty" json:"revoked,omitempty"`
}

// Waiter is one that waits for a task.
type Waiter struct {
	Holder string        `cbor:"1,keyasint" json:"holder"`
	Nonce  uint64        `cbor:"2,keyasint" json:"-"`
	Length time.Duration `cbor:"3,keyasint" json:"length"`
}

// Task is what is known of one.
type Task struct {
	Most    int      `cbor:"1,keyasint" json:"most"`
	Held    []Grant  `cbor:"2,keyasint" json:"held"`
	Waiting []Waiter `cbor:"3,keyasint" json:"waiting"`
}

// Book is what the voters agree on. The same commands in the same order make the same book.
type Book struct {
	Tasks map[string]*Task `cbor:"1,keyasint" json:"tasks"`
	Last  uint64           `cbor:"2,keyasint" json:"last_number"`
	// Seats are the voters' names by seat. A voter that has lost its memory comes back under a new seat alone: what
	// the old one has promised it can't remember, so the old one never votes again.
	Seats    map[uint64]string `cbor:"3,keyasint" json:"seats"`
	LastSeat uint64            `cbor:"4,keyasint" json:"last_seat"`
}

// NewBook returns a book in which nothing is held, with voters in seats from 1.
func NewBook(voters ...string) *Book {
	b := &Book{Tasks: make(map[string]*Task), Seats: make(map[uint64]string)}
	for _, name := range voters {
		b.LastSeat++
		b.Seats[b.LastSeat] = name
	}
	return b
}

// Clone copies a book.
func (b *Book) Clone() *Book {
	c := &Book{Tasks: make(map[string]*Task, len(b.Tasks)), Last: b.Last, Seats: maps.Clone(b.Seats), LastSeat: b.LastSeat}
	for name, t := range b.Tasks {
		c.Tasks[name] = &Task{Most: t.Most, Held: slices.Clone(t.Held), Waiting: slices.Clone(t.Waiting)}
	}
	return c
}

// Seat is that of a voter, 0 for none.
func (b *Book) Seat(name string) uint64 {
	for seat, n := range b.Seats {
		if n == name {
			return seat
		}
	}
	return 0
}

// Errors of commands.
var (
	ErrTaken   = errors.New("lease: the task is taken")
	ErrUnknown = errors.New("lease: there is no such grant")
	ErrFull    = errors.New("lease: too many tasks, holders or waiters")
	ErrBad     = errors.New("lease: bad command")
	ErrSeats   = errors.New("lease: the voters can't be changed so")
)

// Result is what a command came to. Given are grants that it made, of the task itself or of one who
// had waited; Mine is that of a Take's own sender, new or not.
type Result struct {
	Err   error
	Mine  Grant // Number 0 for none: it waits
	Fresh bool  // Mine was made by this very command
	Given []Grant
	Over  []uint64 // numbers that ended
}

// Find returns a grant by its number.
func (b *Book) Find(task string, number uint64) (Grant, bool) {
	if t := b.Tasks[task]; t != nil && number > 0 {
		if i := t.find(number); i >= 0 {
			return t.Held[i], true
		}
	}
	return Grant{}, false
}

func (t *Task) find(number uint64) int {
	return slices.IndexFunc(t.Held, func(g Grant) bool { return g.Number == number })
}

// Check tells what is wrong with a command from outside.
func (t Terms) Check(c *Command) error {
	named := func(s string) bool { return s != "" && len(s) <= MostName }
	ok := named(c.Task) || c.Kind == Enrol || c.Kind == Dismiss
	switch c.Kind {
	case Take:
		ok = ok && named(c.Holder) && c.Nonce > 0 && c.Length >= t.Least && c.Length <= t.Most
	case Release:
		ok = ok && (c.Number > 0 || named(c.Holder) && c.Nonce > 0)
	case Transfer, Hand:
		ok = ok && c.Number > 0 && named(c.To)
	case Enrol, Dismiss:
		ok = named(c.To)
	case Revoke:
		ok = ok && c.Number > 0
	case Limit:
		ok = ok && c.Most >= 1 && c.Most <= mostHeld
	default:
		ok = false // Expire comes from the leader alone
	}
	if !ok {
		return ErrBad
	}
	return nil
}

// Apply carries out the next command.
func (b *Book) Apply(c *Command) Result {
	if c.Kind == Enrol || c.Kind == Dismiss {
		return Result{Err: b.seat(c)}
	}
	t := b.Tasks[c.Task]
	if t == nil {
		if c.Kind != Take && c.Kind != Limit {
			return Result{Err: ErrUnknown}
		}
		if len(b.Tasks) >= mostTasks {
			return Result{Err: ErrFull}
		}
		t = &Task{Most: 1}
		b.Tasks[c.Task] = t
	}
	switch c.Kind {
	case Take:
		return b.take(t, c)
	case Release, Expire:
		return b.end(t, c)
	case Transfer:
		return b.transfer(t, c)
	case Revoke:
		i := t.find(c.Number)
		if i < 0 {
			return Result{Err: ErrUnknown}
		}
		t.Held[i].Revoked = true
		return Result{}
	case Hand:
		i := t.find(c.Number)
		w := slices.IndexFunc(t.Waiting, func(w Waiter) bool { return w.Holder == c.To })
		if i < 0 || w < 0 {
			return Result{Err: ErrUnknown}
		}
		t.Held[i].Revoked = true
		first := t.Waiting[w]
		t.Waiting = slices.Insert(slices.Delete(t.Waiting, w, w+1), 0, first)
		return Result{}
	case Limit:
		t.Most = c.Most
		return b.serve(t, Result{})
	}
	return Result{Err: ErrBad}
}

// CheckSeat tells whether the voters can be changed so, and the seat that it is about.
func (b *Book) CheckSeat(c *Command) (seat uint64, err error) {
	seat = b.Seat(c.To)
	switch {
	case c.Kind == Enrol && (seat != 0 || len(b.Seats) >= mostSeats), c.Kind == Dismiss && (seat == 0 || len(b.Seats) == 1):
		return 0, ErrSeats
	case c.Kind == Enrol:
		seat = b.LastSeat + 1
	}
	return seat, nil
}

func (b *Book) seat(c *Command) error {
	seat, err := b.CheckSeat(c)
	switch {
	case err != nil:
		return err
	case seat != c.Seat: // another change came before it
		return ErrSeats
	case c.Kind == Enrol:
		b.LastSeat = seat
		b.Seats[seat] = c.To
	default:
		delete(b.Seats, seat)
	}
	return nil
}

func (b *Book) take(t *Task, c *Command) Result {
	for _, g := range t.Held {
		if g.Holder == c.Holder && g.Nonce == c.Nonce { // it has been granted before
			return Result{Mine: g}
		}
	}
	for _, w := range t.Waiting {
		if w.Holder == c.Holder && w.Nonce == c.Nonce {
			return Result{}
		}
	}
	if len(t.Held) < t.Most && len(t.Waiting) == 0 {
		g := b.grant(t, c.Holder, c.Nonce, c.Length)
		return Result{Mine: g, Fresh: true, Given: []Grant{g}}
	}
	if !c.Wait {
		return Result{Err: ErrTaken}
	}
	if len(t.Waiting) >= mostWaiting {
		return Result{Err: ErrFull}
	}
	t.Waiting = append(t.Waiting, Waiter{c.Holder, c.Nonce, c.Length})
	return Result{}
}

func (b *Book) grant(t *Task, holder string, nonce uint64, length time.Duration) Grant {
	b.Last++
	g := Grant{Holder: holder, Nonce: nonce, Number: b.Last, Length: length}
	t.Held = append(t.Held, g)
	return g
}

// end takes a grant back, or a waiter out of the queue.
func (b *Book) end(t *Task, c *Command) Result {
	if c.Number == 0 {
		before := len(t.Waiting)
		t.Waiting = slices.DeleteFunc(t.Waiting, func(w Waiter) bool { return w.Holder == c.Holder && w.Nonce == c.Nonce })
		if len(t.Waiting) == before {
			return Result{Err: ErrUnknown}
		}
		return b.serve(t, Result{})
	}
	i := t.find(c.Number)
	if i < 0 {
		return Result{Err: ErrUnknown}
	}
	t.Held = slices.Delete(t.Held, i, i+1)
	return b.serve(t, Result{Over: []uint64{c.Number}})
}

// transfer ends a grant for the good of one who waits, before all others.
func (b *Book) transfer(t *Task, c *Command) Result {
	i := t.find(c.Number)
	w := slices.IndexFunc(t.Waiting, func(w Waiter) bool { return w.Holder == c.To })
	if i < 0 || w < 0 {
		return Result{Err: ErrUnknown}
	}
	taker := t.Waiting[w]
	t.Held, t.Waiting = slices.Delete(t.Held, i, i+1), slices.Delete(t.Waiting, w, w+1)
	r := Result{Over: []uint64{c.Number}}
	if len(t.Held) < t.Most {
		r.Given = append(r.Given, b.grant(t, taker.Holder, taker.Nonce, taker.Length))
	} else { // the limit was lowered meanwhile
		t.Waiting = slices.Insert(t.Waiting, 0, taker)
	}
	return b.serve(t, r)
}

// serve grants to those who wait, in turn, as far as the limit lets it.
func (b *Book) serve(t *Task, r Result) Result {
	for len(t.Waiting) > 0 && len(t.Held) < t.Most {
		w := t.Waiting[0]
		t.Waiting = slices.Delete(t.Waiting, 0, 1)
		r.Given = append(r.Given, b.grant(t, w.Holder, w.Nonce, w.Length))
	}
	return r
}
