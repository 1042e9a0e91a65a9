package faultinject

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// setAffinity sets the cores on which the threads of a process may run.
func setAffinity(pid int, set *unix.CPUSet) error {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return fmt.Errorf("threads of process %d: %w", pid, err)
	}
	for _, t := range threads {
		id, err := strconv.Atoi(t.Name())
		if err != nil {
			continue
		}
		// ESRCH means that the thread has ended since the folder was read.
		if err := unix.SchedSetaffinity(id, set); err != nil && !errors.Is(err, unix.ESRCH) {
			return fmt.Errorf("thread %d: %w", id, err)
		}
	}
	return nil
}
