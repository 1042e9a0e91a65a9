package faultinject

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/delay"
)

// StopSchedule describes stops of a process, such as a paused virtual machine, a swapping host or a debugger causes.
type StopSchedule struct {
	Duration time.Duration // length of each stop
	Interval time.Duration // from the start of one stop to the start of the next
	Count    int           // number of stops; below 1 counts as 1
}

// stopTimeout limits the wait until a process has stopped.
const stopTimeout = time.Second

// Run stops a process by the schedule, until ctx ends. It always continues the process, even if ctx ends or a stop
// fails. It calls stopped with the start and the end of each stop, after the stop.
func (s StopSchedule) Run(ctx context.Context, pid int, stopped func(from, to time.Time)) error {
	for i := range max(s.Count, 1) {
		from := time.Now()
		if err := stopOnce(ctx, pid, s.Duration, stopped); err != nil {
			return err
		}
		if i+1 < s.Count {
			delay.Wait(ctx, s.Interval-time.Since(from))
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
		syscall.Kill(pid, syscall.SIGCONT) // fails only if the process has ended
		stopped(from, time.Now())
	}()
	for until := from.Add(stopTimeout); !IsStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("stop process %d: it is still running", pid)
		}
	}
	delay.Wait(ctx, d-time.Since(from))
	return nil
}

// IsStopped reports whether a process is stopped by a signal. It returns false if there is no such process.
func IsStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the state follows the program's name, which may contain spaces
	return strings.HasPrefix(rest, "T")
}
