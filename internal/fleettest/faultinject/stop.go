package faultinject

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Stop is a schedule of standing still, as a paused virtual machine, a host that swaps or a
// debugger has it: Times stops of For each, one every Every.
type Stop struct {
	For   time.Duration
	Every time.Duration // from the beginning of one to that of the next
	Times int           // at least one
}

// settleTime bounds the wait for a process to stand.
const settleTime = time.Second

// Do stops a process by its schedule and continues it, always, also when ctx ends. Each stop
// is told when it stands and when it has been continued.
func (s Stop) Do(ctx context.Context, pid int, told func(from, to time.Time)) error {
	for i := range max(s.Times, 1) {
		from := time.Now()
		if err := stopOnce(ctx, pid, s.For, told); err != nil {
			return err
		}
		if i+1 < s.Times {
			Wait(ctx, s.Every-time.Since(from))
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
	for until := from.Add(settleTime); !Stands(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("stop of %d: it goes on", pid)
		}
	}
	Wait(ctx, d-time.Since(from))
	return nil
}

// Stands tells whether a process is stopped.
func Stands(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold anything
	return strings.HasPrefix(rest, "T")
}

// Wait lets a time go by, or returns when ctx ends.
func Wait(ctx context.Context, d time.Duration) {
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
