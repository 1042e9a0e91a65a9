package policy

import (
	"testing"
	"time"
)

const testZones = 4

// newZonalBalancer returns a balancer for one of eighty proxies with sixty servers in four zones. Each server keeps the
// given number of connections for the proxy.
func newZonalBalancer(t *testing.T, connections float64) *Balancer {
	t.Helper()
	b := newFleetBalancer(t, 1)
	settings := *b.settings
	settings.ConnectionsPerServer = connections
	settings.Costs = Costs{OriginFetch: 0.15, CrossZone: 0.02, Handshake: 0.115}
	if err := b.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for _, s := range b.servers {
		endpoints = append(endpoints, s.Endpoint)
	}
	b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsFull, Endpoints: endpoints}, nil)
	return b
}

// requestsByZone gives a balancer n requests for new keys and returns the number of requests that go to each zone. The
// first zone is the balancer's own.
func requestsByZone(b *Balancer, n int) (zones [testZones]int) {
	firstAttempts, _ := runRequests(b, time.Hour, 0, n, func(string) Result { return Served })
	for server, got := range firstAttempts {
		zones[b.servers[server].Zone] += got
	}
	return zones
}

// TestZonalHomesFollowConnections checks that keys have a home in each zone only if the handshakes and zone crossings
// that this saves outweigh the additional fetches. This prevents unnecessary handshakes where connections are few, and
// unnecessary fetches where they are many.
func TestZonalHomesFollowConnections(t *testing.T) {
	if got := requestsByZone(newZonalBalancer(t, 0.2), 400); got[0] < 350 {
		t.Errorf("with connections to a fifth of the servers the zones get %v requests", got)
	}
	for _, connections := range []float64{0, 1, 5} { // 0 means no bound
		for zone, n := range requestsByZone(newZonalBalancer(t, connections), 400) {
			if n < 60 || n > 140 {
				t.Errorf("with %v connections zone %d of four gets %d of 400 requests", connections, zone, n)
			}
		}
	}
	b := newZonalBalancer(t, 0.2)
	settings := *b.settings
	settings.Costs.Handshake = 0
	if err := b.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	if b.zonalHomes {
		t.Error("keys still have a home in each zone after handshakes cost nothing")
	}
	if got := requestsByZone(b, 400); got[0] > 140 {
		t.Errorf("if handshakes cost nothing the zones get %v requests", got)
	}
}

// TestLostZoneOfZonalHomesIsAvoided checks that a proxy whose own zone's servers cannot be reached sends its requests
// to other zones, instead of rejecting them or still sending them to its own zone.
func TestLostZoneOfZonalHomesIsAvoided(t *testing.T) {
	b := newZonalBalancer(t, 0.2)
	isOwnZone := func(server string) bool { return b.servers[server].Zone == 0 }
	result := resultWhere(ConnectFailed, isOwnZone)
	_, now := runRequests(b, time.Hour, 0, 100, result)
	firstAttempts, _ := runRequests(b, now, 100, 200, result)
	lost := sumWhere(firstAttempts, isOwnZone)
	all := sumWhere(firstAttempts, func(string) bool { return true })
	if all < 195 || lost > all/5 {
		t.Errorf("of 200 requests %d are sent, %d of them to the lost zone", all, lost)
	}
}

// TestQueueAtOriginMovesKeysToOneHome checks that keys go to the home that all proxies share while fetches take much
// longer than the baseline. This reduces the load of the origin.
func TestQueueAtOriginMovesKeysToOneHome(t *testing.T) {
	b := newZonalBalancer(t, 0.2)
	b.missPenalty, b.baselineMissPenalty = 0.4, 0.1
	if got := requestsByZone(b, 200); got[0] > 100 {
		t.Errorf("with a queue at the origin the zones get %v of 200 requests", got)
	}
}
