package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"sync"

	"mulleinpier/internal/config"
	"mulleinpier/internal/core"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/transport"
)

// fleetMember is the part of this process in the fleet: it sends heartbeats to the voters, votes if configured to,
// takes part in takeover and requests permits. No request waits for any of it. The zero value is that of a process
// without peers. It is safe for concurrent use.
type fleetMember struct {
	mu          sync.Mutex
	config      *config.Peers // nil for none
	name        string        // of the proxy
	incarnation uint64        // of this process, never 0
	core        *core.Core
	log         *slog.Logger
	leases      *agent.Client
	heartbeats  *transport.Client
	leave       func()  // undoes join; nil before start
	drainPermit *permit // nil for none

	ctx    context.Context // ends with stop
	cancel context.CancelFunc
	// permitWaits ends as the drain begins: nothing waits for a permit then.
	permitWaits       context.Context
	cancelPermitWaits context.CancelFunc
}

// start joins the fleet.
func (f *fleetMember) start(c *config.Config, requests *core.Core, log *slog.Logger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core = requests
	f.log = log
	f.name = c.Proxy.Name
	f.incarnation = rand.Uint64() | 1
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.permitWaits, f.cancelPermitWaits = context.WithCancel(f.ctx)
	f.join(c)
}

// join starts what a configuration enables. f.mu is held.
func (f *fleetMember) join(c *config.Config) {
	f.config = c.Peers
	f.leave = func() {}
	if c.Peers == nil {
		return
	}
	if c.Peers.TotalSleep != nil {
		agent.OverrideTotalSleep(c.Peers.TotalSleep)
	}
	leases, err := agent.NewClient(c.Peers.Fleet)
	if err != nil { // the configuration has been checked
		f.log.Error("lease client start failed", "error", err)
		f.config = nil
		return
	}
	self := f.member(c)
	heartbeats := transport.NewClient(c.Peers.Fleet.Name, self, watchers(c.Peers), agent.Now, f.log)
	ctx, cancel := context.WithCancel(f.ctx)
	var task sync.WaitGroup
	task.Go(func() { heartbeats.Run(ctx) })
	stopVoter := startVoter(c.Peers, f.log)
	stopTakeover := f.startTakeover(c.Peers, self, heartbeats)
	f.leases, f.heartbeats = leases, heartbeats
	f.leave = func() {
		stopTakeover()
		cancel()
		task.Wait()
		stopVoter()
		leases.Close()
	}
}

// member returns this process as others see it. f.mu is held.
func (f *fleetMember) member(c *config.Config) peer.Member {
	self := peer.Member{Name: f.name, Incarnation: f.incarnation, Address: c.Peers.Advertise}
	if policy := &c.Proxy.Policy; policy.Zone < len(policy.Zones) {
		self.Zone = policy.Zones[policy.Zone]
	}
	return self
}

// watchers returns the voters as receivers of heartbeats.
func watchers(c *config.Peers) (list []transport.Watcher) {
	for _, voter := range c.Fleet.Voters {
		list = append(list, transport.Watcher{Name: voter.Name, Address: voter.Address})
	}
	return list
}

// reconfigure applies a new configuration: if it differs, the process leaves the fleet and joins it again. A voter
// starts from its stored state, as after a crash.
func (f *fleetMember) reconfigure(c *config.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leave == nil || samePeers(f.config, c.Peers) {
		return
	}
	f.leave()
	f.join(c)
}

// samePeers reports whether two configurations are the same, nil for none. Functions are not compared.
func samePeers(a, b *config.Peers) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.TotalSleep, y.TotalSleep = nil, nil
	return reflect.DeepEqual(x, y)
}

// startDrain announces to the fleet that this process drains, and ends all waits for permits.
func (f *fleetMember) startDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heartbeats != nil {
		f.heartbeats.MarkLeaving()
	}
	if f.cancelPermitWaits != nil {
		f.cancelPermitWaits()
	}
}

// stop leaves the fleet. The permit to drain is released if a successor is there already. Otherwise it is left to the
// successor, which releases it, or to its expiry.
func (f *fleetMember) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainPermit != nil {
		if f.heartbeats != nil && f.heartbeats.IsReplaced() {
			f.drainPermit.holder.Close()
		} else {
			f.drainPermit.holder.Abandon()
		}
	}
	if f.leave != nil {
		f.leave()
	}
	if f.cancel != nil {
		f.cancel()
	}
}
