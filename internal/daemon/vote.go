package daemon

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lease/agent"
)

// vote has this process vote on the fleet's leases, if it is to, until what it returns is called. Where it can't,
// it says so, and serving goes on: no request waits for a voter.
func vote(p *config.Peers, log *slog.Logger) (end func()) {
	if p == nil || p.VoterName == "" {
		return func() {}
	}
	failed := func(err error) func() {
		log.Error("leases: this process does not vote", "error", err)
		return func() {}
	}
	v, err := agent.Open(p.StatePath, p.Fleet, p.VoterName, log)
	if err != nil {
		return failed(err)
	}
	at := ""
	for _, peer := range p.Fleet.Voters {
		if peer.Name == p.VoterName {
			at = peer.Address
		}
	}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		v.Close()
		return failed(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { v.Run(ctx, listener) })
	return func() {
		stop()
		task.Wait()
	}
}
