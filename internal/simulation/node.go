package simulation

import (
	"math"
	"time"

	"mulleinpier/policy"
)

// Fault is what may be wrong with a node.
type Fault int

// The troubles.
const (
	Healthy       Fault = iota
	AnswersErrors       // answers each request with an error, at once
	Silent              // answers none
	Unreachable         // takes no connection and breaks those that are open
	Slow                // takes slowTimes as long for all
)

const slowTimes = 3

type node struct {
	policy.Endpoint
	trouble Fault
	free    []time.Duration          // at which each worker is free
	keys    map[string]time.Duration // and their last use
	fetches map[string]time.Duration // that are out, and when they end
	conns   int
	cold    []time.Duration // of requests within the last FallTime, while cold
}

// add puts a node into service; started is 0 for one that has long been warm.
func (f *Fleet) add(name string, zone int, started time.Duration) {
	f.nodes[name] = &node{Endpoint: policy.Endpoint{Server: name, Zone: zone, StartedAt: started},
		free: make([]time.Duration, f.Node.Workers), keys: make(map[string]time.Duration),
		fetches: make(map[string]time.Duration)}
	f.names = append(f.names, name)
	f.version++
}

// NodeNames are those of all nodes that there have been, in order of their coming.
func (f *Fleet) NodeNames() []string { return f.names }

// SetFault befalls a node, or leaves it.
func (f *Fleet) SetFault(name string, t Fault) { f.nodes[name].trouble = t }

// Crash takes nodes away without a word: the list goes on naming them.
func (f *Fleet) Crash(names ...string) {
	for _, name := range names {
		n := f.nodes[name]
		n.trouble = Unreachable
		for _, p := range f.proxies {
			p.drop(n)
		}
	}
}

// Restart brings nodes back empty and cold, and the list tells it.
func (f *Fleet) Restart(names ...string) {
	var news []policy.Endpoint
	for _, name := range names {
		n := f.nodes[name]
		n.trouble, n.StartedAt, n.State = Healthy, f.now, policy.Serving
		n.keys, n.fetches, n.cold = make(map[string]time.Duration), make(map[string]time.Duration), nil
		clear(n.free)
		news = append(news, n.Endpoint)
	}
	f.tell(news)
}

// Drain has the list say that nodes drain; they leave later by Lose and Forget.
func (f *Fleet) Drain(names ...string) { f.mode(policy.Draining, names) }

// Remove has the list say that nodes are gone.
func (f *Fleet) Remove(names ...string) { f.mode(policy.Removed, names) }

func (f *Fleet) mode(mode policy.EndpointState, names []string) {
	var news []policy.Endpoint
	for _, name := range names {
		n := f.nodes[name]
		n.State = mode
		news = append(news, n.Endpoint)
	}
	f.tell(news)
}

// warmth is the share of its capacity that a node has.
func (f *Fleet) warmth(n *node) float64 {
	age, rules := f.now-n.StartedAt, &f.Settings.Rules
	if n.StartedAt == 0 || age >= rules.SlowStartWindow {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*float64(age)/float64(rules.SlowStartWindow)
}

// capacity is how many requests a warm node serves in a time.
func (f *Fleet) capacity(d time.Duration) float64 {
	return float64(f.Node.Workers) * float64(d) / float64(f.Node.ServiceTime)
}

// reach is an attempt that comes in at a node.
func (f *Fleet) reach(n *node, a *attempt) {
	c := f.count()
	c.Sends++
	warmth := f.warmth(n)
	if warmth < 1 {
		c.SendsToWarming++
		f.watch(n, warmth)
	}
	switch n.trouble {
	case AnswersErrors:
		c.SendsToFaulty++
		f.end(a, policy.Errored, policy.CacheUnknown)
		return
	case Silent:
		c.SendsToFaulty++
		return
	case Unreachable:
		f.end(a, policy.Reset, policy.CacheUnknown)
		return
	}
	w := 0
	for i := range n.free {
		if n.free[i] < n.free[w] {
			w = i
		}
	}
	work := time.Duration(float64(f.Node.ServiceTime) / warmth)
	if n.trouble == Slow {
		work *= slowTimes
	}
	if by := f.Node.ServiceTimeSigma; by > 0 {
		work = time.Duration(float64(work) * math.Exp(by*f.rng.NormFloat64()-by*by/2))
	}
	if n.free[w]-f.now > time.Duration(f.Node.MaxQueued)*work/time.Duration(f.Node.Workers) {
		f.end(a, policy.Rejected, policy.CacheUnknown)
		return
	}
	n.free[w] = max(n.free[w], f.now) + work
	f.at(n.free[w], func() { f.worked(n, a) })
}

// worked is a request that a worker has done with.
func (f *Fleet) worked(n *node, a *attempt) {
	r := a.request
	f.run(r.ask)
	if r.write {
		f.end(a, policy.Served, policy.CacheUnknown)
		return
	}
	if used, ok := n.keys[r.key]; ok && f.now-used < f.Node.IdleTTL {
		n.keys[r.key] = f.now
		f.count().Hits++
		f.end(a, policy.Served, policy.CacheHit)
		return
	}
	f.count().Misses++
	if done := n.fetches[r.key]; done > f.now {
		f.at(done, func() { f.end(a, policy.Served, policy.CacheMissCoalesced) })
		return
	}
	wait := max(f.origin-f.now, 0)
	if wait > f.Origin.MaxQueueTime {
		f.count().FetchesRejected++
		f.end(a, policy.Errored, policy.CacheUnknown)
		return
	}
	f.count().Fetches++
	f.origin = f.now + wait + time.Duration(float64(time.Second)/f.Origin.FetchesPerSecond)
	done := f.now + wait + f.Origin.FetchTime
	n.fetches[r.key] = done
	f.at(done, func() {
		if n.fetches[r.key] != done {
			return // restarted since
		}
		delete(n.fetches, r.key)
		n.keys[r.key] = f.now
		f.end(a, policy.Served, policy.CacheMiss)
	})
}

// run is the effect of a request.
func (f *Fleet) run(r *ask) {
	class := &f.Settings.Classes[r.class]
	if class.Idempotency == policy.Idempotent {
		return
	}
	first, ran := f.effects[r.id]
	switch {
	case !ran:
		f.effects[r.id] = f.now
	case class.Idempotency == policy.NotIdempotent || f.now-first > class.DedupWindow+f.Settings.EventInterval:
		f.broken("%s %d ran twice, %v apart", class.Name, r.id, f.now-first)
	}
}

// watch looks whether a cold node is pushed over.
func (f *Fleet) watch(n *node, warmth float64) {
	rules := &f.Settings.Rules
	for len(n.cold) > 0 && f.now-n.cold[0] > rules.OverloadWindow {
		n.cold = n.cold[1:]
	}
	n.cold = append(n.cold, f.now)
	if got, most := float64(len(n.cold)), rules.OverloadMultiple*warmth*f.capacity(rules.OverloadWindow); got > most {
		f.broken("cold %s got %.0f within %v, pushed over by %.0f", n.Server, got, rules.OverloadWindow, most)
	}
}
