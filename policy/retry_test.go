package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestFailedFetchIsNotRetried checks that a request whose fetch failed is not retried, because retries would load an
// origin that is full, and that a request without a key, or without a connection, is retried at another server.
func TestFailedFetchIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		key     string
		result  Result
		retries int
	}{
		{"key rejected", "k", Rejected, 0},
		{"key failed", "k", Errored, 0},
		{"no key, rejected", "", Rejected, 1},
		{"connect failed", "k", ConnectFailed, 1},
		{"reset", "k", Reset, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, now := newTestBalancer(t)
			first := sendTargets(b.Handle(now, Arrival{ID: 1, Key: c.key, Deadline: now + time.Second}, nil))
			next := sendTargets(b.Handle(now, Outcome{ID: 1, Server: first[0], Result: c.result}, nil))
			if len(next) != c.retries || c.retries == 1 && next[0] == first[0] {
				t.Errorf("sent to %v after %v", next, first)
			}
		})
	}
}

// TestConnectionLimitSaysNothingOfLoad checks that gates stay open and requests are served while other proxies use all
// connections of some servers.
func TestConnectionLimitSaysNothingOfLoad(t *testing.T) {
	b, now := newTestBalancer(t)
	for id := uint64(1); id <= 200; id++ {
		now += 2 * minServerBackoff // after this time the server is no longer in backoff
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint("k", id), Deadline: now + time.Second}, nil)
		first := sendTargets(actions)
		if len(first) != 1 {
			t.Fatalf("request %d went to %q", id, first)
		}
		actions = b.Handle(now, Outcome{ID: id, Server: first[0], Result: ConnectionLimitReached}, nil)
		next := sendTargets(actions)
		if len(next) != 1 || next[0] == first[0] {
			t.Fatalf("request %d went to %q after %s accepted no connection", id, next, first[0])
		}
		b.Handle(now+time.Millisecond, Outcome{
			ID:      id,
			Attempt: 1,
			Server:  next[0],
			Result:  Served,
			Took:    time.Millisecond,
		}, nil)
	}
	hits, fetches := b.AdmissionShares()
	if hits < 1 || fetches < 1 {
		t.Errorf("the gates admit %.2f of hits and %.2f of fetches", hits, fetches)
	}
	if b.failureRates[0].Failures > 0 {
		t.Errorf("%.1f attempts count as failed", b.failureRates[0].Failures)
	}
}
