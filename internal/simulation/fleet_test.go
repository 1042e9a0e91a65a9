package simulation

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/policy"
)

// TestAllProxiesStartTogether starts all proxies at once against a service of the endpoint list that answers twenty
// calls a second: each has the list before it may be called unknown, and few calls are lost.
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
	// Half of the first calls come half a second to a second after the start: none without spread.
	if first := f.PerSecond[3].EndpointListCalls; first < 15 || first > 65 {
		t.Errorf("%d of 80 first calls come within the first nine tenths of a second", first)
	}
	for i, s := range f.PerSecond[3:] {
		if s.EndpointListCalls > 80 { // none calls twice within a second
			t.Errorf("%d calls in second %d of 80 proxies", s.EndpointListCalls, 3+i)
		}
	}
}

// TestDrainIsLearntOnceAListCallSucceeds drains a node while no call to the service of the endpoint list gets through:
// a proxy cannot respect what it does not know, and does so at once after its first call that succeeds (the fleet
// reports a violation otherwise).
func TestDrainIsLearntOnceAListCallSucceeds(t *testing.T) {
	p := plan80(1)
	p.EndpointList.CallsPerSecond = never
	f := run(t, p, 16*time.Second, func(f *Fleet) {
		f.At(2*time.Second, func() { f.Drain("n007", "n008") })
		f.At(6*time.Second, func() { f.EndpointList.CallsPerSecond = 40 })
	})
	for i, p := range f.proxies {
		if endpoint, ok := p.endpoints["n007"]; !ok || endpoint.State != policy.Draining {
			t.Errorf("proxy %d never learnt of the drain", i)
		}
		if p.connections["n007"] != nil {
			t.Errorf("proxy %d keeps a connection to a drained node", i)
		}
	}
	if lost := f.Sum(0, 6).EndpointListCallsLost; lost < 80 || lost > 6*80 {
		t.Errorf("%d calls lost in six seconds of 80 proxies", lost)
	}
}

// TestConnectionsAreShared runs wrong numbers of proxies in the settings: half as many and twice as many as there are,
// one, and an absurd number. What nodes reject for want of connections stays rare, and the service good.
func TestConnectionsAreShared(t *testing.T) {
	for _, c := range []struct {
		configuredProxies int
		maxRejected       float64 // connections, as a share of all sends
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

// TestNodesWithoutFreeConnections uses up the connections of one node in three for four seconds: these nodes are not
// faulty and there is no overload, and their requests are served elsewhere.
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

// TestMostProxiesRestart kills eight in ten at once, filters and all: what they fetch again does not overload the
// origin, and warming nodes do not collapse.
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

// TestFewRequestsFindFaultyNode gives each proxy three requests a second and a node that fails them all: it gets little
// after half a minute.
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
