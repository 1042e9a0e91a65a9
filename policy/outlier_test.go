package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinpier/internal/outlier"
)

// TestFaultyServersAreLearntFromFewRequests checks that a proxy that sends to each server once in three seconds gives
// few requests to servers that fail permanently, from half a minute after the failures began, however healthy the
// servers were before.
func TestFaultyServersAreLearntFromFewRequests(t *testing.T) {
	b := newFleetBalancer(t, 1)
	isFaulty := func(s string) bool { return s == "s03" || s == "s17" || s == "s31" || s == "s44" }
	_, now := runRequests(b, time.Hour, 0, 600, resultWhere(Served, matchNone))
	_, now = runRequests(b, now, 1000, 600, resultWhere(Errored, isFaulty))
	firstAttempts, _ := runRequests(b, now, 2000, 600, resultWhere(Errored, isFaulty))
	got := sumWhere(firstAttempts, isFaulty)
	if got > 20 { // the fair share of the faulty servers is 40
		t.Errorf("%d of 600 requests still go to four faulty servers of sixty", got)
	}
	if got == 0 {
		t.Error("no request goes to the faulty servers any more: their recovery would not be noticed")
	}
}

// TestLostZoneIsLearntAsOne checks that a proxy stops sending to all servers of a lost zone after a few failures,
// instead of detecting each server separately.
func TestLostZoneIsLearntAsOne(t *testing.T) {
	b := newFleetBalancer(t, 2)
	isLost := func(server string) bool { return b.servers[server].Zone == 2 }
	_, now := runRequests(b, time.Hour, 0, 200, resultWhere(Served, matchNone))
	_, now = runRequests(b, now, 1000, 20, resultWhere(ConnectFailed, isLost))
	firstAttempts, _ := runRequests(b, now, 2000, 100, resultWhere(ConnectFailed, isLost))
	if got := sumWhere(firstAttempts, isLost); got > 2 { // the fair share of the zone is 25
		t.Errorf("a second after a zone was lost %d of 100 requests still go there", got)
	}
}

// TestFailuresEverywhereEjectNoServer checks that failures at all servers make no server look faulty. Such failures are
// due to load and must count at the gates, which ignore the failures of faulty servers.
func TestFailuresEverywhereEjectNoServer(t *testing.T) {
	b := newFleetBalancer(t, 3)
	now, n := time.Hour, 0
	for range 20 {
		for _, s := range b.serving {
			now += 20 * time.Millisecond
			b.now = now
			n++
			sample := healthSample{}
			if n%7 < 4 {
				sample = healthSample{failed: 1, unreached: 1}
			}
			b.recordHealth(s, &attempt{server: s, sentAt: now}, 0, sample)
		}
	}
	faulty := 0
	for _, s := range b.serving {
		if b.faultProbability(s, 0) >= 0.5 {
			faulty++
		}
	}
	if faulty > len(b.serving)/10 {
		t.Errorf("%d of %d servers count as faulty where four in seven attempts fail", faulty, len(b.serving))
	}
}

// TestAttemptsInFlightTogetherFailOnce checks that attempts that were in flight together count as one failure of their
// server. Otherwise a healthy server that pauses, or loses a connection, with many requests in flight would lose all
// its keys for seconds.
func TestAttemptsInFlightTogetherFailOnce(t *testing.T) {
	b := newFleetBalancer(t, 4)
	now := time.Hour + time.Second
	const requests = 20
	for id := uint64(1); id <= requests; id++ {
		for _, s := range b.serving[1:] { // all requests go to one server
			s.backoffUntil = now + time.Minute
		}
		b.Handle(now, Arrival{ID: id, Key: fmt.Sprint("k", id), Deadline: now + 2*time.Second}, nil)
	}
	server := b.serving[0]
	const latency = 100 * time.Millisecond
	for id := uint64(1); id <= requests; id++ {
		b.Handle(now+latency, Outcome{ID: id, Server: server.Server, Result: Reset, Took: latency}, nil)
	}
	b.now = now + latency
	if p := b.faultProbability(server, 0); p >= 0.5 || p == 0 {
		t.Errorf("one broken connection with twenty requests in flight gives a fault probability of %.2f", p)
	}
}

