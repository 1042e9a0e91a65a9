package policy

import (
	"testing"
	"time"
)

// TestServersWithoutDeduplicationGetNoKeyedRequest checks that keyed requests go only to servers that drop duplicates
// by idempotency key. If no server does, they are rejected immediately; other requests are still served.
func TestServersWithoutDeduplicationGetNoKeyedRequest(t *testing.T) {
	const keyed = 1
	b, err := New(Settings{
		Classes: []Class{
			{LatencyObjective: time.Second, Deadline: 2 * time.Second},
			{
				Idempotency:      IdempotentWithKey,
				DedupWindow:      time.Second,
				LatencyObjective: time.Second,
				Deadline:         2 * time.Second,
			},
		},
		ProxyCount: 1,
		Limits:     Limits{MaxAttempts: 3},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	update := func(kind EndpointUpdateKind, endpoints ...Endpoint) {
		b.Handle(now, EndpointUpdate{Kind: kind, Endpoints: endpoints}, nil)
	}
	update(EndpointsFull, Endpoint{Server: "a", NoDeduplication: true}, Endpoint{Server: "b", NoDeduplication: true})
	actions := b.Handle(now, Arrival{ID: 1, Class: keyed, Write: true, Deadline: now + time.Second}, nil)
	rejections := 0
	for _, a := range actions {
		if a.Kind == Reject {
			rejections++
		}
	}
	if len(sendTargets(actions)) != 0 || rejections != 1 {
		t.Errorf("a keyed request: %+v, want one rejection at once", actions)
	}
	actions = b.Handle(now, Arrival{ID: 2, Key: "k", Deadline: now + time.Second}, nil)
	if len(sendTargets(actions)) != 1 {
		t.Errorf("an idempotent request: %+v", actions)
	}
	update(EndpointsDelta, Endpoint{Server: "c"})
	for id := uint64(3); id < 10; id++ { // few requests, because a server that never answers is soon avoided
		actions = b.Handle(now, Arrival{ID: id, Class: keyed, Write: true, Deadline: now + time.Second}, nil)
		if to := sendTargets(actions); len(to) != 1 || to[0] != "c" {
			t.Errorf("sent to %v: %+v", to, actions)
		}
	}
	// An attempt must not be written if its server stops deduplicating while the attempt waits for a connection.
	update(EndpointsDelta, Endpoint{Server: "c", NoDeduplication: true})
	if b.MaySend(now, 3, 0) {
		t.Error("the attempt's first byte may still be written")
	}
}
