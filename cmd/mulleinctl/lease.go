package main

import (
	"context"
	"fmt"
	"io"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

type leaseCommand struct {
	Hold    holdCommand  `cmd:"" help:"Run a command while holding a task; it is terminated before the lease ends."`
	List    listCommand  `cmd:"" help:"List all tasks, who holds them and who waits for them."`
	Show    showCommand  `cmd:"" help:"Show one task."`
	Release grantCommand `cmd:"" help:"End a grant at once; only if its holder is known to have exited."`
	Revoke  grantCommand `cmd:"" help:"Stop the renewal of a grant: it ends when its lease expires."`
	Limit   limitCommand `cmd:"" help:"Set how many holders a task may have at once."`
	Hand    handCommand  `cmd:"" help:"Revoke a grant, and move a waiting holder to the head of the queue."`
	Init    initCommand  `cmd:"" help:"Create a voter's storage; only once for each seat."`
	Enrol   voterCommand `cmd:"" help:"Add a voter under a new seat (its voter ID)."`
	Dismiss voterCommand `cmd:"" help:"Remove a voter; its seat is never used again."`
}

// grantCommand has the arguments that select one grant of a task.
type grantCommand struct {
	voterFlags
	Task  string `arg:""`
	Token uint64 `arg:"" name:"number" help:"Number of the grant, as shown by list."`
}

type handCommand struct {
	grantCommand
	To string `arg:"" help:"Name of the waiting holder, as shown by list."`
}

type limitCommand struct {
	voterFlags
	Task       string `arg:""`
	MaxHolders int    `arg:"" name:"most"`
}

type voterCommand struct {
	voterFlags
	Name string `arg:"" help:"Name of the voter, one of --voters."`
}

type initCommand struct {
	voterFlags
	Memory string `required:"" help:"Path of the storage file, which must not exist yet."`
	Seat   uint64 `help:"Seat that enrol printed; omitted for the first voters of a new fleet."`
}

// run executes the verb of mulleinctl lease.
func (c *leaseCommand) run(ctx context.Context, verb string, out, log io.Writer) error {
	switch verb {
	case "hold":
		return c.Hold.run(ctx, out, log)
	case "list":
		return c.List.run(ctx, "", out)
	case "show":
		return c.Show.run(ctx, c.Show.Task, out)
	case "enrol":
		return c.Enrol.add(ctx, out)
	case "init":
		return c.Init.run()
	case "release":
		return c.Release.execute(ctx, c.Release.command(lease.Release))
	case "revoke":
		return c.Revoke.execute(ctx, c.Revoke.command(lease.Revoke))
	case "hand":
		command := c.Hand.command(lease.HandOver)
		command.To = c.Hand.To
		return c.Hand.execute(ctx, command)
	case "limit":
		command := lease.Command{Kind: lease.SetLimit, Task: c.Limit.Task, MaxHolders: c.Limit.MaxHolders}
		return c.Limit.execute(ctx, command)
	case "dismiss":
		return c.Dismiss.execute(ctx, lease.Command{Kind: lease.RemoveVoter, To: c.Dismiss.Name})
	}
	return fmt.Errorf("%w: unknown command \"lease %s\"", errUsage, verb)
}

// command returns a lease command of the given kind for the selected grant.
func (c *grantCommand) command(kind lease.CommandKind) lease.Command {
	return lease.Command{Kind: kind, Task: c.Task, Token: c.Token}
}

// run creates the storage of a voter.
func (c *initCommand) run() error {
	fleet := c.fleet()
	if c.Seat > 0 {
		return agent.InitJoiningVoter(c.Memory, &fleet, c.Seat)
	}
	return agent.InitVoter(c.Memory, &fleet)
}

// add adds a voter to the fleet, and prints its seat and how to create its storage.
func (c *voterCommand) add(ctx context.Context, out io.Writer) error {
	if err := c.execute(ctx, lease.Command{Kind: lease.AddVoter, To: c.Name}); err != nil {
		return err
	}
	state, err := c.state(ctx)
	if err != nil {
		return err
	}
	seat := state.StateMachine.VoterID(c.Name)
	fmt.Fprintf(out, "%s has seat %d: create its storage with mulleinctl lease init --seat %d, then start it\n",
		c.Name, seat, seat)
	return nil
}
