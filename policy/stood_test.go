package policy

import (
	"testing"
	"time"
)

// TestStopTellsNothingOfServers guards what a proxy has learnt against a stop of its own: what was out
// ends late, all at once, and no server is worse for it, no gate opens by it and no record is lost.
func TestStopTellsNothingOfServers(t *testing.T) {
	for name, told := range map[string]bool{"told": true, "not told": false} {
		t.Run(name, func(t *testing.T) {
			b, err := New(Settings{ProxyCount: 3, Zones: []string{"a"}, MachineKinds: []string{"k"}, OriginKind: -1, EventInterval: 5 * time.Millisecond,
				Classes: []Class{{Name: "read", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
				Limits:  Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true}, Rules: Rules{SlowStartShare: 0.3, SlowStartWindow: time.Second}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Duration(0)
			up := func(n string) Endpoint { return Endpoint{Server: n, State: Serving, Weight: 1} }
			b.Handle(now, EndpointUpdate{Version: 1, Kind: EndpointsFull, Endpoints: []Endpoint{up("x"), up("y"), up("z")}}, nil)
			id, sent := uint64(0), map[uint64]Action{}
			ask := func() {
				id++
				for _, a := range b.Handle(now, Arrival{ID: id, Key: string(rune('a' + id%7)), Deadline: now + 2*time.Second}, nil) {
					if a.Kind == Send {
						sent[a.ID] = a
					}
				}
			}
			answer := func(i uint64, r Result) {
				if a, ok := sent[i]; ok {
					b.Handle(now, Outcome{ID: i, Server: a.Server, Result: r, Took: 20 * time.Millisecond, CacheStatus: CacheHit}, nil)
					delete(sent, i)
				}
			}
			for range 200 { // calm
				ask()
				now += 20 * time.Millisecond
				answer(id, Served)
			}
			work, before := b.processingTime, b.paths[hitPath].gate.offered
			for range 20 { // out when the stop begins
				ask()
			}
			now += 1500 * time.Millisecond
			if told {
				b.Handle(now, ProcessPaused{Duration: 1500 * time.Millisecond}, nil)
			}
			for i := range sent {
				if i%2 == 0 {
					answer(i, TimedOut)
				} else {
					a := sent[i]
					b.Handle(now, Outcome{ID: i, Server: a.Server, Result: Served, Took: 1500 * time.Millisecond, CacheStatus: CacheHit}, nil)
				}
			}
			b.now = now
			hurt := b.processingTime > 1.05*work || b.paths[hitPath].gate.admitShare(admissionPrior) < 1
			for _, s := range b.serving {
				hurt = hurt || s.consecutiveFailures > 0 || b.faultProbability(s, 0) > singleFailureProbability || s.backoffUntil > now
			}
			if faded := b.paths[hitPath].gate.offered < before; told && (hurt || faded) {
				t.Errorf("hurt %v, gate faded %v: work %v to %v, gate %v of %v asked", hurt, faded, work, b.processingTime, b.paths[hitPath].gate.offered, before)
			} else if !told && !hurt {
				t.Error("nothing was hurt without being told: the test shows nothing")
			}
		})
	}
}
