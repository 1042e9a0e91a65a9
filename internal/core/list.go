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
const rewatchDelay = 500 * time.Millisecond

// listCall is a call of the list's source: what it brings is taken by what was known as it began.
type listCall struct {
	name         string
	source       discovery.Source
	knownVersion uint64 // the version of its list: none right after a move, as another service may count otherwise
}

// newListCall returns a call that begins now.
func (c *Core) newListCall() listCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return listCall{name: c.listSources[0].String(), source: c.listSource, knownVersion: c.listVersion}
}

// SetListSources makes places those of the list.
func (c *Core) SetListSources(places []discovery.SourceConfig) {
	c.mu.Lock()
	c.listSources = places
	c.listSource, c.listVersion = places[0].Open(), 0
	c.handleMembership(membership.SourcesChanged{Sources: membershipSources(places)})
	c.mu.Unlock()
	signal(c.sourcesChanged)
}

// membershipSources names the sources at places.
func membershipSources(places []discovery.SourceConfig) (list []membership.Source) {
	for _, p := range places {
		list = append(list, membership.Source{Name: p.String(), NeedsConfirmation: p.NeedsConfirmation()})
	}
	return list
}

// runListFetches asks for the list as often as the decision module wants it.
func (c *Core) runListFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.fetchRequested:
			call := c.newListCall()
			l, err := call.source.Fetch(ctx)
			c.handleFetch(call, l, err)
		}
	}
}

func (c *Core) handleFetch(from listCall, l discovery.List, err error) {
	if err == nil {
		c.applyList(from, l, policy.EndpointsFull)
		return
	}
	c.log.Warn("list call failed", "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(policy.EndpointUpdate{Version: c.listVersion, Kind: policy.EndpointsUnavailable})
}

// applyList takes news of the list from one of the platform's places, unless they are none: a list that was asked
// for before a change must not undo what a watch has told since, nor the place before what the one now has told. A
// version below that known as the call began is no older one, but that of a service that has begun anew.
func (c *Core) applyList(from listCall, l discovery.List, kind policy.EndpointUpdateKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case from.source != c.listSource && c.confirmedSource == c.listSource:
		return
	case from.source == c.listSource:
		if kind != policy.EndpointsCached && l.Index < c.listVersion && l.Index >= from.knownVersion {
			c.log.Info("an older list is passed over", "index", l.Index, "known", c.listVersion)
			return
		}
		c.listVersion = l.Index
	}
	if kind != policy.EndpointsCached {
		c.confirmedSource = from.source
		c.counts.listUpdates++
		c.markListReceived()
	}
	c.handleMembership(membership.ListReceived{Source: from.name, Complete: l.Snapshot || kind != policy.EndpointsDelta, Nodes: l.Nodes()})
}

// markListReceived notes that a list has come. c.mu is held.
func (c *Core) markListReceived() {
	if !c.hasList {
		c.hasList = true
		close(c.listReceived)
	}
}

