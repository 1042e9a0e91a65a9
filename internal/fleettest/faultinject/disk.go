package faultinject

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"mulleinpier/internal/delay"
)

// FullDisk simulates a full disk for a process, for the duration d or until ctx ends: each write to a file fails (with
// EFBIG instead of ENOSPC), and a write in progress is cut short. This applies to the process's log, too.
func FullDisk(ctx context.Context, pid int, d time.Duration) error {
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &before); err != nil {
		return fmt.Errorf("full disk of process %d: %w", pid, err)
	}
	full := unix.Rlimit{Cur: 1, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &full, nil); err != nil {
		return fmt.Errorf("full disk of process %d: %w", pid, err)
	}
	delay.Wait(ctx, d)
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil) // fails only if the process has ended
	return nil
}
