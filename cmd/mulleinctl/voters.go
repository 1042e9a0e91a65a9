package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// voterFlags select the voters that receive the requests.
type voterFlags struct {
	Fleet  string        `required:"" env:"MULLEIN_FLEET" help:"Name of the fleet."`
	Voters []string      `required:"" env:"MULLEIN_VOTERS" help:"Voters, name=host:port,..., in the configured order."`
	Within time.Duration `default:"5s" help:"How long to try to reach the leader of the voters."`
}

// fleet returns the fleet with its voters. The agent package validates the addresses.
func (f *voterFlags) fleet() agent.Fleet {
	fleet := agent.Fleet{Name: f.Fleet}
	for _, voter := range f.Voters {
		name, address, _ := strings.Cut(voter, "=")
		fleet.Voters = append(fleet.Voters, agent.VoterAddress{Name: name, Address: address})
	}
	return fleet
}

// open returns a client of the voters.
func (f *voterFlags) open() (*agent.Client, error) {
	c, err := agent.NewClient(f.fleet())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return c, nil
}

// withClient calls do with a client of the voters and a context that ends after --within.
func (f *voterFlags) withClient(ctx context.Context, do func(ctx context.Context, c *agent.Client) error) error {
	c, err := f.open()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, f.Within)
	defer cancel()
	return do(ctx, c)
}

// execute sends a command to the voters and waits for its result.
func (f *voterFlags) execute(ctx context.Context, command lease.Command) error {
	return f.withClient(ctx, func(ctx context.Context, c *agent.Client) error {
		_, err := c.Execute(ctx, command)
		return err
	})
}

// state fetches the state of all leases from the leader, or from another voter if no leader answers.
func (f *voterFlags) state(ctx context.Context) (state agent.VoterState, err error) {
	err = f.withClient(ctx, func(ctx context.Context, c *agent.Client) error {
		state, err = c.LeaderState(ctx)
		return err
	})
	return state, err
}
