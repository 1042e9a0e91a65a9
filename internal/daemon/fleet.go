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

// fleetMember is the membership of this process in the fleet: it sends heartbeats to the voters, votes if configured
// to, takes part in takeover and requests permits. No client request waits for any of these. The zero value is a
// process without peers. It is safe for concurrent use.
type fleetMember struct {
	mu          sync.Mutex
	config      *config.Peers // nil without peers
	name        string        // name of the proxy
	incarnation uint64        // incarnation of this process, never 0
	core        *core.Core
	log         *slog.Logger
	leases      *agent.Client
	heartbeats  *transport.Client
	leave       func()  // stops what join started; nil before start
	drainPermit *permit // permit to drain that this process holds; nil if it holds none

	ctx    context.Context // stop cancels ctx
	cancel context.CancelFunc
	// permitCtx is canceled when the drain begins. That ends all waits for permits.
	permitCtx       context.Context
	cancelPermitCtx context.CancelFunc
}

// start joins the fleet with a new, random incarnation.
func (f *fleetMember) start(c *config.Config, requests *core.Core, log *slog.Logger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core = requests
	f.log = log
	f.name = c.Proxy.Name
	f.incarnation = rand.Uint64() | 1
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.permitCtx, f.cancelPermitCtx = context.WithCancel(f.ctx)
	f.join(c)
}

// join starts the heartbeats and, if they are configured, the voter and takeover. The caller holds f.mu.
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
	if err != nil { // not expected: the configuration has been validated
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

// member returns the description of this process that is announced to the fleet. The caller holds f.mu.
func (f *fleetMember) member(c *config.Config) peer.Member {
	self := peer.Member{Name: f.name, Incarnation: f.incarnation, Address: c.Peers.Advertise}
	if policy := &c.Proxy.Policy; policy.Zone < len(policy.Zones) {
		self.Zone = policy.Zones[policy.Zone]
	}
	return self
}

// watchers returns the voters, which receive the heartbeats.
func watchers(c *config.Peers) (list []transport.Watcher) {
	for _, voter := range c.Fleet.Voters {
		list = append(list, transport.Watcher{Name: voter.Name, Address: voter.Address})
	}
	return list
}

// reconfigure applies a new configuration: if the settings of its peers differ, the process leaves the fleet and joins
// it again. If the process is a voter, the voter then restarts from its stored state, as after a crash.
func (f *fleetMember) reconfigure(c *config.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leave == nil || samePeers(f.config, c.Peers) {
		return
	}
	f.leave()
	f.join(c)
}

// samePeers reports whether the settings a and b are equal, or both nil. It does not compare TotalSleep, as functions
// are not comparable.
func samePeers(a, b *config.Peers) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.TotalSleep, y.TotalSleep = nil, nil
	return reflect.DeepEqual(x, y)
}

// startDrain announces to the fleet that this process drains, and cancels all waits for permits.
func (f *fleetMember) startDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heartbeats != nil {
		f.heartbeats.MarkLeaving()
	}
	if f.cancelPermitCtx != nil {
		f.cancelPermitCtx()
	}
}

// stop leaves the fleet. If a successor has already replaced this process, stop releases the permit to drain. Otherwise
// the successor releases the permit, or the permit expires.
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
