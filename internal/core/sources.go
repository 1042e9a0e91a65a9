package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/membership"
)

// This file watches several sources of the endpoint list in parallel; package membership reconciles their lists.

const (
	// rewatchDelay is the delay before a lost watch of one of several sources is reopened.
	rewatchDelay = 500 * time.Millisecond
	// refetchTimeout limits the refetch of a collapsed list: a later answer would come after the time in which
	// a drain must take effect.
	refetchTimeout = 300 * time.Millisecond
)

// sourceWatch is a watch of one source. It is reopened when it is lost.
type sourceWatch struct {
	config discovery.SourceConfig
	source discovery.Source
	cancel context.CancelFunc
}

// sourceWatches is the state of the goroutine of watchSources.
type sourceWatches struct {
	core       *Core
	ctx        context.Context
	tasks      sync.WaitGroup
	byName     map[string]*sourceWatch
	unreported map[string]bool // new sources that have not reported yet
	reported   chan string     // names of sources, each at its first list
}

// watchSources watches each source of the list until ctx ends. When the sources change, the previous ones are
// watched until all new ones have reported: a drain that is announced in the meantime must not be missed.
func (c *Core) watchSources(ctx context.Context) {
	w := &sourceWatches{core: c, ctx: ctx, byName: make(map[string]*sourceWatch), reported: make(chan string)}
	defer w.tasks.Wait()
	w.watchNew()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sourcesChanged:
			w.watchNew()
		case name := <-w.reported:
			delete(w.unreported, name)
		case name := <-c.refetchRequested:
			if watch := w.byName[name]; watch != nil {
				w.tasks.Go(func() { c.refetchList(ctx, watch) })
			}
		}
		if len(w.unreported) == 0 {
			w.cancelRemoved()
		}
	}
}

// watchNew starts watches of the sources that are not watched yet.
func (w *sourceWatches) watchNew() {
	w.unreported = make(map[string]bool)
	for _, config := range w.core.listSources() {
		name := config.String()
		if w.byName[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		watch := &sourceWatch{config: config, source: config.Open(), cancel: cancel}
		w.byName[name] = watch
		w.unreported[name] = true
		w.tasks.Go(func() { w.core.watchSource(ctx, watch, w.reported) })
	}
}

// cancelRemoved ends the watches of sources that are no longer configured.
func (w *sourceWatches) cancelRemoved() {
	configs := w.core.listSources()
	for name, watch := range w.byName {
		isNamed := func(config discovery.SourceConfig) bool { return config.String() == name }
		if !slices.ContainsFunc(configs, isNamed) {
			watch.cancel()
			delete(w.byName, name)
		}
	}
}

// watchSource watches one source until ctx ends, and reopens a lost watch. At the first list it sends the source's name
// to reported.
func (c *Core) watchSource(ctx context.Context, w *sourceWatch, reported chan<- string) {
	name, first := w.config.String(), true
	call := listCall{name: name, source: w.source}
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
		err := w.source.Watch(discovery.WithArrivals(ctx, &c.pause.listsArriving), 0, apply)
		if ctx.Err() != nil {
			return
		}
		c.log.Warn("endpoint list source lost", "source", name, "error", err)
		delay.Wait(ctx, rewatchDelay)
	}
}

// refetchList fetches the list of a source, bypassing caches, to confirm or correct a collapsed list.
func (c *Core) refetchList(ctx context.Context, w *sourceWatch) {
	ctx, cancel := context.WithTimeout(ctx, refetchTimeout)
	defer cancel()
	name := w.config.String()
	call := c.newSourceCall(name, w.source)
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

// applySourceList passes a list of one of several sources to package membership. It returns false, and ignores the
// list, if it is outdated. c.mu is held.
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
