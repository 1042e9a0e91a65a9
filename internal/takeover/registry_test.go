package takeover

import (
	"fmt"
	"testing"
	"time"
)

var (
	ownerA = Owner{"a", 1}
	ownerB = Owner{"b", 1}
	holder = Owner{"h", 1}
)

func write(id string) Write {
	return Write{ID: id, Digest: 1, DedupWindow: window, Payload: make([]byte, 10)}
}

// newTestRegistry returns a registry that is past its recovery period at time 0.
func newTestRegistry() *Registry { return NewRegistry(DefaultParameters, holder, -time.Hour) }

// only returns the response that must be the only action.
func only(t *testing.T, actions []Action) ClaimResponse {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("%+v: want one response", actions)
	}
	r, ok := actions[0].(ClaimResponse)
	if !ok {
		t.Fatalf("%+v: want a response", actions)
	}
	return r
}

// claimAt claims the write k for an owner, and returns the response.
func claimAt(t *testing.T, r *Registry, now time.Duration, o Owner, requestID uint64) ClaimResponse {
	t.Helper()
	return only(t, r.Handle(now, ClaimRequest{RequestID: requestID, Write: write("k"), Owner: o}, nil))
}

// TestClaimsOfOneWrite checks the responses to two owners that claim the same write, and to another write with the
// same key.
func TestClaimsOfOneWrite(t *testing.T) {
	r := newTestRegistry()
	got := claimAt(t, r, 0, ownerA, 1)
	if want := (ClaimResponse{RequestID: 1, Decision: Granted, Epoch: 1}); got != want {
		t.Errorf("new: %+v, want %+v", got, want)
	}
	list := r.List(50*ms, 10)
	if len(list) != 1 || list[0].State != StateInFlight || list[0].Owner != "a" || list[0].Age != 50*ms {
		t.Errorf("listed as %+v", list)
	}
	if got := claimAt(t, r, ms, ownerB, 2); got.Decision != InProgress {
		t.Errorf("in flight at another owner: %+v", got)
	}
	other := ClaimRequest{RequestID: 3, Write: Write{ID: "k", Digest: 2}, Owner: ownerB}
	if got := only(t, r.Handle(2*ms, other, nil)); got.Decision != Conflict {
		t.Errorf("another write with the key: %+v", got)
	}
}

// TestFormerOwnerGetsNoPermission checks that the write of a lost owner is granted to the waiting owner with a
// higher epoch (guarantee 3). After that, the former owner gets no permission, and only its completion with the
// outcome Served is accepted (guarantees 2 and 3).
func TestFormerOwnerGetsNoPermission(t *testing.T) {
	r := newTestRegistry()
	claimAt(t, r, 0, ownerA, 1)
	claimAt(t, r, ms, ownerB, 2)
	got := only(t, r.Handle(100*ms, OwnerLost{ownerA}, nil))
	want := ClaimResponse{RequestID: 2, Decision: Granted, Epoch: 2, Age: 100 * ms, PreviousOwner: ownerA}
	if got != want {
		t.Errorf("after the owner's loss: %+v, want %+v", got, want)
	}
	former := ClaimRequest{RequestID: 4, Write: write("k"), Owner: ownerA, Epoch: 1}
	if got := only(t, r.Handle(110*ms, former, nil)); got.Decision == Granted {
		t.Errorf("a former owner has permission: %+v", got)
	}
	unknown := Completion{ID: "k", Owner: ownerA, Epoch: 1, Outcome: Unknown}
	if out := r.Handle(120*ms, unknown, nil); len(out) != 0 || r.entries["k"].outcome != InFlight {
		t.Errorf("a former owner has completed the write: %+v", out)
	}
	r.Handle(200*ms, Completion{ID: "k", Owner: ownerA, Epoch: 1, Outcome: Served, Receipt: "r"}, nil)
	for _, o := range []Owner{ownerA, ownerB} {
		if got := claimAt(t, r, 300*ms, o, 5); got.Decision != AlreadyServed || got.Receipt != "r" {
			t.Errorf("served: %+v", got)
		}
	}
	list := r.List(time.Second, 10)
	if len(list) != 1 || list[0].State != StateServed || list[0].Receipt != "r" || list[0].OwnerCount != 2 {
		t.Errorf("listed as %+v", list)
	}
	r.Handle(DefaultParameters.OutcomeRetention+201*ms, Tick{}, nil)
	if r.Len() != 0 || r.payloadBytes != 0 {
		t.Errorf("%d writes of %d bytes are kept", r.Len(), r.payloadBytes)
	}
}

