package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/peer"
)

// exitTaken and exitLost go on from the exit codes of reads and writes.
const (
	exitTaken = 6 // the task is held by another, and --wait was not given or has run out
	exitLost  = 7 // the lease ended before the command did, which was ended for it
)

// quorumOf says whom to ask for leases.
type quorumOf struct {
	Fleet  string        `required:"" env:"MULLEIN_FLEET" help:"The fleet's name."`
	Voters []string      `required:"" env:"MULLEIN_VOTERS" help:"The voters, name=host:port, separated by commas, in the order of the configuration."`
	Within time.Duration `default:"5s" help:"How long to try to reach a voter that can decide."`
}

func (q *quorumOf) fleet() agent.Fleet {
	f := agent.Fleet{Name: q.Fleet}
	for _, v := range q.Voters {
		name, address, _ := strings.Cut(v, "=")
		f.Voters = append(f.Voters, agent.VoterAddress{Name: name, Address: address})
	}
	return f
}

func (q *quorumOf) client() (*agent.Client, error) {
	c, err := agent.NewClient(q.fleet())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return c, nil
}

type leaseCommand struct {
	Hold    holdCommand   `cmd:"" help:"Run a command while holding a task; it is ended before the lease is."`
	List    listCommand   `cmd:"" help:"List all tasks, who holds and who waits."`
	Show    showCommand   `cmd:"" help:"Show one task."`
	Release numberCommand `cmd:"" help:"Give a grant back whose holder is known to have stopped for good."`
	Revoke  numberCommand `cmd:"" help:"Have a grant not renewed any more: it ends when its time is over."`
	Limit   limitCommand  `cmd:"" help:"Set how many may hold a task at once."`
	Hand    handCommand   `cmd:"" help:"Hand a grant to one that waits: it is revoked, and goes there first."`
	Init    initVoterCmd  `cmd:"" help:"Make a voter's memory, once in its life."`
	Enrol   voterCommand  `cmd:"" help:"Have a voter vote, under a new seat."`
	Dismiss voterCommand  `cmd:"" help:"Have a voter vote no more: its seat is never used again."`
}

type handCommand struct {
	numberCommand
	To string `arg:"" help:"The waiting holder's name, as list shows it."`
}

type voterCommand struct {
	quorumOf
	Name string `arg:"" help:"The voter, one of --voters."`
}

// fleetCommand tells who is in the fleet.
type fleetCommand struct {
	List fleetListCommand `cmd:"" help:"List all instances, and who of them lives."`
}

type fleetListCommand struct {
	quorumOf
	JSON bool `help:"As JSON."`
}

// mostLook bounds how long it takes until the opinions of all watchers have come.
const mostLook = 500 * time.Millisecond

