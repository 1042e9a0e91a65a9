package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinpier/policy"
)

const ms = time.Millisecond

// testSettings returns the settings of a small deployment with all kinds of classes.
func testSettings() policy.Settings {
	class := policy.Class{LatencyObjective: 200 * ms, Deadline: 1000 * ms, PriorityWeight: 1}
	read, once, stream := class, class, class
	read.Name = "read"
	once.Name, once.Idempotency, once.PriorityWeight = "once", policy.NotIdempotent, 5
	stream.Name, stream.Streamed = "stream", true
	keyed := func(name string, scope policy.DedupScope) policy.Class {
		c := class
		c.Name, c.Idempotency, c.DedupScope = name, policy.IdempotentWithKey, scope
		c.DedupWindow, c.PriorityWeight = 300*ms, 2
		return c
	}
	return policy.Settings{
		ProxyCount:         3,
		Zones:              []string{"a", "b"},
		MachineKinds:       []string{"k"},
		OriginKind:         -1,
		OverQuotaFactor:    0.1,
		EndpointsOnRequest: true,
		Classes: []policy.Class{
			read,
			keyed("all", policy.DedupScopeAll),
			keyed("zone", policy.DedupScopeZone),
			keyed("cell", policy.DedupScopeCell),
			once,
			stream,
		},
		Tenants: []policy.Tenant{{Name: "t", Quota: 50}, {Name: "u"}},
		Limits:  policy.Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true},
		Rules: policy.Rules{
			ResponseGrace:    20 * ms,
			MaxPollInterval:  10 * time.Second,
			DrainGrace:       500 * ms,
			SlowStartShare:   0.2,
			SlowStartWindow:  5 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   time.Second,
		},
		EventInterval: 5 * ms,
	}
}

type trackedAttempt struct {
	server     string
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

type trackedRequest struct {
	policy.Arrival
	settings  policy.Settings // in force when the request arrived
	attempts  []trackedAttempt
	ended     bool
	streaming bool
}

func (r *trackedRequest) class() *policy.Class { return &r.settings.Classes[r.Class] }

type trackedTimer struct {
	at    time.Duration
	token uint64
}

// history feeds valid random events to a balancer and checks each action by its own records.
type history struct {
	t           testing.TB
	settings    policy.Settings
	rng         *rand.Rand
	balancer    *policy.Balancer
	now         time.Duration
	requests    map[uint64]*trackedRequest
	ids         []uint64 // IDs of recent requests
	lastID      uint64
	endpoints   map[string]policy.Endpoint
	names       []string
	mayBeSentTo map[string]bool
	timers      []trackedTimer
	trace       []policy.Action
	sends       int
}

func newHistory(t testing.TB, settings policy.Settings, seed uint64) *history {
	b, err := policy.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &history{
		t:           t,
		settings:    settings,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		balancer:    b,
		now:         time.Hour,
		requests:    map[uint64]*trackedRequest{},
		endpoints:   map[string]policy.Endpoint{},
		mayBeSentTo: map[string]bool{},
	}
}

func (h *history) handle(e policy.Event) {
	actions := h.balancer.Handle(h.now, e, nil)
	h.trace = append(h.trace, actions...)
	for _, a := range actions {
		h.check(a)
	}
}

func (h *history) arrive() {
	h.lastID++
	clientTimeout := time.Duration(50+h.rng.IntN(900)) * ms
	a := policy.Arrival{
		ID:       h.lastID,
		Class:    h.rng.IntN(len(h.settings.Classes)),
		Tenant:   h.rng.IntN(2),
		Deadline: h.now + clientTimeout,
		Write:    h.rng.IntN(10) == 0,
	}
	if h.rng.IntN(8) > 0 {
		a.Key = fmt.Sprint("k", h.rng.IntN(1+h.rng.IntN(60)))
	}
	h.requests[a.ID] = &trackedRequest{Arrival: a, settings: h.settings}
	h.ids = append(h.ids, a.ID)
	h.handle(a)
}

// completeOne chooses a random attempt in flight, and either starts the stream of its answer or ends it.
func (h *history) completeOne() {
	if len(h.ids) == 0 {
		return
	}
	recent := h.rng.IntN(min(len(h.ids), 40))
	r := h.requests[h.ids[len(h.ids)-1-recent]]
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if !attempt.inFlight || h.rng.IntN(3) == 0 {
			continue
		}
		if !r.streaming && !r.ended && r.class().Streamed && h.rng.IntN(3) == 0 {
			r.streaming = true
			h.handle(policy.StreamStarted{ID: r.ID, Attempt: i, Server: attempt.server})
			continue
		}
		h.complete(r, i)
		return
	}
}

func (h *history) complete(r *trackedRequest, number int) {
	attempt := &r.attempts[number]
	outcome := policy.Outcome{
		ID:          r.ID,
		Attempt:     number,
		Server:      attempt.server,
		Took:        h.now - attempt.sentAt,
		Result:      policy.Result(h.rng.IntN(int(policy.Malformed) + 1)),
		CacheStatus: policy.CacheStatus(h.rng.IntN(3)),
	}
	if h.rng.IntN(4) > 0 {
		outcome.Result = policy.Served
	}
	if h.rng.IntN(2) == 0 {
		outcome.LoadReport = &policy.LoadReport{InFlight: float64(h.rng.IntN(50)), Queue: -1, X0: 0.5}
	}
	attempt.inFlight = false
	switch outcome.Result {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent, policy.NotFound:
		attempt.mayHaveRun = false
	}
	r.ended = r.ended || outcome.Result == policy.Served || r.streaming
	outcome.Final = r.ended
	h.handle(outcome)
	if h.rng.IntN(20) == 0 {
		h.handle(outcome) // report the same outcome twice
	}
}

