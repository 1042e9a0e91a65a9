package pause

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestStallsAreReported checks that a time from MinStall on between two checks is a stall, unless it is long enough
// for a pause.
func TestStallsAreReported(t *testing.T) {
	for duration, want := range map[time.Duration]bool{
		DefaultLimits.CheckInterval: false,
		MinStall - 1:                false,
		MinStall:                    true,
		150 * ms:                    true,
		DefaultLimits.MinPause - 1:  true,
		DefaultLimits.MinPause:      false,
		time.Hour:                   false,
	} {
		var tracker StallTracker
		got := tracker.Observe(5*time.Second, 5*time.Second+duration)
		if got != want || (tracker.Latest().Duration() == duration) != want {
			t.Errorf("%v between two checks: reported %v, latest %v", duration, got, tracker.Latest())
		}
	}
}

// TestSafetyMarginCoversRecentStalls checks in random runs that a response that is due earlier by the margin is
// late by lateTolerance at most after a stall no longer than recent ones, and that no stall is remembered forever.
func TestSafetyMarginCoversRecentStalls(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		var tracker StallTracker
		var now, worst, last time.Duration
		for range 200 {
			start := now + time.Duration(random.Int64N(int64(4*time.Second)))
			now = start + time.Duration(random.Int64N(int64(200*ms)))
			if tracker.Observe(start, now) {
				if now-last > stallMemory {
					worst = 0
				}
				worst, last = max(worst, now-start), now
			}
			timeout := time.Duration(random.Int64N(int64(3 * time.Second)))
			margin := tracker.SafetyMargin(now, timeout)
			if margin < 0 || margin > timeout*6/10+1 {
				t.Fatalf("seed %d: margin %v of a timeout of %v", seed, margin, timeout)
			}
			recent := now-last < stallMemory && now-start >= MinStall
			if recent && timeout >= time.Second && now-start-margin > lateTolerance {
				t.Fatalf("seed %d: a stall of %v and a margin of %v", seed, now-start, margin)
			}
		}
		if got := tracker.Worst(now + 2*stallMemory); got != 0 {
			t.Fatalf("seed %d: %v is remembered after %v", seed, got, 2*stallMemory)
		}
	}
}

func TestDelayedByStall(t *testing.T) {
	stall := Interval{Start: 1000 * ms, End: 1150 * ms}
	for _, test := range []struct {
		name    string
		read    ReadTiming
		since   time.Duration
		delayed bool
	}{
		{"read at its end", ReadTiming{10 * ms, 20 * ms, 1150 * ms}, 1000 * ms, true},
		{"read after others", ReadTiming{10 * ms, 20 * ms, 1170 * ms}, 1000 * ms, true},
		{"on a new connection", ReadTiming{0, 1160 * ms, 1160 * ms}, 1000 * ms, true},
		{"drained within", ReadTiming{1100 * ms, 1100 * ms, 1155 * ms}, 1100 * ms, true},
		{"drained since", ReadTiming{1152 * ms, 1152 * ms, 1160 * ms}, 0, false},
		{"read long after", ReadTiming{10 * ms, 20 * ms, 1150*ms + readDelay + 1}, 0, false},
		{"read before", ReadTiming{10 * ms, 20 * ms, 999 * ms}, 0, false},
	} {
		since, delayed := DelayedByStall(test.read, stall)
		if since != test.since || delayed != test.delayed {
			t.Errorf("%s: since %v, %v, want %v, %v", test.name, since, delayed, test.since, test.delayed)
		}
	}
	if _, delayed := DelayedByStall(ReadTiming{Ended: 5 * ms}, Interval{}); delayed {
		t.Error("delayed without a stall")
	}
}