func (c *fleetListCommand) run(ctx context.Context, out io.Writer) error {
	c.Within = min(c.Within, mostLook)
	var view []peer.MemberState
	var heard int
	if err := c.ask(ctx, func(ctx context.Context, client *agent.Client) error {
		view, heard = client.Members(ctx)
		return nil
	}); err != nil {
		return err
	}
	if heard == 0 {
		return errors.New("no voter answers")
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(view)
	}
	if heard <= len(c.Voters)/2 {
		fmt.Fprintf(out, "only %d of %d voters answer; what follows may be old\n", heard, len(c.Voters))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "instance\tzone\tstate\taddress\t")
	for _, m := range view {
		note := ""
		if m.Leaving {
			note = "drains"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\n", m.Name, m.Zone, m.State, m.Address, note)
	}
	return w.Flush()
}

type holdCommand struct {
	quorumOf
	Task    string        `arg:"" help:"The task."`
	Command []string      `arg:"" passthrough:"" help:"The command, behind --."`
	Length  time.Duration `default:"5s" help:"The lease's length: as long as others wait when this machine is lost."`
	Wait    time.Duration `default:"0s" help:"How long to wait for the task; 0 for not at all."`
	Name    string        `help:"What the holder is called; the host's name if left out."`
	Grace   time.Duration `default:"500ms" help:"Between SIGTERM and SIGKILL when the lease ends."`
}

type listCommand struct {
	quorumOf
	JSON bool `help:"As JSON."`
}

type showCommand struct {
	listCommand
	Task string `arg:""`
}

type numberCommand struct {
	quorumOf
	Task   string `arg:""`
	Number uint64 `arg:"" help:"The grant's number, as list shows it."`
}

type limitCommand struct {
	quorumOf
	Task string `arg:""`
	Most int    `arg:""`
}

type initVoterCmd struct {
	quorumOf
	Memory string `required:"" help:"Path of the file, which must not be there."`
	Seat   uint64 `help:"The seat that enrol has told; left out for the first voters of a new fleet."`
}

// run carries out one of the verbs, named as the parser names it.
func (c *leaseCommand) run(ctx context.Context, verb string, out, log io.Writer) error {
	switch verb {
	case "hold":
		return c.Hold.run(ctx, out, log)
	case "list":
		return c.List.run(ctx, "", out)
	case "show":
		return c.Show.run(ctx, c.Show.Task, out)
	case "release":
		return decide(ctx, &c.Release.quorumOf, lease.Command{Kind: lease.Release, Task: c.Release.Task, Token: c.Release.Number})
	case "revoke":
		return decide(ctx, &c.Revoke.quorumOf, lease.Command{Kind: lease.Revoke, Task: c.Revoke.Task, Token: c.Revoke.Number})
	case "hand":
		return decide(ctx, &c.Hand.quorumOf, lease.Command{Kind: lease.HandOver, Task: c.Hand.Task, Token: c.Hand.Number, To: c.Hand.To})
	case "enrol":
		return c.Enrol.enrol(ctx, out)
	case "dismiss":
		return decide(ctx, &c.Dismiss.quorumOf, lease.Command{Kind: lease.RemoveVoter, To: c.Dismiss.Name})
	case "limit":
		return decide(ctx, &c.Limit.quorumOf, lease.Command{Kind: lease.SetLimit, Task: c.Limit.Task, MaxHolders: c.Limit.Most})
	}
	f := c.Init.fleet()
	if c.Init.Seat > 0 {
		return agent.InitJoiningVoter(c.Init.Memory, &f, c.Init.Seat)
	}
	return agent.InitVoter(c.Init.Memory, &f)
}

// enrol gives a voter a seat, and tells how its memory is made.
func (c *voterCommand) enrol(ctx context.Context, out io.Writer) error {
	if err := decide(ctx, &c.quorumOf, lease.Command{Kind: lease.AddVoter, To: c.Name}); err != nil {
		return err
	}
	s, err := c.state(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s has seat %d: make its memory with mulleinctl lease init --seat %d, then start it\n", c.Name, s.StateMachine.VoterID(c.Name), s.StateMachine.VoterID(c.Name))
	return nil
}

// ask does something with the voters in the time that it may take.
func (q *quorumOf) ask(ctx context.Context, do func(ctx context.Context, c *agent.Client) error) error {
	c, err := q.client()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	return do(ctx, c)
}

// decide has the voters carry out a command.
func decide(ctx context.Context, q *quorumOf, command lease.Command) error {
	return q.ask(ctx, func(ctx context.Context, c *agent.Client) error {
		_, err := c.Execute(ctx, command)
		return err
	})
}

// state asks the voters for all that they know.
func (q *quorumOf) state(ctx context.Context) (s agent.VoterState, err error) {
	err = q.ask(ctx, func(ctx context.Context, c *agent.Client) error {
		s, err = c.LeaderState(ctx)
		return err
	})
	return s, err
}

func (c *listCommand) run(ctx context.Context, only string, out io.Writer) error {
	s, err := c.state(ctx)
	if err != nil {
		return err
	}
	if only != "" && s.StateMachine.Tasks[only] == nil {
		return fmt.Errorf("%w: nobody has asked for task %q", lease.ErrUnknownGrant, only)
	}
	if c.JSON {
		if only != "" {
			return json.NewEncoder(out).Encode(s.StateMachine.Tasks[only])
		}
		return json.NewEncoder(out).Encode(s)
	}
	if !s.IsLeader {
		fmt.Fprintf(out, "%s knows of no leader; what follows may be old\n", s.Voter)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "task\tat once\tnumber\theld by\tlength\tends within\t")
	names := make([]string, 0, len(s.StateMachine.Tasks))
	for name := range s.StateMachine.Tasks {
		if only == "" || name == only {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		t := s.StateMachine.Tasks[name]
		for _, g := range t.Grants {
			left, note := "?", ""
			if l, ok := s.SecondsLeft[g.Token]; ok {
				left = time.Duration(l * float64(time.Second)).Round(time.Millisecond).String()
			}
			if g.Revoked {
				note = "revoked"
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%v\t%s\t%s\n", name, t.MaxHolders, g.Token, g.Holder, g.Duration, left, note)
		}
		for i, x := range t.Waiters {
			fmt.Fprintf(w, "%s\t%d\t\t%s\t%v\t\twaits, place %d\n", name, t.MaxHolders, x.Holder, x.Duration, i+1)
		}
		if len(t.Grants)+len(t.Waiters) == 0 {
			fmt.Fprintf(w, "%s\t%d\t\t\t\t\tfree\n", name, t.MaxHolders)
		}
	}
	return w.Flush()
}

func (c *holdCommand) run(ctx context.Context, out, log io.Writer) error {
	argv := c.Command
	if len(argv) > 0 && argv[0] == "--" {
		argv = argv[1:]
	}
	if len(argv) == 0 {
		return fmt.Errorf("%w: hold wants a command behind --", errUsage)
	}
	name := c.Name
	if name == "" {
		name, _ = os.Hostname()
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	h, err := client.Hold(ctx, c.Task, name, c.Length, c.Wait > 0)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer h.Close()
	patience, cancel := context.WithTimeout(ctx, max(c.Wait, c.Within))
	defer cancel()
	_, err = h.Await(patience)
	if errors.Is(err, context.DeadlineExceeded) && c.Wait > 0 {
		err = lease.ErrHeld
	}
	if err != nil {
		return err
	}
	return h.RunGuarded(context.WithoutCancel(ctx), func(_ context.Context, number uint64) error { return c.act(ctx, h, argv, number, out, log) })
}

// act runs the command under a grant.
func (c *holdCommand) act(ctx context.Context, h *agent.Holder, argv []string, number uint64, out, log io.Writer) (err error) {
	// The command is ended before the lease is: a renewal that does not come in time is noticed while
	// there is still the grace left.
	lost := h.LostBefore(ctx, c.Grace+50*time.Millisecond)
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("MULLEIN_LEASE=%d", number), "MULLEIN_TASK="+c.Task)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, out, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	signal := func(s syscall.Signal) { syscall.Kill(-cmd.Process.Pid, s) }
	select {
	case err := <-ended:
		return err
	case <-lost:
		err = agent.ErrLeaseLost
	case <-ctx.Done():
		err = ctx.Err()
	}
	signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(c.Grace):
		signal(syscall.SIGKILL)
		<-ended
	}
	return err
}
