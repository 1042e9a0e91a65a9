package faultinject

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// StopSchedule is a schedule of standing still, as a paused virtual machine, a host that swaps or a
// debugger has it: Times stops of For each, one every Every.
type StopSchedule struct {
	Duration time.Duration
	Interval time.Duration // from the beginning of one to that of the next
	Count    int           // at least one
}

// settleTime bounds the wait for a process to stand.
const settleTime = time.Second

// Run stops a process by its schedule and continues it, always, also when ctx ends. Each stop
// is told when it stands and when it has been continued.
func (s StopSchedule) Run(ctx context.Context, pid int, told func(from, to time.Time)) error {
	for i := range max(s.Count, 1) {
		from := time.Now()
		if err := stopOnce(ctx, pid, s.Duration, told); err != nil {
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

func stopOnce(ctx context.Context, pid int, d time.Duration, told func(from, to time.Time)) error {
	from := time.Now()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stop of %d: %w", pid, err)
	}
	defer func() {
		syscall.Kill(pid, syscall.SIGCONT) // of one that has died meanwhile there is nothing to continue
		told(from, time.Now())
	}()
	for until := from.Add(settleTime); !IsStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("stop of %d: it goes on", pid)
		}
	}
	Sleep(ctx, d-time.Since(from))
	return nil
}

// IsStopped tells whether a process is stopped.
func IsStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold anything
	return strings.HasPrefix(rest, "T")
}

// Sleep lets a time go by, or returns when ctx ends.
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
