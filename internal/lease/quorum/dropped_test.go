package quorum

import (
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/lease"
)

// singleVoter is the only voter of a fleet. Its saves are completed at once, unless its disk is stalled.
type singleVoter struct {
	t        *testing.T
	replica  *Replica
	now      time.Duration
	stalled  bool
	isSaving bool
	lastID   uint64              // of a request
	outcomes map[uint64]Response // by request ID
}

func newSingleVoter(t *testing.T) *singleVoter {
	t.Helper()
	initial, err := InitialState("1")
	if err != nil {
		t.Fatal(err)
	}
	replica, err := New(1, 1, initial, lease.DefaultParameters, ManualElections)
	if err != nil {
		t.Fatal(err)
	}
	v := &singleVoter{t: t, replica: replica, outcomes: make(map[uint64]Response)}
	v.carryOut(replica.Campaign(v.now))
	return v
}

func (v *singleVoter) handle(event Event) { v.carryOut(v.replica.Handle(v.now, event)) }

func (v *singleVoter) carryOut(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Save:
			v.isSaving = true
		case Response:
			v.outcomes[a.RequestID] = a
		case Halted:
			v.t.Fatal(a.Err)
		}
	}
	if v.isSaving && !v.stalled {
		v.isSaving = false
		v.handle(SaveCompleted{})
	}
}

// tickUntil lets the time pass.
func (v *singleVoter) tickUntil(end time.Duration) {
	for v.now < end {
		v.now += TickInterval
		v.handle(Tick{})
	}
}

// requestUntilDropped sends requests with copies of a command until the proposal of one is dropped.
func (v *singleVoter) requestUntilDropped(c lease.Command) {
	for {
		id := v.lastID + 1
		v.lastID = id
		v.handle(RequestReceived{RequestID: id, Command: c})
		if _, answered := v.outcomes[id]; answered {
			return
		}
	}
}

// TestDroppedExpireIsProposedAgain checks that a lease ends although the proposal that ends it was dropped, because too
// much was waiting for a slow disk at that moment.
func TestDroppedExpireIsProposedAgain(t *testing.T) {
	v := newSingleVoter(t)
	acquire := lease.Command{Kind: lease.Acquire, Task: "task", Holder: "dead", Nonce: 1, Duration: time.Second}
	v.lastID = 1
	v.handle(RequestReceived{RequestID: v.lastID, Command: acquire})
	if v.outcomes[1].Outcome != lease.Granted {
		t.Fatalf("the first holder got %+v", v.outcomes[1])
	}
	v.stalled = true
	name := strings.Repeat("n", lease.MaxNameBytes)
	v.requestUntilDropped(lease.Command{Kind: lease.Acquire, Task: name, Holder: name, Nonce: 2, Duration: time.Minute,
		Wait: true})
	v.requestUntilDropped(lease.Command{Kind: lease.Release, Task: "t", Token: 1}) // smaller than an Expire
	v.tickUntil(3 * time.Second)                                                   // the first lease expires
	v.stalled = false
	v.carryOut(nil)
	v.tickUntil(6 * time.Second)
	if task := v.replica.StateMachine().Tasks["task"]; len(task.Grants) > 0 {
		t.Errorf("the lease of the dead holder has not ended: %+v", task.Grants)
	}
}
