package ticket

import (
	"math/rand/v2"
	"testing"
	"time"
)

const dedupWindow = 1500 * time.Millisecond

// TestNoRepeatOutlivesTheWindow checks that by the true time a ticket is accepted, and its remaining time ends, within
// one deduplication window after its issue (invariant 2), even if the clocks of the proxies are wrong by up to a
// quarter of Margin. Otherwise a retry could be sent to nodes that no longer drop it.
func TestNoRepeatOutlivesTheWindow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	accepted := 0
	for range 200000 {
		issue := time.UnixMilli(1e12 + random.Int64N(1e12)).Add(time.Duration(random.Int64N(1e6)))
		clockError := func() time.Duration { return time.Duration(random.Int64N(int64(Margin/2))) - Margin/4 }
		ticket := New(issue.Add(clockError()), random.Uint64())
		after := time.Duration(random.Int64N(int64(3 * time.Second)))
		remaining := Remaining(ticket, issue.Add(after).Add(clockError()), dedupWindow)
		switch {
		case remaining > 0:
			accepted++
			if after+remaining > dedupWindow {
				t.Fatalf("accepted %v after its issue with %v remaining: past the window", after, remaining)
			}
		case after < dedupWindow-2*Margin:
			t.Fatalf("rejected %v after its issue", after)
		}
	}
	if accepted == 0 {
		t.Fatal("no ticket was accepted")
	}
}

// TestForeignTicketsAreRejected checks that a ticket whose time of issue is not recent is rejected: an old one, one
// from the future and a number issued by another server (invariant 3).
func TestForeignTicketsAreRejected(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for name, ticket := range map[string]uint64{
		"none":                 0,
		"another server's":     1,
		"a large one":          987654321,
		"all bits":             1<<64 - 1,
		"tomorrow's":           New(now.Add(24*time.Hour), 7),
		"yesterday's":          New(now.Add(-24*time.Hour), 7),
		"of a clock far ahead": New(now.Add(Margin), 7),
		"just expired":         New(now.Add(Margin-dedupWindow), 7),
	} {
		if remaining := Remaining(ticket, now, dedupWindow); remaining > 0 {
			t.Errorf("%s is valid for %v", name, remaining)
		}
	}
	if remaining := Remaining(New(now, 7), now, dedupWindow); remaining != dedupWindow-Margin {
		t.Errorf("a new ticket is valid for %v, want %v", remaining, dedupWindow-Margin)
	}
	// The time of issue wraps 2^40 ms after 1970-01-01, in 2004, and again in 2039. A wrap does not invalidate tickets.
	wrapped := time.UnixMilli(1 << 41)
	remaining := Remaining(New(wrapped.Add(-time.Millisecond), 7), wrapped, dedupWindow)
	if want := dedupWindow - Margin - time.Millisecond; remaining != want {
		t.Errorf("as the time wraps, a ticket is valid for %v, want %v", remaining, want)
	}
}

// TestKeysTellWritesApart checks that writes that differ in ticket, cache key or value have different idempotency keys,
// and that a retry has the same key as the first write (invariant 1).
func TestKeysTellWritesApart(t *testing.T) {
	seen := map[string]bool{}
	for _, write := range []struct {
		ticket        uint64
		record, value string
	}{{1, "a", "bc"}, {2, "a", "bc"}, {1, "ab", "c"}, {1, "a", "bd"}, {1, "a", ""}, {1, "", "abc"}} {
		key := IdempotencyKey(write.ticket, write.record, []byte(write.value))
		again := IdempotencyKey(write.ticket, write.record, []byte(write.value))
		if seen[key] || key != again || len(key) != 32 {
			t.Errorf("%+v has the key %q", write, key)
		}
		seen[key] = true
	}
}