// faultProbabilityAfter records thirty attempts a second at one server, for the given number of seconds, and returns
// the server's fault probability at the end. Attempts that fail do so after half a second; the others are answered
// after 50 ms.
func faultProbabilityAfter(t *testing.T, seconds int, fails func(i int) bool) float64 {
	b := newFleetBalancer(t, 5)
	type completion struct {
		at      time.Duration
		attempt *attempt
		sample  healthSample
	}
	var completions []completion
	s := b.serving[0]
	for i := range 30 * seconds {
		sentAt := time.Hour + time.Second + time.Duration(i)*time.Second/30
		c := completion{at: sentAt + 50*time.Millisecond, attempt: &attempt{server: s, sentAt: sentAt}}
		if fails(i) {
			c.at, c.sample.failed = sentAt+500*time.Millisecond, 1
		}
		completions = append(completions, c)
	}
	slices.SortStableFunc(completions, func(x, y completion) int { return int(x.at - y.at) })
	for _, c := range completions {
		b.now = c.at
		b.recordHealth(s, c.attempt, 0, c.sample)
		for _, other := range b.serving[1:] { // all other servers answer
			b.recordHealth(other, &attempt{server: other, sentAt: b.now}, 0, healthSample{})
		}
	}
	return b.faultProbability(s, 0)
}

// TestSlowServerOfManyRequestsIsEjected checks that a busy proxy ejects a server most of whose answers are late. Some
// answers are in time, so of two failures that were in flight together the later one must count if an answer arrived
// between them.
func TestSlowServerOfManyRequestsIsEjected(t *testing.T) {
	p := faultProbabilityAfter(t, 4, func(i int) bool { return i*7%10 < 7 })
	if p < ejectionProbability-outlier.PriorProbability {
		t.Errorf("a server that fails seven in ten of thirty requests a second has a fault probability of %.2f", p)
	}
	if p := faultProbabilityAfter(t, 4, func(i int) bool { return i%12 == 0 }); p > singleFailureProbability {
		t.Errorf("a server that fails one in twelve has a fault probability of %.2f", p)
	}
	// The server pauses for 0.3 s: all requests sent during the pause are late, and none is answered until it ends.
	if p := faultProbabilityAfter(t, 1, func(i int) bool { return i >= 21 }); p > singleFailureProbability {
		t.Errorf("a server that paused once has a fault probability of %.2f", p)
	}
}

// answer is how a simulated server answers an attempt.
type answer struct {
	latency time.Duration // 0 if the server never answers
	status  CacheStatus
}

// runShortObjective returns a balancer after requests to twelve servers, one every 5 ms, of a class whose latency
// objective is little longer than a fetch takes. Timers fire on time.
func runShortObjective(t *testing.T, length time.Duration, answers func(server string, request int) answer) *Balancer {
	t.Helper()
	const clientTimeout = 670 * time.Millisecond
	b, err := New(Settings{
		Classes: []Class{{
			LatencyObjective: 150 * time.Millisecond,
			Deadline:         clientTimeout,
			PriorityWeight:   1,
			LateWeightShare:  0.3,
		}},
		ProxyCount: 2,
		Zones:      []string{"a"},
		Limits:     Limits{MaxAttempts: 3, AllowCancel: true, AllowHedging: true},
	}, 6)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range 12 {
		endpoints = append(endpoints, Endpoint{Server: fmt.Sprintf("s%02d", i)})
	}
	start := time.Hour
	b.Handle(start, EndpointUpdate{Kind: EndpointsCached, Endpoints: endpoints}, nil)
	events := eventQueue{attempts: make(map[uint64]int)}
	for i, now := 0, start; now < start+length; i, now = i+1, now+5*time.Millisecond {
		key := fmt.Sprint("k", i%997)
		events.add(now, Arrival{ID: uint64(i + 1), Tenant: -1, Key: key, Deadline: now + clientTimeout})
		for events.isDue(now) {
			event := events.take()
			for _, a := range b.Handle(event.at, event.event, nil) {
				events.carryOut(event.at, a, func(server string) answer { return answers(server, i) })
			}
		}
	}
	return b
}

// eventQueue holds pending events, and the number of attempts of each request.
type eventQueue struct {
	events   []timedEvent
	attempts map[uint64]int
}

