package faultinject

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"

	"golang.org/x/sys/unix"
)

// StarveCPU restricts the process pid to one core until ctx ends, and keeps that core busy with other processes. After
// that, the process may use the same cores as before.
func StarveCPU(ctx context.Context, pid, busyProcesses int) error {
	var before, core unix.CPUSet
	if err := unix.SchedGetaffinity(pid, &before); err != nil {
		return fmt.Errorf("starve process %d: %w", pid, err)
	}
	cores := listCores(&before)
	core.Set(cores[pid%len(cores)]) // different cores for processes that are starved together
	if err := setAffinity(pid, &core); err != nil {
		return err
	}
	var busy []*exec.Cmd
	defer func() {
		for _, c := range busy {
			c.Process.Kill()
			c.Wait()
		}
	}()
	for range busyProcesses {
		c, err := startBusyProcess(&core)
		if c != nil {
			busy = append(busy, c)
		}
		if err != nil {
			return fmt.Errorf("starve process %d: %w", pid, err)
		}
	}
	<-ctx.Done()
	return setAffinity(pid, &before)
}

// listCores returns the numbers of the cores in a set.
func listCores(set *unix.CPUSet) (cores []int) {
	for core := 0; len(cores) < set.Count(); core++ {
		if set.IsSet(core) {
			cores = append(cores, core)
		}
	}
	return cores
}

// startBusyProcess starts a process that keeps a core busy. Busy threads of this process would delay the test's clients
// and checks. The started process ends when this process ends, even if this process is killed.
func startBusyProcess(core *unix.CPUSet) (*exec.Cmd, error) {
	c := exec.Command("sh", "-c", `while kill -0 "$0" 2>/dev/null; do :; done`, strconv.Itoa(os.Getpid()))
	if err := c.Start(); err != nil {
		return nil, err
	}
	return c, unix.SchedSetaffinity(c.Process.Pid, core)
}
