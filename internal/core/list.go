package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// This file follows the sources of the list of nodes, has membership decide what they
// come to, and gives that to the connections and to the decision module.

// The wait before a lost watch of one of several sources is begun again.
const watchPause = 500 * time.Millisecond

// call is a call of the list's source: what it brings is taken by what was known as it began.
type call struct {
	name   string
	source discovery.Source
	known  uint64 // the version of its list: none right after a move, as another service may count otherwise
}

// place returns a call that begins now.
func (c *Core) place() call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return call{name: c.places[0].String(), source: c.registry, known: c.version}
}

// SetListSources makes places those of the list.
func (c *Core) SetListSources(places []discovery.SourceConfig) {
	c.mu.Lock()
	c.places = places
	c.registry, c.version = places[0].Open(), 0
	c.member(membership.SourcesChanged{Sources: sourcesOf(places)})
	c.mu.Unlock()
	post(c.moved)
}

// sourcesOf names the sources at places.
func sourcesOf(places []discovery.SourceConfig) (list []membership.Source) {
	for _, p := range places {
		list = append(list, membership.Source{Name: p.String(), NeedsConfirmation: p.NeedsConfirmation()})
	}
	return list
}

// fetchLists asks for the list as often as the decision module wants it.
func (c *Core) fetchLists(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.fetch:
			call := c.place()
			l, err := call.source.Fetch(ctx)
			c.fetched(call, l, err)
		}
	}
}

func (c *Core) fetched(from call, l discovery.List, err error) {
	if err == nil {
		c.learn(from, l, policy.EndpointsFull)
		return
	}
	c.log.Warn("list call failed", "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(policy.EndpointUpdate{Version: c.version, Kind: policy.EndpointsUnavailable})
}

// learn takes news of the list from one of the platform's places, unless they are none: a list that was asked
// for before a change must not undo what a watch has told since, nor the place before what the one now has told. A
// version below that known as the call began is no older one, but that of a service that has begun anew.
func (c *Core) learn(from call, l discovery.List, kind policy.EndpointUpdateKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case from.source != c.registry && c.settled == c.registry:
		return
	case from.source == c.registry:
		if kind != policy.EndpointsCached && l.Index < c.version && l.Index >= from.known {
			c.log.Info("an older list is passed over", "index", l.Index, "known", c.version)
			return
		}
		c.version = l.Index
	}
	if kind != policy.EndpointsCached {
		c.settled = from.source
		c.counts.told++
		c.hear()
	}
	c.member(membership.ListReceived{Source: from.name, Complete: l.Snapshot || kind != policy.EndpointsDelta, Nodes: l.Nodes()})
}

// hear notes that a list has come. c.mu is held.
func (c *Core) hear() {
	if !c.heard {
		c.heard = true
		close(c.known)
	}
}

// member gives membership an event and does what it asks: the connections first, so that
// the decision module never names a node that they don't know. c.mu is held.
func (c *Core) member(event membership.Event) {
	now := c.now()
	if _, told := event.(membership.ListReceived); told {
		c.levels.told = now
	}
	c.news = c.members.Handle(now, event, c.news[:0])
	update := policy.EndpointUpdate{Version: c.version, Kind: policy.EndpointsDelta}
	var there []upstream.Node
	var gone []string
	for _, action := range c.news {
		switch a := action.(type) {
		case membership.Change:
			keyless := c.binary.has(&a.Node)
			update.Endpoints = append(update.Endpoints, policy.Endpoint{Server: a.Name, Zone: place(c.zones, a.Zone), MachineKind: place(c.kinds, a.Type),
				Cell: a.Group, State: modes[a.Status], Weight: a.Weight, StartedAt: a.Started, NoDeduplication: keyless})
			if c.infer && c.heard { // what it was started with is in its configuration
				c.log.Info("node", "name", a.Name, "address", a.Address, "is", a.Status.String(), "was", a.Previous.String(), "source", a.Source, "why", a.Reason)
			}
			c.record.Record(eventlog.NodeUpdated{Node: a.Name, Mode: a.Status.String(), Version: c.version})
			if a.Status == membership.Gone {
				gone = append(gone, a.Name)
				delete(c.failed, a.Name)
				continue
			}
			n := upstream.Node{Name: a.Name, Address: a.Address}
			if a.Started > 0 {
				n.Started = time.Unix(0, int64(a.Started))
			}
			if keyless { // its dialect has no room for an idempotency key
				n.Dialect = binary.NodeDialect{}
			}
			there = append(there, n)
		case membership.Refetch:
			c.log.Warn("list collapsed, looking again", "source", a.Source, "in_doubt", len(c.members.Unconfirmed(a.Source)))
			select {
			case c.look <- a.Source:
			default: // many are asked for already; a doubt ends without one as well
			}
		case membership.SetTimer:
			c.setTimer(timer{at: c.now() + a.After, attempt: memberTimer})
		}
	}
	c.nodes.UpdateNodes(there)
	if _, told := event.(membership.ListReceived); told || len(update.Endpoints) > 0 {
		c.handle(update)
	}
	c.nodes.RemoveNodes(gone)
}

