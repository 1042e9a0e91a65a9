package faultinject

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestStopEnds checks that a process is stopped for the duration in the schedule and then continues, even if the
// context ends during the stop (invariant 1: every fault ends, and no process is left stopped).
func TestStopEnds(t *testing.T) {
	pid := startProcess(t, "sleep", "60")
	var stops []time.Duration
	stopped := func(from, to time.Time) { stops = append(stops, to.Sub(from)) }
	schedule := StopSchedule{Duration: 50 * time.Millisecond, Interval: 60 * time.Millisecond, Count: 3}
	if err := schedule.Run(context.Background(), pid, stopped); err != nil {
		t.Fatal(err)
	}
	for _, d := range stops {
		if d < 50*time.Millisecond {
			t.Errorf("stopped for %v", d)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- StopSchedule{Duration: time.Hour}.Run(ctx, pid, stopped) }()
	testutil.WaitUntil(t, "the process to stop", func() bool { return IsStopped(pid) })
	cancel()
	testutil.Receive(t, "the stop to end", ended)
	testutil.WaitUntil(t, "the process to continue", func() bool { return !IsStopped(pid) })
	if len(stops) != 4 {
		t.Errorf("%d stops reported", len(stops))
	}
}

// TestStarvingAndFullBacklogEnd checks that StarveCPU and FillBacklog return when their contexts end (invariant 1:
// every fault ends).
func TestStarvingAndFullBacklogEnd(t *testing.T) {
	pid := startProcess(t, "sleep", "60")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := StarveCPU(ctx, pid, 1); err != nil {
		t.Error(err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if count := FillBacklog(ctx, startEcho(t), 5); count != 5 {
		t.Errorf("%d connections, want 5", count)
	}
}

// TestFullDiskEnds checks that a process writes nothing to a file during FullDisk, and can write again afterwards.
func TestFullDiskEnds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out")
	pid := startProcess(t, "sh", "-c", "trap '' XFSZ; while :; do echo line >> "+path+"; sleep 0.01; done")
	size := func() int64 {
		info, err := os.Stat(path)
		if err != nil {
			return 0
		}
		return info.Size()
	}
	testutil.WaitUntil(t, "a first line", func() bool { return size() > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- FullDisk(ctx, pid, time.Hour) }()
	last, unchanged := int64(-1), 0
	testutil.WaitUntil(t, "the file to stop growing", func() bool {
		time.Sleep(50 * time.Millisecond)
		now := size()
		if now == last {
			unchanged++
		} else {
			last, unchanged = now, 0
		}
		return unchanged >= 4
	})
	cancel()
	if err := testutil.Receive(t, "the fault to end", ended); err != nil {
		t.Error(err)
	}
	testutil.WaitUntil(t, "the file to grow again", func() bool { return size() > last })
}
