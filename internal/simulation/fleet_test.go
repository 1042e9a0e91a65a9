package simulation

import (
	"testing"
	"time"

	"mulleinpier/policy"
)

// all are the indices of all proxies.
func (f *Fleet) all() (indices []int) {
	for i := range f.Proxies {
		indices = append(indices, i)
	}
	return indices
}

// TestHerdAtTheListService starts all proxies at once against a list service that answers
// twenty calls a second: each has the list before it may be called unknown, and few calls are
// in vain.
func TestHerdAtTheListService(t *testing.T) {
	p := eighty(1)
	p.EndpointList.CallsPerSecond = 20
	var began int
	f := play(t, p, 14*time.Second, func(f *Fleet) {
		f.At(3*time.Second, func() { began = f.Sum(0, 3).EndpointListCalls; f.KillProxies(100*ms, f.all()...) })
	})
	sum := f.Sum(3, 14)
	if calls := sum.EndpointListCalls; calls < 80 || calls > 3*80 {
		t.Errorf("%d calls of 80 proxies (%d before)", calls, began)
	}
	for i, x := range f.proxies {
		if !x.listens {
			t.Errorf("proxy %d has no list after eleven seconds", i)
		}
	}
	// Half of the first calls come half a second to a second after the start: none without spread.
	if first := f.PerSecond[3].EndpointListCalls; first < 15 || first > 65 {
		t.Errorf("%d of 80 first calls come within the first nine tenths of a second", first)
	}
	for i, s := range f.PerSecond[3:] {
		if s.EndpointListCalls > 80 { // nobody asks twice within one
			t.Errorf("%d calls in second %d of 80 proxies", s.EndpointListCalls, 3+i)
		}
	}
}

// TestDrainIsLearntWhileTheListCallWaits drains a node while no call to the list service gets
// through: what a proxy was not told it can't keep, and once a call does it keeps it at once (the
// fleet's books break the play otherwise).
func TestDrainIsLearntWhileTheListCallWaits(t *testing.T) {
	p := eighty(1)
	p.EndpointList.CallsPerSecond = 1e-9 // none
	f := play(t, p, 16*time.Second, func(f *Fleet) {
		f.At(2*time.Second, func() { f.Drain("n007", "n008") })
		f.At(6*time.Second, func() { f.EndpointList.CallsPerSecond = 40 })
	})
	for i, x := range f.proxies {
		if m, ok := x.told["n007"]; !ok || m.State != policy.Draining {
			t.Errorf("proxy %d never learnt of the drain", i)
		}
		if x.conns["n007"] != nil {
			t.Errorf("proxy %d keeps a connection to a drained node", i)
		}
	}
	if s := f.Sum(0, 6); s.EndpointListCallsLost < 80 || s.EndpointListCallsLost > 6*80 {
		t.Errorf("%d calls in vain in six seconds of 80 proxies", s.EndpointListCallsLost)
	}
}

// TestTablesAreShared plays wrong numbers of proxies: told half as many and twice as many as there
// are, one, and an absurd number. What nodes refuse for room stays rare, and the service good.
func TestTablesAreShared(t *testing.T) {
	for _, c := range []struct {
		told   int
		noRoom float64 // of all sends at most
	}{{80, 0.03}, {40, 0.1}, {160, 0.01}, {1, 0.3}, {1e9, 0.01}} {
		p := eighty(1)
		p.Settings.ProxyCount = c.told
		f := play(t, p, 12*time.Second, nil)
		sum := f.Sum(4, 12)
		if got := float64(sum.ConnectionsRejected) / float64(sum.Sends); got > c.noRoom {
			t.Errorf("told of %d proxies: %.3f of all sends find no room", c.told, got)
		}
		if got := inTime(f.Sum(2, 10)); got < 0.97 {
			t.Errorf("told of %d proxies: %.3f in time", c.told, got)
		}
		if f.Peak.Connections > p.Node.MaxConnections {
			t.Errorf("told of %d proxies: %d connections at one node", c.told, f.Peak.Connections)
		}
	}
}

// TestNodesWithoutRoom fills the tables of one node in three for four seconds: they are no sick nodes
// and it is no overload, and their requests are served elsewhere.
func TestNodesWithoutRoom(t *testing.T) {
	f := play(t, eighty(1), 14*time.Second, func(f *Fleet) {
		for _, name := range f.NodeNames()[:20] {
			f.At(4*time.Second, func() { f.nodes[name].conns += f.Node.MaxConnections })
			f.At(8*time.Second, func() { f.nodes[name].conns -= f.Node.MaxConnections })
		}
	})
	sum := f.Sum(4, 8)
	if got := inTime(sum); got < 0.9 {
		t.Errorf("%.3f in time while a third of the nodes has no room", got)
	}
	if sum.Rejected > sum.Requests/10 {
		t.Errorf("%d of %d requests refused while a third of the nodes has no room", sum.Rejected, sum.Requests)
	}
}

// TestMostProxiesStartAnew kills eight in ten at once, records and all: what they fetch again
// does not overrun the origin, and cold nodes that are being let in are not pushed over.
func TestMostProxiesStartAnew(t *testing.T) {
	f := play(t, eighty(1), 16*time.Second, func(f *Fleet) {
		f.At(5*time.Second, func() { f.Crash("n001", "n002", "n003") })
		f.At(6*time.Second, func() { f.Restart("n001", "n002", "n003") })
		f.At(7*time.Second, func() { f.KillProxies(200*ms, f.all()[:64]...) })
	})
	if s := f.Sum(7, 12); s.FetchesRejected > 0 {
		t.Errorf("the origin turned %d fetches away", s.FetchesRejected)
	}
	if got := inTime(f.Sum(8, 14)); got < 0.98 {
		t.Errorf("%.3f in time after most proxies have started anew", got)
	}
	before, after := f.Sum(4, 5), f.Sum(8, 9)
	if after.Misses > 2*before.Misses {
		t.Errorf("%d misses in the second after, %d before", after.Misses, before.Misses)
	}
}

// TestRareRequests gives each proxy three requests a second and a node that fails them all: it is
// asked little after half a minute.
func TestRareRequests(t *testing.T) {
	p := eighty(1)
	p.Clients.RequestsPerSecond = 240
	p.Nodes = 12
	f := play(t, p, 60*time.Second, func(f *Fleet) {
		f.At(10*time.Second, func() { f.SetFault("n003", AnswersErrors) })
	})
	first, last := f.Sum(10, 14), f.Sum(40, 60)
	if a, b := float64(first.SendsToFaulty)/4, float64(last.SendsToFaulty)/20; b > a*0.6 {
		t.Errorf("%.1f a second at first, %.1f half a minute later", a, b)
	}
}
