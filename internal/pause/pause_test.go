package pause

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPausesAreTold: what is longer than ticks are apart is a pause, what a Module tells is none.
func TestPausesAreTold(t *testing.T) {
	for long, want := range map[time.Duration]bool{DefaultLimits.CheckInterval: false, MinStall - 1: false, MinStall: true, 150 * ms: true,
		DefaultLimits.MinPause - 1: true, DefaultLimits.MinPause: false, time.Hour: false} {
		var p StallTracker
		if got := p.Observe(5*time.Second, 5*time.Second+long); got != want || (p.Latest().Duration() == long) != want {
			t.Errorf("%v between two looks: told %v, latest %v", long, got, p.Latest())
		}
	}
}

// TestMarginCoversThePausesOfLate: in random lives an answer that is due by the margin sooner is late by no more
// than the slack, whatever pause no longer than those before falls on it, and no pause is remembered for ever.
func TestMarginCoversThePausesOfLate(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		var p StallTracker
		now, worst, last := time.Duration(0), time.Duration(0), time.Duration(0)
		for range 200 {
			from := now + time.Duration(r.Int64N(int64(4*time.Second)))
			now = from + time.Duration(r.Int64N(int64(200*ms)))
			if p.Observe(from, now) {
				if now-last > stallMemory {
					worst = 0
				}
				worst, last = max(worst, now-from), now
			}
			wait := time.Duration(r.Int64N(int64(3 * time.Second)))
			margin := p.SafetyMargin(now, wait)
			if margin < 0 || margin > wait*6/10+1 {
				t.Fatalf("seed %d: margin %v of a wait of %v", seed, margin, wait)
			}
			if now-last < stallMemory && wait >= time.Second && now-from-margin > lateTolerance && now-from >= MinStall {
				t.Fatalf("seed %d: a pause of %v and a margin of %v", seed, now-from, margin)
			}
		}
		if got := p.Worst(now + 2*stallMemory); got != 0 {
			t.Fatalf("seed %d: %v is remembered after %v", seed, got, 2*stallMemory)
		}
	}
}

func TestDelayed(t *testing.T) {
	pause := Interval{Start: 1000 * ms, End: 1150 * ms}
	for _, c := range []struct {
		name    string
		read    ReadTiming
		since   time.Duration
		delayed bool
	}{
		{"read at its end", ReadTiming{10 * ms, 20 * ms, 1150 * ms}, 1000 * ms, true},
		{"read behind others", ReadTiming{10 * ms, 20 * ms, 1170 * ms}, 1000 * ms, true},
		{"on a new connection", ReadTiming{0, 1160 * ms, 1160 * ms}, 1000 * ms, true},
		{"read clean within", ReadTiming{1100 * ms, 1100 * ms, 1155 * ms}, 1100 * ms, true},
		{"read clean since", ReadTiming{1152 * ms, 1152 * ms, 1160 * ms}, 0, false},
		{"read long after", ReadTiming{10 * ms, 20 * ms, 1150*ms + readDelay + 1}, 0, false},
		{"read before", ReadTiming{10 * ms, 20 * ms, 999 * ms}, 0, false},
	} {
		if since, delayed := DelayedByStall(c.read, pause); since != c.since || delayed != c.delayed {
			t.Errorf("%s: since %v, %v", c.name, since, delayed)
		}
	}
	if _, delayed := DelayedByStall(ReadTiming{Ended: 5 * ms}, Interval{}); delayed {
		t.Error("delayed without a pause")
	}
}
