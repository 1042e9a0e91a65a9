package policy

import (
	"fmt"
	"testing"
	"time"
)

// newTestBalancer returns a balancer with the servers a to d, and the current time. The servers named in warmingUp have
// just started.
func newTestBalancer(t *testing.T, warmingUp ...string) (*Balancer, time.Duration) {
	t.Helper()
	now := time.Hour
	b, err := New(Settings{
		Classes:    []Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}},
		ProxyCount: 1,
		Limits:     Limits{MaxAttempts: 3},
		Rules:      Rules{SlowStartShare: 0.1, SlowStartWindow: 20 * time.Second},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		endpoint := Endpoint{Server: name}
		for _, started := range warmingUp {
			if started == name {
				endpoint.StartedAt = now
			}
		}
		endpoints = append(endpoints, endpoint)
	}
	b.Handle(now, EndpointUpdate{Kind: EndpointsCached, Endpoints: endpoints}, nil)
	return b, now
}

// newFleetBalancer returns a balancer for one of 80 proxies with sixty servers in four zones.
func newFleetBalancer(t *testing.T, seed uint64) *Balancer {
	t.Helper()
	b, err := New(Settings{
		Classes:    []Class{{LatencyObjective: time.Second / 2, Deadline: 2 * time.Second}},
		ProxyCount: 80,
		Zones:      []string{"a", "b", "c", "d"},
		Limits:     Limits{MaxAttempts: 4, AllowCancel: true},
	}, seed)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range 60 {
		endpoints = append(endpoints, Endpoint{Server: fmt.Sprintf("s%02d", i), Zone: i % 4})
	}
	b.Handle(time.Hour, EndpointUpdate{Kind: EndpointsCached, Endpoints: endpoints}, nil)
	return b
}

// sendTargets returns the names of the servers that the Send actions name.
func sendTargets(actions []Action) (servers []string) {
	for _, a := range actions {
		if a.Kind == Send {
			servers = append(servers, a.Server)
		}
	}
	return servers
}

// runRequests gives a balancer n requests for new keys, 50 ms apart, and ends each attempt with the result that the
// function result returns for its server. It returns the number of first attempts by server, and the time after the
// last request.
func runRequests(b *Balancer, now time.Duration, id uint64, n int, result func(server string) Result) (
	firstAttempts map[string]int, end time.Duration) {
	firstAttempts = make(map[string]int)
	for range n {
		id++
		now += 50 * time.Millisecond
		actions := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint("k", id), Deadline: now + 2*time.Second}, nil)
		for number := 0; len(sendTargets(actions)) > 0; number++ {
			server := sendTargets(actions)[0]
			if number == 0 {
				firstAttempts[server]++
			}
			actions = b.Handle(now+time.Millisecond, Outcome{
				ID:      id,
				Attempt: number,
				Server:  server,
				Result:  result(server),
				Took:    time.Millisecond,
			}, nil)
		}
	}
	return firstAttempts, now
}

// sumWhere returns the number of attempts at the servers that match.
func sumWhere(attempts map[string]int, match func(server string) bool) (sum int) {
	for server, n := range attempts {
		if match(server) {
			sum += n
		}
	}
	return sum
}

// resultWhere returns a function that returns the given result for the servers that match, and Served for all others.
func resultWhere(result Result, match func(server string) bool) func(server string) Result {
	return func(server string) Result {
		if match(server) {
			return result
		}
		return Served
	}
}

func matchNone(string) bool { return false }

func gates(b *Balancer) []*admissionGate {
	return []*admissionGate{&b.paths[hitPath].gate, &b.paths[fetchPath].gate}
}

// setGates makes the gates of both paths admit the given share, as if after many requests, and resets the servers'
// gates.
func setGates(b *Balancer, now time.Duration, share float64) {
	for _, g := range gates(b) {
		*g = admissionGate{
			offered:      1e6,
			completed:    1e6,
			inTime:       share / admissionSlack * 1e6,
			updated:      now,
			minRetention: 1,
		}
	}
	for _, s := range b.servers {
		s.gate = admissionGate{}
	}
}
