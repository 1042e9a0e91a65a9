package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestKeyStaysWithItsServer checks that requests for a key go to one server, so that not several servers hold copies of
// it.
func TestKeyStaysWithItsServer(t *testing.T) {
	b, now := newTestBalancer(t)
	servers := map[string]bool{}
	for i := range uint64(100) {
		now += 50 * time.Millisecond
		actions := b.Handle(now, Arrival{ID: i + 1, Key: "k", Deadline: now + time.Second}, nil)
		for _, server := range sendTargets(actions) {
			servers[server] = true
			b.Handle(now, Outcome{
				ID:          i + 1,
				Server:      server,
				Result:      Served,
				Took:        20 * time.Millisecond,
				Final:       true,
				CacheStatus: CacheHit,
			}, nil)
		}
	}
	if len(servers) != 1 {
		t.Errorf("the key went to %v", servers)
	}
}

// TestNoServerIsRejectedInTime checks that a request that arrives while no server is listed is rejected. Otherwise its
// client would get no answer.
func TestNoServerIsRejectedInTime(t *testing.T) {
	b, now := newTestBalancer(t)
	b.Handle(now, EndpointUpdate{Kind: EndpointsFull}, nil)
	timers := b.Handle(now, Arrival{ID: 1, Deadline: now + 300*time.Millisecond}, nil)
	for range 100 {
		now += 5 * time.Millisecond
		for _, timer := range timers {
			if timer.Kind != SetTimer {
				continue
			}
			for _, a := range b.Handle(now, TimerFired{Token: timer.Token}, nil) {
				if a.Kind == Reject {
					return
				}
			}
		}
	}
	t.Error("never rejected")
}

// TestErrorKeepsKeysAtTheirServer checks that an error does not move the keys of its server. A slow origin causes
// errors, and other servers do not hold the keys.
func TestErrorKeepsKeysAtTheirServer(t *testing.T) {
	b, now := newTestBalancer(t)
	for i := range uint64(10) { // with ten answers, one error does not close a gate
		id := 10 + i
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint("other", i), Deadline: now + time.Second}, nil)
		for _, server := range sendTargets(actions) {
			b.Handle(now, Outcome{ID: id, Server: server, Result: Served, Final: true}, nil)
		}
	}
	first := sendTargets(b.Handle(now, Arrival{ID: 1, Key: "k", Deadline: now + time.Second}, nil))
	b.Handle(now, Outcome{ID: 1, Server: first[0], Result: Errored}, nil)
	next := sendTargets(b.Handle(now, Arrival{ID: 2, Key: "k", Deadline: now + time.Second}, nil))
	if next[0] != first[0] {
		t.Errorf("the key moved from %v to %v after an error", first, next)
	}
}

// TestAbandonedWorkCounts checks that attempts whose clients have given up still count as load, because the server
// works on them for some time. Otherwise it would look idle.
func TestAbandonedWorkCounts(t *testing.T) {
	b, now := newTestBalancer(t)
	s := b.servers["a"]
	s.lastSample, s.minLatency, s.processingTime = now, 0.01, 0.04
	before := b.expectedHitTime(s)
	a := attempt{server: s, sentAt: now, path: hitPath}
	r := &request{class: &b.settings.Classes[0], arrivedAt: now}
	const wait = 100 * time.Millisecond
	b.now += wait
	s.inFlight = 1
	b.learnFromOutcome(r, &a, Outcome{Result: Cancelled, Took: wait})
	if b.currentLoad(s) < 0.9 || b.expectedHitTime(s) <= before {
		t.Errorf("load %.2f, %.3f s expected after %.3f s", b.currentLoad(s), b.expectedHitTime(s), before)
	}
	b.now += 10 * wait
	if b.currentLoad(s) > 0.01 {
		t.Errorf("load %.2f long after", b.currentLoad(s))
	}
}
