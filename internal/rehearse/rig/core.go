package rig

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

// Starve keeps a process on one core of the machine and takes most of that core from it,
// by so many busy threads beside it, until ctx ends. Then the process may use all cores that it
// might before.
func Starve(ctx context.Context, pid, threads int) error {
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(pid, &before); err != nil {
		return fmt.Errorf("starve %d: %w", pid, err)
	}
	core := 0
	for !before.IsSet(core) {
		core++
	}
	one.Set(core)
	if err := eachThread(pid, &one); err != nil {
		return err
	}
	var busy sync.WaitGroup
	for range threads {
		busy.Go(func() {
			runtime.LockOSThread() // never unlocked: the thread ends with its goroutine, and its affinity
			unix.SchedSetaffinity(0, &one)
			for ctx.Err() == nil {
			}
		})
	}
	busy.Wait()
	return eachThread(pid, &before)
}