// TestHoldersTakeOverInTurn checks when each holder takes over an orphaned write, which depends on the holder's
// rank.
func TestHoldersTakeOverInTurn(t *testing.T) {
	for rank := range 3 {
		r := newTestRegistry()
		r.Handle(0, ClaimRequest{RequestID: 1, Write: write("k"), Owner: ownerA, Rank: rank}, nil)
		r.Handle(100*ms, OwnerLost{ownerA}, nil)
		takenOverAt := time.Duration(-1)
		for now := 100 * ms; now < time.Second && takenOverAt < 0; now += 10 * ms {
			for _, a := range r.Handle(now, Tick{}, nil) {
				takeOver, ok := a.(TakeOver)
				if !ok {
					continue
				}
				takenOverAt = now
				if takeOver.Epoch != 2 || takeOver.Age != now || takeOver.PreviousOwner != ownerA {
					t.Errorf("%+v at %v", takeOver, now)
				}
			}
		}
		if want := 100*ms + time.Duration(rank)*DefaultParameters.TakeoverInterval; takenOverAt != want {
			t.Errorf("rank %d takes it over at %v, want %v", rank, takenOverAt, want)
		}
	}
}

// TestNoTakeoverAfterWindow checks that a write is not taken over so late that nodes may no longer drop duplicates
// of it.
func TestNoTakeoverAfterWindow(t *testing.T) {
	r := newTestRegistry()
	r.Handle(0, ClaimRequest{RequestID: 1, Write: write("k"), Owner: ownerA}, nil)
	r.Handle(1400*ms, OwnerLost{ownerA}, nil)
	if out := r.Handle(1410*ms, Tick{}, nil); len(out) != 0 || r.entries["k"].outcome != Unknown {
		t.Errorf("after its window: %+v", out)
	}
	again := ClaimRequest{RequestID: 2, Write: write("k"), Owner: ownerB}
	if got := only(t, r.Handle(2*time.Second, again, nil)); got.Decision != WindowExpired {
		t.Errorf("claimed after its window: %+v", got)
	}
}

// TestUncertaintyLasts checks that a registry does not forget that a write may have run. In its recovery period it
// can't tell whether a retried write has run before, so the owner records the outcome as unknown. Claims after the
// recovery period must get WindowExpired, until the write is known as served.
func TestUncertaintyLasts(t *testing.T) {
	r := NewRegistry(DefaultParameters, holder, 0)
	later := 2 * DefaultParameters.RecoveryPeriod
	retry := ClaimRequest{RequestID: 1, Write: write("k"), Owner: ownerA, Retry: true}
	if got := only(t, r.Handle(ms, retry, nil)); got.Decision != Granted || !got.MayHaveForgotten {
		t.Errorf("a retry in the recovery period: %+v", got)
	}
	r.Handle(2*ms, Completion{ID: "k", Owner: ownerA, Epoch: 1, Outcome: Unknown}, nil)
	retry = ClaimRequest{RequestID: 2, Write: write("k"), Owner: ownerB, Retry: true}
	if got := only(t, r.Handle(later, retry, nil)); got.Decision != WindowExpired {
		t.Errorf("claimed again after the recovery period: %+v", got)
	}
	served := Completion{ID: "k", Owner: Owner{"c", 1}, Epoch: 1, Outcome: Served, Receipt: "r"}
	r.Handle(later, served, nil)
	retry.RequestID = 3
	if got := only(t, r.Handle(later, retry, nil)); got.Decision != AlreadyServed {
		t.Errorf("once its owner has completed it: %+v", got)
	}
}

// TestRegistryIsBounded checks that a registry declines claims beyond its limits of payload bytes and waiters
// (guarantee 5), and that all writes are removed in the end.
func TestRegistryIsBounded(t *testing.T) {
	parameters := DefaultParameters
	parameters.MaxWrites, parameters.MaxBytes, parameters.MaxWaiters = 3, 25, 2
	r := NewRegistry(parameters, holder, -time.Hour)
	for i := range 4 {
		claim := ClaimRequest{RequestID: 1, Write: write(fmt.Sprint(i)), Owner: ownerA}
		got := only(t, r.Handle(0, claim, nil))
		if (got.Decision == Declined) != (i >= 2) { // MaxBytes is reached first
			t.Errorf("write %d: %+v", i, got)
		}
	}
	for i := range 3 {
		claim := ClaimRequest{RequestID: 1, Write: write("0"), Owner: Owner{fmt.Sprint("o", i), 1}}
		got := only(t, r.Handle(0, claim, nil))
		if (got.Decision == Declined) != (i >= 2) {
			t.Errorf("waiter %d: %+v", i, got)
		}
	}
	r.Handle(parameters.MaxInFlightAge, Tick{}, nil)
	r.Handle(parameters.MaxInFlightAge+parameters.OutcomeRetention, Tick{}, nil)
	if r.Len() != 0 {
		t.Errorf("%d writes are not removed", r.Len())
	}
}
