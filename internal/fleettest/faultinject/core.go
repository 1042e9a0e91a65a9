package faultinject

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"

	"golang.org/x/sys/unix"
)

// StarveCPU keeps a process on one core of the machine and takes most of that core from it,
// by so many busy processes beside it, until ctx ends. Then the process may use all cores that it
// might before.
func StarveCPU(ctx context.Context, pid, threads int) error {
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(pid, &before); err != nil {
		return fmt.Errorf("starve %d: %w", pid, err)
	}
	var cores []int
	for core := 0; len(cores) < before.Count(); core++ {
		if before.IsSet(core) {
			cores = append(cores, core)
		}
	}
	one.Set(cores[pid%len(cores)]) // or those that are starved side by side would share one
	if err := eachThread(pid, &one); err != nil {
		return err
	}
	// Processes of their own: busy threads in this one would take its time from those who play and judge. They end
	// with this one, whatever ends it.
	var busy []*exec.Cmd
	defer func() {
		for _, c := range busy {
			c.Process.Kill()
			c.Wait()
		}
	}()
	for range threads {
		c := exec.Command("sh", "-c", `while kill -0 "$0" 2>/dev/null; do :; done`, strconv.Itoa(os.Getpid()))
		if err := c.Start(); err != nil {
			return fmt.Errorf("starve %d: %w", pid, err)
		}
		busy = append(busy, c)
		if err := unix.SchedSetaffinity(c.Process.Pid, &one); err != nil {
			return fmt.Errorf("starve %d: %w", pid, err)
		}
	}
	<-ctx.Done()
	return eachThread(pid, &before)
}
