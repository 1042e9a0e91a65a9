package lease

import (
	"maps"
	"slices"
	"time"
)

// Limits of a state machine's size.
const (
	maxTasks          = 4096
	maxWaitersPerTask = 2048
	maxHoldersPerTask = 1024
)

// Grant is a lease that a holder has on a task.
type Grant struct {
	Holder   string        `cbor:"1,keyasint" json:"holder"`
	Nonce    uint64        `cbor:"2,keyasint" json:"-"`      // of the Acquire that created it
	Token    uint64        `cbor:"3,keyasint" json:"number"` // fencing token
	Duration time.Duration `cbor:"4,keyasint" json:"length"`
	Revoked  bool          `cbor:"5,keyasint,omitempty" json:"revoked,omitempty"` // the grant can't be renewed any more
}

// Waiter is a process that waits in a task's queue.
type Waiter struct {
	Holder   string        `cbor:"1,keyasint" json:"holder"`
	Nonce    uint64        `cbor:"2,keyasint" json:"-"`
	Duration time.Duration `cbor:"3,keyasint" json:"length"` // of the lease that it requests
}

// Task is the state of one task that leases are granted for.
type Task struct {
	MaxHolders int      `cbor:"1,keyasint" json:"most"`
	Grants     []Grant  `cbor:"2,keyasint" json:"held"`
	Waiters    []Waiter `cbor:"3,keyasint" json:"waiting"` // in queue order
}

// StateMachine is the replicated lease table. The same commands in the same order make the same table on every voter.
type StateMachine struct {
	Tasks     map[string]*Task `cbor:"1,keyasint" json:"tasks"`
	LastToken uint64           `cbor:"2,keyasint" json:"last_number"`
	// Voters are the voters' names by ID. A voter that has lost its file may rejoin only under a new ID: it does not
	// know what it promised under the old ID, which therefore never votes again.
	Voters      map[uint64]string `cbor:"3,keyasint" json:"seats"`
	LastVoterID uint64            `cbor:"4,keyasint" json:"last_seat"`
}

// NewStateMachine returns a table without tasks, with the given voters under IDs from 1.
func NewStateMachine(voters ...string) *StateMachine {
	m := &StateMachine{Tasks: make(map[string]*Task), Voters: make(map[uint64]string)}
	for _, name := range voters {
		m.LastVoterID++
		m.Voters[m.LastVoterID] = name
	}
	return m
}

// Clone returns a deep copy.
func (m *StateMachine) Clone() *StateMachine {
	c := &StateMachine{
		Tasks:       make(map[string]*Task, len(m.Tasks)),
		LastToken:   m.LastToken,
		Voters:      maps.Clone(m.Voters),
		LastVoterID: m.LastVoterID,
	}
	for name, t := range m.Tasks {
		c.Tasks[name] = &Task{
			MaxHolders: t.MaxHolders,
			Grants:     slices.Clone(t.Grants),
			Waiters:    slices.Clone(t.Waiters),
		}
	}
	return c
}

// FindGrant returns a task's grant with the given fencing token, and whether there is one.
func (m *StateMachine) FindGrant(task string, token uint64) (Grant, bool) {
	if t := m.Tasks[task]; t != nil && token > 0 {
		if i := t.grantIndex(token); i >= 0 {
			return t.Grants[i], true
		}
	}
	return Grant{}, false
}

// Result is the effect of a command.
type Result struct {
	Err error
	// Grant is the grant of an Acquire's sender, whether new or not. Its Token is 0 if the sender waits.
	Grant       Grant
	Created     bool     // Grant was created by this command
	NewGrants   []Grant  // created by this command, for its sender or for waiters
	EndedTokens []uint64 // of the grants that this command ended
}

// Apply applies the next command of the log. A command that is rejected sets Result.Err, and grants and ends nothing.
func (m *StateMachine) Apply(c *Command) Result {
	if c.Kind == AddVoter || c.Kind == RemoveVoter {
		return Result{Err: m.changeVoters(c)}
	}
	t, err := m.taskFor(c)
	if err != nil {
		return Result{Err: err}
	}
	switch c.Kind {
	case Acquire:
		return m.acquire(t, c)
	case Release, Expire:
		return m.release(t, c)
	case Transfer:
		return m.transfer(t, c)
	case Revoke:
		return t.revoke(c)
	case HandOver:
		return t.handOver(c)
	case SetLimit:
		t.MaxHolders = c.MaxHolders
		return m.grantWaiters(t, Result{})
	}
	return Result{Err: ErrInvalidCommand}
}

// taskFor returns the task that a command refers to. Acquire and SetLimit create it if it does not exist.
func (m *StateMachine) taskFor(c *Command) (*Task, error) {
	t := m.Tasks[c.Task]
	switch {
	case t != nil:
		return t, nil
	case c.Kind != Acquire && c.Kind != SetLimit:
		return nil, ErrUnknownGrant
	case len(m.Tasks) >= maxTasks:
		return nil, ErrLimitExceeded
	}
	t = &Task{MaxHolders: 1}
	m.Tasks[c.Task] = t
	return t, nil
}

