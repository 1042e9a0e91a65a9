package clock

import (
	"testing"
	"time"
)

// TestTotalSleepIsSteady checks that TotalSleep grows by at most 100 ms over 1000 calls on a machine that does not
// sleep. The delay between the two clock readings must not look like sleep.
func TestTotalSleepIsSteady(t *testing.T) {
	first, largest := TotalSleep(), time.Duration(0)
	for range 1000 {
		largest = max(largest, TotalSleep())
	}
	if growth := largest - first; growth > 100*time.Millisecond && first > 0 || largest < -time.Second {
		t.Errorf("%v of sleep, then %v", first, largest)
	}
}

func TestSimulatedSleep(t *testing.T) {
	if slept := SimulatedSleep(time.Hour, time.Minute, 0)() - TotalSleep(); slept > time.Second {
		t.Errorf("slept %v an hour early", slept)
	}
	if slept := SimulatedSleep(0, time.Minute, 0)() - TotalSleep(); slept < 59*time.Second {
		t.Errorf("slept %v, want a minute", slept)
	}
	slow := SimulatedSleep(0, 0, -0.5)
	time.Sleep(100 * time.Millisecond)
	if drift := slow() - TotalSleep(); drift > -50*time.Millisecond || drift < -time.Minute {
		t.Errorf("drifted by %v, want -50ms or more", drift)
	}
}
