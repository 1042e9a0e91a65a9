package faultinject

import (
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// eachThread sets on which cores all threads of a process may run.
func eachThread(pid int, set *unix.CPUSet) error {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return fmt.Errorf("threads of %d: %w", pid, err)
	}
	for _, t := range threads {
		id, err := strconv.Atoi(t.Name())
		if err != nil {
			continue
		}
		if err := unix.SchedSetaffinity(id, set); err != nil && err != unix.ESRCH {
			return fmt.Errorf("thread %d: %w", id, err)
		}
	}
	return nil
}
