package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/peer"
)

type fleetCommand struct {
	List fleetListCommand `cmd:"" help:"List all instances and whether they are alive."`
}

type fleetListCommand struct {
	voterFlags
	JSON bool `help:"Print JSON."`
}

// maxMembersWait bounds how long the command waits for the answers of all voters.
const maxMembersWait = 500 * time.Millisecond

var errNoVoter = errors.New("no voter answered")

func (c *fleetListCommand) run(ctx context.Context, out io.Writer) error {
	c.Within = min(c.Within, maxMembersWait)
	var members []peer.MemberState
	var answered int
	err := c.withClient(ctx, func(ctx context.Context, voters *agent.Client) error {
		members, answered = voters.Members(ctx)
		return nil
	})
	if err != nil {
		return err
	}
	if answered == 0 {
		return errNoVoter
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(members)
	}
	if answered <= len(c.Voters)/2 {
		fmt.Fprintf(out, "only %d of %d voters answered: the list may be out of date\n", answered, len(c.Voters))
	}
	return printMembers(out, members)
}

func printMembers(out io.Writer, members []peer.MemberState) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "instance\tzone\tstate\taddress\t")
	for _, m := range members {
		note := ""
		if m.Leaving {
			note = "drains"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\n", m.Name, m.Zone, m.State, m.Address, note)
	}
	return w.Flush()
}
