package daemon

import (
	"context"
	"net"
	"sync"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/transport"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/takeover/coordinator"
)

// startTakeover starts the replication of keyed writes to other proxies, if it is configured, and returns a function
// that stops it. If its listener cannot be opened, startTakeover logs the error, and the proxy sends writes without
// replicas. The caller holds f.mu.
func (f *fleetMember) startTakeover(c *config.Peers, self peer.Member, heartbeats *transport.Client) (stop func()) {
	if !c.Takeover.Enabled {
		return func() {}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		f.log.Error("takeover start failed", "error", err)
		return func() {}
	}
	runner := coordinator.New(f.core, coordinator.Options{
		Fleet:          c.Fleet.Name,
		Self:           takeover.Owner{Name: self.Name, Incarnation: self.Incarnation},
		Zone:           self.Zone,
		Replicas:       c.Takeover.Replicas,
		RequireReplica: c.Takeover.RequireReplica,
		Clock:          agent.Now,
		Log:            f.log,
	})
	ctx, cancel := context.WithCancel(f.ctx)
	var task sync.WaitGroup
	task.Go(func() { runner.Run(ctx, listener, heartbeats) })
	f.core.SetTakeoverCoordinator(runner)
	return func() {
		f.core.SetTakeoverCoordinator(nil)
		cancel()
		task.Wait()
		f.log.Info("takeover stopped", "counts", runner.Counts())
	}
}
