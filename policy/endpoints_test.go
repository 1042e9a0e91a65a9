package policy

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/internal/bloom"
)

// TestDrainingServerGetsNothing checks that a draining or removed server gets no request from the update on that
// reports its state.
func TestDrainingServerGetsNothing(t *testing.T) {
	b, now := newTestBalancer(t)
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: []Endpoint{
		{Server: "a", State: Draining},
		{Server: "b", State: Removed},
		{Server: "c", State: Draining},
	}}, nil)
	for i := range uint64(50) {
		now += time.Millisecond
		actions := b.Handle(now, Arrival{ID: i + 1, Deadline: now + time.Second}, nil)
		for _, server := range sendTargets(actions) {
			if server != "d" {
				t.Fatalf("sent to %s", server)
			}
		}
	}
}

// TestRestartEmptiesTheFilter checks that the filter of a server that has restarted is empty. The restart has emptied
// the server's cache, so hits must not be expected.
func TestRestartEmptiesTheFilter(t *testing.T) {
	b, now := newTestBalancer(t)
	s := b.servers["a"]
	positions := bloom.PositionsOf(bloom.Hash("k"))
	s.filter.Add(&positions)
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: []Endpoint{{Server: "a", StartedAt: now}}}, nil)
	if s.filter.Contains(&positions) {
		t.Error("the filter survived a restart")
	}
}

// TestRemovedServersAreForgotten checks that servers that were removed are deleted from the map of servers. If each
// replacement has a new name, the map would grow with every server replaced.
func TestRemovedServersAreForgotten(t *testing.T) {
	b, now := newTestBalancer(t)
	for i := range 200 {
		now += time.Second
		b.Handle(now, EndpointUpdate{Version: uint64(i + 2), Endpoints: []Endpoint{
			{Server: fmt.Sprint("n", i)},
			{Server: fmt.Sprint("n", i-1), State: Removed},
		}}, nil)
	}
	if len(b.servers) > 30 {
		t.Errorf("%d servers known where 4 are listed", len(b.servers))
	}
}

// TestSubscribeBackoffLeavesTimeForDrains checks that the delay before the next call for the endpoint list is short
// enough to learn of a drain in time, whatever polling interval is set. A subscription counts as silent 3 s after its
// last message, and changes that it missed count as known 6 s after it fell silent. The delay must grow with
// consecutive failures, and be random so that calls are spread.
func TestSubscribeBackoffLeavesTimeForDrains(t *testing.T) {
	const (
		silentAfter = 3 * time.Second
		knownAfter  = 6 * time.Second
		callTimeout = 3 * time.Second
	)
	for _, poll := range []time.Duration{0, time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(poll.String(), func(t *testing.T) {
			shortest, longest, longestSecond := time.Hour, time.Duration(0), time.Duration(0)
			for seed := range uint64(200) {
				waits := subscribeBackoffs(t, poll, seed)
				shortest, longest = min(shortest, waits[0]), max(longest, waits[0])
				longestSecond = max(longestSecond, waits[1])
				// Even after many failed calls, a further slow call must end before a change counts as known.
				for _, wait := range waits[2:] {
					if wait > knownAfter-callTimeout {
						t.Fatalf("the wait after further failures is %v", wait)
					}
				}
			}
			if longest > knownAfter-silentAfter-500*time.Millisecond {
				t.Errorf("the first wait is up to %v", longest)
			}
			if poll > 0 && (longest < 2*shortest || longestSecond <= longest) {
				t.Errorf("the first wait is %v to %v, the second up to %v", shortest, longest, longestSecond)
			}
		})
	}
}

// subscribeBackoffs returns the delays after each of six consecutive failed calls for the endpoint list.
func subscribeBackoffs(t *testing.T, poll time.Duration, seed uint64) (waits [6]time.Duration) {
	t.Helper()
	b, err := New(Settings{
		Classes:            []Class{{LatencyObjective: time.Second, Deadline: time.Second}},
		EndpointsOnRequest: true,
		Rules:              Rules{MaxPollInterval: poll},
	}, seed)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsCached}, nil)
	for i := range waits {
		for _, a := range b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsUnavailable}, nil) {
			if a.Kind == SetTimer {
				waits[i] = a.After
			}
		}
	}
	return waits
}