// acquire grants the task or queues the sender. A duplicate of an Acquire gets the grant of the first one, or keeps its
// place in the queue.
func (m *StateMachine) acquire(t *Task, c *Command) Result {
	for _, g := range t.Grants {
		if g.Holder == c.Holder && g.Nonce == c.Nonce {
			return Result{Grant: g}
		}
	}
	if slices.ContainsFunc(t.Waiters, c.isFrom) {
		return Result{}
	}
	if len(t.Grants) < t.MaxHolders && len(t.Waiters) == 0 {
		g := m.grant(t, Waiter{c.Holder, c.Nonce, c.Duration})
		return Result{Grant: g, Created: true, NewGrants: []Grant{g}}
	}
	if !c.Wait {
		return Result{Err: ErrHeld}
	}
	if len(t.Waiters) >= maxWaitersPerTask {
		return Result{Err: ErrLimitExceeded}
	}
	t.Waiters = append(t.Waiters, Waiter{c.Holder, c.Nonce, c.Duration})
	return Result{}
}

// isFrom reports whether the command belongs to the same acquisition as a waiter.
func (c *Command) isFrom(w Waiter) bool { return w.Holder == c.Holder && w.Nonce == c.Nonce }

// grant adds a grant with the next fencing token.
func (m *StateMachine) grant(t *Task, w Waiter) Grant {
	m.LastToken++
	g := Grant{Holder: w.Holder, Nonce: w.Nonce, Token: m.LastToken, Duration: w.Duration}
	t.Grants = append(t.Grants, g)
	return g
}

// release ends a grant, or removes a waiter from the queue.
func (m *StateMachine) release(t *Task, c *Command) Result {
	if c.Token == 0 {
		before := len(t.Waiters)
		t.Waiters = slices.DeleteFunc(t.Waiters, c.isFrom)
		if len(t.Waiters) == before {
			return Result{Err: ErrUnknownGrant}
		}
		return m.grantWaiters(t, Result{})
	}
	i := t.grantIndex(c.Token)
	if i < 0 {
		return Result{Err: ErrUnknownGrant}
	}
	t.Grants = slices.Delete(t.Grants, i, i+1)
	return m.grantWaiters(t, Result{EndedTokens: []uint64{c.Token}})
}

// transfer ends a grant in favor of a waiter, which goes ahead of all others.
func (m *StateMachine) transfer(t *Task, c *Command) Result {
	grant, waiter := t.grantIndex(c.Token), t.waiterIndex(c.To)
	if grant < 0 || waiter < 0 {
		return Result{Err: ErrUnknownGrant}
	}
	next := t.Waiters[waiter]
	t.Grants = slices.Delete(t.Grants, grant, grant+1)
	t.Waiters = slices.Delete(t.Waiters, waiter, waiter+1)
	r := Result{EndedTokens: []uint64{c.Token}}
	if len(t.Grants) < t.MaxHolders {
		r.NewGrants = append(r.NewGrants, m.grant(t, next))
	} else { // the limit was lowered below the number of grants
		t.Waiters = slices.Insert(t.Waiters, 0, next)
	}
	return m.grantWaiters(t, r)
}

// grantWaiters grants the task to waiters in queue order while the limit allows it, and adds the grants to the result.
func (m *StateMachine) grantWaiters(t *Task, r Result) Result {
	for len(t.Waiters) > 0 && len(t.Grants) < t.MaxHolders {
		next := t.Waiters[0]
		t.Waiters = slices.Delete(t.Waiters, 0, 1)
		r.NewGrants = append(r.NewGrants, m.grant(t, next))
	}
	return r
}

// revoke marks a grant so that it can't be renewed any more.
func (t *Task) revoke(c *Command) Result {
	i := t.grantIndex(c.Token)
	if i < 0 {
		return Result{Err: ErrUnknownGrant}
	}
	t.Grants[i].Revoked = true
	return Result{}
}

// handOver revokes a grant and moves a waiter to the head of the queue.
func (t *Task) handOver(c *Command) Result {
	grant, waiter := t.grantIndex(c.Token), t.waiterIndex(c.To)
	if grant < 0 || waiter < 0 {
		return Result{Err: ErrUnknownGrant}
	}
	t.Grants[grant].Revoked = true
	next := t.Waiters[waiter]
	t.Waiters = slices.Insert(slices.Delete(t.Waiters, waiter, waiter+1), 0, next)
	return Result{}
}

// grantIndex returns the index of a grant, or -1.
func (t *Task) grantIndex(token uint64) int {
	return slices.IndexFunc(t.Grants, func(g Grant) bool { return g.Token == token })
}

// waiterIndex returns the index of a holder's first place in the queue, or -1.
func (t *Task) waiterIndex(holder string) int {
	return slices.IndexFunc(t.Waiters, func(w Waiter) bool { return w.Holder == holder })
}
