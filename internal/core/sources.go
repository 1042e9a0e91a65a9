package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/membership"
)

// This file watches several sources of the endpoint list at a time, for package membership to reconcile.

const (
	// rewatchDelay is the wait before a lost watch of one of several sources is opened again.
	rewatchDelay = 500 * time.Millisecond
	// refetchTimeout bounds the second fetch of a list that has collapsed: a later answer would miss the
	// time in which a drain must be heeded.
	refetchTimeout = 300 * time.Millisecond
)

// follower watches one source.
type follower struct {
	config discovery.SourceConfig
	source discovery.Source
	cancel context.CancelFunc
}

// followers is the state of the goroutine of followSources.
type followers struct {
	core     *Core
	ctx      context.Context
	tasks    sync.WaitGroup
	byName   map[string]*follower
	awaited  map[string]bool // new sources that have not reported yet
	reported chan string     // names of sources, each at its first list
}

// followSources keeps a watch on each source of the list until ctx ends. When the sources change, the
// former ones are followed until all new ones have reported: a drain that is announced meanwhile must not
// be missed.
func (c *Core) followSources(ctx context.Context) {
	f := &followers{core: c, ctx: ctx, byName: make(map[string]*follower), reported: make(chan string)}
	defer f.tasks.Wait()
	f.followNew()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sourcesChanged:
			f.followNew()
		case name := <-f.reported:
			delete(f.awaited, name)
		case name := <-c.refetchRequested:
			if follower := f.byName[name]; follower != nil {
				f.tasks.Go(func() { c.refetchList(ctx, follower) })
			}
		}
		if len(f.awaited) == 0 {
			f.cancelFormer()
		}
	}
}

// followNew begins to follow the sources that are not followed yet.
func (f *followers) followNew() {
	f.awaited = make(map[string]bool)
	for _, config := range f.core.listSources() {
		name := config.String()
		if f.byName[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(f.ctx)
		follower := &follower{config: config, source: config.Open(), cancel: cancel}
		f.byName[name] = follower
		f.awaited[name] = true
		f.tasks.Go(func() { f.core.followSource(ctx, follower, f.reported) })
	}
}

// cancelFormer ends the watches of what is no source any more.
func (f *followers) cancelFormer() {
	configs := f.core.listSources()
	for name, follower := range f.byName {
		isNamed := func(config discovery.SourceConfig) bool { return config.String() == name }
		if !slices.ContainsFunc(configs, isNamed) {
			follower.cancel()
			delete(f.byName, name)
		}
	}
}

// followSource watches one source until ctx ends, opening a lost watch again.
func (c *Core) followSource(ctx context.Context, f *follower, reported chan<- string) {
	name, first := f.config.String(), true
	call := listCall{name: name, source: f.source}
	apply := func(list discovery.List) {
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.markListReceived()
		report := membership.ListReceived{Source: name, Complete: list.Snapshot, Nodes: list.Nodes()}
		c.applySourceList(call, list.Index, report)
		call.knownVersion = list.Index
		c.mu.Unlock()
		if first {
			first = false
			select {
			case reported <- name:
			case <-ctx.Done():
			}
		}
	}
	for ctx.Err() == nil {
		call.knownVersion = c.sourceVersion(name)
		err := f.source.Watch(discovery.WithArrivals(ctx, &c.pause.listsArriving), 0, apply)
		if ctx.Err() != nil {
			return
		}
		c.log.Warn("endpoint list source lost", "source", name, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// refetchList fetches the list of a source past anything that is cached on the way.
func (c *Core) refetchList(ctx context.Context, f *follower) {
	ctx, cancel := context.WithTimeout(ctx, refetchTimeout)
	defer cancel()
	name := f.config.String()
	call := c.newSourceCall(name, f.source)
	list, err := call.source.Fetch(ctx)
	if err != nil {
		c.log.Warn("endpoint list refetch failed", "source", name, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report := membership.ListReceived{Source: name, Complete: true, Refetched: true, Nodes: list.Nodes()}
	if err != nil || !c.applySourceList(call, list.Index, report) {
		c.handleMembership(membership.RefetchFailed{Source: name})
	}
}

// newSourceCall returns a call of one of several sources that begins now.
func (c *Core) newSourceCall(name string, source discovery.Source) listCall {
	return listCall{name: name, source: source, knownVersion: c.sourceVersion(name)}
}

// sourceVersion returns the version of the latest list of one of several sources.
func (c *Core) sourceVersion(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.sourceVersions[name]
}

// applySourceList gives package membership a list of one of several sources, and reports whether it did. It does not
// if the list is outdated. c.mu is held.
func (c *Core) applySourceList(call listCall, version uint64, report membership.ListReceived) bool {
	known := c.endpoints.sourceVersions[call.name]
	if call.isOutdated(version, known) {
		c.log.Info("outdated endpoint list ignored", "version", version, "known_version", known)
		return false
	}
	c.endpoints.sourceVersions[call.name] = version
	c.handleMembership(report)
	return true
}
