package fleettest

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var (
	readClass = requestClass{
		name:             "read",
		latencyObjective: 500 * ms,
		deadline:         2 * time.Second,
	}
	writeClass = requestClass{
		name:             "write",
		isWrite:          true,
		latencyObjective: 750 * ms,
		deadline:         2500 * ms,
		dedupWindow:      1500 * ms,
	}
)

func TestRetriesOnlyWhereHarmless(t *testing.T) {
	none := retryDecision{}
	for _, c := range []struct {
		name       string
		state      retryState
		now        time.Duration
		result     outcome
		retryAfter time.Duration
		want       retryDecision
	}{
		{"served", retryState{class: readClass}, 0, served, 0, none},
		{
			"refused read", retryState{class: readClass},
			100 * ms, refused, 300 * ms, retryDecision{true, 50 * ms, 1850 * ms},
		},
		{
			"refused read, honoured", retryState{class: readClass, honoursRetryAfter: true},
			100 * ms, refused, 300 * ms, retryDecision{true, 300 * ms, 1600 * ms},
		},
		{"no retries left", retryState{class: readClass, attempts: 3}, 100 * ms, refused, 0, none},
		{"no time left", retryState{class: readClass}, 1950 * ms, failed, 0, none},
		{
			"failed write within the window", retryState{class: writeClass},
			600 * ms, failed, 0, retryDecision{true, 50 * ms, 750 * ms},
		},
		{"timed out write near the window's end", retryState{class: writeClass}, 1340 * ms, timedOut, 0, none},
		{
			"write refused after one that may have run", retryState{class: writeClass, mayHaveRun: true},
			1400 * ms, refused, 0, none,
		},
		{
			"write refused, none ran", retryState{class: writeClass},
			1400 * ms, refused, 0, retryDecision{true, 50 * ms, 1050 * ms},
		},
		{
			"read that crossed a close costs no retry", retryState{class: readClass, attempts: 3},
			10 * ms, crossedClose, 0, retryDecision{true, 0, 1990 * ms},
		},
		{
			"write without a connection", retryState{class: writeClass},
			1450 * ms, notConnected, 0, retryDecision{true, 0, 1050 * ms},
		},
	} {
		s := c.state
		s.maxRetries = 3
		s.backoff = 50 * ms
		if got := s.next(c.now, c.result, c.retryAfter); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
