package policy_test

import (
	"fmt"
	"time"

	"mulleinpier/policy"
)

// A proxy sends one request to the only server in its endpoint list.
func Example() {
	b, err := policy.New(policy.Settings{
		Classes: []policy.Class{{
			Name:             "read",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   1,
		}},
		ProxyCount: 1,
		Limits:     policy.Limits{MaxAttempts: 2},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	endpoints := []policy.Endpoint{{Server: "cache-1"}}
	b.Handle(0, policy.EndpointUpdate{Kind: policy.EndpointsCached, Endpoints: endpoints}, nil)
	now := 5 * time.Millisecond
	arrival := policy.Arrival{ID: 7, Key: "item-12", Deadline: now + time.Second}
	for _, a := range b.Handle(now, arrival, nil) {
		switch a.Kind {
		case policy.SetTimer:
			fmt.Println("set a timer for", a.After)
		case policy.Send:
			fmt.Println("send", a.ID, "to", a.Server)
		}
	}
	// Output:
	// set a timer for 1s
	// send 7 to cache-1
}
