package fleettest

import (
	"context"
	"sync"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fake/node"
)

// outageDuration is the time for which all proxies are down in the fault "gone".
const outageDuration = 5 * time.Second

// faults returns the faults to inject: all, or with Short only the first two, at a lower rate and for less time.
func (o *ClientsOptions) faults() []clientFault {
	all := allClientFaults()
	if o.Short {
		all = all[:2]
		for i := range all {
			all[i].rate = 300
			all[i].before = 2 * time.Second
			all[i].during = 4 * time.Second
			all[i].after = 2 * time.Second
		}
	}
	return all
}

func allClientFaults() []clientFault {
	return []clientFault{
		{
			name:        "restart",
			description: "one proxy of four is restarted",
			proxies:     4,
			before:      4 * time.Second,
			during:      6 * time.Second,
			after:       4 * time.Second,
			together:    true,
			rate:        900,
			slots:       10,
			inject:      func(_ context.Context, f *fleet) { f.proxies[1].restart(modeGap) },
		},
		{
			name:        "only",
			description: "the only proxy is restarted",
			proxies:     1,
			before:      5 * time.Second,
			during:      5 * time.Second,
			after:       4 * time.Second,
			rate:        900,
			slots:       6,
			inject:      func(_ context.Context, f *fleet) { f.proxies[0].restart(modeGap) },
		},
		{
			name:        "kill",
			description: "one proxy of four is killed outright and started again",
			proxies:     4,
			before:      5 * time.Second,
			during:      5 * time.Second,
			after:       4 * time.Second,
			rate:        900,
			slots:       6,
			inject:      func(_ context.Context, f *fleet) { f.proxies[1].kill() },
		},
		{
			name:        "gone",
			description: "all four proxies are gone for 5 s and come back",
			proxies:     4,
			before:      5 * time.Second,
			during:      9 * time.Second,
			after:       5 * time.Second,
			rate:        900,
			slots:       6,
			inject:      func(ctx context.Context, f *fleet) { f.killAllFor(ctx, outageDuration) },
		},
		{
			name:        "outage",
			description: "half of the nodes are gone for 10 s, the others can't carry the load",
			proxies:     4,
			before:      5 * time.Second,
			during:      10 * time.Second,
			after:       8 * time.Second,
			rate:        900,
			slots:       4,
			inject:      func(ctx context.Context, f *fleet) { f.stopHalfTheNodes(ctx, 10*time.Second) },
		},
	}
}

// killAllFor kills all proxies, and starts them again after the duration d.
func (f *fleet) killAllFor(ctx context.Context, d time.Duration) {
	var tasks sync.WaitGroup
	for _, p := range f.proxies {
		tasks.Go(func() {
			p.changing.Lock()
			defer p.changing.Unlock()
			p.killProcess()
			delay.Wait(ctx, d)
			if err := p.start(); err != nil {
				f.addCrash("%v", err)
			}
		})
	}
	tasks.Wait()
}

// stopHalfTheNodes takes every other node down for the duration d. The directory still lists these nodes as up.
func (f *fleet) stopHalfTheNodes(ctx context.Context, d time.Duration) {
	each := func(do func(*node.Node) error) {
		for i, n := range f.nodes {
			if i%2 == 1 {
				if err := do(n); err != nil {
					f.addProblem("node %d: %v", i, err)
				}
			}
		}
	}
	each(func(n *node.Node) error { return n.SetFault(node.Fault{Kind: node.ProcessDown}) })
	delay.Wait(ctx, d)
	each((*node.Node).Restart)
}
