package simulation

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/policy"
)

// TestAllProxiesStartTogether checks that 80 proxies that restart together, while the endpoint list service answers
// 20 calls a second, all subscribe within eleven seconds, with at most three calls for each proxy on average.
func TestAllProxiesStartTogether(t *testing.T) {
	p := plan80(1)
	p.EndpointList.CallsPerSecond = 20
	var callsBefore int
	f := run(t, p, 14*time.Second, func(f *Fleet) {
		f.At(3*time.Second, func() {
			callsBefore = f.Sum(0, 3).EndpointListCalls
			f.KillProxies(100*ms, allProxies(f)...)
		})
	})
	if calls := f.Sum(3, 14).EndpointListCalls; calls < 80 || calls > 3*80 {
		t.Errorf("%d calls of 80 proxies (%d before)", calls, callsBefore)
	}
	for i, p := range f.proxies {
		if !p.subscribed {
			t.Errorf("proxy %d has no list after eleven seconds", i)
		}
	}
	// With spread, half of the first calls come half a second to a second after the start; without it, none would.
	if first := f.PerSecond[3].EndpointListCalls; first < 15 || first > 65 {
		t.Errorf("%d of 80 first calls come within the first nine tenths of a second", first)
	}
	for i, s := range f.PerSecond[3:] {
		if s.EndpointListCalls > 80 { // no proxy calls twice within a second
			t.Errorf("%d calls in second %d of 80 proxies", s.EndpointListCalls, 3+i)
		}
	}
}

// TestDrainIsLearntOnceAListCallSucceeds checks that a proxy respects a drain from its first successful call on.
// Two nodes are drained while nearly all calls to the endpoint list service fail; the fleet records a violation if
// a proxy sends to them after that call.
func TestDrainIsLearntOnceAListCallSucceeds(t *testing.T) {
	p := plan80(1)
	p.EndpointList.CallsPerSecond = minCallRate
	f := run(t, p, 16*time.Second, func(f *Fleet) {
		f.At(2*time.Second, func() { f.Drain("n007", "n008") })
		f.At(6*time.Second, func() { f.EndpointList.CallsPerSecond = 40 })
	})
	for i, p := range f.proxies {
		if endpoint, ok := p.endpoints["n007"]; !ok || endpoint.State != policy.Draining {
			t.Errorf("proxy %d has not learnt of the drain", i)
		}
		if p.connections["n007"] != nil {
			t.Errorf("proxy %d keeps a connection to a drained node", i)
		}
	}
	if lost := f.Sum(0, 6).EndpointListCallsLost; lost < 80 || lost > 6*80 {
		t.Errorf("%d calls lost in six seconds of 80 proxies", lost)
	}
}

// TestConnectionsAreShared checks the connection budget where the configured number of proxies is right or wrong: half
// and twice the real number, one, and far too many. Nodes must reject few connections, and the service must stay good.
func TestConnectionsAreShared(t *testing.T) {
	for _, c := range []struct {
		configuredProxies int
		maxRejected       float64 // rejected connections, as a share of all sends
	}{
		{80, 0.03},
		{40, 0.1},
		{160, 0.01},
		{1, 0.3},
		{1e9, 0.01},
	} {
		t.Run(fmt.Sprint(c.configuredProxies), func(t *testing.T) {
			p := plan80(1)
			p.Settings.ProxyCount = c.configuredProxies
			f := run(t, p, 12*time.Second, nil)
			s := f.Sum(4, 12)
			if got := float64(s.ConnectionsRejected) / float64(s.Sends); got > c.maxRejected {
				t.Errorf("%.3f of all sends have their connection rejected", got)
			}
			checkInTime(t, f.Sum(2, 10), 0.97, "")
			if f.Peak.Connections > p.Node.MaxConnections {
				t.Errorf("%d connections at one node", f.Peak.Connections)
			}
		})
	}
}

// TestNodesWithoutFreeConnections checks that requests are served by other nodes, instead of being rejected, while
// one node in three has no free connection for four seconds. These nodes are not faulty and there is no overload.
func TestNodesWithoutFreeConnections(t *testing.T) {
	f := run(t, plan80(1), 14*time.Second, func(f *Fleet) {
		for _, name := range f.NodeNames()[:20] {
			f.At(4*time.Second, func() { f.nodes[name].connections += f.Node.MaxConnections })
			f.At(8*time.Second, func() { f.nodes[name].connections -= f.Node.MaxConnections })
		}
	})
	s := f.Sum(4, 8)
	checkInTime(t, s, 0.9, "while a third of the nodes has no free connection")
	if s.Rejected > s.Requests/10 {
		t.Errorf("%d of %d requests rejected while a third of the nodes has no free connection", s.Rejected, s.Requests)
	}
}

// TestMostProxiesRestart checks that repeated fetches do not overload the origin, and that warming nodes do not
// collapse, when eight in ten proxies are killed together and lose all their measurements, just after three nodes
// restarted cold.
func TestMostProxiesRestart(t *testing.T) {
	f := run(t, plan80(1), 16*time.Second, func(f *Fleet) {
		f.At(5*time.Second, func() { f.Crash("n001", "n002", "n003") })
		f.At(6*time.Second, func() { f.Restart("n001", "n002", "n003") })
		f.At(7*time.Second, func() { f.KillProxies(200*ms, allProxies(f)[:64]...) })
	})
	if rejected := f.Sum(7, 12).FetchesRejected; rejected > 0 {
		t.Errorf("the origin rejected %d fetches", rejected)
	}
	checkInTime(t, f.Sum(8, 14), 0.98, "after most proxies have restarted")
	before, after := f.Sum(4, 5), f.Sum(8, 9)
	if after.Misses > 2*before.Misses {
		t.Errorf("%d misses in the second after, %d before", after.Misses, before.Misses)
	}
}

// TestFewRequestsFindFaultyNode checks that a node that fails all requests is found with few requests: each proxy
// gets three requests a second, over twelve nodes. After half a minute the faulty node must receive clearly fewer
// requests than at first.
func TestFewRequestsFindFaultyNode(t *testing.T) {
	p := plan80(1)
	p.Clients.RequestsPerSecond = 240
	p.Nodes = 12
	f := run(t, p, 60*time.Second, func(f *Fleet) {
		f.At(10*time.Second, func() { f.SetFault("n003", AnswersErrors) })
	})
	atFirst := float64(f.Sum(10, 14).SendsToFaulty) / 4
	later := float64(f.Sum(40, 60).SendsToFaulty) / 20
	if later > atFirst*0.6 {
		t.Errorf("%.1f a second at first, %.1f half a minute later", atFirst, later)
	}
}
