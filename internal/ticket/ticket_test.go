package ticket

import (
	"math/rand/v2"
	"testing"
	"time"
)

const window = 1500 * time.Millisecond

// TestNoRepeatOutlivesTheWindow plays issues and repeats at proxies whose clocks are
// off, and guards invariant 2: between the issue and the last moment at which a ticket
// is taken lies less than the window, in true time.
func TestNoRepeatOutlivesTheWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	taken := 0
	for range 200000 {
		issue := time.UnixMilli(1e12 + rng.Int64N(1e12)).Add(time.Duration(rng.Int64N(1e6)))
		off := func() time.Duration { return time.Duration(rng.Int64N(int64(Margin/2))) - Margin/4 }
		tk := New(issue.Add(off()), rng.Uint64())
		after := time.Duration(rng.Int64N(int64(3 * time.Second)))
		left := Remaining(tk, issue.Add(after).Add(off()), window)
		if left > 0 {
			if taken++; after+left > window {
				t.Fatalf("taken %v after its issue with %v left: past the window", after, left)
			}
		} else if after < window-2*Margin {
			t.Fatalf("refused %v after its issue", after)
		}
	}
	if taken == 0 {
		t.Fatal("none was taken")
	}
}

// TestWhatWasNeverIssuedIsRefused guards invariant 3.
func TestWhatWasNeverIssuedIsRefused(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for name, tk := range map[string]uint64{
		"none": 0, "another server's": 1, "a large one": 987654321, "all bits": 1<<64 - 1,
		"tomorrow's": New(now.Add(24*time.Hour), 7), "yesterday's": New(now.Add(-24*time.Hour), 7),
		"of a clock far ahead": New(now.Add(Margin), 7), "just over": New(now.Add(Margin-window), 7),
	} {
		if left := Remaining(tk, now, window); left > 0 {
			t.Errorf("%s lives for %v", name, left)
		}
	}
	if left := Remaining(New(now, 7), now, window); left != window-Margin {
		t.Errorf("a new one lives for %v", left)
	}
	// 2^40 ms after 1970-01-01 lies in 2004, and again in 2039: no gap there.
	round := time.UnixMilli(1 << 41)
	if left := Remaining(New(round.Add(-time.Millisecond), 7), round, window); left != window-Margin-time.Millisecond {
		t.Errorf("as the bits come round, %v is left", left)
	}
}

// TestKeysTellWritesApart guards invariant 1.
func TestKeysTellWritesApart(t *testing.T) {
	seen := map[string]bool{}
	for _, w := range []struct {
		ticket        uint64
		record, value string
	}{{1, "a", "bc"}, {2, "a", "bc"}, {1, "ab", "c"}, {1, "a", "bd"}, {1, "a", ""}, {1, "", "abc"}} {
		k := IdempotencyKey(w.ticket, w.record, []byte(w.value))
		if seen[k] || k != IdempotencyKey(w.ticket, w.record, []byte(w.value)) || len(k) != 32 {
			t.Errorf("%+v has the key %q", w, k)
		}
		seen[k] = true
	}
}
