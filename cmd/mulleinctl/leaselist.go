package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

type listCommand struct {
	voterFlags
	JSON bool `help:"Print JSON."`
}

type showCommand struct {
	listCommand
	Task string `arg:""`
}

// run prints one task, or all tasks if task is "".
func (c *listCommand) run(ctx context.Context, task string, out io.Writer) error {
	state, err := c.state(ctx)
	if err != nil {
		return err
	}
	tasks := state.StateMachine.Tasks
	if task != "" && tasks[task] == nil {
		return fmt.Errorf("%w: no process has requested task %q", lease.ErrUnknownGrant, task)
	}
	if c.JSON && task != "" {
		return json.NewEncoder(out).Encode(tasks[task])
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(state)
	}
	if !state.IsLeader {
		fmt.Fprintf(out, "no leader answered; this list from voter %s may be out of date\n", state.Voter)
	}
	names := []string{task}
	if task == "" {
		names = slices.Sorted(maps.Keys(tasks))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "task\tat once\tnumber\theld by\tlength\tends within\t")
	for _, name := range names {
		printTask(w, name, &state)
	}
	return w.Flush()
}

// printTask prints the grants and the waiters of a task, one per row. A free task has one row that says so.
func printTask(w io.Writer, name string, state *agent.VoterState) {
	t := state.StateMachine.Tasks[name]
	for _, g := range t.Grants {
		left, note := "?", ""
		if seconds, ok := state.SecondsLeft[g.Token]; ok {
			left = time.Duration(seconds * float64(time.Second)).Round(time.Millisecond).String()
		}
		if g.Revoked {
			note = "revoked"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%v\t%s\t%s\n", name, t.MaxHolders, g.Token, g.Holder, g.Duration, left, note)
	}
	for i, waiter := range t.Waiters {
		fmt.Fprintf(w, "%s\t%d\t\t%s\t%v\t\twaits, place %d\n", name, t.MaxHolders, waiter.Holder, waiter.Duration, i+1)
	}
	if len(t.Grants)+len(t.Waiters) == 0 {
		fmt.Fprintf(w, "%s\t%d\t\t\t\t\tfree\n", name, t.MaxHolders)
	}
}
