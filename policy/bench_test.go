package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision handles one request per iteration: its arrival, the outcome of its attempt and the timers that it
// set. There are 4096 keys; the name of a sub-benchmark is the number of servers.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{20, 80, 320, 1280} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			run := newBenchmarkRun(b, servers)
			for range 2048 {
				run.request(b)
			}
			b.ReportAllocs()
			for b.Loop() {
				run.request(b)
			}
		})
	}
}

// benchmarkRun gives a balancer one request after another.
type benchmarkRun struct {
	balancer *Balancer
	now      time.Duration
	id       uint64
	keys     []string
	actions  []Action
}

func newBenchmarkRun(b *testing.B, servers int) *benchmarkRun {
	b.Helper()
	balancer, err := New(Settings{
		Classes: []Class{{
			LatencyObjective: time.Second / 2,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
			LateWeightShare:  0.3,
		}},
		ProxyCount: 8,
		Zones:      []string{"a", "b", "c"},
		Limits:     Limits{MaxAttempts: 4, AllowCancel: true, AllowHedging: true},
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range servers {
		endpoints = append(endpoints, Endpoint{Server: fmt.Sprintf("s%04d", i), Zone: i % 3})
	}
	run := &benchmarkRun{balancer: balancer, now: time.Hour, keys: make([]string, 4096)}
	balancer.Handle(run.now, EndpointUpdate{Kind: EndpointsCached, Endpoints: endpoints}, nil)
	for i := range run.keys {
		run.keys[i] = fmt.Sprint("k", i)
	}
	return run
}

func (r *benchmarkRun) request(b *testing.B) {
	r.id++
	r.now += 2 * time.Millisecond
	key := r.keys[r.id%uint64(len(r.keys))]
	arrival := Arrival{ID: r.id, Tenant: -1, Key: key, Deadline: r.now + 2*time.Second}
	r.actions = r.balancer.Handle(r.now, arrival, r.actions[:0])
	server := ""
	for _, a := range r.actions {
		if a.Kind == Send {
			server = a.Server
		}
	}
	if server == "" {
		b.Fatalf("no attempt was sent: %+v", r.actions)
	}
	r.actions = r.balancer.Handle(r.now+time.Millisecond, Outcome{
		ID:          r.id,
		Server:      server,
		Result:      Served,
		Took:        time.Millisecond,
		Final:       true,
		CacheStatus: CacheHit,
	}, r.actions[:0])
	hedgeTimer := TimerFired{Token: r.id<<timerKindBits | timerHedge}
	r.actions = r.balancer.Handle(r.now+time.Millisecond, hedgeTimer, r.actions[:0])
}
