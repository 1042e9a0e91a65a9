package daemon

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lease/agent"
)

// startVoter starts this process's voter, which votes on the leases of the fleet, if one is configured, and returns a
// function that stops it. A failure is logged, and the proxy keeps serving, as no request waits for a voter.
func startVoter(c *config.Peers, log *slog.Logger) (stop func()) {
	if c == nil || c.VoterName == "" {
		return func() {}
	}
	voter, listener, err := openVoter(c, log)
	if err != nil {
		log.Error("voter start failed", "error", err)
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { voter.Run(ctx, listener) })
	return func() {
		cancel()
		task.Wait()
	}
}

// openVoter opens the voter's stored state and listens at its address.
func openVoter(c *config.Peers, log *slog.Logger) (*agent.Voter, net.Listener, error) {
	voter, err := agent.Open(c.StatePath, c.Fleet, c.VoterName, log)
	if err != nil {
		return nil, nil, err
	}
	address := ""
	for _, peer := range c.Fleet.Voters {
		if peer.Name == c.VoterName {
			address = peer.Address
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		voter.Close()
		return nil, nil, err
	}
	return voter, listener, nil
}
