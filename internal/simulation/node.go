package simulation

import (
	"math"
	"time"

	"mulleinpier/policy"
)

// Fault is a fault that a node can have, see [Fleet.SetFault].
type Fault int

// The faults.
const (
	Healthy       Fault = iota
	AnswersErrors       // answers each request with an error, without delay
	Silent              // answers no request
	Unreachable         // accepts no connection; attempts on open ones are reset
	Slow                // takes slowFactor times as long for each request
)

const slowFactor = 3

type node struct {
	policy.Endpoint
	fault       Fault
	workersFree []time.Duration          // time at which each worker becomes free
	keys        map[string]time.Duration // time of the last use, by key
	fetches     map[string]time.Duration // end times of fetches in flight, by key
	connections int
	recent      []time.Duration // times of requests within the last OverloadWindow, while the node warms up
}

// addNode adds a node; a startedAt of 0 means that it is warm.
func (f *Fleet) addNode(name string, zone int, startedAt time.Duration) {
	f.nodes[name] = &node{
		Endpoint:    policy.Endpoint{Server: name, Zone: zone, StartedAt: startedAt},
		workersFree: make([]time.Duration, f.Node.Workers),
		keys:        make(map[string]time.Duration),
		fetches:     make(map[string]time.Duration),
	}
	f.names = append(f.names, name)
	f.listVersion++
}

// NodeNames returns the names of all nodes, removed ones too, in the order of their addition.
func (f *Fleet) NodeNames() []string { return f.names }

// SetFault sets the fault of a node, Healthy for none.
func (f *Fleet) SetFault(name string, fault Fault) { f.nodes[name].fault = fault }

// Crash makes nodes unreachable without a change of the endpoint list.
func (f *Fleet) Crash(names ...string) {
	for _, name := range names {
		n := f.nodes[name]
		n.fault = Unreachable
		for _, p := range f.proxies {
			p.connectionLost(n)
		}
	}
}

// Restart restarts nodes with empty caches and announces them in the endpoint list.
func (f *Fleet) Restart(names ...string) {
	var changed []policy.Endpoint
	for _, name := range names {
		n := f.nodes[name]
		n.fault, n.StartedAt, n.State = Healthy, f.now, policy.Serving
		n.keys, n.fetches = make(map[string]time.Duration), make(map[string]time.Duration)
		n.recent = nil
		clear(n.workersFree)
		changed = append(changed, n.Endpoint)
	}
	f.announce(changed)
}

// Drain announces nodes as draining in the endpoint list. The nodes go on serving until Crash.
func (f *Fleet) Drain(names ...string) { f.setState(policy.Draining, names) }

// Remove removes nodes from the endpoint list. The nodes go on serving until Crash.
func (f *Fleet) Remove(names ...string) { f.setState(policy.Removed, names) }

func (f *Fleet) setState(state policy.EndpointState, names []string) {
	var changed []policy.Endpoint
	for _, name := range names {
		n := f.nodes[name]
		n.State = state
		changed = append(changed, n.Endpoint)
	}
	f.announce(changed)
}

