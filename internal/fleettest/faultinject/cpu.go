package faultinject

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"

	"golang.org/x/sys/unix"
)

// StarveCPU keeps a process on one core and takes most of that core from it, by so many busy processes, until ctx ends.
// Then the process may use all cores that it could use before.
func StarveCPU(ctx context.Context, pid, busyProcesses int) error {
	var before, core unix.CPUSet
	if err := unix.SchedGetaffinity(pid, &before); err != nil {
		return fmt.Errorf("starve process %d: %w", pid, err)
	}
	cores := listCores(&before)
	core.Set(cores[pid%len(cores)]) // different cores for processes that are starved together
	if err := eachThread(pid, &core); err != nil {
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
	return eachThread(pid, &before)
}

// listCores returns the numbers of the cores of a set.
func listCores(set *unix.CPUSet) (cores []int) {
	for core := 0; len(cores) < set.Count(); core++ {
		if set.IsSet(core) {
			cores = append(cores, core)
		}
	}
	return cores
}

// startBusyProcess starts a process that uses all of a core. It is a process of its own, because busy threads of this
// one would delay the clients and the checks of the test. It ends with this process, however that ends.
func startBusyProcess(core *unix.CPUSet) (*exec.Cmd, error) {
	c := exec.Command("sh", "-c", `while kill -0 "$0" 2>/dev/null; do :; done`, strconv.Itoa(os.Getpid()))
	if err := c.Start(); err != nil {
		return nil, err
	}
	return c, unix.SchedSetaffinity(c.Process.Pid, core)
}
