package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
	"mulleinpier/policy"
)

// TestTimersOfEndedRequestsAreRemoved guards against memory that grows with the rate of requests: timers of requests
// that end at once must not stay until the requests would have been due. The timers of open requests stay, in order.
func TestTimersOfEndedRequestsAreRemoved(t *testing.T) {
	silentNode := testutil.Listen(t)
	config := oneNodeConfig(silentNode.Addr().String(), policy.Class{Name: "c"})
	config.Policy.Limits.AllowCancel = true
	c, err := New(config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	submit := func(id string) *InFlightRequest {
		return c.Submit(&request.Request{ID: id, Class: "c", Key: "k", Timeout: time.Minute}, &answerRecorder{})
	}
	const ended = 50_000
	for i := range 20 {
		submit(fmt.Sprint("open", i))
	}
	c.mu.Lock()
	open := len(c.requests) // without those that were shed
	c.mu.Unlock()
	for i := range ended {
		req := submit(fmt.Sprint("ended", i))
		if req == nil {
			t.Fatal("a request was not accepted")
		}
		c.ClientDisconnected([]*InFlightRequest{req})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.timers); n > 2*minTimerCleanup {
		t.Errorf("%d timers for %d open requests", n, open)
	}
	due, last := 0, time.Duration(0)
	for len(c.timers) > 0 {
		next := c.timers.pop()
		if next.at < last {
			t.Fatalf("a timer for %v is after one for %v", next.at, last)
		}
		last = next.at
		if next.kind == requestTimer && c.requests[next.id] != nil {
			due++
		}
	}
	if due != open || open == 0 {
		t.Errorf("%d open requests have their deadline's timer, want %d", due, open)
	}
}
