package consul

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	fakeconsul "mulleinpier/internal/fake/consul"
	"mulleinpier/internal/testutil"
)

// TestChangesAreFollowed checks that a watch delivers each change, also after the index went backwards and without an
// index, and delivers nothing without a change.
func TestChangesAreFollowed(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	catalogue.Set(instance("a"))
	lists, ended := watch(t, SourceConfig{
		Agent: Agent{Address: agent.Address()}, Service: "cache", WaitTime: 300 * time.Millisecond,
	})
	expect := func(want string) {
		t.Helper()
		for {
			if got := statusesOf(testutil.Receive(t, want, lists)); got == want {
				return
			}
		}
	}
	expect("n1/a=up")
	catalogue.SetMaintenance("n1", "a", true, "disk")
	expect("n1/a=draining")
	catalogue.SetMaintenance("n1", "a", false, "")
	expect("n1/a=up")
	catalogue.ResetIndex() // the index goes backwards
	catalogue.Set(instance("b"))
	expect("n1/a=up n1/b=up")
	agent.SetFault(fakeconsul.ZeroIndex)
	catalogue.Remove("n1", "a")
	expect("n1/b=up")
	agent.SetFault(fakeconsul.NoFault)
	catalogue.Remove("n1", "b")
	expect("")
	for len(lists) > 0 {
		<-lists
	}
	time.Sleep(time.Second) // long enough for some blocking queries that end without a change
	if len(lists) > 0 || len(ended) > 0 {
		t.Errorf("without a change, %d lists were delivered and %d watches ended", len(lists), len(ended))
	}
}

// failures are the faults of an agent that end a watch, each with a part of the error that it ends with.
var failures = map[fakeconsul.FaultKind]string{
	fakeconsul.ACLFiltered:   "the ACL token lacks permissions",
	fakeconsul.Leaderless:    "no leader",
	fakeconsul.StaleLeader:   "stale",
	fakeconsul.MalformedBody: "not a JSON list",
	fakeconsul.TruncatedBody: "EOF",
	fakeconsul.HugeList:      "more than 8192 instances",
	fakeconsul.RateLimited:   "status 429",
	fakeconsul.Forbidden:     "status 403",
	fakeconsul.ServerError:   "status 500",
	fakeconsul.SlowBody:      noResponse,
	fakeconsul.NoResponse:    noResponse,
}

// TestFailuresDeliverNoList checks that a response that is not a fresh, complete and unfiltered list is a failure
// of the source (invariant 1), and that each failure ends the watch in time.
func TestFailuresDeliverNoList(t *testing.T) {
	for kind, want := range failures {
		expectFailure(t, kind, want)
	}
}

// expectFailure checks that a fault of the agent ends the watch with an error that contains want. It shortens
// bodyTimeout only for faults that end by a timeout: reading a huge list takes seconds under the race detector.
func expectFailure(t *testing.T, kind fakeconsul.FaultKind, want string) {
	t.Helper()
	if want == noResponse {
		usual := bodyTimeout
		bodyTimeout = 2 * time.Second
		defer func() { bodyTimeout = usual }()
	}
	catalogue, agent := startAgent(t, "")
	defer agent.Close()
	catalogue.Set(instance("a"))
	lists, ended := watch(t, SourceConfig{
		Agent: Agent{Address: agent.Address()}, Service: "cache", WaitTime: 100 * time.Millisecond,
	})
	testutil.Receive(t, "the first list", lists)
	agent.SetFault(kind)
	catalogue.Set(instance("b"))
	err := testutil.Receive(t, string(kind), ended)
	// An expired timeout cancels the context, which is reported either by its cause or as context.Canceled.
	isTimeout := want == noResponse && errors.Is(err, context.Canceled)
	if !strings.Contains(err.Error(), want) && !isTimeout {
		t.Errorf("%s: ended with %v, want %q", kind, err, want)
	}
	for len(lists) > 0 {
		if got := statusesOf(<-lists); got != "n1/a=up" {
			t.Errorf("%s: delivered %q", kind, got)
		}
	}
}

// noResponse is the error of a call that takes too long.
const noResponse = "no response within the timeout"

// TestSilentBlockingQueryLeavesTimeForDrain guards against a drain that is missed because a blocking query without an
// answer is given up too late: its timeout must leave half a second for the delay before the next query, and half a
// second for that query, of the 2 s after the wait within which a change must be known.
func TestSilentBlockingQueryLeavesTimeForDrain(t *testing.T) {
	const known, delayAndQuery = 2 * time.Second, time.Second
	s := &source{SourceConfig: SourceConfig{WaitTime: 10 * time.Second}}
	for range 100 {
		query, timeout := s.watchQuery(7)
		wait, err := time.ParseDuration(query.Get("wait"))
		if err != nil {
			t.Fatal(err)
		}
		const rounding = 2 * time.Millisecond // wait is sent in milliseconds
		if longest := wait + wait/16 + known - delayAndQuery + rounding; timeout > longest {
			t.Fatalf("a wait of %v has a timeout of %v, want at most %v", wait, timeout, longest)
		}
	}
}
