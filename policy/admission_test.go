package policy

import (
	"testing"
	"time"
)

// crowded is a balancer whose gates let about the open share through, with classes of worth 1
// (safe) and 2 (keyed) and two tenants, of which the first has a quota of 50 a second.
func crowded(t *testing.T, open float64) (*Balancer, time.Duration) {
	t.Helper()
	b, now := harness(t)
	set := *b.settings
	set.Classes = []Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.3},
		{Name: "handover", Idempotency: IdempotentWithKey, DedupWindow: time.Second, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2}}
	set.Tenants, set.OverQuotaFactor = []Tenant{{Name: "florist", Quota: 50}, {Name: "others"}}, 0.2
	set.Limits.MaxRetryAfter = 1200 * time.Millisecond
	if err := b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	shut(b, now, open)
	return b, now
}

// pathGates returns the gates of a balancer's paths by whether they expect a hit.
func pathGates(b *Balancer) map[bool]*admissionGate {
	return map[bool]*admissionGate{true: &b.paths[hitPath].gate, false: &b.paths[fetchPath].gate}
}

// shut sets the gates to an open share as if many had been asked.
func shut(b *Balancer, now time.Duration, open float64) {
	for _, g := range pathGates(b) {
		*g = admissionGate{offered: 1e6, completed: 1e6, inTime: open / admissionSlack * 1e6, updated: now, minRetention: 1}
	}
	for _, s := range b.servers {
		s.gate = admissionGate{}
	}
}

// passed asks for so many requests and returns the share that was sent on.
func passed(b *Balancer, now time.Duration, open float64, n int, arrival func(i int) Arrival) float64 {
	sends := 0
	for i := range n {
		shut(b, now, open)
		a := arrival(i)
		a.Deadline = now + 2*time.Second
		out := b.Handle(now, a, nil)
		for _, to := range sent(out) {
			sends++
			b.Handle(now, Outcome{ID: a.ID, Server: to, Result: Reset, Final: true}, nil) // tells nothing of load
		}
	}
	return float64(sends) / float64(n)
}

// TestAdmissionIsByWorth guards against gates that shed by chance: handovers, and tenants
// within their share, go before the rest, and the whole that passes stays what it was.
func TestAdmissionIsByWorth(t *testing.T) {
	b, now := crowded(t, 0.5)
	var sends, asked [3]float64 // handovers, others' reads, reads over the florist's share
	id := uint64(0)
	for round := range 2000 {
		now += time.Millisecond // the florist asks for ten times its share
		for kind, a := range []Arrival{{Class: 1, Tenant: 1, Key: "h", Write: true}, {Tenant: 1, Key: "k"}, {Tenant: 0, Key: "k"}} {
			if kind == 0 && round%10 > 0 || kind == 2 && round%2 > 0 {
				continue
			}
			id++
			a.ID = id
			asked[kind]++
			sends[kind] += passed(b, now, 0.5, 1, func(int) Arrival { return a })
		}
	}
	for kind := range sends {
		sends[kind] /= asked[kind]
	}
	if sends[0] < 0.99 || sends[1] < 0.5 || sends[2] > 0.3 || sends[2] == 0 {
		t.Errorf("passed: handovers %.2f, others %.2f, over the share %.2f", sends[0], sends[1], sends[2])
	}
	whole := (sends[0]*asked[0] + sends[1]*asked[1] + sends[2]*asked[2]) / (asked[0] + asked[1] + asked[2])
	if whole < 0.45 || whole > 0.6 {
		t.Errorf("in all %.2f passed gates that let half through", whole)
	}
}

// TestAdmissionWithoutWorths guards against settings that tell no worth: all are alike then,
// and chance decides.
func TestAdmissionWithoutWorths(t *testing.T) {
	b, now := crowded(t, 0.5)
	for i := range b.settings.Classes {
		b.settings.Classes[i].PriorityWeight = 0
	}
	share := passed(b, now, 0.5, 4000, func(i int) Arrival { return Arrival{ID: uint64(i + 1), Class: i % 2, Tenant: 1} })
	if share < 0.45 || share > 0.6 {
		t.Errorf("%.2f passed, want about half", share)
	}
}

// TestSharesRefill guards the tenants' shares: what is left comes back with time, no more
// than a burst of it, and a clock that stands grants nothing.
func TestSharesRefill(t *testing.T) {
	b, now := crowded(t, 1)
	take := func() (within int) {
		b.now = now
		for range 500 {
			if !b.chargeQuota(&request{Arrival: Arrival{Tenant: 0}}) {
				within++
			}
		}
		return within
	}
	if first, again := take(), take(); first != 50 || again != 0 {
		t.Errorf("within the share at first %d, then %d, want 50 and 0", first, again)
	}
	if now += 100 * time.Millisecond; take() != 5 {
		t.Error("a tenth of a second did not bring a tenth of the quota")
	}
	if now += time.Hour; take() != 50 {
		t.Error("an hour did not bring one burst")
	}
	if b.chargeQuota(&request{Arrival: Arrival{Tenant: 1}}) || b.chargeQuota(&request{Arrival: Arrival{Tenant: 7}}) {
		t.Error("a tenant without a quota is over it")
	}
}
