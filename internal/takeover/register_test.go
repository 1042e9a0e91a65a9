package takeover

import (
	"fmt"
	"testing"
	"time"
)

func work(id string) Write {
	return Write{ID: id, Digest: 1, DedupWindow: window, Payload: make([]byte, 10)}
}

// only returns the one answer among actions.
func only(t *testing.T, actions []Action) ClaimResponse {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("%+v: want one answer", actions)
	}
	a, ok := actions[0].(ClaimResponse)
	if !ok {
		t.Fatalf("%+v: want an answer", actions)
	}
	return a
}

var a, b = Owner{"a", 1}, Owner{"b", 1}

// TestRegister walks a work through its life.
func TestRegister(t *testing.T) {
	r := NewRegistry(DefaultParameters, Owner{"h", 1}, -time.Hour)
	ask := func(now time.Duration, o Owner, tag uint64) ClaimResponse {
		return only(t, r.Handle(now, ClaimRequest{RequestID: tag, Write: work("k"), Owner: o}, nil))
	}
	if got := ask(0, a, 1); got.Decision != Granted || got.Age != 0 || got.MayHaveForgotten || got.Epoch != 1 {
		t.Errorf("new: %+v", got)
	}
	if list := r.List(50*ms, 10); len(list) != 1 || list[0].State != "open" || list[0].Owner != "a" || list[0].Age != 50*ms {
		t.Errorf("listed as %+v", list)
	}
	if got := ask(ms, b, 2); got.Decision != InProgress {
		t.Errorf("in another's hand: %+v", got)
	}
	if got := only(t, r.Handle(2*ms, ClaimRequest{RequestID: 3, Write: Write{ID: "k", Digest: 2}, Owner: b}, nil)); got.Decision != Conflict {
		t.Errorf("another write under the key: %+v", got)
	}
	if got := only(t, r.Handle(100*ms, OwnerLost{a}, nil)); got.RequestID != 2 || got.Decision != Granted || got.Epoch != 2 || got.Age != 100*ms || got.PreviousOwner != a {
		t.Errorf("the owner is lost: %+v", got)
	}
	if got := only(t, r.Handle(110*ms, ClaimRequest{RequestID: 4, Write: work("k"), Owner: a, Epoch: 1}, nil)); got.Decision == Granted {
		t.Errorf("a former owner has leave: %+v", got)
	}
	if out := r.Handle(120*ms, Completion{ID: "k", Owner: a, Epoch: 1, Outcome: Unknown}, nil); len(out) != 0 || r.entries["k"].outcome != InFlight {
		t.Errorf("a former owner gives it up: %+v", out)
	}
	r.Handle(200*ms, Completion{ID: "k", Owner: a, Epoch: 1, Outcome: Served, Receipt: "r"}, nil) // but what it was served is so
	for _, o := range []Owner{a, b} {
		if got := ask(300*ms, o, 5); got.Decision != AlreadyServed || got.Receipt != "r" {
			t.Errorf("served: %+v", got)
		}
	}
	if list := r.List(time.Second, 10); len(list) != 1 || list[0].State != "served" || list[0].Receipt != "r" || list[0].OwnerCount != 2 {
		t.Errorf("listed as %+v", list)
	}
	r.Handle(DefaultParameters.OutcomeRetention+201*ms, Tick{}, nil)
	if r.Len() != 0 || r.payloadBytes != 0 {
		t.Errorf("%d works of %d bytes are kept", r.Len(), r.payloadBytes)
	}
}

// TestTurnsAndWindows has holders take a lost work over in their order, and none after its window.
func TestTurnsAndWindows(t *testing.T) {
	for rank := range 3 {
		r := NewRegistry(DefaultParameters, Owner{"h", 1}, -time.Hour)
		r.Handle(0, ClaimRequest{RequestID: 1, Write: work("k"), Owner: a, Rank: rank}, nil)
		r.Handle(100*ms, OwnerLost{a}, nil)
		taken := time.Duration(-1)
		for now := 100 * ms; now < time.Second && taken < 0; now += 10 * ms {
			for _, x := range r.Handle(now, Tick{}, nil) {
				if take, ok := x.(TakeOver); ok {
					taken = now
					if take.Epoch != 2 || take.Age != now || take.PreviousOwner != a {
						t.Errorf("%+v at %v", take, now)
					}
				}
			}
		}
		if want := 100*ms + time.Duration(rank)*DefaultParameters.TakeoverInterval; taken != want {
			t.Errorf("rank %d takes it at %v, want %v", rank, taken, want)
		}
	}
	r := NewRegistry(DefaultParameters, Owner{"h", 1}, -time.Hour)
	r.Handle(0, ClaimRequest{RequestID: 1, Write: work("k"), Owner: a}, nil)
	r.Handle(1400*ms, OwnerLost{a}, nil)
	if out := r.Handle(1410*ms, Tick{}, nil); len(out) != 0 || r.entries["k"].outcome != Unknown {
		t.Errorf("after its window: %+v", out)
	}
	if got := only(t, r.Handle(2*time.Second, ClaimRequest{RequestID: 2, Write: work("k"), Owner: b}, nil)); got.Decision != WindowExpired {
		t.Errorf("asked for then: %+v", got)
	}
}

