package policy

import (
	"fmt"
	"testing"
	"time"
)

// Indices of the classes and tenants that newSheddingBalancer configures.
const (
	readClass     = 0 // idempotent, of weight 1
	handoverClass = 1 // with an idempotency key, of weight 2

	tenantWithQuota    = 0 // 50 requests a second
	tenantWithoutQuota = 1
)

// newSheddingBalancer returns a balancer whose gates admit about the given share of requests.
func newSheddingBalancer(t *testing.T, share float64) (*Balancer, time.Duration) {
	t.Helper()
	b, now := newTestBalancer(t)
	settings := *b.settings
	settings.Classes = []Class{
		{
			Name:             "read",
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
			LateWeightShare:  0.3,
		},
		{
			Name:             "handover",
			Idempotency:      IdempotentWithKey,
			DedupWindow:      time.Second,
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			PriorityWeight:   2,
		},
	}
	settings.Tenants = []Tenant{{Name: "florist", Quota: 50}, {Name: "others"}}
	settings.OverQuotaFactor = 0.2
	settings.Limits.MaxRetryAfter = 1200 * time.Millisecond
	if err := b.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	setGates(b, now, share)
	return b, now
}

// admittedShare offers n requests while the gates admit the given share, and returns the share of the requests that was
// sent to a server.
func admittedShare(b *Balancer, now time.Duration, share float64, n int, arrival func(i int) Arrival) float64 {
	sends := 0
	for i := range n {
		setGates(b, now, share)
		a := arrival(i)
		a.Deadline = now + 2*time.Second
		for _, server := range sendTargets(b.Handle(now, a, nil)) {
			sends++
			// A reset says nothing about load.
			b.Handle(now, Outcome{ID: a.ID, Server: server, Result: Reset, Final: true}, nil)
		}
	}
	return float64(sends) / float64(n)
}

// TestAdmissionIsByWeight checks that gates that shed load admit handovers, and reads of tenants within their quota,
// before other requests, and that the total share admitted stays that of the gate. Gates that shed at random would
// reject valuable requests.
func TestAdmissionIsByWeight(t *testing.T) {
	const gateShare = 0.5
	b, now := newSheddingBalancer(t, gateShare)
	kinds := []struct {
		name              string
		arrival           Arrival
		every             int // the kind arrives in one of this many rounds
		offered, admitted float64
	}{
		{
			name:    "handovers",
			arrival: Arrival{Class: handoverClass, Tenant: tenantWithoutQuota, Key: "h", Write: true},
			every:   10,
		},
		{
			name:    "reads",
			arrival: Arrival{Tenant: tenantWithoutQuota, Key: "k"},
			every:   1,
		},
		{
			name:    "reads over quota", // ten times the quota
			arrival: Arrival{Tenant: tenantWithQuota, Key: "k"},
			every:   2,
		},
	}
	id := uint64(0)
	for round := range 2000 {
		now += time.Millisecond
		for i := range kinds {
			kind := &kinds[i]
			if round%kind.every > 0 {
				continue
			}
			id++
			a := kind.arrival
			a.ID = id
			kind.offered++
			kind.admitted += admittedShare(b, now, gateShare, 1, func(int) Arrival { return a })
		}
	}
	share := func(i int) float64 { return kinds[i].admitted / kinds[i].offered }
	if share(0) < 0.99 || share(1) < 0.5 || share(2) > 0.3 || share(2) == 0 {
		t.Errorf("admitted: handovers %.2f, reads %.2f, reads over quota %.2f", share(0), share(1), share(2))
	}
	admitted := kinds[0].admitted + kinds[1].admitted + kinds[2].admitted
	offered := kinds[0].offered + kinds[1].offered + kinds[2].offered
	if total := admitted / offered; total < 0.45 || total > 0.6 {
		t.Errorf("%.2f of all requests passed gates that admit half", total)
	}
}

// TestAdmissionWithoutWeights checks that gates shed at random if no class has a priority weight, because all requests
// are equal then.
func TestAdmissionWithoutWeights(t *testing.T) {
	b, now := newSheddingBalancer(t, 0.5)
	for i := range b.settings.Classes {
		b.settings.Classes[i].PriorityWeight = 0
	}
	share := admittedShare(b, now, 0.5, 4000, func(i int) Arrival {
		return Arrival{ID: uint64(i + 1), Class: i % 2, Tenant: tenantWithoutQuota}
	})
	if share < 0.45 || share > 0.6 {
		t.Errorf("%.2f admitted, want about half", share)
	}
}

// TestQuotasRefill checks that a tenant's quota refills as the clock advances, up to one burst, and does not refill
// while the clock stands still.
func TestQuotasRefill(t *testing.T) {
	b, now := newSheddingBalancer(t, 1)
	charge := func(tenant int) (over bool) {
		return b.chargeQuota(&request{Arrival: Arrival{Tenant: tenant}})
	}
	chargeMany := func() (within int) {
		b.now = now
		for range 500 {
			if !charge(tenantWithQuota) {
				within++
			}
		}
		return within
	}
	if first, again := chargeMany(), chargeMany(); first != 50 || again != 0 {
		t.Errorf("within the quota at first %d, then %d, want 50 and 0", first, again)
	}
	now += 100 * time.Millisecond
	if chargeMany() != 5 {
		t.Error("0.1 s did not refill a tenth of the quota")
	}
	now += time.Hour
	if chargeMany() != 50 {
		t.Error("an hour did not refill exactly one burst")
	}
	const noTenant = 7
	if charge(tenantWithoutQuota) || charge(noTenant) {
		t.Error("a tenant without a quota is over it")
	}
}

