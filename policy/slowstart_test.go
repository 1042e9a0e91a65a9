package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestWarmingServerGetsItsShare checks that a server that has just started gets only its share of the requests. It
// looks idle and fast, and would otherwise get a burst of all requests.
func TestWarmingServerGetsItsShare(t *testing.T) {
	b, now := newTestBalancer(t, "d")
	toWarming, all := 0, 0
	for i := range uint64(400) {
		now += 5 * time.Millisecond
		actions := b.Handle(now, Arrival{ID: i + 1, Key: fmt.Sprint(i), Deadline: now + time.Second}, nil)
		for _, server := range sendTargets(actions) {
			all++
			if server == "d" {
				toWarming++
			}
			outcome := Outcome{ID: i + 1, Server: server, Result: Served, Took: 20 * time.Millisecond, Final: true}
			b.Handle(now, outcome, nil)
		}
	}
	// In these 2 s a warm server gets about 100 requests. The limit is a fifth of them times slowStartMargin, and some
	// more by chance.
	if all != 400 || toWarming > 30 || toWarming == 0 {
		t.Errorf("the warming server got %d of %d", toWarming, all)
	}
}

// TestWarmingServerIsNotFaulty checks that the failures of a server that is warming up do not make it faulty: it is
// slow, and fetches from the origin, because its cache is cold.
func TestWarmingServerIsNotFaulty(t *testing.T) {
	b, now := newTestBalancer(t, "d")
	s := b.servers["d"]
	for i := range 10 {
		b.now = now + time.Duration(i)*time.Second
		b.recordHealth(s, &attempt{server: s, sentAt: b.now}, 0, healthSample{failed: 1, unreached: 1})
	}
	if p := b.faultProbability(s, 0); p > 0 {
		t.Errorf("ten late answers of a warming server give a fault probability of %.2f", p)
	}
}

// TestMostServersWarmingUp checks a fleet in which six in ten servers have just started. The requests that the warming
// servers may not get must go to the warm ones, and in no window of requests may a warming server get more than
// overloadMultiple times its fair share.
func TestMostServersWarmingUp(t *testing.T) {
	const (
		warming = 36
		warm    = 24
		share   = 0.3

		window           = 1000 // number of requests in a window
		overloadMultiple = 3
	)
	b := newFleetBalancer(t, 5)
	b.settings.Rules.SlowStartShare, b.settings.Rules.SlowStartWindow = share, time.Hour
	now := time.Hour + time.Second
	var started []Endpoint
	for i := range warming {
		started = append(started, Endpoint{Server: fmt.Sprintf("s%02d", i), Zone: i % 4, StartedAt: now})
	}
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: started}, nil)
	fairShareEach := share / (warm + warming*share)
	all, toWarming := 0, 0
	inWindow := make(map[string]int)
	for id := uint64(1); id <= 5*window; id++ {
		now += 5 * time.Millisecond
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint("k", id), Deadline: now + 2*time.Second}, nil)
		for _, server := range sendTargets(actions) {
			all++
			if b.capacityShare(b.servers[server]) < 1 {
				toWarming++
				inWindow[server]++
				if float64(inWindow[server]) > overloadMultiple*fairShareEach*window {
					t.Fatalf("%s got %d of %d requests", server, inWindow[server], window)
				}
			}
			b.Handle(now, Outcome{ID: id, Server: server, Result: Served, Took: time.Millisecond}, nil)
		}
		if id%window == 0 {
			clear(inWindow)
		}
	}
	// Some tokens are never used, because no request for a key of the warming server arrives while there are tokens.
	fairShare := warming * fairShareEach
	if got := float64(toWarming) / float64(all); got < fairShare/2 || got > 1.5*fairShare {
		t.Errorf("%.2f of all sends go to warming servers, want 0.5 to 1.5 times their share of %.2f", got, fairShare)
	}
}

// TestWarmingServerGetsItsShareOfFewRequests checks a warming server among sixty, with proxies that get twenty requests
// a second each. Together the proxies must send it some of its fair share from the first seconds on, but no more than
// that. The rest is unused, because a proxy that has tokens left seldom gets a request for a key of the server.
func TestWarmingServerGetsItsShareOfFewRequests(t *testing.T) {
	const requests = 100 // requests per proxy in 5 s
	toNew, all := 0, 0
	for seed := range uint64(80) {
		b := newFleetBalancer(t, seed)
		b.settings.Rules = Rules{SlowStartShare: 0.2, SlowStartWindow: 8 * time.Second}
		started := []Endpoint{{Server: "new", StartedAt: time.Hour}}
		b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsDelta, Endpoints: started}, nil)
		firstAttempts, _ := runRequests(b, time.Hour, 0, requests, resultWhere(Served, matchNone))
		toNew += firstAttempts["new"]
		all += requests
	}
	const meanCapacity = 0.45 // mean capacity of the new server during these 5 s
	allowance := slowStartMargin * float64(all) * meanCapacity / (60 + meanCapacity)
	if got := float64(toNew); got < allowance/6 || got > allowance*1.25 {
		t.Errorf("a warming server got %d of %d, its allowance is %.0f", toNew, all, allowance)
	}
}

// TestZonalHomesGrantSlowStartTokens checks the tokens of a warming server that gets requests only from the proxies of
// its own zone. These proxies grant the tokens of the other zones' proxies as well, but never so many that the server
// is overloaded if all clients are in one zone.
func TestZonalHomesGrantSlowStartTokens(t *testing.T) {
	const (
		requests  = 100
		fairShare = 0.2 / 60.8 * requests // the capacity of one warming server divided by the fleet's
	)
	for _, c := range []struct {
		name             string
		connections      float64
		overloadMultiple float64
		own, others      float64 // tokens granted to servers of the own zone and of other zones, in fair shares
	}{
		{"no zonal homes", 0, 3, slowStartMargin, slowStartMargin},
		{"four zones", 0.2, 9, 4 * slowStartMargin, 0},
		{"the multiple itself, if every request came to this zone", 0.2, 3, 3, 0},
		{"no multiple set: no more than any proxy", 0.2, 0, slowStartMargin, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newZonalBalancer(t, c.connections)
			settings := *b.settings
			settings.Rules.SlowStartShare = 0.2
			settings.Rules.SlowStartWindow = 10 * time.Second
			settings.Rules.OverloadMultiple = c.overloadMultiple
			if err := b.Reconfigure(settings); err != nil {
				t.Fatal(err)
			}
			var started []Endpoint
			for zone := range 4 {
				started = append(started, Endpoint{Server: fmt.Sprint("new", zone), Zone: zone, StartedAt: time.Hour})
			}
			b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsDelta, Endpoints: started}, nil)
			for _, endpoint := range started {
				b.servers[endpoint.Server].slowStartTokens = 0
			}
			for range requests {
				b.grantSlowStartTokens()
			}
			for zone, endpoint := range started {
				want := c.others * fairShare
				if zone == 0 {
					want = c.own * fairShare
				}
				want = min(want, maxSlowStartTokens)
				if got := b.servers[endpoint.Server].slowStartTokens; math.Abs(got-want) > 0.01 {
					t.Errorf("the server of zone %d is granted %.2f sends, want %.2f", zone, got, want)
				}
			}
		})
	}
}
