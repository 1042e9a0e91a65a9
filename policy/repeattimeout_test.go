package policy

import (
	"testing"
	"time"
)

// TestRepeatEndsWithinDedupWindow guards against a repeat of a keyed request that is still out when servers forget the
// request's key: its timeout ends it before, and the request then fails without another send. A first attempt, which
// repeats nothing, has no timeout.
func TestRepeatEndsWithinDedupWindow(t *testing.T) {
	for _, window := range []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(window.String(), func(t *testing.T) {
			b, now := newTestBalancer(t)
			b.settings.Classes[0].Idempotency, b.settings.Classes[0].DedupWindow = IdempotentWithKey, window
			first := sends(b.Handle(now, Arrival{ID: 1, Write: true, Deadline: now + 2*time.Second}, nil))
			if len(first) != 1 || first[0].After != 0 {
				t.Fatalf("first sent as %+v, want once without a timeout", first)
			}
			repeatAt := now + window/4
			repeat := sends(b.Handle(repeatAt, Outcome{ID: 1, Server: first[0].Server, Result: Reset}, nil))
			if len(repeat) != 1 || repeat[0].After <= 0 || repeatAt+repeat[0].After >= now+window {
				t.Fatalf("repeated as %+v, want once, to end before the window", repeat)
			}
			ends := repeatAt + repeat[0].After
			lastWrite := ends - b.executionReserve(b.servers[repeat[0].Server])
			if !b.MaySend(lastWrite-time.Millisecond, 1, 1) || b.MaySend(lastWrite, 1, 1) {
				t.Error("the repeat may not be written while the server can still execute it in time, or later")
			}
			timeout := Outcome{ID: 1, Attempt: 1, Server: repeat[0].Server, Result: TimedOut}
			actions := b.Handle(ends, timeout, nil)
			if len(actions) != 1 || actions[0].Kind != Fail {
				t.Errorf("after the timeout of the repeat: %+v, want a failure", actions)
			}
		})
	}
}

// sends returns the Send actions.
func sends(actions []Action) (sends []Action) {
	for _, action := range actions {
		if action.Kind == Send {
			sends = append(sends, action)
		}
	}
	return sends
}

// TestRepeatLeavesTimeForExecution guards against a repeat of a keyed request that is delivered within the dedup
// window, and that a slow server executes after it: none is sent unless three times the server's expected response time
// is left.
func TestRepeatLeavesTimeForExecution(t *testing.T) {
	const window = 600 * time.Millisecond
	for _, test := range []struct {
		name         string
		responseTime time.Duration
		want         int
	}{
		{"fast servers", 20 * time.Millisecond, 1},
		{"slow servers", 120 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, now := newTestBalancer(t)
			b.settings.Classes[0].Idempotency, b.settings.Classes[0].DedupWindow = IdempotentWithKey, window
			for _, s := range b.servers {
				s.lastSample, s.minLatency, s.processingTime = now, test.responseTime.Seconds(), 0
			}
			first := sends(b.Handle(now, Arrival{ID: 1, Write: true, Deadline: now + 2*time.Second}, nil))
			reset := Outcome{ID: 1, Server: first[0].Server, Result: Reset}
			if repeats := sends(b.Handle(now+window/4, reset, nil)); len(repeats) != test.want {
				t.Errorf("repeated as %+v, want %d", repeats, test.want)
			}
		})
	}
}
