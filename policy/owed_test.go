package policy

import (
	"testing"
	"time"
)

// TestWhatWasNeverSentTellsNothing: clients that leave before anything of their requests has begun are no sign of any server:
// gates stay open, no server is taken for heard of, and none for well or sick.
func TestWhatWasNeverSentTellsNothing(t *testing.T) {
	b, now := harness(t)
	for i := range 200 {
		now += 20 * time.Millisecond
		id := uint64(i + 1)
		out := b.Handle(now, Arrival{ID: id, Key: "k", Deadline: now + 2*time.Second}, nil)
		to := sent(out)
		if len(to) != 1 {
			t.Fatalf("request %d: sent to %v", i, to)
		}
		b.Handle(now+10*time.Millisecond, ClientLeft{ID: id}, nil)
		b.Handle(now+10*time.Millisecond, Outcome{ID: id, Server: to[0], Result: NotSent, Final: true}, nil)
	}
	if known, other := b.AdmissionShares(); known < 1 || other < 1 {
		t.Errorf("gates at %v and %v", known, other)
	}
	for name, s := range b.servers {
		if s.lastResponse != 0 || s.inFlight != 0 || s.suspicions[0].LogOdds != 0 || s.gate.admitShare(serverAdmissionPrior) < 1 {
			t.Errorf("%s: heard of at %v, %v out, odds %v, gate %v", name, s.lastResponse, s.inFlight, s.suspicions[0].LogOdds, s.gate.admitShare(serverAdmissionPrior))
		}
	}
}

// TestWaitBeforeANewWatchLeavesTimeForDrains: a watch counts as silent 3 s after its last word, and what it missed counts as told
// 6 s after it fell silent: the wait before the next call must leave a good part of the rest, whatever the settings give for
// asking. Losses in a row wait longer, and calls are spread.
func TestWaitBeforeANewWatchLeavesTimeForDrains(t *testing.T) {
	const silent, counts, call = 3 * time.Second, 6 * time.Second, 3 * time.Second
	for _, within := range []time.Duration{0, time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
		least, most, second := time.Hour, time.Duration(0), time.Duration(0)
		for seed := range uint64(200) {
			b, err := New(Settings{Classes: []Class{{LatencyObjective: time.Second, Deadline: time.Second}}, EndpointsOnRequest: true, Rules: Rules{MaxPollInterval: within}}, seed)
			if err != nil {
				t.Fatal(err)
			}
			wait := func(kind EndpointUpdateKind) (d time.Duration) {
				for _, a := range b.Handle(time.Hour, EndpointUpdate{Kind: kind}, nil) {
					if a.Kind == SetTimer {
						d = a.After
					}
				}
				return d
			}
			wait(EndpointsCached)
			first := wait(EndpointsUnavailable)
			least, most, second = min(least, first), max(most, first), max(second, wait(EndpointsUnavailable))
			for range 4 { // however many calls have failed, one more that takes its time is over before a change counts
				if further := wait(EndpointsUnavailable); further > counts-call {
					t.Fatalf("of %v for asking a further wait is %v", within, further)
				}
			}
		}
		if most > counts-silent-500*time.Millisecond {
			t.Errorf("of %v for asking the wait is up to %v", within, most)
		}
		if within > 0 && (most < 2*least || second <= most) {
			t.Errorf("of %v for asking the waits are %v to %v, then up to %v", within, least, most, second)
		}
	}
}
