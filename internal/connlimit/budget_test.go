package connlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestProxiesLeaveCapacityAtEachNode checks that eighty proxies that each keep their budget of connections to a random
// choice of sixty nodes do not exceed the limit of any node (guarantee 2).
func TestProxiesLeaveCapacityAtEachNode(t *testing.T) {
	const proxies, nodes, perNode = 80, 60, 30
	rng := rand.New(rand.NewPCG(1, 1))
	var open [nodes]int
	for range proxies {
		var b Budget
		b.SetCapacity(Capacity{ConnectionsPerNode: perNode, Proxies: proxies})
		limit := b.Limit(time.Second, nodes)
		for _, node := range rng.Perm(nodes)[:limit] {
			open[node]++
		}
	}
	for node, n := range open {
		if n > perNode {
			t.Errorf("node %d would have %d connections of %d", node, n, perNode)
		}
	}
}

// TestBudgetFallsToWhatNodesAccept checks that the budgets fall to what the nodes accept if the configured number of
// proxies is wrong, or nodes accept fewer connections than configured (guarantee 3).
func TestBudgetFallsToWhatNodesAccept(t *testing.T) {
	for _, c := range []struct {
		name              string
		configuredProxies int
		accepted          int     // connections at each node
		maxRejected       float64 // maximum share of connections rejected after five seconds
	}{
		{"as configured", 80, 30, 0.05},
		{"half of the proxies configured", 40, 30, 0.05},
		{"twice as many configured", 160, 30, 0.05},
		{"fewer connections", 80, 18, 0.05},
		{"half of the proxies and fewer connections", 40, 18, 0.05},
		// A proxy that dials first is never rejected and keeps its budget; the budgets of the other proxies fall.
		{"one proxy configured", 1, 30, 0.25},
		{"none configured", 0, 30, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			share := rejectedShare(Capacity{ConnectionsPerNode: 30, Proxies: c.configuredProxies}, c.accepted)
			if share > c.maxRejected {
				t.Errorf("%.3f of connections rejected after five seconds, want %.2f at most", share, c.maxRejected)
			}
		})
	}
}

// rejectedShare simulates eighty proxies that connect to sixty nodes for twenty seconds. It returns the number of
// connections rejected after the fifth second, relative to all that are opened.
func rejectedShare(configured Capacity, accepted int) float64 {
	const proxies, nodes = 80, 60
	rng := rand.New(rand.NewPCG(1, 2))
	budgets := make([]Budget, proxies)
	for i := range budgets {
		budgets[i].SetCapacity(configured)
	}
	rejected, opened := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 250 * time.Millisecond {
		var open [nodes]int
		for i := range budgets {
			b := &budgets[i]
			for _, node := range rng.Perm(nodes)[:min(b.Limit(now, nodes), nodes)] {
				opened++
				open[node]++
				if open[node] <= accepted {
					continue
				}
				b.Rejected(now, min(b.Limit(now, nodes), nodes), nodes)
				if now > 5*time.Second {
					rejected++
				}
			}
		}
	}
	return float64(rejected) / float64(opened)
}

// TestBudgetRecovers checks that the budget keeps its minimum through any number of rejections, and is full again
// RecoveryTime after the last one (guarantee 3).
func TestBudgetRecovers(t *testing.T) {
	var b Budget
	b.SetCapacity(Capacity{ConnectionsPerNode: 30, Proxies: 20})
	full := b.Limit(0, 60)
	now := time.Second
	for range 100 {
		b.Rejected(now, full, 60)
		now += time.Second / 2
	}
	if low := b.Limit(now, 60); low < int(float64(full)*minFraction) || low > full/2 {
		t.Errorf("after a hundred rejections %d of %d are kept", low, full)
	}
	if got := b.Limit(now+RecoveryTime, 60); got != full {
		t.Errorf("%v after the last rejection %d of %d are kept", RecoveryTime, got, full)
	}
}

// TestRejectionsTogetherCountOnce checks that rejections within a short time reduce the budget once, so that a burst of
// them does not close most of a proxy's connections.
func TestRejectionsTogetherCountOnce(t *testing.T) {
	var b Budget
	b.SetCapacity(Capacity{ConnectionsPerNode: 30, Proxies: 10})
	full := b.Limit(time.Second, 60)
	for i := range 50 {
		b.Rejected(time.Second+time.Duration(i)*time.Millisecond, full, 60)
	}
	if got := b.Limit(time.Second, 60); got < int(float64(full)*rejectionFactor) {
		t.Errorf("one burst of rejections left %d of %d", got, full)
	}
}

// TestInvalidCapacities checks that the budget is at least MinConnections and at most the nodes' connections for
// missing, negative and extreme capacities (guarantee 1).
func TestInvalidCapacities(t *testing.T) {
	for _, capacity := range []Capacity{
		{},
		{ConnectionsPerNode: -1},
		{ConnectionsPerNode: 30},
		{ConnectionsPerNode: 30, Proxies: -5},
		{ConnectionsPerNode: 1, Proxies: math.MaxInt32},
		{ConnectionsPerNode: 1 << 20, Proxies: 1},
	} {
		t.Run(fmt.Sprintf("%+v", capacity), func(t *testing.T) {
			var b Budget
			b.SetCapacity(capacity)
			perNode := capacity.ConnectionsPerNode
			for _, nodes := range []int{0, 1, 60, 2000} {
				got := b.Limit(time.Hour, nodes)
				if got < MinConnections || perNode > 0 && got > max(perNode*nodes, MinConnections) {
					t.Errorf("limit of %d for %d nodes is out of range", got, nodes)
				}
			}
		})
	}
}
