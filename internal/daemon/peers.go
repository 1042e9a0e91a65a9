package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/core"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/transport"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/takeover/coordinator"
)

// peers is this process's part in the fleet: it beats at the watchers, votes if it is to, and asks for permits. No
// request waits for any of it. Its zero value is that of a process which knows no others. It is safe for concurrent use.
type peers struct {
	mu     sync.Mutex
	config *config.Peers // nil for none
	name   string
	core   *core.Core
	log    *slog.Logger
	run    uint64
	client *agent.Client
	self   *transport.Client
	stop   func()
	permit *permit // for the drain
	ctx    context.Context
	cancel context.CancelFunc
	asking context.Context // until it drains
	hurry  context.CancelFunc
}

// askTime bounds what is asked of the voters beside a permit.
const askTime = 2 * time.Second

// permit is leave to drain or reload, had or gone without.
type permit struct{ holder *agent.Holder }

// begin joins the fleet.
func (p *peers) begin(c *config.Config, core *core.Core, log *slog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core = core
	p.log, p.name, p.run = log, c.Proxy.Name, rand.Uint64()|1
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.asking, p.hurry = context.WithCancel(p.ctx)
	p.join(c)
}

// join starts what a configuration asks for. p.mu is held.
func (p *peers) join(c *config.Config) {
	p.config, p.stop = c.Peers, func() {}
	if c.Peers == nil {
		return
	}
	if c.Peers.SuspendedTime != nil {
		agent.OverrideClockOffset(c.Peers.SuspendedTime)
	}
	client, err := agent.NewClient(c.Peers.Fleet)
	if err != nil { // the configuration has been checked
		p.log.Error("peers", "error", err)
		p.config = nil
		return
	}
	var watchers []transport.Watcher
	for _, v := range c.Peers.Fleet.Voters {
		watchers = append(watchers, transport.Watcher{Name: v.Name, Address: v.Address})
	}
	member := peer.Member{Name: p.name, Incarnation: p.run, Address: c.Peers.Advertise}
	if set := &c.Proxy.Policy; set.Zone < len(set.Zones) {
		member.Zone = set.Zones[set.Zone]
	}
	self := transport.NewClient(c.Peers.Fleet.Name, member, watchers, agent.Now, p.log)
	ctx, stop := context.WithCancel(p.ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { self.Run(ctx) })
	endVoting := vote(c.Peers, p.log)
	endHolding := p.hold(c.Peers, member, self)
	p.client, p.self = client, self
	p.stop = func() {
		endHolding()
		stop()
		tasks.Wait()
		endVoting()
		client.Close()
	}
}

// hold has works in hand be held with other proxies, until what it returns is called. Where it can't, it says so, and they
// go out as without.
func (p *peers) hold(c *config.Peers, self peer.Member, fleet *transport.Client) (end func()) {
	if !c.Takeover.Enabled {
		return func() {}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		p.log.Error("takeover: this process holds no works", "error", err)
		return func() {}
	}
	t := coordinator.New(p.core, coordinator.Options{Fleet: c.Fleet.Name, Self: takeover.Owner{Name: self.Name, Incarnation: self.Incarnation}, Zone: self.Zone, Replicas: c.Takeover.Replicas,
		RequireReplica: c.Takeover.Strict, Clock: agent.Now, Log: p.log})
	ctx, stop := context.WithCancel(p.ctx)
	var task sync.WaitGroup
	task.Go(func() { t.Run(ctx, listener, fleet) })
	p.core.SetTakeoverCoordinator(t)
	return func() {
		p.core.SetTakeoverCoordinator(nil)
		stop()
		task.Wait()
		p.log.Info("takeover", "counts", t.Counts())
	}
}

// follow goes on by a new configuration: a voter starts anew with what it remembers, as after a crash.
func (p *peers) follow(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop == nil || samePeers(p.config, c.Peers) {
		return
	}
	p.stop()
	p.join(c)
}

// samePeers tells whether two configurations mean the same fleet and part in it.
func samePeers(a, b *config.Peers) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.SuspendedTime, y.SuspendedTime = nil, nil
	return reflect.DeepEqual(x, y)
}

// asks tells whether permits are asked for.
func (p *peers) asks() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config != nil && p.config.Permit.Enabled
}

// ask waits for a permit as the configuration says, while this process serves on.
func (p *peers) ask(what string) *permit {
	if !p.asks() {
		return nil
	}
	p.mu.Lock()
	c, client, name, life, ctx := p.config.Permit, p.client, p.name, p.ctx, p.asking
	p.mu.Unlock()
	begun := time.Now()
	for ctx.Err() == nil {
		h, err := client.Hold(life, lease.PermitTask, name, lease.PermitDuration, true)
		if err != nil {
			p.log.Error("permit", "for", what, "error", err)
			return nil
		}
		patience, cancel := ctx, context.CancelFunc(func() {})
		if !c.Required {
			patience, cancel = context.WithDeadline(ctx, begun.Add(c.Timeout))
		}
		number, err := h.Await(patience)
		cancel()
		if err == nil {
			p.log.Info("permit", "for", what, "number", number, "after", time.Since(begun).Round(time.Millisecond))
			return &permit{h}
		}
		h.Close()
		if lease.DecideWithoutPermit(time.Since(begun), c.Timeout, c.Required) == lease.ProceedWithoutPermit {
			p.log.Warn("no permit, going on without", "for", what, "after", time.Since(begun).Round(time.Millisecond), "error", err)
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) { // its place was lost: it asks anew
			select {
			case <-ctx.Done():
			case <-time.After(askTime / 10):
			}
		}
	}
	return nil
}

// giveBack ends a permit whose work is done.
func (p *permit) giveBack() {
	if p != nil {
		p.holder.Close()
	}
}

// keep has a permit be held until this process has been followed by another.
func (p *peers) keep(held *permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permit = held
}

// leave tells the fleet that this process drains.
func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.self != nil {
		p.self.MarkLeaving()
	}
	if p.hurry != nil { // who waits for a permit waits no more
		p.hurry()
	}
}

// end leaves the fleet. The permit of a restart is left to who comes next, or to run out; if that one is there already,
// it is given back.
func (p *peers) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.permit != nil {
		if p.self != nil && p.self.IsReplaced() {
			p.permit.holder.Close()
		} else {
			p.permit.holder.Abandon()
		}
	}
	if p.stop != nil {
		p.stop()
	}
	if p.cancel != nil {
		p.cancel()
	}
}

// succeed gives back the permit that a process of this one's name has left behind: its restart is over now.
func (p *peers) succeed(ctx context.Context) {
	if !p.asks() {
		return
	}
	p.mu.Lock()
	client, name := p.client, p.name
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	s, err := client.LeaderState(ctx)
	if err != nil {
		p.log.Warn("permit of the process before", "error", err)
		return // it runs out by itself
	}
	for _, number := range lease.OrphanedTokens(s.StateMachine.Tasks[lease.PermitTask], name, os.Getpid(), runs) {
		if _, err := client.Execute(ctx, lease.Command{Kind: lease.Release, Task: lease.PermitTask, Token: number}); err != nil {
			p.log.Warn("permit of the process before", "number", number, "error", err)
		}
	}
}

// runs tells whether there is a process of a number on this machine.
func runs(pid int) bool { return !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) }