// changeEndpoints changes the endpoint list at random and reports the change.
func (h *history) changeEndpoints() {
	kind := policy.EndpointUpdateKind(h.rng.IntN(4))
	if len(h.names) == 0 {
		kind = policy.EndpointsCached
	}
	changed := h.changedEndpoints()
	if kind == policy.EndpointsUnavailable {
		h.handle(policy.EndpointUpdate{Kind: kind})
		return
	}
	for _, endpoint := range changed {
		if _, ok := h.endpoints[endpoint.Server]; !ok {
			h.names = append(h.names, endpoint.Server)
		}
		h.endpoints[endpoint.Server] = endpoint
		h.mayBeSentTo[endpoint.Server] = endpoint.State == policy.Serving
	}
	if kind != policy.EndpointsDelta {
		changed = h.completeList()
	}
	h.handle(policy.EndpointUpdate{Kind: kind, Endpoints: changed})
}

func (h *history) changedEndpoints() (changed []policy.Endpoint) {
	for range 1 + h.rng.IntN(3) {
		name := fmt.Sprint("s", h.rng.IntN(9))
		endpoint := policy.Endpoint{
			Server:          name,
			Zone:            h.rng.IntN(2),
			Cell:            h.rng.IntN(3),
			Weight:          1,
			NoDeduplication: name >= "s7",
		}
		if old, ok := h.endpoints[name]; ok {
			endpoint = old
			endpoint.State = policy.EndpointState(h.rng.IntN(3))
			if h.rng.IntN(2) == 0 {
				endpoint.State = policy.Serving
				endpoint.StartedAt = h.now - time.Duration(h.rng.IntN(3000))*ms
			}
		} else if len(h.names) > 4 {
			endpoint.StartedAt = h.now
		}
		changed = append(changed, endpoint)
	}
	return changed
}

// completeList returns all endpoints, each of them twice, without some endpoints that are dropped at random.
func (h *history) completeList() (list []policy.Endpoint) {
	for _, name := range h.names {
		endpoint := h.endpoints[name]
		if h.rng.IntN(12) == 0 {
			h.mayBeSentTo[name] = false
			continue
		}
		h.mayBeSentTo[name] = endpoint.State == policy.Serving
		list = append(list, endpoint, endpoint)
	}
	return list
}

func (h *history) fireTimers() {
	timers := h.timers
	h.timers = nil
	for _, t := range timers {
		if t.at <= h.now {
			h.handle(policy.TimerFired{Token: t.token})
		} else {
			h.timers = append(h.timers, t)
		}
	}
}

// checkAnswered checks that each request that is not streaming has ended in time (guarantee 2).
func (h *history) checkAnswered() {
	for _, id := range h.ids {
		r := h.requests[id]
		if !r.ended && !r.streaming && h.now > r.Deadline+h.settings.Rules.ResponseGrace {
			h.t.Fatalf("request lost: %+v at %v", r, h.now)
		}
	}
	if len(h.ids) > 400 {
		h.ids = h.ids[len(h.ids)-400:]
	}
}

// reconfigure applies settings with other limits and with other classes in a random order.
func (h *history) reconfigure() {
	next := testSettings()
	next.EndpointsOnRequest = h.settings.EndpointsOnRequest
	h.rng.Shuffle(len(next.Classes), func(i, j int) {
		next.Classes[i], next.Classes[j] = next.Classes[j], next.Classes[i]
	})
	next.Classes = next.Classes[:1+h.rng.IntN(len(next.Classes))]
	for i := range next.Classes {
		next.Classes[i].DedupWindow = time.Duration(1+h.rng.IntN(300)) * ms
	}
	next.Limits.MaxAttempts = 1 + h.rng.IntN(4)
	next.Limits.AllowHedging = h.rng.IntN(2) == 0
	if err := h.balancer.Reconfigure(next); err != nil {
		h.t.Fatal(err)
	}
	h.settings = next
}

func (h *history) step() {
	if h.rng.IntN(4) > 0 { // the clock does not always advance
		h.now += time.Duration(1+h.rng.IntN(3)) * 5 * ms
	}
	h.fireTimers()
	switch k := h.rng.IntN(100); {
	case k < 40:
		h.arrive()
	case k < 92:
		h.completeOne()
	case k < 94:
		h.changeEndpoints()
	case k < 96 && len(h.ids) > 0:
		r := h.requests[h.ids[h.rng.IntN(len(h.ids))]]
		r.ended = true
		h.handle(policy.ClientLeft{ID: r.ID})
	case k < 97:
		h.handle(policy.LevelChange{Level: policy.DegradationLevel(h.rng.IntN(6))})
		h.handle(policy.TimerFired{Token: h.rng.Uint64() >> 1})
		h.handle(policy.Outcome{ID: 1 << 40, Server: "unknown"})
		h.handle(policy.HealthCheckResult{Server: "unknown", Result: policy.TimedOut})
		h.handle(policy.PeerMessage{From: 1, Data: []byte("x")})
	}
	h.checkAnswered()
}