// TestGateClosesAndReopens checks that a gate closes when requests complete late, because retries would otherwise keep
// the queues full, and that it reopens after the cause has ended.
func TestGateClosesAndReopens(t *testing.T) {
	b, now := newTestBalancer(t)
	id := uint64(0)
	run := func(requests int, latency time.Duration) (share float64) {
		sends := 0
		for range requests {
			now += 5 * time.Millisecond
			id++
			actions := b.Handle(now, Arrival{ID: id, Deadline: now + 3*time.Second}, nil)
			for _, server := range sendTargets(actions) {
				sends++
				outcome := Outcome{ID: id, Server: server, Result: Served, Took: latency, Final: true}
				b.Handle(now+latency, outcome, nil)
			}
		}
		return float64(sends) / float64(requests)
	}
	const inTime, late = 20 * time.Millisecond, 1500 * time.Millisecond
	run(400, inTime)
	run(1200, late)
	if share := run(200, late); share > 0.3 {
		t.Errorf("%.2f still sent when all answers are late", share)
	}
	run(2000, inTime)
	if share := run(400, inTime); share < 0.99 {
		t.Errorf("%.2f sent ten seconds after the recovery", share)
	}
}

// runAtLowRate gives a balancer n requests, two a second, whose attempts all end with the given result. It returns the
// share of the second half of the requests that was sent.
func runAtLowRate(b *Balancer, now time.Duration, n int, result Result) float64 {
	sends := 0
	for i := range n {
		now += 500 * time.Millisecond
		id := uint64(i + 1)
		servers := sendTargets(b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i), Deadline: now + time.Second}, nil))
		if i >= n/2 && len(servers) > 0 {
			sends++
		}
		for number := 0; len(servers) > 0; number++ {
			outcome := Outcome{ID: id, Attempt: number, Server: servers[0], Result: result}
			servers = sendTargets(b.Handle(now, outcome, nil))
		}
		b.Handle(now, ClientLeft{ID: id}, nil)
	}
	return float64(sends) / float64((n+1)/2)
}

// TestGateOfFewRequestsCloses checks that the gate of a proxy with two requests a second closes when all fetches fail.
// Where many proxies get few requests each, none observes enough of them within the gate's decay time unless the gate
// keeps a minimum share of its counts.
func TestGateOfFewRequestsCloses(t *testing.T) {
	b, now := newTestBalancer(t)
	if share := runAtLowRate(b, now, 200, Errored); share > 0.25 {
		t.Errorf("%.2f still sent when every fetch fails", share)
	}
}

// TestFailedConnectionsKeepTheGateOpen checks that failed connections do not close the gates. When a site is cut off,
// the connections to it fail, which says nothing about the load elsewhere.
func TestFailedConnectionsKeepTheGateOpen(t *testing.T) {
	b, now := newTestBalancer(t)
	if share := runAtLowRate(b, now, 200, ConnectFailed); share < 0.9 {
		t.Errorf("%.2f sent when connections fail", share)
	}
}

// TestLostAnswersAreNoOverload checks that a server that accepts requests and never answers does not close the gates
// for all servers, as none of them is busy.
func TestLostAnswersAreNoOverload(t *testing.T) {
	b, now := newTestBalancer(t)
	const (
		interval      = 5 * time.Millisecond
		clientTimeout = 700 * time.Millisecond
	)
	lost, shed := map[uint64]bool{}, 0
	for i := range uint64(2000) {
		now += interval
		if id := i + 1 - uint64(clientTimeout/interval); lost[id] {
			b.Handle(now, TimerFired{Token: id<<timerKindBits | timerDeadline}, nil)
			b.Handle(now, Outcome{ID: id, Server: "a", Result: Cancelled, Took: clientTimeout, Final: true}, nil)
		}
		id := i + 1
		deadline := now + clientTimeout + time.Millisecond
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i % 50), Deadline: deadline}, nil)
		switch servers := sendTargets(actions); {
		case len(servers) == 0:
			shed++
		case servers[0] == "a":
			lost[id] = true
		default:
			outcome := Outcome{ID: id, Server: servers[0], Result: Served, Took: 20 * time.Millisecond, Final: true}
			b.Handle(now, outcome, nil)
		}
	}
	if len(lost) > 16 || shed > 8 {
		t.Errorf("of 2000 requests %d were lost and %d shed", len(lost), shed)
	}
}

// TestGatesSpareOnlyEjectedServers checks that a failure counts at the gates unless its server is ejected. A queue that
// stays full for a second makes its server look faulty, but must close the gates all the same. The requests in such a
// queue must not be retried at another server, because they would fill its queue too.
func TestGatesSpareOnlyEjectedServers(t *testing.T) {
	for _, c := range []struct {
		logOdds float64 // before the failure; the fault probabilities after it are about 0.27, 0.73 and 0.95
		spared  bool
	}{
		{0, false},
		{2, false},
		{6, true},
	} {
		t.Run(fmt.Sprint(c.logOdds), func(t *testing.T) {
			b := newFleetBalancer(t, 5)
			actions := b.Handle(time.Hour, Arrival{ID: 1, Key: "k", Deadline: time.Hour + 2*time.Second}, nil)
			server := sendTargets(actions)[0]
			suspicion := &b.servers[server].suspicions[0]
			suspicion.Decay(time.Hour, time.Second)
			suspicion.LogOdds = c.logOdds
			outcome := Outcome{ID: 1, Server: server, Result: Rejected, Took: time.Millisecond}
			actions = b.Handle(time.Hour+time.Millisecond, outcome, nil)
			if retried := len(sendTargets(actions)) > 0; retried != c.spared {
				t.Errorf("retried: %v", retried)
			}
			completed := b.paths[fetchPath].gate.completed + b.paths[hitPath].gate.completed
			if completed > 0 == c.spared {
				t.Errorf("%.2f completions counted at the gates", completed)
			}
		})
	}
}