type timedEvent struct {
	at    time.Duration
	event Event
}

func (q *eventQueue) add(at time.Duration, event Event) {
	q.events = append(q.events, timedEvent{at, event})
}

// isDue sorts the events by time, and reports whether the earliest is due at now.
func (q *eventQueue) isDue(now time.Duration) bool {
	slices.SortStableFunc(q.events, func(x, y timedEvent) int { return int(x.at - y.at) })
	return len(q.events) > 0 && q.events[0].at <= now
}

func (q *eventQueue) take() timedEvent {
	first := q.events[0]
	q.events = q.events[1:]
	return first
}

// carryOut queues the events that result from an action.
func (q *eventQueue) carryOut(now time.Duration, a Action, answers func(server string) answer) {
	switch a.Kind {
	case Send:
		number := q.attempts[a.ID]
		q.attempts[a.ID]++
		if answer := answers(a.Server); answer.latency > 0 {
			q.add(now+answer.latency, Outcome{
				ID:          a.ID,
				Attempt:     number,
				Server:      a.Server,
				Result:      Served,
				Took:        answer.latency,
				CacheStatus: answer.status,
				Final:       true,
			})
		}
	case SetTimer:
		q.add(now+a.After, TimerFired{Token: a.Token})
	case Cancel:
		q.add(now, Outcome{ID: a.ID, Attempt: a.Attempt, Result: Cancelled})
	}
}

// TestFetchesOfAShortObjectiveAreNoFailures checks that fetches of the usual duration do not count as failures where
// the latency objective is little longer than a fetch takes. Otherwise healthy servers would be avoided, and their keys
// fetched at other servers.
func TestFetchesOfAShortObjectiveAreNoFailures(t *testing.T) {
	usual := func(_ string, i int) answer {
		switch {
		case i%4 == 1:
			return answer{110 * time.Millisecond, CacheMiss}
		case i%16 == 2:
			return answer{95 * time.Millisecond, CacheHit}
		}
		return answer{40 * time.Millisecond, CacheHit}
	}
	b := runShortObjective(t, 6*time.Second, usual)
	for _, s := range b.serving {
		if p := b.faultProbability(s, 0); p > singleFailureProbability {
			t.Errorf("%s is healthy and has a fault probability of %.2f", s.Server, p)
		}
	}
	if rate := b.baselineFailureRate(0); rate > 2*outlier.HealthyFailureRate {
		t.Errorf("%.2f of attempts at healthy servers count as failed", rate)
	}
	b = runShortObjective(t, 6*time.Second, func(server string, i int) answer {
		if server == "s03" && i > 400 {
			return answer{} // the server no longer answers
		}
		return usual(server, i)
	})
	if p := b.faultProbability(b.servers["s03"], 0); p < 0.5 {
		t.Errorf("a silent server has a fault probability of %.2f", p)
	}
}

// TestSuspectsAreAvoidedWhereMetSeldom checks that a proxy that sends to a server only every few seconds avoids it on
// weak evidence, and a busy proxy only on strong evidence. A server that pauses may look faulty for seconds, and each
// of its keys that another server is asked for during that time costs a fetch from the origin. A busy proxy can wait
// for more evidence, the other cannot.
func TestSuspectsAreAvoidedWhereMetSeldom(t *testing.T) {
	const often, seldom = time.Millisecond, 50 * time.Millisecond // time between two requests of the proxy
	for _, c := range []struct {
		name     string
		interval time.Duration
		logOdds  float64
		avoided  bool
	}{
		{"often, suspected", often, 4.5, false},
		{"often, ejected", often, 8, true},
		{"seldom, suspected", seldom, 4.5, true},
		{"seldom, after one failure", seldom, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFleetBalancer(t, 7)
			b.now = time.Hour
			for range 2000 {
				b.now += c.interval
				b.connectionFailures.Observe(b.now, 1, 0)
			}
			s := b.serving[0]
			s.suspicions[0].Decay(b.now, outlier.DecayTime)
			s.suspicions[0].LogOdds = c.logOdds
			if got := b.avoidanceCost(s, 0); got > 0 != c.avoided {
				t.Errorf("fault probability %.2f, avoidance cost %.2f", b.faultProbability(s, 0), got)
			}
		})
	}
}
