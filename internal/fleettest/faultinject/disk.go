package faultinject

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// FullDisk has a process write nothing to files for a time or until ctx ends, as on a full disk: each write fails (with
// EFBIG in place of ENOSPC), and a write in progress is cut short. That includes the process's log.
func FullDisk(ctx context.Context, pid int, d time.Duration) error {
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &before); err != nil {
		return fmt.Errorf("full disk of process %d: %w", pid, err)
	}
	full := unix.Rlimit{Cur: 1, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &full, nil); err != nil {
		return fmt.Errorf("full disk of process %d: %w", pid, err)
	}
	Sleep(ctx, d)
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil) // it fails if the process has ended, which is no matter
	return nil
}
