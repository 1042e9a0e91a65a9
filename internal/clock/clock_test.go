package clock

import (
	"testing"
	"time"
)

// TestAheadIsSteady guards the looks that compare two readings: a machine that doesn't sleep must not
// seem to.
func TestAheadIsSteady(t *testing.T) {
	first, most := Ahead(), time.Duration(0)
	for range 1000 {
		most = max(most, Ahead())
	}
	if by := most - first; by > 100*time.Millisecond && first > 0 || most < -time.Second {
		t.Errorf("%v ahead, then %v", first, most)
	}
}

func TestSleeping(t *testing.T) {
	if by := Sleeping(time.Hour, time.Minute, 0)() - Ahead(); by > time.Second {
		t.Errorf("asleep by %v an hour early", by)
	}
	if by := Sleeping(0, time.Minute, 0)() - Ahead(); by < 59*time.Second {
		t.Errorf("asleep by %v, want a minute", by)
	}
	slow := Sleeping(0, 0, -0.5)
	time.Sleep(100 * time.Millisecond)
	if by := slow() - Ahead(); by > -50*time.Millisecond || by < -time.Minute {
		t.Errorf("ahead by %v, want 50 ms back and more", by)
	}
}
