package simulation

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/internal/connlimit"
)

// planOfFewBusyProxies is a fleet of four busy proxies over twelve nodes. Its latency objective is little above the
// time of a fetch.
func planOfFewBusyProxies(seed uint64) Plan {
	p := plan80(seed)
	p.Proxies, p.Nodes = 4, 12
	for i := range p.Settings.Classes {
		c := &p.Settings.Classes[i]
		c.LatencyObjective, c.Deadline, c.DedupWindow = 150*ms, 670*ms, 900*ms
	}
	p.Node = NodePlan{
		Workers:          4,
		ServiceTime:      40 * ms,
		MaxQueued:        30,
		IdleTTL:          20 * time.Second,
		ServiceTimeSigma: 0.5,
	}
	p.Origin = OriginPlan{FetchTime: 70 * ms, FetchesPerSecond: 700, MaxQueueTime: 300 * ms}
	p.Clients.RequestsPerSecond, p.Clients.Keys = 600, 3000
	return p
}

// replaceNodes drains a node every two seconds and adds a new one in its place. A second later it crashes and removes
// the old one.
func replaceNodes(f *Fleet, from, to time.Duration) {
	for i, at := 0, from; at < to; i, at = i+1, at+2*time.Second {
		old := f.NodeNames()[i]
		f.At(at, func() {
			addStartedNode(f, fmt.Sprintf("r%03d", i), i%len(f.Settings.Zones))
			f.Drain(old)
		})
		f.At(at+time.Second, func() {
			f.Crash(old)
			f.Remove(old)
		})
	}
}

// TestReplacedNodesMoveFewKeys checks that the share of misses stays low while one node of twelve is replaced every
// two seconds and no other has a fault. In a fleet of few busy proxies, healthy nodes that are wrongly considered
// faulty would lose keys.
func TestReplacedNodesMoveFewKeys(t *testing.T) {
	for seed := range uint64(3) {
		steady := run(t, planOfFewBusyProxies(seed), 20*time.Second, nil).Sum(6, 19)
		replaced := run(t, planOfFewBusyProxies(seed), 20*time.Second, func(f *Fleet) {
			replaceNodes(f, 2*time.Second, 19*time.Second)
		}).Sum(6, 19)
		t.Logf("misses %.3f and %.3f, in time %.3f and %.3f, %.3f and %.3f sends for a request",
			missShare(steady), missShare(replaced), inTimeShare(steady), inTimeShare(replaced),
			float64(steady.Sends)/float64(steady.Requests), float64(replaced.Sends)/float64(replaced.Requests))
		if got := missShare(steady); got > 0.2 {
			t.Errorf("%.3f of reads miss without a fault", got)
		}
		if got := missShare(replaced); got > 0.35 {
			t.Errorf("%.3f of reads miss while nodes are replaced", got)
		}
		checkInTime(t, replaced, 0.88, "while nodes are replaced")
	}
}

// TestFleetsOfAllSizesAreServed checks that each fleet is served and connections stay within their limit, with few
// proxies over many nodes and many over few, at the same share of capacity, with known costs and connection limits.
func TestFleetsOfAllSizesAreServed(t *testing.T) {
	for _, c := range []struct {
		proxies, nodes int
		maxHandshakes  float64 // handshakes for each request
	}{
		{4, 60, 0.05},
		{80, 60, 0.5},
		{80, 8, 0.8},
		{1, 12, 0.05},
	} {
		t.Run(fmt.Sprintf("%d proxies, %d nodes", c.proxies, c.nodes), func(t *testing.T) {
			p := plan80WithZonalHomes(1)
			p.Proxies, p.Nodes = c.proxies, c.nodes
			p.Clients.RequestsPerSecond = 25 * float64(c.nodes)
			fleetShare := float64(p.Node.MaxConnections) * connlimit.TargetFill
			p.Settings.ConnectionsPerServer = fleetShare / float64(c.proxies)
			f := run(t, p, 12*time.Second, nil)
			s := f.Sum(5, 11)
			t.Logf("handshakes %.3f, misses %.3f, in time %.3f, peak of connections %d",
				handshakesPerRequest(s), missShare(s), inTimeShare(s), f.Peak.Connections)
			checkInTime(t, s, 0.97, "")
			if got := handshakesPerRequest(s); got > c.maxHandshakes {
				t.Errorf("%.3f handshakes for a request", got)
			}
			if f.Peak.Connections > p.Node.MaxConnections {
				t.Errorf("%d connections to one node", f.Peak.Connections)
			}
		})
	}
}

// TestRetriesLeaveCapacityUsed checks that the remaining nodes spend most of their capacity on requests whose
// clients still wait, after a third of the nodes is removed. That leaves a capacity of 0.9 times the request rate,
// while clients ignore Retry-After and send two to three attempts for each request.
func TestRetriesLeaveCapacityUsed(t *testing.T) {
	p := plan80(1)
	p.Clients.IgnoreRetryAfter, p.Clients.RetryPause = true, 400*ms
	p.Clients.RequestsPerSecond = 2200 // the nodes' capacity is 3,000
	f := run(t, p, 22*time.Second, func(f *Fleet) {
		lost := f.NodeNames()[:20]
		f.At(6*time.Second, func() {
			f.Crash(lost...)
			f.Remove(lost...)
		})
	})
	const seconds, remainingNodes = 12, 40
	s, capacity := f.Sum(8, 8+seconds), seconds*remainingNodes*f.capacity(time.Second)
	used := float64(s.InTime+s.Late) / capacity
	attempts := float64(s.ClientAttempts) / float64(s.Requests)
	t.Logf("%.2f of the capacity of 40 nodes is served, %.3f of requests in time, %.2f attempts for a request",
		used, inTimeShare(s), attempts)
	if attempts < 1.5 {
		t.Errorf("%.2f attempts for a request: too few retries for this test", attempts)
	}
	if used < 0.8 {
		t.Errorf("%.2f of the capacity of the remaining nodes is used", used)
	}
}