// handleMembership gives membership an event and does what it asks: the connections first, so that
// the decision module never names a node that they don't know. c.mu is held.
func (c *Core) handleMembership(event membership.Event) {
	now := c.now()
	if _, told := event.(membership.ListReceived); told {
		c.overload.lastListAt = now
	}
	c.membershipActions = c.reconciler.Handle(now, event, c.membershipActions[:0])
	update := policy.EndpointUpdate{Version: c.listVersion, Kind: policy.EndpointsDelta}
	var there []upstream.Node
	var gone []string
	for _, action := range c.membershipActions {
		switch a := action.(type) {
		case membership.Change:
			keyless := c.binaryNodes.matches(&a.Node)
			update.Endpoints = append(update.Endpoints, policy.Endpoint{Server: a.Name, Zone: indexOrLen(c.zones, a.Zone), MachineKind: indexOrLen(c.kinds, a.Type),
				Cell: a.Group, State: modeOfStatus[a.Status], Weight: a.Weight, StartedAt: a.Started, NoDeduplication: keyless})
			if c.reconcileLists && c.hasList { // what it was started with is in its configuration
				c.log.Info("node", "name", a.Name, "address", a.Address, "is", a.Status.String(), "was", a.Previous.String(), "source", a.Source, "why", a.Reason)
			}
			c.recorder.Record(eventlog.NodeUpdated{Node: a.Name, Mode: a.Status.String(), Version: c.listVersion})
			if a.Status == membership.Gone {
				gone = append(gone, a.Name)
				delete(c.failedNodes, a.Name)
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
			c.log.Warn("list collapsed, looking again", "source", a.Source, "in_doubt", len(c.reconciler.Unconfirmed(a.Source)))
			select {
			case c.refetchRequested <- a.Source:
			default: // many are asked for already; a doubt ends without one as well
			}
		case membership.SetTimer:
			c.setTimer(timer{at: c.now() + a.After, attempt: membershipTimer})
		}
	}
	c.pool.UpdateNodes(there)
	if _, told := event.(membership.ListReceived); told || len(update.Endpoints) > 0 {
		c.handle(update)
	}
	c.pool.RemoveNodes(gone)
}

var modeOfStatus = map[membership.Status]policy.EndpointState{membership.Up: policy.Serving, membership.Draining: policy.Draining, membership.Gone: policy.Removed}

// indexOrLen is the index of a name, behind the known ones for one that is not known.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// observeConnection tells membership what connections see of a node. c.mu is held.
func (c *Core) observeConnection(node string, sight membership.Observation) {
	if c.reconcileLists && (sight == membership.Failed || c.failedNodes[node]) {
		if sight == membership.Failed {
			c.failedNodes[node] = true
		} else {
			delete(c.failedNodes, node)
		}
		c.handleMembership(membership.ConnectionObserved{Node: node, Observation: sight})
	}
}

// follower is one source that is followed.
type follower struct {
	config discovery.SourceConfig
	source discovery.Source
	cancel context.CancelFunc
}

// followSources keeps a watch on each source of the list. When they change, those that are none
// any more are heard until the new ones have told something: a drain that is announced
// meanwhile must not be missed.
func (c *Core) followSources(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	followers := make(map[string]*follower)
	told := make(chan string)
	var waiting map[string]bool // new ones that have told nothing yet
	adapt := func() {
		c.mu.Lock()
		places := c.listSources
		c.mu.Unlock()
		waiting = make(map[string]bool)
		for _, p := range places {
			if followers[p.String()] != nil {
				continue
			}
			own, cancel := context.WithCancel(ctx)
			f := &follower{config: p, source: p.Open(), cancel: cancel}
			followers[p.String()] = f
			waiting[p.String()] = true
			tasks.Go(func() { c.followSource(own, f, told) })
		}
	}
	retire := func() {
		c.mu.Lock()
		places := c.listSources
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
		case <-c.sourcesChanged:
			adapt()
		case name := <-told:
			delete(waiting, name)
		case name := <-c.refetchRequested:
			if f := followers[name]; f != nil {
				tasks.Go(func() { c.refetchList(ctx, f) })
			}
		}
		if len(waiting) == 0 {
			retire()
		}
	}
}

// followSource watches one source until ctx ends, over and over.
func (c *Core) followSource(ctx context.Context, f *follower, told chan<- string) {
	name, first := f.config.String(), true
	for ctx.Err() == nil {
		err := f.source.Watch(ctx, 0, func(l discovery.List) {
			if ctx.Err() != nil {
				return
			}
			c.mu.Lock()
			c.markListReceived()
			c.handleMembership(membership.ListReceived{Source: name, Complete: l.Snapshot, Nodes: l.Nodes()})
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
		case <-time.After(rewatchDelay):
		}
	}
}

// refetchTimeout bounds a second look: later it would come too late for the drain rule.
const refetchTimeout = 300 * time.Millisecond

// refetchList asks a source for its list past whatever it may have kept.
func (c *Core) refetchList(ctx context.Context, f *follower) {
	ctx, cancel := context.WithTimeout(ctx, refetchTimeout)
	defer cancel()
	l, err := f.source.Fetch(ctx)
	if err != nil {
		c.log.Warn("second look failed", "source", f.config.String(), "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.handleMembership(membership.RefetchFailed{Source: f.config.String()})
		return
	}
	c.handleMembership(membership.ListReceived{Source: f.config.String(), Complete: true, Refetched: true, Nodes: l.Nodes()})
}
