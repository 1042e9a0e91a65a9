package policy_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"mulleinpier/policy"
)

const ms = time.Millisecond

// settings are those of a small deployment of all three effects.
func settings() policy.Settings {
	return policy.Settings{
		ProxyCount: 3, Zones: []string{"a", "b"}, MachineKinds: []string{"k"}, OriginKind: -1, OverQuotaFactor: 0.1, EndpointsOnRequest: true,
		Classes: []policy.Class{
			{Name: "read", Idempotency: policy.Idempotent, LatencyObjective: 200 * ms, Deadline: 1000 * ms, PriorityWeight: 1},
			{Name: "all", Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupScopeAll, DedupWindow: 300 * ms, LatencyObjective: 200 * ms,
				Deadline: 1000 * ms, PriorityWeight: 2},
			{Name: "zone", Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupScopeZone, DedupWindow: 300 * ms, LatencyObjective: 200 * ms,
				Deadline: 1000 * ms, PriorityWeight: 2},
			{Name: "cell", Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupScopeCell, DedupWindow: 300 * ms, LatencyObjective: 200 * ms,
				Deadline: 1000 * ms, PriorityWeight: 2},
			{Name: "once", Idempotency: policy.NotIdempotent, LatencyObjective: 200 * ms, Deadline: 1000 * ms, PriorityWeight: 5},
			{Name: "stream", Idempotency: policy.Idempotent, LatencyObjective: 200 * ms, Deadline: 1000 * ms, PriorityWeight: 1, Streamed: true},
		},
		Tenants: []policy.Tenant{{Name: "t", Quota: 50}, {Name: "u"}},
		Limits:  policy.Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true},
		Rules: policy.Rules{ResponseGrace: 20 * ms, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * ms,
			SlowStartShare: 0.2, SlowStartWindow: 5 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second},
		EventInterval: 5 * ms,
	}
}

type try struct {
	server string
	sent   time.Duration
	out    bool
	mayRun bool
}

type job struct {
	policy.Arrival
	set    policy.Settings // in force when it came
	tries  []try
	ended  bool
	stream bool
}

// world feeds a balancer legal events and checks each action against the
// rules by its own books.
type world struct {
	t       testing.TB
	set     policy.Settings
	rng     *rand.Rand
	b       *policy.Balancer
	now     time.Duration
	jobs    map[uint64]*job
	ids     []uint64
	nextID  uint64
	members map[string]policy.Endpoint
	names   []string
	told    map[string]bool // servers that may be sent to
	timers  []struct {
		at    time.Duration
		token uint64
	}
	trace []policy.Action
	cold  map[string]int // sends to a server while cold
	sends int
}

func newWorld(t testing.TB, set policy.Settings, seed uint64) *world {
	b, err := policy.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), b: b, now: time.Hour,
		jobs: map[uint64]*job{}, members: map[string]policy.Endpoint{}, told: map[string]bool{},
		cold: map[string]int{}}
}

func (w *world) handle(e policy.Event) {
	actions := w.b.Handle(w.now, e, nil)
	w.trace = append(w.trace, actions...)
	for _, a := range actions {
		w.check(a)
	}
}

func (w *world) check(a policy.Action) {
	j := w.jobs[a.ID]
	switch a.Kind {
	case policy.Send, policy.Reject, policy.Fail, policy.Cancel:
		if j == nil {
			w.t.Fatalf("action %+v for no request", a)
		}
	}
	class := func() policy.Class { return j.set.Classes[j.Class] }
	switch a.Kind {
	case policy.Send:
		if j.ended || j.stream || w.now >= j.Deadline || len(j.tries) >= j.set.Limits.MaxAttempts {
			w.t.Fatalf("send %+v not allowed: %+v", a, j)
		}
		if !w.told[a.Server] {
			w.t.Fatalf("send to %s, which drains, is gone or unknown", a.Server)
		}
		to := w.members[a.Server]
		if to.NoDeduplication && class().Idempotency == policy.IdempotentWithKey {
			w.t.Fatalf("%+v sent to %s, which drops no repeats", j, a.Server)
		}
		for _, y := range j.tries {
			if y.out && !j.set.Limits.AllowHedging {
				w.t.Fatalf("second copy out: %+v", j)
			}
			if !y.out && !y.mayRun || class().Idempotency == policy.Idempotent {
				continue
			}
			from := w.members[y.server]
			ok := class().Idempotency == policy.IdempotentWithKey && w.now-y.sent < class().DedupWindow
			ok = ok && (class().DedupScope == policy.DedupScopeAll || class().DedupScope == policy.DedupScopeZone && from.Zone == to.Zone ||
				class().DedupScope == policy.DedupScopeCell && from.Cell == to.Cell)
			if !ok {
				w.t.Fatalf("effect may happen twice: %+v sent to %s at %v", j, a.Server, w.now)
			}
		}
		j.tries = append(j.tries, try{a.Server, w.now, true, true})
		w.sends++
		if to.StartedAt > 0 && w.now-to.StartedAt < w.set.Rules.SlowStartWindow {
			w.cold[a.Server]++
		}
	case policy.Reject, policy.Fail:
		if j.ended || j.stream || w.now > j.Deadline+w.set.Rules.ResponseGrace {
			w.t.Fatalf("answer %+v not allowed: %+v", a, j)
		}
		for _, y := range j.tries {
			if a.Kind == policy.Reject && (y.out || y.mayRun) && (class().Idempotency == policy.NotIdempotent ||
				class().Idempotency == policy.IdempotentWithKey && class().DedupScope != policy.DedupScopeAll) {
				w.t.Fatalf("refused what may have run: %+v", j)
			}
		}
		j.ended = true
	case policy.Cancel:
		if a.Attempt >= len(j.tries) {
			w.t.Fatalf("cancel of an attempt never made: %+v", a)
		}
	case policy.SetTimer:
		w.timers = append(w.timers, struct {
			at    time.Duration
			token uint64
		}{w.now + max(a.After, w.set.EventInterval), a.Token})
	}
}

