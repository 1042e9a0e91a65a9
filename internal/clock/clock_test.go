package clock

import (
	"testing"
	"time"
)

// TestAheadIsSteady guards the looks that compare two readings: a machine that doesn't sleep must not
// seem to.
func TestAheadIsSteady(t *testing.T) {
	first, most := TotalSleep(), time.Duration(0)
	for range 1000 {
		most = max(most, TotalSleep())
	}
	if by := most - first; by > 100*time.Millisecond && first > 0 || most < -time.Second {
		t.Errorf("%v ahead, then %v", first, most)
	}
}

func TestSleeping(t *testing.T) {
	if by := SimulatedSleep(time.Hour, time.Minute, 0)() - TotalSleep(); by > time.Second {
		t.Errorf("asleep by %v an hour early", by)
	}
	if by := SimulatedSleep(0, time.Minute, 0)() - TotalSleep(); by < 59*time.Second {
		t.Errorf("asleep by %v, want a minute", by)
	}
	slow := SimulatedSleep(0, 0, -0.5)
	time.Sleep(100 * time.Millisecond)
	if by := slow() - TotalSleep(); by > -50*time.Millisecond || by < -time.Minute {
		t.Errorf("ahead by %v, want 50 ms back and more", by)
	}
}
