package connlimit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestProxiesFillOnlyTheirPartOfATable guards invariant 2: what eighty proxies keep to
// sixty nodes, wherever each keeps it, leaves room in each node's table.
func TestProxiesFillOnlyTheirPartOfATable(t *testing.T) {
	const proxies, nodes, table = 80, 60, 30
	rng := rand.New(rand.NewPCG(1, 1))
	var held [nodes]int
	for range proxies {
		var b Budget
		b.SetCapacity(Capacity{ConnectionsPerNode: table, Proxies: proxies})
		most := b.Limit(time.Second, nodes)
		for _, n := range rng.Perm(nodes)[:most] {
			held[n]++
		}
	}
	for n, h := range held {
		if h > table {
			t.Errorf("node %d would hold %d connections of %d", n, h, table)
		}
	}
}

// TestRefusalsSettleWhereTablesHaveRoom guards invariant 3: proxies that were told a wrong
// number of themselves, or meet smaller tables, come down to what there is.
func TestRefusalsSettleWhereTablesHaveRoom(t *testing.T) {
	for name, c := range map[string]struct {
		told, proxies, table int
		most                 float64 // of connections refused after five seconds
	}{
		"as told":          {80, 80, 30, 0.05},
		"half of them":     {40, 80, 30, 0.05},
		"twice as many":    {160, 80, 30, 0.05},
		"smaller tables":   {80, 80, 18, 0.05},
		"half and smaller": {40, 80, 18, 0.05},
		// Whoever dials first is never refused and keeps all; the others come down.
		"one":  {1, 80, 30, 0.25},
		"none": {0, 80, 30, 0.25},
	} {
		const nodes = 60
		rng := rand.New(rand.NewPCG(1, 2))
		fleet := make([]Budget, c.proxies)
		for i := range fleet {
			fleet[i].SetCapacity(Capacity{ConnectionsPerNode: 30, Proxies: c.told})
		}
		late, asked := 0, 0
		for now := time.Duration(0); now < 20*time.Second; now += 250 * time.Millisecond {
			var held [nodes]int
			for i := range fleet {
				for _, n := range rng.Perm(nodes)[:min(fleet[i].Limit(now, nodes), nodes)] {
					if held[n]++; held[n] > c.table {
						fleet[i].Rejected(now, min(fleet[i].Limit(now, nodes), nodes), nodes)
						if now > 5*time.Second {
							late++
						}
					}
					asked++
				}
			}
		}
		if share := float64(late) / float64(asked); share > c.most {
			t.Errorf("%s: %.3f of connections refused after five seconds, want %.2f at most", name, share, c.most)
		}
	}
}

func TestBudgetComesBackAfterRefusals(t *testing.T) {
	var b Budget
	b.SetCapacity(Capacity{ConnectionsPerNode: 30, Proxies: 20})
	whole := b.Limit(0, 60)
	now := time.Second
	for range 100 {
		b.Rejected(now, whole, 60)
		now += time.Second / 2
	}
	if low := b.Limit(now, 60); low < int(float64(whole)*lowest) || low > whole/2 {
		t.Errorf("after a hundred refusals %d of %d are kept", low, whole)
	}
	if got := b.Limit(now+RecoveryTime, 60); got != whole {
		t.Errorf("%v after the last refusal %d of %d are kept", RecoveryTime, got, whole)
	}
}

// TestRefusalsOfOneMomentCountOnce guards against a burst that empties a proxy of its connections.
func TestRefusalsOfOneMomentCountOnce(t *testing.T) {
	var b Budget
	b.SetCapacity(Capacity{ConnectionsPerNode: 30, Proxies: 10})
	whole := b.Limit(time.Second, 60)
	for i := range 50 {
		b.Rejected(time.Second+time.Duration(i)*time.Millisecond, whole, 60)
	}
	if got := b.Limit(time.Second, 60); got < int(float64(whole)*fall) {
		t.Errorf("one burst of refusals left %d of %d", got, whole)
	}
}

// TestAbsurdShares guards invariant 1.
func TestAbsurdShares(t *testing.T) {
	for _, s := range []Capacity{{}, {ConnectionsPerNode: -1}, {ConnectionsPerNode: 30}, {ConnectionsPerNode: 30, Proxies: -5}, {ConnectionsPerNode: 1, Proxies: math.MaxInt32}, {ConnectionsPerNode: 1 << 20, Proxies: 1}} {
		var b Budget
		b.SetCapacity(s)
		for _, nodes := range []int{0, 1, 60, 2000} {
			got := b.Limit(time.Hour, nodes)
			if got < MinConnections || s.ConnectionsPerNode > 0 && got > max(s.ConnectionsPerNode*nodes, MinConnections) {
				t.Errorf("%+v at %d nodes: %d", s, nodes, got)
			}
		}
	}
}