// TestDoubtStays has a retry fail that a young register can't judge: once the register is old, and knows no more than
// before, who asks again is told the same.
func TestDoubtStays(t *testing.T) {
	r := NewRegistry(DefaultParameters, Owner{"h", 1}, 0)
	if got := only(t, r.Handle(ms, ClaimRequest{RequestID: 1, Write: work("k"), Owner: a, Retry: true}, nil)); got.Decision != Granted || !got.MayHaveForgotten {
		t.Errorf("a retry at a young register: %+v", got)
	}
	r.Handle(2*ms, Completion{ID: "k", Owner: a, Epoch: 1, Outcome: Unknown}, nil)
	if got := only(t, r.Handle(2*DefaultParameters.RecoveryPeriod, ClaimRequest{RequestID: 2, Write: work("k"), Owner: b, Retry: true}, nil)); got.Decision != WindowExpired {
		t.Errorf("asked again at an old one: %+v", got)
	}
	r.Handle(2*DefaultParameters.RecoveryPeriod, Completion{ID: "k", Owner: Owner{"c", 1}, Epoch: 1, Outcome: Served, Receipt: "r"}, nil)
	if got := only(t, r.Handle(2*DefaultParameters.RecoveryPeriod, ClaimRequest{RequestID: 3, Write: work("k"), Owner: b, Retry: true}, nil)); got.Decision != AlreadyServed {
		t.Errorf("once its owner has told: %+v", got)
	}
}

// TestBounds guards guarantee 5.
func TestBounds(t *testing.T) {
	terms := DefaultParameters
	terms.MaxWrites, terms.MaxBytes, terms.MaxWaiters = 3, 25, 2
	r := NewRegistry(terms, Owner{"h", 1}, -time.Hour)
	for i := range 4 {
		got := only(t, r.Handle(0, ClaimRequest{RequestID: 1, Write: work(fmt.Sprint(i)), Owner: a}, nil))
		if (got.Decision == Declined) != (i >= 2) { // of bytes
			t.Errorf("work %d: %+v", i, got)
		}
	}
	for i := range 3 {
		got := only(t, r.Handle(0, ClaimRequest{RequestID: 1, Write: work("0"), Owner: Owner{fmt.Sprint("o", i), 1}}, nil))
		if (got.Decision == Declined) != (i >= 2) {
			t.Errorf("the %dth that waits: %+v", i, got)
		}
	}
	r.Handle(terms.MaxInFlightAge, Tick{}, nil)
	r.Handle(terms.MaxInFlightAge+terms.OutcomeRetention, Tick{}, nil)
	if r.Len() != 0 {
		t.Errorf("%d are never forgotten", r.Len())
	}
}

