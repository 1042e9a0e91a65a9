package simulation

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/policy"
)

// four is a fleet of four busy proxies over twelve nodes, whose aim is little more than a fetch takes.
func four(seed uint64) Plan {
	p := eighty(seed)
	p.Proxies, p.Nodes = 4, 12
	for i := range p.Settings.Classes {
		c := &p.Settings.Classes[i]
		c.LatencyObjective, c.Deadline, c.DedupWindow = 150*ms, 670*ms, 900*ms
	}
	p.Node = NodePlan{Workers: 4, ServiceTime: 40 * ms, MaxQueued: 30, IdleTTL: 20 * time.Second, ServiceTimeSigma: 0.5}
	p.Origin = OriginPlan{FetchTime: 70 * ms, FetchesPerSecond: 700, MaxQueueTime: 300 * ms}
	p.Clients.RequestsPerSecond, p.Clients.Keys = 600, 3000
	return p
}

// replaced has one node in two seconds drained, then gone, and a new one in its place.
func replaced(f *Fleet, from, to time.Duration) {
	for i, at := 0, from; at < to; i, at = i+1, at+2*time.Second {
		old, fresh := f.NodeNames()[i], fmt.Sprintf("r%03d", i)
		f.At(at, func() {
			f.add(fresh, i%len(f.Settings.Zones), f.now)
			f.tell([]policy.Endpoint{f.nodes[fresh].Endpoint})
			f.Drain(old)
		})
		f.At(at+time.Second, func() {
			f.Crash(old)
			f.Remove(old)
		})
	}
}

// TestChurnOfAFewKeepsKeysAtHome guards calm fleets of few busy proxies: one node of twelve is replaced every two
// seconds, no other is in trouble, and what is fetched beside that is what suspicion of well nodes moved.
func TestChurnOfAFewKeepsKeysAtHome(t *testing.T) {
	for seed := range uint64(3) {
		calm := play(t, four(seed), 20*time.Second, nil).Sum(6, 19)
		churn := play(t, four(seed), 20*time.Second, func(f *Fleet) { replaced(f, 2*time.Second, 19*time.Second) }).Sum(6, 19)
		t.Logf("fetches %.3f and %.3f, in time %.3f and %.3f, a first try %.3f and %.3f sends", fetched(calm), fetched(churn),
			inTime(calm), inTime(churn), float64(calm.Sends)/float64(calm.Requests), float64(churn.Sends)/float64(churn.Requests))
		if got := fetched(calm); got > 0.2 {
			t.Errorf("%.3f of reads fetch in calm", got)
		}
		if got := fetched(churn); got > 0.35 {
			t.Errorf("%.3f of reads fetch while nodes are replaced", got)
		}
		if got := inTime(churn); got < 0.88 {
			t.Errorf("%.3f in time while nodes are replaced", got)
		}
	}
}

// TestSizesOfFleets plays few proxies over many nodes and many over few, at the same share of capacity, with
// prices and tables told: each is served, tables are not overrun, and connections stay within bounds.
func TestSizesOfFleets(t *testing.T) {
	for _, c := range []struct {
		proxies, nodes int
		dials          float64 // for a first try, at most
	}{{4, 60, 0.05}, {80, 60, 0.5}, {80, 8, 0.8}, {1, 12, 0.05}} {
		p := dear(1, true)
		p.Proxies, p.Nodes = c.proxies, c.nodes
		p.Clients.RequestsPerSecond = 25 * float64(c.nodes)
		p.Settings.ConnectionsPerServer = float64(p.Node.MaxConnections) * 0.6 / float64(c.proxies)
		f := play(t, p, 12*time.Second, nil)
		s := f.Sum(5, 11)
		t.Logf("%d proxies, %d nodes: handshakes %.3f, fetches %.3f, in time %.3f, most connections %d", c.proxies, c.nodes, dialled(s),
			fetched(s), inTime(s), f.Peak.Connections)
		if got := inTime(s); got < 0.97 {
			t.Errorf("%d proxies, %d nodes: %.3f in time", c.proxies, c.nodes, got)
		}
		if got := dialled(s); got > c.dials {
			t.Errorf("%d proxies, %d nodes: %.3f handshakes for a first try", c.proxies, c.nodes, got)
		}
		if f.Peak.Connections > p.Node.MaxConnections {
			t.Errorf("%d proxies, %d nodes: %d connections to one node", c.proxies, c.nodes, f.Peak.Connections)
		}
	}
}

// TestRepeatsLeaveCapacityUsed loses a third of the nodes for good, which leaves 0.9 of what clients ask at first,
// while clients heed no advice and ask two to three times over: what the nodes that are left can do
// is done, and done for requests whose clients still wait.
func TestRepeatsLeaveCapacityUsed(t *testing.T) {
	p := eighty(1)
	p.Clients.IgnoreRetryAfter, p.Clients.RetryPause = true, 400*ms
	p.Clients.RequestsPerSecond = 2200 // of 3,000
	f := play(t, p, 22*time.Second, func(f *Fleet) {
		lost := f.NodeNames()[:20]
		f.At(6*time.Second, func() { f.Crash(lost...); f.Remove(lost...) })
	})
	bad, can := f.Sum(8, 20), 12*40*f.capacity(time.Second)
	used, tries := float64(bad.InTime+bad.Late)/can, float64(bad.ClientAttempts)/float64(bad.Requests)
	t.Logf("%.2f of what 40 nodes can is served, %.3f of requests in time, %.2f tries for a first", used, inTime(bad), tries)
	if tries < 1.5 {
		t.Errorf("%.2f tries for a first: nothing was tested", tries)
	}
	if used < 0.8 {
		t.Errorf("%.2f of what the nodes that are left can do is served", used)
	}
}
