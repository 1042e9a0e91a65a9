package takeover

import "testing"

// Responses of a holder. timedOut and gone stand for a missing response.
var (
	granted   = ClaimResponse{Decision: Granted, Epoch: 1}
	forgotten = ClaimResponse{Decision: Granted, Epoch: 1, MayHaveForgotten: true}
	known     = ClaimResponse{Decision: Granted, Epoch: 2, Age: 500 * ms, PreviousOwner: Owner{"x", 1}}
	served    = ClaimResponse{Decision: AlreadyServed, Receipt: "r"}
	expired   = ClaimResponse{Decision: WindowExpired}
	conflict  = ClaimResponse{Decision: Conflict}
	declined  = ClaimResponse{Decision: Declined}
	timedOut  = ClaimResponse{}
	gone      = ClaimResponse{Decision: 99}
)

// TestClaimVerdicts checks the verdict for each combination of holders' responses, and when the permission to send
// ends.
func TestClaimVerdicts(t *testing.T) {
	for _, c := range []struct {
		name           string
		kind           ClaimKind
		requireReplica bool
		own, y, x      ClaimResponse // responses of the owner's registry and of two holders
		want           Verdict
	}{
		{"all grant it", FirstAttempt, true, granted, granted, granted, Proceed},
		{"one times out", FirstAttempt, true, granted, timedOut, granted, Reject},
		{"one times out, not required", FirstAttempt, false, granted, timedOut, granted, ProceedUnreplicated},
		{"one is gone", FirstAttempt, true, granted, gone, granted, Proceed},
		{"both others are gone", FirstAttempt, true, granted, gone, gone, Reject},
		{"one knows the outcome", FirstAttempt, true, granted, granted, served, ReturnReceipt},
		{"a retry that nobody knows", ClientRetry, true, granted, granted, granted, Proceed},
		{"a retry, one may have forgotten", ClientRetry, true, granted, granted, forgotten, Proceed},
		{"a retry, two may have forgotten", ClientRetry, true, forgotten, granted, forgotten, OutcomeUnknown},
		{"a retry, one has forgotten, one is gone", ClientRetry, false, granted, gone, forgotten, OutcomeUnknown},
		{"a first attempt, all may have forgotten", FirstAttempt, true, forgotten, forgotten, forgotten, Proceed},
		{"a retry, one times out", ClientRetry, false, granted, granted, timedOut, OutcomeUnknown},
		{"a retry of a lost owner's write", ClientRetry, true, granted, known, gone, Proceed},
		{"taken over, the other knows the outcome", TakenOver, true, known, served, gone, ReturnReceipt},
		{"taken over, the other times out", TakenOver, true, known, timedOut, gone, OutcomeUnknown},
		{"taken over, the other grants it", TakenOver, true, known, known, gone, Proceed},
		{"its window is over", ClientRetry, true, granted, expired, granted, OutcomeUnknown},
		{"another write", FirstAttempt, true, granted, conflict, granted, KeyConflict},
		{"no room", FirstAttempt, true, granted, declined, declined, Reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := Options{Replicas: 2, RequireReplica: c.requireReplica}
			claim := NewClaim(DefaultParameters, window, 0, 2, options, c.kind)
			answer(claim, "own", c.own)
			answer(claim, "y", c.y)
			answer(claim, "x", c.x)
			verdict, until := claim.Verdict()
			if verdict != c.want {
				t.Errorf("%v, want %v", verdict, c.want)
			}
			if verdict != Proceed {
				return
			}
			if until <= 0 || until > DefaultParameters.PermissionDuration || claim.age > 0 && until > window-500*ms {
				t.Errorf("until %v", until)
			}
		})
	}
}

// answer passes a holder's response to a claim, or the reason why it is missing.
func answer(claim *Claim, holder string, r ClaimResponse) {
	switch r.Decision {
	case timedOut.Decision:
		claim.HolderTimedOut(holder)
	case gone.Decision:
		claim.HolderGone(holder)
	default:
		claim.HandleResponse(holder, r)
	}
}

// TestClaimWithoutOthers checks that a claim without other holders waits for the response of the proxy's own
// registry and uses it.
func TestClaimWithoutOthers(t *testing.T) {
	claim := NewClaim(DefaultParameters, window, 0, 0, Options{Replicas: 1, RequireReplica: true}, ClientRetry)
	if v, _ := claim.Verdict(); v != Undecided {
		t.Errorf("before the response of the own registry: %v", v)
	}
	claim.HandleResponse("own", served)
	if claim.Receipt() != "r" {
		t.Error("the own registry's receipt is not returned")
	}
}

// TestClaimInProgressElsewhere checks that a client whose deadline passes while another owner has the write in
// flight is told that the outcome is unknown.
func TestClaimInProgressElsewhere(t *testing.T) {
	claim := NewClaim(DefaultParameters, window, 0, 2, Options{Replicas: 2, RequireReplica: true}, ClientRetry)
	claim.HandleResponse("own", granted)
	claim.HandleResponse("y", ClaimResponse{Decision: InProgress})
	claim.ClientTimedOut()
	if !claim.IsInProgress() {
		t.Error("the claim is not in progress")
	}
	if v, _ := claim.Verdict(); v != OutcomeUnknown {
		t.Errorf("after the client's deadline: %v", v)
	}
}
