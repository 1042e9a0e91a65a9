package simulation

import (
	"testing"
	"time"

	"mulleinpier/internal/connlimit"
)

// dear is the fleet of eighty where connections are few and have a price; homes says whether proxies
// are told so.
func dear(seed uint64, homes bool) Plan {
	p := eighty(seed)
	p.Settings.Costs.OriginFetch, p.Settings.Costs.CrossZone, p.Settings.Costs.Handshake = 0.15, 0.02, 0.115
	if homes {
		p.Settings.ConnectionsPerServer = connlimit.Capacity{ConnectionsPerNode: p.Node.MaxConnections, Proxies: p.Proxies}.PerProxy()
	}
	return p
}

// dialled and fetched are handshakes for a first try, and fetches for a read.
func dialled(s Counters) float64 { return float64(s.Handshakes) / float64(s.Requests) }
func fetched(s Counters) float64 { return float64(s.Misses) / float64(s.Hits+s.Misses) }

// TestHomesInTheOwnZoneSaveHandshakes holds what a proxy of a large fleet pays for connections against
// what homes in each zone cost at the origin: in calm, and while a third of the nodes is slow.
func TestHomesInTheOwnZoneSaveHandshakes(t *testing.T) {
	for _, c := range []struct {
		name  string
		slow  bool
		dials float64 // for a first try, at most
	}{{"calm", false, 0.35}, {"a third slow", true, 0.45}} {
		script := func(f *Fleet) {
			for i, name := range f.NodeNames() {
				if c.slow && i%3 == 0 {
					f.At(4*time.Second, func() { f.SetFault(name, Slow) })
				}
			}
		}
		one, zones := play(t, dear(1, false), 16*time.Second, script), play(t, dear(1, true), 16*time.Second, script)
		a, b := one.Sum(8, 15), zones.Sum(8, 15)
		t.Logf("%s: handshakes %.3f -> %.3f, fetches %.3f -> %.3f, in time %.3f -> %.3f", c.name, dialled(a), dialled(b),
			fetched(a), fetched(b), inTime(a), inTime(b))
		if dialled(b) > c.dials || dialled(b) > dialled(a)*0.7 {
			t.Errorf("%s: %.3f handshakes for a first try, %.3f with one home", c.name, dialled(b), dialled(a))
		}
		if fetched(b) > fetched(a)+0.25 {
			t.Errorf("%s: %.3f of reads fetch, %.3f with one home", c.name, fetched(b), fetched(a))
		}
		if inTime(b) < inTime(a)-0.01 {
			t.Errorf("%s: %.3f in time, %.3f with one home", c.name, inTime(b), inTime(a))
		}
	}
}

// TestFullOriginBringsKeysTogether guards the origin: homes in each zone fetch more, and where it can take
// little more than one home's fetches they are given up before it is full.
func TestFullOriginBringsKeysTogether(t *testing.T) {
	free := play(t, dear(1, true), 18*time.Second, nil).Sum(10, 16)
	f := play(t, dear(1, true), 18*time.Second, func(f *Fleet) {
		f.At(8*time.Second, func() { f.Origin.FetchesPerSecond = 0.9 * float64(free.Fetches) / 6 })
	})
	s := f.Sum(10, 16)
	t.Logf("fetches %.3f -> %.3f, in time %.3f -> %.3f, turned away %d", fetched(free), fetched(s), inTime(free), inTime(s), s.FetchesRejected)
	if fetched(s) > fetched(free)*0.95 {
		t.Errorf("%.3f of reads fetch from a full origin, %.3f from one that is not", fetched(s), fetched(free))
	}
	if got := inTime(s); got < 0.97 {
		t.Errorf("%.3f in time", got)
	}
}