var modes = map[membership.Status]policy.EndpointState{membership.Up: policy.Serving, membership.Draining: policy.Draining, membership.Gone: policy.Removed}

// place is the index of a name, behind the known ones for one that is not known.
func place(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// sight tells membership what connections see of a node. c.mu is held.
func (c *Core) sight(node string, sight membership.Observation) {
	if c.infer && (sight == membership.Failed || c.failed[node]) {
		if sight == membership.Failed {
			c.failed[node] = true
		} else {
			delete(c.failed, node)
		}
		c.member(membership.ConnectionObserved{Node: node, Observation: sight})
	}
}

// follower is one source that is followed.
type follower struct {
	place  discovery.SourceConfig
	source discovery.Source
	cancel context.CancelFunc
}

// follow keeps a watch on each source of the list. When they change, those that are none
// any more are heard until the new ones have told something: a drain that is announced
// meanwhile must not be missed.
func (c *Core) follow(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	followers := make(map[string]*follower)
	told := make(chan string)
	var waiting map[string]bool // new ones that have told nothing yet
	adapt := func() {
		c.mu.Lock()
		places := c.places
		c.mu.Unlock()
		waiting = make(map[string]bool)
		for _, p := range places {
			if followers[p.String()] != nil {
				continue
			}
			own, cancel := context.WithCancel(ctx)
			f := &follower{place: p, source: p.Open(), cancel: cancel}
			followers[p.String()] = f
			waiting[p.String()] = true
			tasks.Go(func() { c.followOne(own, f, told) })
		}
	}
	retire := func() {
		c.mu.Lock()
		places := c.places
		c.mu.Unlock()
		for name, f := range followers {
			if !slices.ContainsFunc(places, func(p discovery.SourceConfig) bool { return p.String() == name }) {
				f.cancel()
				delete(followers, name)
			}
		}
	}
	adapt()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.moved:
			adapt()
		case name := <-told:
			delete(waiting, name)
		case name := <-c.look:
			if f := followers[name]; f != nil {
				tasks.Go(func() { c.lookAgain(ctx, f) })
			}
		}
		if len(waiting) == 0 {
			retire()
		}
	}
}

// followOne watches one source until ctx ends, over and over.
func (c *Core) followOne(ctx context.Context, f *follower, told chan<- string) {
	name, first := f.place.String(), true
	for ctx.Err() == nil {
		err := f.source.Watch(ctx, 0, func(l discovery.List) {
			if ctx.Err() != nil {
				return
			}
			c.mu.Lock()
			c.hear()
			c.member(membership.ListReceived{Source: name, Complete: l.Snapshot, Nodes: l.Nodes()})
			c.mu.Unlock()
			if first {
				first = false
				select {
				case told <- name:
				case <-ctx.Done():
				}
			}
		})
		if ctx.Err() != nil {
			return
		}
		c.log.Warn("source of the list lost", "source", name, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// lookTime bounds a second look: later it would come too late for the drain rule.
const lookTime = 300 * time.Millisecond

// lookAgain asks a source for its list past whatever it may have kept.
func (c *Core) lookAgain(ctx context.Context, f *follower) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	l, err := f.source.Fetch(ctx)
	if err != nil {
		c.log.Warn("second look failed", "source", f.place.String(), "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.member(membership.RefetchFailed{Source: f.place.String()})
		return
	}
	c.member(membership.ListReceived{Source: f.place.String(), Complete: true, Refetched: true, Nodes: l.Nodes()})
}