func (w *world) arrive() {
	w.nextID++
	life := time.Duration(50+w.rng.IntN(900)) * ms
	a := policy.Arrival{ID: w.nextID, Class: w.rng.IntN(len(w.set.Classes)), Tenant: w.rng.IntN(2),
		Deadline: w.now + life, Write: w.rng.IntN(10) == 0}
	if w.rng.IntN(8) > 0 {
		a.Key = fmt.Sprint("k", w.rng.IntN(1+w.rng.IntN(60)))
	}
	w.jobs[a.ID] = &job{Arrival: a, set: w.set}
	w.ids = append(w.ids, a.ID)
	w.handle(a)
}

// resolve ends a random attempt that is out.
func (w *world) resolve() {
	if len(w.ids) == 0 {
		return
	}
	j := w.jobs[w.ids[len(w.ids)-1-w.rng.IntN(min(len(w.ids), 40))]]
	for i := range j.tries {
		y := &j.tries[i]
		if !y.out || w.rng.IntN(3) == 0 {
			continue
		}
		if !j.stream && !j.ended && j.set.Classes[j.Class].Streamed && w.rng.IntN(3) == 0 {
			j.stream = true
			w.handle(policy.StreamStarted{ID: j.ID, Attempt: i, Server: y.server})
			continue
		}
		o := policy.Outcome{ID: j.ID, Attempt: i, Server: y.server, Took: w.now - y.sent,
			Result: policy.Result(w.rng.IntN(int(policy.Malformed) + 1)), CacheStatus: policy.CacheStatus(w.rng.IntN(3))}
		if w.rng.IntN(4) > 0 {
			o.Result = policy.Served
		}
		if w.rng.IntN(2) == 0 {
			o.LoadReport = &policy.LoadReport{InFlight: float64(w.rng.IntN(50)), Queue: -1, X0: 0.5}
		}
		y.out = false
		switch o.Result {
		case policy.Rejected, policy.ConnectFailed, policy.NotSent, policy.NotFound:
			y.mayRun = false
		}
		j.ended = j.ended || o.Result == policy.Served || j.stream
		o.Final = j.ended
		w.handle(o)
		if w.rng.IntN(20) == 0 {
			w.handle(o) // an outcome told twice
		}
		return
	}
}

// relist changes the list at random and tells of it.
func (w *world) relist() {
	kind := policy.EndpointUpdateKind(w.rng.IntN(4))
	if len(w.names) == 0 {
		kind = policy.EndpointsCached
	}
	var changed []policy.Endpoint
	for range 1 + w.rng.IntN(3) {
		name := fmt.Sprint("s", w.rng.IntN(9))
		m := policy.Endpoint{Server: name, Zone: w.rng.IntN(2), Cell: w.rng.IntN(3), Weight: 1, NoDeduplication: name >= "s7"}
		if old, ok := w.members[name]; ok {
			m = old
			m.State = policy.EndpointState(w.rng.IntN(3))
			if w.rng.IntN(2) == 0 {
				m.State, m.StartedAt = policy.Serving, w.now-time.Duration(w.rng.IntN(3000))*ms
			}
		} else {
			if len(w.names) > 4 {
				m.StartedAt = w.now
			}
		}
		changed = append(changed, m)
	}
	if kind == policy.EndpointsUnavailable {
		w.handle(policy.EndpointUpdate{Kind: kind})
		return
	}
	for _, m := range changed {
		if _, ok := w.members[m.Server]; !ok {
			w.names = append(w.names, m.Server)
		}
		w.members[m.Server] = m
		w.told[m.Server] = m.State == policy.Serving
	}
	list := changed
	if kind != policy.EndpointsDelta {
		list = nil
		for _, name := range w.names {
			m := w.members[name]
			if w.rng.IntN(12) == 0 {
				w.told[name] = false
				continue
			}
			w.told[name] = m.State == policy.Serving
			list = append(list, m, m)
		}
	}
	w.handle(policy.EndpointUpdate{Kind: kind, Endpoints: list})
}

