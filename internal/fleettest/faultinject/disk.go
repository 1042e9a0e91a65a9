package faultinject

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// FullDisk has a process write nothing to files for a time, as on a full disk: each write fails (EFBIG in place of
// ENOSPC), and what was being written is cut short. Its log is among what it can't write. It ends with ctx too.
func FullDisk(ctx context.Context, pid int, d time.Duration) error {
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &before); err != nil {
		return fmt.Errorf("full disk of %d: %w", pid, err)
	}
	full := unix.Rlimit{Cur: 1, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &full, nil); err != nil {
		return fmt.Errorf("full disk of %d: %w", pid, err)
	}
	Sleep(ctx, d)
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil) // of one that has died meanwhile there is nothing to mend
	return nil
}
