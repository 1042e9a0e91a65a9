package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	maxViolations = 20

	// startTime is the virtual time at which a run begins. It is not zero because zero means never in events.
	startTime = time.Hour

	// Parameters of the distribution of keys: approximately Zipf's law, flattened for the most popular keys.
	keyExponent = 1.05
	keyOffset   = 8
)

// Fleet is one run of a plan. It is not safe for concurrent use.
type Fleet struct {
	Plan
	PerSecond  []Counters
	Violations []string                  // violated rules; at most the first maxViolations
	Peak       struct{ Connections int } // largest number that a node had at the same time

	now       time.Duration
	rng       *rand.Rand
	events    eventQueue
	lastEvent uint64 // sequence number of the event scheduled last
	proxies   []*proxy
	nodes     map[string]*node
	names     []string // names of the nodes, in the order of their addition
	lastID    uint64   // last ID given to a request of a client or of a proxy
	keys      *rand.Zipf

	originBusyUntil time.Duration
	listVersion     uint64
	listCalls       []time.Duration          // times of the calls answered in the last second
	firstRunAt      map[uint64]time.Duration // first executions of non-idempotent and keyed requests, by ID
}

// New creates a fleet in which all nodes are warm and listed, and all proxies have the list but no measurements.
func New(p Plan) (*Fleet, error) {
	f := &Fleet{
		Plan:       p,
		now:        startTime,
		rng:        rand.New(rand.NewPCG(p.Seed, 7)),
		nodes:      make(map[string]*node),
		firstRunAt: make(map[uint64]time.Duration),
	}
	f.keys = rand.NewZipf(f.rng, keyExponent, keyOffset, uint64(max(p.Clients.Keys, 1)-1))
	for i := range p.Nodes {
		f.addNode(fmt.Sprintf("n%03d", i), i%len(p.Settings.Zones), 0)
	}
	f.proxies = make([]*proxy, p.Proxies)
	for i := range f.proxies {
		if err := f.startProxy(i); err != nil {
			return nil, err
		}
	}
	f.scheduleArrival()
	return f, nil
}

// At schedules do to run when after has passed since the start of the run.
func (f *Fleet) At(after time.Duration, do func()) { f.schedule(startTime+after, do) }

// RunUntil runs the fleet until end, measured from the start of the run.
func (f *Fleet) RunUntil(end time.Duration) {
	for f.events.isDue(startTime + end) {
		e := f.events.take()
		f.now = e.at
		e.do()
	}
	f.now = startTime + end
}

func (f *Fleet) schedule(at time.Duration, do func()) {
	f.lastEvent++
	f.events.add(event{at: at, sequence: f.lastEvent, do: do})
}

func (f *Fleet) scheduleAfter(d time.Duration, do func()) { f.schedule(f.now+d, do) }

// violation records the violation of a rule, with its time.
func (f *Fleet) violation(format string, args ...any) {
	if len(f.Violations) < maxViolations {
		text := fmt.Sprintf(format, args...)
		f.Violations = append(f.Violations, fmt.Sprintf("%v: %s", f.now-startTime, text))
	}
}
