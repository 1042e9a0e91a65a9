package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision is one request through the module: its arrival, its attempt's end and the timers that it
// set, with some thousand live keys at so many servers.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{20, 80, 320, 1280} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			balancer, err := New(Settings{Classes: []Class{{LatencyObjective: time.Second / 2, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.3}},
				ProxyCount: 8, Zones: []string{"a", "b", "c"}, Limits: Limits{MaxAttempts: 4, AllowCancel: true, AllowHedging: true}}, 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Endpoint
			for i := range servers {
				list = append(list, Endpoint{Server: fmt.Sprintf("s%04d", i), Zone: i % 3})
			}
			now := time.Hour
			balancer.Handle(now, EndpointUpdate{Kind: EndpointsCached, Endpoints: list}, nil)
			keys := make([]string, 4096)
			for i := range keys {
				keys[i] = fmt.Sprint("k", i)
			}
			var out []Action
			var id uint64
			one := func() {
				id, now = id+1, now+2*time.Millisecond
				out = balancer.Handle(now, Arrival{ID: id, Tenant: -1, Key: keys[id%4096], Deadline: now + 2*time.Second}, out[:0])
				to := ""
				for _, a := range out {
					if a.Kind == Send {
						to = a.Server
					}
				}
				if to == "" {
					b.Fatalf("nothing is sent: %+v", out)
				}
				out = balancer.Handle(now+time.Millisecond, Outcome{ID: id, Server: to, Result: Served, Took: time.Millisecond, Final: true, CacheStatus: CacheHit}, out[:0])
				out = balancer.Handle(now+time.Millisecond, TimerFired{Token: id<<2 | timerHedge}, out[:0])
			}
			for range 2048 {
				one()
			}
			b.ReportAllocs()
			for b.Loop() {
				one()
			}
		})
	}
}