func (w *world) alarms() {
	due := w.timers
	w.timers = nil
	for _, t := range due {
		if t.at <= w.now {
			w.handle(policy.TimerFired{Token: t.token})
		} else {
			w.timers = append(w.timers, t)
		}
	}
}

// overdue ends what the client's deadline has passed over: nothing may have
// been left unanswered.
func (w *world) overdue() {
	for _, id := range w.ids {
		j := w.jobs[id]
		if !j.ended && !j.stream && w.now > j.Deadline+w.set.Rules.ResponseGrace {
			w.t.Fatalf("request lost: %+v at %v", j, w.now)
		}
	}
	if len(w.ids) > 400 {
		w.ids = w.ids[len(w.ids)-400:]
	}
}

// reconfigure puts other classes, in another order, and other limits into force.
func (w *world) reconfigure() {
	next := settings()
	next.EndpointsOnRequest = w.set.EndpointsOnRequest
	w.rng.Shuffle(len(next.Classes), func(i, j int) {
		next.Classes[i], next.Classes[j] = next.Classes[j], next.Classes[i]
	})
	next.Classes = next.Classes[:1+w.rng.IntN(len(next.Classes))]
	for i := range next.Classes {
		next.Classes[i].DedupWindow = time.Duration(1+w.rng.IntN(300)) * ms
	}
	next.Limits.MaxAttempts = 1 + w.rng.IntN(4)
	next.Limits.AllowHedging = w.rng.IntN(2) == 0
	if err := w.b.Reconfigure(next); err != nil {
		w.t.Fatal(err)
	}
	w.set = next
}

func (w *world) step() {
	if w.rng.IntN(4) > 0 { // some clocks do not advance
		w.now += time.Duration(1+w.rng.IntN(3)) * 5 * ms
	}
	w.alarms()
	switch k := w.rng.IntN(100); {
	case k < 40:
		w.arrive()
	case k < 92:
		w.resolve()
	case k < 94:
		w.relist()
	case k < 96 && len(w.ids) > 0:
		j := w.jobs[w.ids[w.rng.IntN(len(w.ids))]]
		j.ended = true
		w.handle(policy.ClientLeft{ID: j.ID})
	case k < 97:
		w.handle(policy.LevelChange{Level: policy.DegradationLevel(w.rng.IntN(6))})
		w.handle(policy.TimerFired{Token: w.rng.Uint64() >> 1})
		w.handle(policy.Outcome{ID: 1 << 40, Server: "nobody"})
		w.handle(policy.HealthCheckResult{Server: "nobody", Result: policy.TimedOut})
		w.handle(policy.PeerMessage{From: 1, Data: []byte("x")})
	}
	w.overdue()
}

func TestRulesHoldOnRandomHistories(t *testing.T) {
	for seed := range uint64(60) {
		set := settings()
		set.Limits.AllowHedging = seed%2 == 0
		set.EndpointsOnRequest = seed%3 == 0
		set.Limits.AllowCancel = seed%5 != 0
		if seed%4 == 1 {
			set.Tenants = nil
		}
		w := newWorld(t, set, seed)
		w.relist()
		for range 3000 {
			w.step()
		}
		if w.sends < 40 {
			t.Errorf("seed %d: only %d sends seen", seed, w.sends)
		}
	}
}

// TestRulesHoldThroughReconfigurations guards against requests that a reload
// puts under other rules than those that they were taken with.
func TestRulesHoldThroughReconfigurations(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, settings(), seed)
		w.relist()
		for i := range 3000 {
			if i%50 == 25 {
				w.reconfigure()
			}
			w.step()
		}
		if w.sends < 40 {
			t.Errorf("seed %d: only %d sends seen", seed, w.sends)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := newWorld(t, settings(), 9), newWorld(t, settings(), 9)
	for range 2000 { // stepped in turn, so that anything shared would show
		a.step()
		b.step()
	}
	c := newWorld(t, settings(), 9)
	for range 2000 {
		c.step()
	}
	if !reflect.DeepEqual(a.trace, b.trace) || !reflect.DeepEqual(a.trace, c.trace) {
		t.Error("the same events gave other actions")
	}
}