// capacityShare returns the share of its full capacity that a node has now, less than 1 while it warms up.
func (f *Fleet) capacityShare(n *node) float64 {
	age, rules := f.now-n.StartedAt, &f.Settings.Rules
	if n.StartedAt == 0 || age >= rules.SlowStartWindow {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*float64(age)/float64(rules.SlowStartWindow)
}

// capacity returns how many requests a warm node can serve within d.
func (f *Fleet) capacity(d time.Duration) float64 {
	return float64(f.Node.Workers) * float64(d) / float64(f.Node.ServiceTime)
}

// receive handles an attempt that arrives at a node.
func (f *Fleet) receive(n *node, a *attempt) {
	c := f.counters()
	c.Sends++
	share := f.capacityShare(n)
	if share < 1 {
		c.SendsToWarming++
		f.checkOverload(n, share)
	}
	switch n.fault {
	case AnswersErrors:
		c.SendsToFaulty++
		f.complete(a, policy.Errored, policy.CacheUnknown)
	case Silent:
		c.SendsToFaulty++
	case Unreachable:
		f.complete(a, policy.Reset, policy.CacheUnknown)
	default:
		f.serve(n, a, share)
	}
}

// serve assigns an attempt to the worker that is free first, or rejects it if the queue is full.
func (f *Fleet) serve(n *node, a *attempt, capacityShare float64) {
	worker := 0
	for i := range n.workersFree {
		if n.workersFree[i] < n.workersFree[worker] {
			worker = i
		}
	}
	free := &n.workersFree[worker]
	serviceTime := f.drawServiceTime(n, capacityShare)
	if *free-f.now > time.Duration(f.Node.MaxQueued)*serviceTime/time.Duration(f.Node.Workers) {
		f.complete(a, policy.Rejected, policy.CacheUnknown)
		return
	}
	*free = max(*free, f.now) + serviceTime
	f.schedule(*free, func() { f.finish(n, a) })
}

func (f *Fleet) drawServiceTime(n *node, capacityShare float64) time.Duration {
	serviceTime := time.Duration(float64(f.Node.ServiceTime) / capacityShare)
	if n.fault == Slow {
		serviceTime *= slowFactor
	}
	if sigma := f.Node.ServiceTimeSigma; sigma > 0 {
		factor := math.Exp(sigma*f.rng.NormFloat64() - sigma*sigma/2) // with a mean of 1
		serviceTime = time.Duration(float64(serviceTime) * factor)
	}
	return serviceTime
}

// finish answers an attempt when its worker has finished: writes and cache hits without delay, misses after a fetch.
func (f *Fleet) finish(n *node, a *attempt) {
	r := a.request
	f.recordRun(r.clientRequest)
	if r.write {
		f.complete(a, policy.Served, policy.CacheUnknown)
		return
	}
	if lastUse, ok := n.keys[r.key]; ok && f.now-lastUse < f.Node.IdleTTL {
		n.keys[r.key] = f.now
		f.counters().Hits++
		f.complete(a, policy.Served, policy.CacheHit)
		return
	}
	f.counters().Misses++
	if ends := n.fetches[r.key]; ends > f.now {
		f.schedule(ends, func() { f.complete(a, policy.Served, policy.CacheMissCoalesced) })
		return
	}
	f.fetch(n, a)
}

// fetch reads a key from the origin. It fails if the origin's queue is too long.
func (f *Fleet) fetch(n *node, a *attempt) {
	key := a.request.key
	wait := max(f.originBusyUntil-f.now, 0)
	if wait > f.Origin.MaxQueueTime {
		f.counters().FetchesRejected++
		f.complete(a, policy.Errored, policy.CacheUnknown)
		return
	}
	f.counters().Fetches++
	f.originBusyUntil = f.now + wait + time.Duration(float64(time.Second)/f.Origin.FetchesPerSecond)
	ends := f.now + wait + f.Origin.FetchTime
	n.fetches[key] = ends
	f.schedule(ends, func() {
		if n.fetches[key] != ends {
			return // the node has restarted since the fetch began
		}
		delete(n.fetches, key)
		n.keys[key] = f.now
		f.complete(a, policy.Served, policy.CacheMiss)
	})
}

// recordRun records the execution of a request, and a violation if its class does not allow a second one.
func (f *Fleet) recordRun(r *clientRequest) {
	class := &f.Settings.Classes[r.class]
	if class.Idempotency == policy.Idempotent {
		return
	}
	first, hasRun := f.firstRunAt[r.id]
	if !hasRun {
		f.firstRunAt[r.id] = f.now
		return
	}
	isDeduplicated := class.Idempotency == policy.IdempotentWithKey &&
		f.now-first <= class.DedupWindow+f.Settings.EventInterval
	if !isDeduplicated {
		f.violation("%s %d ran twice, %v apart", class.Name, r.id, f.now-first)
	}
}

// checkOverload checks that a warming node does not receive enough requests to collapse.
func (f *Fleet) checkOverload(n *node, capacityShare float64) {
	rules := &f.Settings.Rules
	for len(n.recent) > 0 && f.now-n.recent[0] > rules.OverloadWindow {
		n.recent = n.recent[1:]
	}
	n.recent = append(n.recent, f.now)
	limit := rules.OverloadMultiple * capacityShare * f.capacity(rules.OverloadWindow)
	if got := float64(len(n.recent)); got > limit {
		f.violation("warming %s got %.0f requests in %v, limit %.0f", n.Server, got, rules.OverloadWindow, limit)
	}
}
