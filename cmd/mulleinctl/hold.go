package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

type holdCommand struct {
	voterFlags
	Task    string        `arg:"" help:"Task to hold."`
	Command []string      `arg:"" passthrough:"" help:"Command to run, after --."`
	Length  time.Duration `default:"5s" help:"Duration of the lease: others wait this long if this machine fails."`
	Wait    time.Duration `default:"0s" help:"How long to wait while others hold the task; 0 to fail at once."`
	Name    string        `help:"Name of the holder; the host name if omitted."`
	Grace   time.Duration `default:"500ms" help:"Time between SIGTERM and SIGKILL when the lease ends."`
}

// Environment variables that are set for the command that runs under a lease.
const (
	tokenVariable = "MULLEIN_LEASE" // the fencing token
	taskVariable  = "MULLEIN_TASK"
)

// run waits for the lease, and runs the command while the lease is held.
func (c *holdCommand) run(ctx context.Context, out, log io.Writer) error {
	argv := c.Command
	if len(argv) > 0 && argv[0] == "--" {
		argv = argv[1:]
	}
	if len(argv) == 0 {
		return fmt.Errorf("%w: lease hold: want a command after --", errUsage)
	}
	name := c.Name
	if name == "" {
		name, _ = os.Hostname() // the name may be empty: the agent makes holder names unique
	}
	voters, err := c.open()
	if err != nil {
		return err
	}
	defer voters.Close()
	holder, err := voters.Hold(ctx, c.Task, name, c.Length, c.Wait > 0)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer holder.Close()
	if err := c.await(ctx, holder); err != nil {
		return err
	}
	// runCommand itself terminates the command: when a signal cancels ctx, or, by LostBefore, when the lease is due to
	// end after the grace period and killMargin. RunGuarded must run until the command has ended, so its context is not
	// canceled with ctx. The context that RunGuarded passes to its action would be canceled too late.
	return holder.RunGuarded(context.WithoutCancel(ctx), func(_ context.Context, token uint64) error {
		return c.runCommand(ctx, holder, argv, token, out, log)
	})
}

// await waits until the lease is held. If others hold the task for the longer of --wait and --within, and --wait is
// set, the error is lease.ErrHeld.
func (c *holdCommand) await(ctx context.Context, holder *agent.Holder) error {
	ctx, cancel := context.WithTimeout(ctx, max(c.Wait, c.Within))
	defer cancel()
	_, err := holder.Await(ctx)
	if errors.Is(err, context.DeadlineExceeded) && c.Wait > 0 {
		return lease.ErrHeld
	}
	return err
}

// killMargin is the time between the end of the grace period and the end of the lease.
const killMargin = 50 * time.Millisecond

// runCommand runs the command under a grant, and terminates it before the lease ends: if the lease is not renewed,
// runCommand sends SIGTERM when only the grace period and killMargin are left.
func (c *holdCommand) runCommand(
	ctx context.Context, holder *agent.Holder, argv []string, token uint64, out, log io.Writer,
) (err error) {
	lost := holder.LostBefore(ctx, c.Grace+killMargin)
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", tokenVariable, token), taskVariable+"="+c.Task)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, out, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-lost:
		err = agent.ErrLeaseLost
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.endCommand(cmd.Process.Pid, ended)
	return err
}

// endCommand sends SIGTERM to the command's process group, and SIGKILL if the command has not exited after the grace
// period. It returns when the command has exited.
func (c *holdCommand) endCommand(pid int, ended <-chan error) {
	syscall.Kill(-pid, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(c.Grace):
		syscall.Kill(-pid, syscall.SIGKILL)
		<-ended
	}
}
