package simulation

import (
	"testing"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/policy"
)

const ms = time.Millisecond

// plan80 is a fleet of eighty proxies over sixty nodes in four zones, at half of the nodes' capacity. Each proxy sends
// to each node about once in three seconds.
func plan80(seed uint64) Plan {
	read := policy.Class{
		Name:             "read",
		Idempotency:      policy.Idempotent,
		LatencyObjective: 400 * ms,
		Deadline:         2 * time.Second,
		PriorityWeight:   1,
		LateWeightShare:  0.3,
	}
	once := read
	once.Name, once.Idempotency = "once", policy.NotIdempotent
	once.LatencyObjective, once.PriorityWeight = 500*ms, 3
	keyed := once
	keyed.Name, keyed.Idempotency, keyed.DedupWindow = "keyed", policy.IdempotentWithKey, 3*time.Second
	return Plan{
		Seed:         seed,
		Proxies:      80,
		Nodes:        60,
		MessageDelay: ms / 2,
		Settings: policy.Settings{
			Zones:              []string{"a", "b", "c", "d"},
			OriginKind:         -1,
			OverQuotaFactor:    0.1,
			EndpointsOnRequest: true,
			EventInterval:      2 * ms,
			Classes:            []policy.Class{read, keyed, once},
			Limits: policy.Limits{
				MaxAttempts:   4,
				AllowHedging:  true,
				AllowCancel:   true,
				MaxRetryAfter: time.Second,
			},
			Rules: policy.Rules{
				ResponseGrace:    50 * ms,
				MaxPollInterval:  4 * time.Second,
				DrainGrace:       500 * ms,
				SlowStartShare:   0.2,
				SlowStartWindow:  8 * time.Second,
				OverloadMultiple: 3,
				OverloadWindow:   time.Second,
			},
			Costs: policy.Costs{OriginFetch: 0.3},
		},
		Node: NodePlan{
			Workers:        4,
			ServiceTime:    80 * ms,
			MaxQueued:      30,
			IdleTTL:        20 * time.Second,
			MaxConnections: 34,
		},
		Origin:       OriginPlan{FetchTime: 60 * ms, FetchesPerSecond: 700, MaxQueueTime: 300 * ms},
		EndpointList: EndpointListPlan{CallsPerSecond: 40},
		Clients: ClientPlan{
			RequestsPerSecond: 1520,
			Keys:              5000,
			ClassShares:       []float64{0.85, 0.13, 0.02},
			RetryPause:        20 * ms,
		},
	}
}

// plan80WithCosts is plan80 with costs for handshakes and for requests across zones. Proxies do not know how many
// connections nodes keep for them.
func plan80WithCosts(seed uint64) Plan {
	p := plan80(seed)
	p.Settings.Costs = policy.Costs{OriginFetch: 0.15, CrossZone: 0.02, Handshake: 0.115}
	return p
}

// plan80WithZonalHomes is plan80WithCosts with proxies that know how many connections nodes keep for them.
func plan80WithZonalHomes(seed uint64) Plan {
	p := plan80WithCosts(seed)
	capacity := connlimit.Capacity{ConnectionsPerNode: p.Node.MaxConnections, Proxies: p.Proxies}
	p.Settings.ConnectionsPerServer = capacity.PerProxy()
	return p
}

// plan300 is a large fleet of 300 proxies with few requests each, over 160 nodes in five zones. Proxy 0 receives eight
// times the mean load.
func plan300(seed uint64) Plan {
	p := plan80(seed)
	p.Proxies, p.Nodes = 300, 160
	p.Settings.Zones = []string{"a", "b", "c", "d", "e"}
	p.Node.MaxConnections = 300
	p.Settings.ConnectionsPerServer = float64(p.Node.MaxConnections) * connlimit.TargetFill / float64(p.Proxies)
	p.Clients.RequestsPerSecond, p.Clients.HotProxyFactor = 1200, 8
	p.EndpointList.CallsPerSecond = 60
	return p
}

// run runs a plan for length, with an optional script that schedules faults, and reports all violations of rules.
func run(t *testing.T, p Plan, length time.Duration, script func(*Fleet)) *Fleet {
	t.Helper()
	f, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	if script != nil {
		script(f)
	}
	f.RunUntil(length)
	for _, v := range f.Violations {
		t.Error("violation: " + v)
	}
	if testing.Verbose() {
		logCounters(t, f.PerSecond)
	}
	return f
}

func logCounters(t *testing.T, perSecond []Counters) {
	t.Helper()
	t.Log("  s   req   att  good late none   rej fail sends warm flty down hand connr miss calls lost")
	for i, s := range perSecond {
		t.Logf("%3d %5d %5d %5d %4d %4d %5d %4d %5d %4d %4d %4d %4d %5d %4d %5d %4d",
			i, s.Requests, s.ClientAttempts, s.InTime, s.Late, s.Unanswered, s.Rejected, s.Failed,
			s.Sends, s.SendsToWarming, s.SendsToFaulty, s.SendsToUnreachable, s.Handshakes, s.ConnectionsRejected,
			s.Misses, s.EndpointListCalls, s.EndpointListCallsLost)
	}
}

// inTimeShare returns the share of requests that were served within their latency objective.
func inTimeShare(c Counters) float64 { return float64(c.InTime) / float64(max(c.Requests, 1)) }

// handshakesPerRequest returns the handshakes of all proxies for each request of a client.
func handshakesPerRequest(c Counters) float64 { return float64(c.Handshakes) / float64(c.Requests) }

// missShare returns the share of reads that missed the cache.
func missShare(c Counters) float64 { return float64(c.Misses) / float64(c.Hits+c.Misses) }

// checkInTime checks that at least a minimum share of requests was in time.
func checkInTime(t *testing.T, c Counters, minimum float64, when string) {
	t.Helper()
	if got := inTimeShare(c); got < minimum {
		t.Errorf("%.3f in time %s, want %.3f at least", got, when, minimum)
	}
}

// allProxies returns the indices of all proxies.
func allProxies(f *Fleet) (indices []int) {
	for i := range f.Proxies {
		indices = append(indices, i)
	}
	return indices
}

// nodesWhere returns the names of the nodes whose index matches.
func nodesWhere(f *Fleet, match func(i int) bool) (names []string) {
	for i, name := range f.NodeNames() {
		if match(i) {
			names = append(names, name)
		}
	}
	return names
}

// addStartedNode adds a node that starts now, and announces it.
func addStartedNode(f *Fleet, name string, zone int) {
	f.addNode(name, zone, f.now)
	f.announce([]policy.Endpoint{f.nodes[name].Endpoint})
}
