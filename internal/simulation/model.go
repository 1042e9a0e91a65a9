// Package simulation plays a whole fleet in one seeded loop of events, in virtual time: many
// instances of the module that decides (package policy) and of the share of connections
// (package room), with nodes, an origin, a list service and clients.
//
// What it guarantees:
//  1. The same plan and seed play the same events, to the last.
//  2. The modules are driven through their interfaces alone, none is copied.
//  3. What breaks a rule is written down in Broken, by books that no module keeps.
//
// It does no I/O, reads no clock and starts no goroutine. What is modelled of the outside is
// coarse: a node is workers behind a queue, a cache forgets by time alone, and a message takes
// the same time on every way.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mulleinpier/policy"
)

// Plan says what is played.
type Plan struct {
	Seed         uint64
	Settings     policy.Settings // of each proxy; Proxies, Proxy and Zone are filled in, Proxies if it is 0
	Proxies      int
	Nodes        int
	Node         NodePlan
	Origin       OriginPlan
	EndpointList EndpointListPlan
	Clients      ClientPlan
	MessageDelay time.Duration // that a message takes, between any two
}

// NodePlan is what every node is like.
type NodePlan struct {
	Workers          int
	ServiceTime      time.Duration // of a worker for one request, when the node is warm
	MaxQueued        int           // requests that may wait
	IdleTTL          time.Duration // an unused key is forgotten after it
	MaxConnections   int           // connections, 0 for any number
	ServiceTimeSigma float64       // of the work: the deviation of its logarithm, 0 for always the same
}

// OriginPlan is the one slow origin.
type OriginPlan struct {
	FetchTime        time.Duration // that a fetch takes
	FetchesPerSecond float64       // fetches a second
	MaxQueueTime     time.Duration // of waiting; a fetch that would wait longer fails
}

// EndpointListPlan is the list service.
type EndpointListPlan struct {
	CallsPerSecond float64 // calls a second that it answers; it breaks off any more
}

// ClientPlan is what clients ask.
type ClientPlan struct {
	RequestsPerSecond float64   // first tries a second
	Keys              int       // that they ask for, the n-th as often as 1/n of the first
	ClassShares       []float64 // of first tries, by class
	RetryPause        time.Duration
	HotProxyFactor    float64 // times the mean that proxy 0 sees; 0 for the same as others
	IgnoreRetryAfter  bool    // ask again after Pause, whatever a refusal advises
}

// Counters counts what happened within one second of the play, fleet-wide.
type Counters struct {
	Requests, ClientAttempts                            int // requests of clients, and with their repetitions
	InTime, Late, Unanswered                            int // first tries by how they ended, in the second in which they began
	Rejected, Failed                                    int // answers of proxies
	Sends, SendsToWarming, SendsToFaulty                int // attempts that reached a node, of them at cold and at sick ones
	SendsToUnreachable, Handshakes, ConnectionsRejected int
	Hits, Misses, Fetches, FetchesRejected              int // Spilt: fetches that the origin turned away
	EndpointListCalls, EndpointListCallsLost            int // to the list service
}

// Fleet is one play of a plan.
type Fleet struct {
	Plan
	PerSecond  []Counters
	Violations []string // rules, as they were broken; the first of them
	Peak       struct{ Connections int }

	now     time.Duration
	rng     *rand.Rand
	due     schedule
	turn    uint64
	proxies []*proxy
	nodes   map[string]*node
	names   []string
	origin  time.Duration // until which it has work
	version uint64
	calls   []time.Duration // of the last second
	nextID  uint64
	popular *rand.Zipf
	effects map[uint64]time.Duration // first runs of requests that must not run twice
}

const (
	mostBroken = 20
	start      = time.Hour // of virtual time: zero stands for never
)

// New sets a fleet up: all nodes warm and listed, all proxies with the list but no records.
func New(p Plan) (*Fleet, error) {
	f := &Fleet{Plan: p, now: start, rng: rand.New(rand.NewPCG(p.Seed, 7)), nodes: make(map[string]*node),
		effects: make(map[uint64]time.Duration)}
	f.popular = rand.NewZipf(f.rng, 1.05, 8, uint64(max(p.Clients.Keys, 1)-1))
	for i := range p.Nodes {
		f.add(fmt.Sprintf("n%03d", i), i%len(p.Settings.Zones), 0)
	}
	for i := range p.Proxies {
		f.proxies = append(f.proxies, nil)
		if err := f.begin(i); err != nil {
			return nil, err
		}
	}
	f.arrive()
	return f, nil
}

// At runs do so long after the beginning.
func (f *Fleet) At(after time.Duration, do func()) { f.at(start+after, do) }

// RunUntil runs until so long after the beginning.
func (f *Fleet) RunUntil(until time.Duration) {
	for len(f.due) > 0 && f.due[0].at <= start+until {
		e := heap.Pop(&f.due).(event)
		f.now = e.at
		e.do()
	}
	f.now = start + until
}

// Sum adds up seconds, from the first up to but not including the other.
func (f *Fleet) Sum(from, to int) (sum Counters) {
	for i := from; i < min(to, len(f.PerSecond)); i++ {
		s := f.PerSecond[i]
		for _, x := range []struct{ to, add *int }{{&sum.Requests, &s.Requests}, {&sum.ClientAttempts, &s.ClientAttempts},
			{&sum.InTime, &s.InTime}, {&sum.Late, &s.Late}, {&sum.Unanswered, &s.Unanswered}, {&sum.Rejected, &s.Rejected},
			{&sum.Failed, &s.Failed}, {&sum.Sends, &s.Sends}, {&sum.SendsToWarming, &s.SendsToWarming}, {&sum.SendsToFaulty, &s.SendsToFaulty},
			{&sum.SendsToUnreachable, &s.SendsToUnreachable}, {&sum.Handshakes, &s.Handshakes}, {&sum.ConnectionsRejected, &s.ConnectionsRejected}, {&sum.Hits, &s.Hits},
			{&sum.Misses, &s.Misses}, {&sum.Fetches, &s.Fetches}, {&sum.FetchesRejected, &s.FetchesRejected}, {&sum.EndpointListCalls, &s.EndpointListCalls},
			{&sum.EndpointListCallsLost, &s.EndpointListCallsLost}} {
			*x.to += *x.add
		}
	}
	return sum
}

// second is where what happens at a time is counted.
func (f *Fleet) second(at time.Duration) *Counters {
	i := int((at - start) / time.Second)
	for len(f.PerSecond) <= i {
		f.PerSecond = append(f.PerSecond, Counters{})
	}
	return &f.PerSecond[i]
}

func (f *Fleet) count() *Counters { return f.second(f.now) }

func (f *Fleet) broken(format string, args ...any) {
	if len(f.Violations) < mostBroken {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.now-start)+fmt.Sprintf(format, args...))
	}
}

type event struct {
	at   time.Duration
	turn uint64 // among those of one time
	do   func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].turn < s[j].turn
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = event{}
	*s = (*s)[:last]
	return e
}

func (f *Fleet) at(at time.Duration, do func()) {
	f.turn++
	heap.Push(&f.due, event{at: at, turn: f.turn, do: do})
}

func (f *Fleet) after(d time.Duration, do func()) { f.at(f.now+d, do) }
