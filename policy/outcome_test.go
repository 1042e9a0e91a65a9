package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestUnsentAttemptsSayNothing checks that attempts of which nothing was sent, because their clients left first, change
// no estimate: gates stay open, and no server counts as having responded, as healthy or as faulty.
func TestUnsentAttemptsSayNothing(t *testing.T) {
	b, now := newTestBalancer(t)
	for i := range 200 {
		now += 20 * time.Millisecond
		id := uint64(i + 1)
		servers := sendTargets(b.Handle(now, Arrival{ID: id, Key: "k", Deadline: now + 2*time.Second}, nil))
		if len(servers) != 1 {
			t.Fatalf("request %d: sent to %v", i, servers)
		}
		b.Handle(now+10*time.Millisecond, ClientLeft{ID: id}, nil)
		outcome := Outcome{ID: id, Server: servers[0], Result: NotSent, Final: true}
		b.Handle(now+10*time.Millisecond, outcome, nil)
	}
	if hits, fetches := b.AdmissionShares(); hits < 1 || fetches < 1 {
		t.Errorf("the gates admit %v of hits and %v of fetches", hits, fetches)
	}
	for name, s := range b.servers {
		logOdds, share := s.suspicions[0].LogOdds, s.gate.admitShare(serverAdmissionPrior)
		if s.lastResponse != 0 || s.inFlight != 0 || logOdds != 0 || share < 1 {
			t.Errorf("%s: last response %v, %v in flight, log odds %v, gate admits %v",
				name, s.lastResponse, s.inFlight, logOdds, share)
		}
	}
}

// TestBrokenConnectionIsOneFailure checks that a broken connection counts as one failure of its server, however many
// attempts waited on it. Otherwise the server would get a long backoff.
func TestBrokenConnectionIsOneFailure(t *testing.T) {
	b, now := newTestBalancer(t)
	servers := map[uint64]string{}
	for i := range uint64(60) {
		for _, server := range sendTargets(b.Handle(now, Arrival{ID: i + 1, Deadline: now + time.Second}, nil)) {
			servers[i+1] = server
		}
	}
	for id, server := range servers {
		if server == "a" {
			outcome := Outcome{ID: id, Server: server, Result: Reset, Took: time.Millisecond}
			b.Handle(now+time.Millisecond, outcome, nil)
		}
	}
	if s := b.servers["a"]; s.consecutiveFailures != 1 || s.backoffUntil > now+time.Second {
		t.Errorf("%d failures, avoided for %v", s.consecutiveFailures, s.backoffUntil-now)
	}
}

// TestFailingServerIsAvoided checks that a server that immediately answers with errors is avoided. It looks idle
// because of its fast answers, and its failures would make the gates shed requests that other servers could serve.
func TestFailingServerIsAvoided(t *testing.T) {
	b, now := newTestBalancer(t)
	failures, unserved := 0, 0
	for i := range uint64(1000) {
		now += 5 * time.Millisecond
		id := i + 1
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i % 50), Deadline: now + time.Second}, nil)
		for number := 0; len(sendTargets(actions)) > 0; number++ {
			server := sendTargets(actions)[0]
			outcome := Outcome{
				ID:      id,
				Attempt: number,
				Server:  server,
				Result:  Served,
				Took:    40 * time.Millisecond,
				Final:   true,
			}
			if server == "a" {
				outcome.Result, outcome.Took, outcome.Final = Errored, time.Millisecond, false
				failures++
			}
			now += outcome.Took
			actions = b.Handle(now, outcome, nil)
		}
		for _, a := range actions {
			if a.Kind == Reject || a.Kind == Fail {
				unserved++
			}
		}
	}
	if failures > 150 || unserved > 60 {
		t.Errorf("of 1000 requests %d failed at the server, %d ended unserved", failures, unserved)
	}
}

// TestRejectingServerIsAvoided checks that a server that immediately rejects the requests of one class, and so looks
// idle for that class, is avoided for it while it serves the other classes.
func TestRejectingServerIsAvoided(t *testing.T) {
	b, now := newTestBalancer(t)
	rejected, shed := 0, 0
	for i := range uint64(2000) {
		now += 5 * time.Millisecond
		id := i + 1
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i % 50), Deadline: now + time.Second}, nil)
		switch servers := sendTargets(actions); {
		case len(servers) == 0:
			shed++
		case servers[0] == "a":
			rejected++
			b.Handle(now, Outcome{ID: id, Server: "a", Result: Rejected, Took: time.Millisecond}, nil)
		default:
			outcome := Outcome{ID: id, Server: servers[0], Result: Served, Took: 20 * time.Millisecond, Final: true}
			b.Handle(now, outcome, nil)
		}
	}
	if rejected > 250 || shed > 60 {
		t.Errorf("of 2000 requests %d were rejected by the server and %d shed", rejected, shed)
	}
}
