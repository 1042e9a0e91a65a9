package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// homely is a balancer as one of eighty proxies over sixty servers in four zones, to which each server
// keeps so many connections.
func homely(t *testing.T, links float64) *Balancer {
	t.Helper()
	b := fleet(t, 1)
	set := *b.settings
	set.ConnectionsPerServer, set.Costs = links, Costs{OriginFetch: 0.15, CrossZone: 0.02, Handshake: 0.115}
	if err := b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for _, s := range b.servers {
		list = append(list, s.Endpoint)
	}
	b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsFull, Endpoints: list}, nil)
	return b
}

// homed gives a balancer n requests for keys of their own and returns how many go to each zone.
func homed(b *Balancer, n int) (zones [4]int) {
	firsts, _ := drive(b, time.Hour, 0, n, func(string) Result { return Served })
	for s, got := range firsts {
		zones[b.servers[s].Zone] += got
	}
	return zones
}

// TestHomesFollowConnections guards few connections, and the origin where they are many: keys have a home
// in each zone only where a handshake and a crossing saved weigh more than the fetches that it costs.
func TestHomesFollowConnections(t *testing.T) {
	if got := homed(homely(t, 0.2), 400); got[0] < 350 {
		t.Errorf("with a connection to a fifth of the servers %v requests go to the zones, the own one first", got)
	}
	for _, links := range []float64{0, 1, 5} { // 0: as many as it wants
		got := homed(homely(t, links), 400)
		for zone, n := range got {
			if n < 60 || n > 140 {
				t.Errorf("with %v connections zone %d of four gets %d of 400 requests", links, zone, n)
			}
		}
	}
	b := homely(t, 0.2)
	set := *b.settings
	set.Costs.Handshake = 0 // they cost nothing here
	if err := b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	if b.zonalHomes {
		t.Error("homes in each zone stay after the price of a handshake is gone")
	}
	if got := homed(b, 400); got[0] > 140 {
		t.Errorf("where handshakes cost nothing %v requests go to the zones, the own one first", got)
	}
}

// TestLostZoneOfHomesIsLeft guards the proxies of a zone all of whose servers fail to be reached: they must not
// go on asking there, nor turn away what others could serve.
func TestLostZoneOfHomesIsLeft(t *testing.T) {
	b := homely(t, 0.2)
	own := func(s string) bool { return b.servers[s].Zone == 0 }
	_, now := drive(b, time.Hour, 0, 100, ending(ConnectFailed, own))
	firsts, _ := drive(b, now, 100, 200, ending(ConnectFailed, own))
	lost := those(firsts, own)
	all := those(firsts, func(string) bool { return true })
	if all < 195 || lost > all/5 {
		t.Errorf("of 200 requests %d are sent on, %d of them to the lost zone", all, lost)
	}
}

// TestFullOriginGathersHomes guards the origin: while a fetch takes much longer than at rest, keys go to
// the home that all proxies ask.
func TestFullOriginGathersHomes(t *testing.T) {
	b := homely(t, 0.2)
	b.missPenalty, b.baselineMissPenalty = 0.4, 0.1
	if got := homed(b, 200); got[0] > 100 {
		t.Errorf("with a queue at the origin %v of 200 requests go to the zones, the own one first", got)
	}
}

// TestColdHomeGetsItsDueShare guards cold servers whose requests come from their own zone's proxies alone: these
// grant what the others don't, but never so much that all clients at one zone push a server over.
func TestColdHomeGetsItsDueShare(t *testing.T) {
	const due = 0.2 / 60.8 * 100 // of a hundred requests: its warmth over the fleet's
	for _, c := range []struct{ links, multiple, own, others float64 }{
		{0, 3, slowStartMargin, slowStartMargin},
		{0.2, 9, 4 * slowStartMargin, 0}, // four zones
		{0.2, 3, 3, 0},                   // the multiple itself, if every request came to this zone
		{0.2, 0, slowStartMargin, 0},     // not told: no more than any
	} {
		b := homely(t, c.links)
		set := *b.settings
		set.Rules.SlowStartShare, set.Rules.SlowStartWindow, set.Rules.OverloadMultiple = 0.2, 10*time.Second, c.multiple
		if err := b.Reconfigure(set); err != nil {
			t.Fatal(err)
		}
		var list []Endpoint
		for zone := range 4 {
			list = append(list, Endpoint{Server: fmt.Sprint("cold", zone), Zone: zone, StartedAt: time.Hour})
		}
		b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsDelta, Endpoints: list}, nil)
		for zone := range 4 {
			b.servers[fmt.Sprint("cold", zone)].slowStartTokens = 0
		}
		for range 100 {
			b.grantSlowStartTokens()
		}
		for zone := range 4 {
			want := c.others * due
			if zone == 0 {
				want = c.own * due
			}
			if got := b.servers[fmt.Sprint("cold", zone)].slowStartTokens; math.Abs(got-min(want, maxSlowStartTokens)) > 0.01 {
				t.Errorf("%+v: the cold server of zone %d is granted %.2f sends of 100 requests, not %.2f", c, zone, got, want)
			}
		}
	}
}