// TestErrand has an owner decide by what holders say.
func TestErrand(t *testing.T) {
	leave, known := ClaimResponse{Decision: Granted, Epoch: 1}, ClaimResponse{Decision: AlreadyServed, Receipt: "r"}
	young := ClaimResponse{Decision: Granted, Epoch: 1, MayHaveForgotten: true}
	old := ClaimResponse{Decision: Granted, Epoch: 2, Age: 500 * ms, PreviousOwner: Owner{"x", 1}}
	missed, gone := ClaimResponse{}, ClaimResponse{Decision: 99}
	for _, c := range []struct {
		name   string
		kind   ClaimKind
		strict bool
		says   []ClaimResponse // of own, y, x
		want   Verdict
	}{
		{"all give leave", FirstAttempt, true, []ClaimResponse{leave, leave, leave}, Proceed},
		{"one is missed", FirstAttempt, true, []ClaimResponse{leave, missed, leave}, Reject},
		{"one is missed, plainly", FirstAttempt, false, []ClaimResponse{leave, missed, leave}, ProceedUnreplicated},
		{"one is gone", FirstAttempt, true, []ClaimResponse{leave, gone, leave}, Proceed},
		{"both others are gone", FirstAttempt, true, []ClaimResponse{leave, gone, gone}, Reject},
		{"one knows the outcome", FirstAttempt, true, []ClaimResponse{leave, leave, known}, ReturnReceipt},
		{"a retry that nobody knows", ClientRetry, true, []ClaimResponse{leave, leave, leave}, Proceed},
		{"a retry, one may have forgotten", ClientRetry, true, []ClaimResponse{leave, leave, young}, Proceed},
		{"a retry, two may have forgotten", ClientRetry, true, []ClaimResponse{young, leave, young}, OutcomeUnknown},
		{"a retry, one is young and one gone", ClientRetry, false, []ClaimResponse{leave, gone, young}, OutcomeUnknown},
		{"a first try, all are young", FirstAttempt, true, []ClaimResponse{young, young, young}, Proceed},
		{"a retry, one is missed", ClientRetry, false, []ClaimResponse{leave, leave, missed}, OutcomeUnknown},
		{"a retry of a lost owner's", ClientRetry, true, []ClaimResponse{leave, old, gone}, Proceed},
		{"taken over, the other knows", TakenOver, true, []ClaimResponse{old, known, gone}, ReturnReceipt},
		{"taken over, the other is missed", TakenOver, true, []ClaimResponse{old, missed, gone}, OutcomeUnknown},
		{"taken over, the other gives leave", TakenOver, true, []ClaimResponse{old, old, gone}, Proceed},
		{"its window is over", ClientRetry, true, []ClaimResponse{leave, {Decision: WindowExpired}, leave}, OutcomeUnknown},
		{"another write", FirstAttempt, true, []ClaimResponse{leave, {Decision: Conflict}, leave}, KeyConflict},
		{"no room", FirstAttempt, true, []ClaimResponse{leave, {Decision: Declined}, {Decision: Declined}}, Reject},
	} {
		e := NewClaim(DefaultParameters, window, 0, 2, Options{Replicas: 2, RequireReplica: c.strict}, c.kind)
		for i, name := range []string{"own", "y", "x"} {
			switch c.says[i].Decision {
			case 0:
				e.HolderTimedOut(name)
			case gone.Decision:
				e.HolderGone(name)
			default:
				e.HandleResponse(name, c.says[i])
			}
		}
		verdict, until := e.Verdict()
		if verdict != c.want {
			t.Errorf("%s: %v, want %v", c.name, verdict, c.want)
		}
		if verdict == Proceed && (until <= 0 || until > DefaultParameters.PermissionDuration || e.age > 0 && until > window-500*ms) {
			t.Errorf("%s: until %v", c.name, until)
		}
	}
	alone := NewClaim(DefaultParameters, window, 0, 0, Options{Replicas: 1, RequireReplica: true}, ClientRetry)
	if v, _ := alone.Verdict(); v != Undecided {
		t.Errorf("alone, before its own register has been heard: %v", v)
	}
	if alone.HandleResponse("own", known); alone.Receipt() != "r" {
		t.Error("alone, its own register knows the receipt in vain")
	}
	e := NewClaim(DefaultParameters, window, 0, 2, Options{Replicas: 2, RequireReplica: true}, ClientRetry)
	e.HandleResponse("own", leave)
	e.HandleResponse("y", ClaimResponse{Decision: InProgress})
	if e.ClientTimedOut(); !e.IsInProgress() {
		t.Error("it has not joined")
	}
	if v, _ := e.Verdict(); v != OutcomeUnknown {
		t.Errorf("its client's time over, another has it in hand: %v", v)
	}
}

// TestOrder guards that any proxy finds the same holders, in different zones, and that a loss moves few works.
func TestOrder(t *testing.T) {
	var places []Candidate
	for i := range 12 {
		places = append(places, Candidate{Owner{fmt.Sprint("p", i), 1}, fmt.Sprint("z", i%3)})
	}
	first, moved := make(map[string]int), 0
	for i := range 3000 {
		id := fmt.Sprint("key", i)
		list := RankHolders(id, places)
		if len(list) != len(places) || list[0].Zone == list[1].Zone || list[1].Zone == list[2].Zone {
			t.Fatalf("%s: %+v", id, list)
		}
		first[list[0].Name]++
		if less := RankHolders(id, places[1:]); less[0].Name != list[0].Name {
			moved++
			if list[0].Name != "p0" {
				t.Errorf("%s moved from %s as p0 went", id, list[0].Name)
			}
		}
	}
	for name, n := range first {
		if n < 150 || n > 350 {
			t.Errorf("%s is first for %d of 3000", name, n)
		}
	}
	if moved != first["p0"] {
		t.Errorf("%d moved, p0 had %d", moved, first["p0"])
	}
}
