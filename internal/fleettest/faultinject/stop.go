package faultinject

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// StopSchedule describes stops of a process, as of a paused virtual machine, a swapping host or a debugger.
type StopSchedule struct {
	Duration time.Duration // of each stop
	Interval time.Duration // from the start of one stop to that of the next
	Count    int           // at least one
}

// stopTimeout bounds the wait until a process has stopped.
const stopTimeout = time.Second

// Run stops a process by the schedule. It always continues the process, also when ctx ends. stopped is called after
// each stop.
func (s StopSchedule) Run(ctx context.Context, pid int, stopped func(from, to time.Time)) error {
	for i := range max(s.Count, 1) {
		from := time.Now()
		if err := stopOnce(ctx, pid, s.Duration, stopped); err != nil {
			return err
		}
		if i+1 < s.Count {
			Sleep(ctx, s.Interval-time.Since(from))
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

func stopOnce(ctx context.Context, pid int, d time.Duration, stopped func(from, to time.Time)) error {
	from := time.Now()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stop process %d: %w", pid, err)
	}
	defer func() {
		syscall.Kill(pid, syscall.SIGCONT) // it fails if the process has ended, which is no matter
		stopped(from, time.Now())
	}()
	for until := from.Add(stopTimeout); !IsStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("stop process %d: it still runs", pid)
		}
	}
	Sleep(ctx, d-time.Since(from))
	return nil
}

// IsStopped reports whether a process is stopped.
func IsStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ") // after the name, which may contain anything
	return strings.HasPrefix(rest, "T")
}

// Sleep sleeps for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
