package simulation

import (
	"testing"
	"time"
)

// minCallRate is a CallsPerSecond at which the endpoint list service answers only one call a second; 0 is no limit.
const minCallRate = 1e-9

// TestLargeFleetWithoutFault checks the connection budgets in a large fleet with one proxy that receives several times
// the mean load. Requests must be served, and no node may get more connections than it accepts.
func TestLargeFleetWithoutFault(t *testing.T) {
	f := run(t, plan300(1), 10*time.Second, nil)
	s := f.Sum(5, 9)
	t.Logf("in time %.3f, handshakes %.3f, misses %.3f, peak of connections %d",
		inTimeShare(s), handshakesPerRequest(s), missShare(s), f.Peak.Connections)
	checkInTime(t, s, 0.98, "without a fault")
	if f.Peak.Connections > f.Node.MaxConnections {
		t.Errorf("%d connections to a node", f.Peak.Connections)
	}
}

// TestLargeFleetRestartsWithoutDiscovery checks that new proxies serve with the list that they start with, and
// subscribe to discovery later without overloading it. Seven in ten of 300 proxies are killed together, while
// discovery answers nearly no call for four seconds.
func TestLargeFleetRestartsWithoutDiscovery(t *testing.T) {
	f := run(t, plan300(1), 16*time.Second, func(f *Fleet) {
		f.At(4*time.Second, func() {
			f.EndpointList.CallsPerSecond = minCallRate
			f.KillProxies(200*ms, allProxies(f)[:210]...)
		})
		f.At(8*time.Second, func() { f.EndpointList.CallsPerSecond = 60 })
	})
	without, after, all := f.Sum(5, 9), f.Sum(11, 15), f.Sum(4, 16)
	t.Logf("in time %.3f, then %.3f; %d calls, %d lost",
		inTimeShare(without), inTimeShare(after), all.EndpointListCalls, all.EndpointListCallsLost)
	checkInTime(t, without, 0.9, "without discovery")
	checkInTime(t, after, 0.98, "after it")
	for i, s := range f.PerSecond[4:] {
		if s.EndpointListCalls > f.Proxies { // no proxy calls twice within a second
			t.Errorf("%d calls in second %d", s.EndpointListCalls, 4+i)
		}
	}
	for i, p := range f.proxies {
		if !p.subscribed {
			t.Errorf("proxy %d has not subscribed to discovery within eight seconds", i)
		}
	}
}

// TestLargeFleetRollingRestart checks that no rule is violated, no warming node collapses, and the service stays
// good while a tenth of the proxies restarts every second and half of the nodes are drained and restarted.
func TestLargeFleetRollingRestart(t *testing.T) {
	f := run(t, plan300(1), 16*time.Second, func(f *Fleet) {
		for i := range 10 {
			at := time.Duration(4+i) * time.Second
			names := f.NodeNames()[8*i : 8*i+8]
			f.At(at, func() { f.KillProxies(300*ms, allProxies(f)[30*i:30*i+30]...) })
			f.At(at, func() { f.Drain(names...) })
			f.At(at+time.Second, func() { f.Restart(names...) })
		}
	})
	s := f.Sum(4, 15)
	t.Logf("in time %.3f, %d rejected, %d failed of %d, %d sends to warming nodes",
		inTimeShare(s), s.Rejected, s.Failed, s.Requests, s.SendsToWarming)
	checkInTime(t, s, 0.9, "during the restart")
}

// TestLargeFleetZoneLost checks that four zones serve the load of a fifth that crashes, and that the requests sent
// to its nodes after their cold restart do not make any of them collapse.
func TestLargeFleetZoneLost(t *testing.T) {
	f := run(t, plan300(1), 18*time.Second, func(f *Fleet) {
		zone := nodesWhere(f, func(i int) bool { return i%5 == 2 })
		f.At(4*time.Second, func() { f.Crash(zone...) })
		f.At(9*time.Second, func() { f.Restart(zone...) })
	})
	lost, back, toWarming := f.Sum(5, 9), f.Sum(12, 17), f.Sum(9, 18).SendsToWarming
	t.Logf("in time %.3f while it is lost, %.3f after; %d sends to warming nodes",
		inTimeShare(lost), inTimeShare(back), toWarming)
	checkInTime(t, lost, 0.85, "while the zone is lost")
	checkInTime(t, back, 0.95, "after it is back")
	if toWarming == 0 {
		t.Error("no request was sent to the restarted zone")
	}
}
