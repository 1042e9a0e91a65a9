package connlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestProxiesLeaveCapacityAtEachNode guards invariant 2: what eighty proxies keep to sixty nodes, wherever each keeps
// it, leaves connections free at each node.
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

// TestBudgetFallsToWhatNodesAccept guards invariant 3: proxies that are configured with a wrong number of themselves,
// or meet nodes that accept fewer connections, come down to what there is.
func TestBudgetFallsToWhatNodesAccept(t *testing.T) {
	for _, c := range []struct {
		name              string
		configuredProxies int
		accepted          int     // connections at each node
		maxRejected       float64 // share of connections after five seconds
	}{
		{"as configured", 80, 30, 0.05},
		{"half of the proxies configured", 40, 30, 0.05},
		{"twice as many configured", 160, 30, 0.05},
		{"fewer connections", 80, 18, 0.05},
		{"half of the proxies and fewer connections", 40, 18, 0.05},
		// A proxy that dials first is never rejected and keeps all; the others come down.
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

// rejectedShare is the share of the connections of eighty proxies to sixty nodes that is rejected from the fifth to the
// twentieth second, in all that are opened.
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

// TestBudgetRecovers guards invariant 3: the budget keeps its minimum through rejections, and is full RecoveryTime
// after the last.
func TestBudgetRecovers(t *testing.T) {
	var b Budget
	b.SetCapacity(Capacity{ConnectionsPerNode: 30, Proxies: 20})
	full := b.Limit(0, 60)
	now := time.Second
	for range 100 {
		b.Rejected(now, full, 60)
		now += time.Second / 2
	}
	if low := b.Limit(now, 60); low < int(float64(full)*minPart) || low > full/2 {
		t.Errorf("after a hundred rejections %d of %d are kept", low, full)
	}
	if got := b.Limit(now+RecoveryTime, 60); got != full {
		t.Errorf("%v after the last rejection %d of %d are kept", RecoveryTime, got, full)
	}
}

// TestRejectionsTogetherCountOnce guards against a burst that closes most of a proxy's connections.
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

// TestInvalidCapacities guards invariant 1.
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
					t.Errorf("%d at %d nodes", got, nodes)
				}
			}
		})
	}
}
