package simulation

import (
	"math"
	"time"

	"mulleinpier/policy"
)

// Trouble is what may be wrong with a node.
type Trouble int

// The troubles.
const (
	Well   Trouble = iota
	Errs           // answers each request with an error, at once
	Silent         // answers none
	Lost           // takes no connection and breaks those that are open
	Slow           // takes slowTimes as long for all
)

const slowTimes = 3

type node struct {
	policy.Member
	trouble Trouble
	free    []time.Duration          // at which each worker is free
	keys    map[string]time.Duration // and their last use
	fetches map[string]time.Duration // that are out, and when they end
	conns   int
	cold    []time.Duration // of requests within the last FallTime, while cold
}

// add puts a node into service; started is 0 for one that has long been warm.
func (f *Fleet) add(name string, zone int, started time.Duration) {
	f.nodes[name] = &node{Member: policy.Member{Server: name, Zone: zone, Started: started},
		free: make([]time.Duration, f.Node.Workers), keys: make(map[string]time.Duration),
		fetches: make(map[string]time.Duration)}
	f.names = append(f.names, name)
	f.version++
}

// Names are those of all nodes that there have been, in order of their coming.
func (f *Fleet) Names() []string { return f.names }

// Trouble befalls a node, or leaves it.
func (f *Fleet) Trouble(name string, t Trouble) { f.nodes[name].trouble = t }

// Lose takes nodes away without a word: the list goes on naming them.
func (f *Fleet) Lose(names ...string) {
	for _, name := range names {
		n := f.nodes[name]
		n.trouble = Lost
		for _, p := range f.proxies {
			p.drop(n)
		}
	}
}

// Restart brings nodes back empty and cold, and the list tells it.
func (f *Fleet) Restart(names ...string) {
	var news []policy.Member
	for _, name := range names {
		n := f.nodes[name]
		n.trouble, n.Started, n.Mode = Well, f.now, policy.Serving
		n.keys, n.fetches, n.cold = make(map[string]time.Duration), make(map[string]time.Duration), nil
		clear(n.free)
		news = append(news, n.Member)
	}
	f.tell(news)
}

// Drain has the list say that nodes drain; they leave later by Lose and Forget.
func (f *Fleet) Drain(names ...string) { f.mode(policy.Draining, names) }

// Forget has the list say that nodes are gone.
func (f *Fleet) Forget(names ...string) { f.mode(policy.Gone, names) }

func (f *Fleet) mode(mode policy.Mode, names []string) {
	var news []policy.Member
	for _, name := range names {
		n := f.nodes[name]
		n.Mode = mode
		news = append(news, n.Member)
	}
	f.tell(news)
}

// warmth is the share of its capacity that a node has.
func (f *Fleet) warmth(n *node) float64 {
	age, rules := f.now-n.Started, &f.Settings.Rules
	if n.Started == 0 || age >= rules.ColdRamp {
		return 1
	}
	return rules.ColdShare + (1-rules.ColdShare)*float64(age)/float64(rules.ColdRamp)
}

// capacity is how many requests a warm node serves in a time.
func (f *Fleet) capacity(d time.Duration) float64 {
	return float64(f.Node.Workers) * float64(d) / float64(f.Node.Work)
}

// reach is an attempt that comes in at a node.
func (f *Fleet) reach(n *node, a *attempt) {
	c := f.count()
	c.Sends++
	warmth := f.warmth(n)
	if warmth < 1 {
		c.ToCold++
		f.watch(n, warmth)
	}
	switch n.trouble {
	case Errs:
		c.ToSick++
		f.end(a, policy.Errored, policy.NoteNone)
		return
	case Silent:
		c.ToSick++
		return
	case Lost:
		f.end(a, policy.Reset, policy.NoteNone)
		return
	}
	w := 0
	for i := range n.free {
		if n.free[i] < n.free[w] {
			w = i
		}
	}
	work := time.Duration(float64(f.Node.Work) / warmth)
	if n.trouble == Slow {
		work *= slowTimes
	}
	if by := f.Node.Spread; by > 0 {
		work = time.Duration(float64(work) * math.Exp(by*f.rng.NormFloat64()-by*by/2))
	}
	if n.free[w]-f.now > time.Duration(f.Node.Queue)*work/time.Duration(f.Node.Workers) {
		f.end(a, policy.Full, policy.NoteNone)
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
		f.end(a, policy.Served, policy.NoteNone)
		return
	}
	if used, ok := n.keys[r.key]; ok && f.now-used < f.Node.Keep {
		n.keys[r.key] = f.now
		f.count().Hits++
		f.end(a, policy.Served, policy.NoteHit)
		return
	}
	f.count().Misses++
	if done := n.fetches[r.key]; done > f.now {
		f.at(done, func() { f.end(a, policy.Served, policy.NoteMissShared) })
		return
	}
	wait := max(f.origin-f.now, 0)
	if wait > f.Origin.Queue {
		f.count().Spilt++
		f.end(a, policy.Errored, policy.NoteNone)
		return
	}
	f.count().Fetches++
	f.origin = f.now + wait + time.Duration(float64(time.Second)/f.Origin.Rate)
	done := f.now + wait + f.Origin.Time
	n.fetches[r.key] = done
	f.at(done, func() {
		if n.fetches[r.key] != done {
			return // restarted since
		}
		delete(n.fetches, r.key)
		n.keys[r.key] = f.now
		f.end(a, policy.Served, policy.NoteMiss)
	})
}

// run is the effect of a request.
func (f *Fleet) run(r *ask) {
	class := &f.Settings.Classes[r.class]
	if class.Effect == policy.Safe {
		return
	}
	first, ran := f.effects[r.id]
	switch {
	case !ran:
		f.effects[r.id] = f.now
	case class.Effect == policy.Unsafe || f.now-first > class.Window+f.Settings.Tick:
		f.broken("%s %d ran twice, %v apart", class.Name, r.id, f.now-first)
	}
}

// watch looks whether a cold node is pushed over.
func (f *Fleet) watch(n *node, warmth float64) {
	rules := &f.Settings.Rules
	for len(n.cold) > 0 && f.now-n.cold[0] > rules.FallTime {
		n.cold = n.cold[1:]
	}
	n.cold = append(n.cold, f.now)
	if got, most := float64(len(n.cold)), rules.FallMultiple*warmth*f.capacity(rules.FallTime); got > most {
		f.broken("cold %s got %.0f within %v, pushed over by %.0f", n.Server, got, rules.FallTime, most)
	}
}
