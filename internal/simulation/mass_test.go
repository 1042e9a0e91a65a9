package simulation

import (
	"testing"
	"time"
)

// threeHundred is a fleet at the full size of the standing test: 300 proxies that each see little, over 160
// nodes in five zones, of which proxy 0 sees eight times the mean.
func threeHundred(seed uint64) Plan {
	p := eighty(seed)
	p.Proxies, p.Nodes = 300, 160
	p.Settings.Zones = []string{"a", "b", "c", "d", "e"}
	p.Node.MaxConnections = 300
	p.Settings.ConnectionsPerServer = float64(p.Node.MaxConnections) * 0.6 / float64(p.Proxies)
	p.Clients.RequestsPerSecond, p.Clients.HotProxyFactor = 1200, 8
	p.EndpointList.CallsPerSecond = 60
	return p
}

// TestMassCalm guards the shares of tables at full size: no node's table is full and what clients ask is
// served, also by the proxy that sees several times the mean.
func TestMassCalm(t *testing.T) {
	f := play(t, threeHundred(1), 10*time.Second, nil)
	s := f.Sum(5, 9)
	t.Logf("in time %.3f, handshakes %.3f, fetches %.3f, most connections %d", inTime(s), dialled(s), fetched(s), f.Peak.Connections)
	if inTime(s) < 0.98 || f.Peak.Connections > f.Node.MaxConnections {
		t.Errorf("%.3f in time, %d connections to a node", inTime(s), f.Peak.Connections)
	}
}

// TestMassHerd kills seven in ten of 300 proxies at once, while nobody can reach discovery for four seconds: the
// new ones serve by the list that they were started with, and find discovery without overrunning it.
func TestMassHerd(t *testing.T) {
	f := play(t, threeHundred(1), 16*time.Second, func(f *Fleet) {
		f.At(4*time.Second, func() { f.EndpointList.CallsPerSecond = 1e-9; f.KillProxies(200*ms, f.all()[:210]...) })
		f.At(8*time.Second, func() { f.EndpointList.CallsPerSecond = 60 })
	})
	bad, after := f.Sum(5, 9), f.Sum(11, 15)
	t.Logf("in time %.3f, then %.3f; %d calls, %d in vain", inTime(bad), inTime(after), f.Sum(4, 16).EndpointListCalls, f.Sum(4, 16).EndpointListCallsLost)
	if inTime(bad) < 0.9 || inTime(after) < 0.98 {
		t.Errorf("%.3f in time while discovery is away, %.3f after", inTime(bad), inTime(after))
	}
	for i, s := range f.PerSecond[4:] {
		if s.EndpointListCalls > f.Proxies { // nobody asks twice within one
			t.Errorf("%d calls in second %d", s.EndpointListCalls, 4+i)
		}
	}
	for i, x := range f.proxies {
		if !x.listens {
			t.Errorf("proxy %d has not found discovery in eight seconds", i)
		}
	}
}

// TestMassRoll restarts a tenth of the proxies every second while half of the nodes are replaced: no rule breaks
// (the fleet's books say so otherwise), no cold node is pushed over and the service stays good.
func TestMassRoll(t *testing.T) {
	f := play(t, threeHundred(1), 16*time.Second, func(f *Fleet) {
		for i := range 10 {
			f.At(time.Duration(4+i)*time.Second, func() { f.KillProxies(300*ms, f.all()[30*i:30*i+30]...) })
			names := f.NodeNames()[8*i : 8*i+8]
			f.At(time.Duration(4+i)*time.Second, func() { f.Drain(names...) })
			f.At(time.Duration(5+i)*time.Second, func() { f.Restart(names...) })
		}
	})
	s := f.Sum(4, 15)
	t.Logf("in time %.3f, refused %d, failed %d of %d, to cold %d", inTime(s), s.Rejected, s.Failed, s.Requests, s.SendsToWarming)
	if inTime(s) < 0.9 {
		t.Errorf("%.3f in time", inTime(s))
	}
}

// TestMassZoneLost loses a zone of five and brings it back cold: the others carry on, and what is let in
// pushes none of it over.
func TestMassZoneLost(t *testing.T) {
	f := play(t, threeHundred(1), 18*time.Second, func(f *Fleet) {
		var zone []string
		for i, name := range f.NodeNames() {
			if i%5 == 2 {
				zone = append(zone, name)
			}
		}
		f.At(4*time.Second, func() { f.Crash(zone...) })
		f.At(9*time.Second, func() { f.Restart(zone...) })
	})
	lost, back := f.Sum(5, 9), f.Sum(12, 17)
	t.Logf("in time %.3f while it is lost, %.3f after; to cold %d", inTime(lost), inTime(back), f.Sum(9, 18).SendsToWarming)
	if inTime(lost) < 0.85 || inTime(back) < 0.95 {
		t.Errorf("%.3f in time while it is lost, %.3f after", inTime(lost), inTime(back))
	}
	if f.Sum(9, 18).SendsToWarming == 0 {
		t.Error("nothing went to the cold zone")
	}
}
