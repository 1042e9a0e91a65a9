package core

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/pause"
	"mulleinpier/policy"
)

// runListRefresh fetches the endpoint lists after each pause of the process, until ctx ends: the proxy is assumed to
// know what the sources reported during the pause, but may not have read their reports yet.
func (c *Core) runListRefresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.pause.refresh:
		}
		c.pool.CloseStale()
		c.refreshLists(ctx)
		c.mu.Lock()
		c.handlePauseEvent(c.monotonic(), pause.ListsRefreshed{})
		c.mu.Unlock()
	}
}

// refreshLists fetches the lists of all sources in parallel. It waits no longer than sends are deferred: up to
// pause.DefaultLimits.MaxDeferral for the start of each answer, and up to MaxArrival for its end.
func (c *Core) refreshLists(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pause.DefaultLimits.MaxArrival)
	defer cancel()
	configs := c.listSources()
	call := c.newListCall()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if !c.reconcileLists {
		tasks.Go(func() { c.refreshList(ctx, call, configs[0]) })
		return
	}
	for _, config := range configs {
		call := c.newSourceCall(config.String(), config.Open())
		tasks.Go(func() { c.refreshList(ctx, call, config) })
	}
}

// withFirstByteTimeout returns a context that is cancelled unless an answer begins within
// pause.DefaultLimits.MaxDeferral, the time for which sends are deferred. Once an answer has begun, it counts in
// pauseState.listsArriving until the caller calls done.
func (c *Core) withFirstByteTimeout(ctx context.Context) (answered context.Context, done func()) {
	ctx, cancel := context.WithCancel(ctx)
	var arriving atomic.Bool
	firstByteTimer := time.AfterFunc(pause.DefaultLimits.MaxDeferral, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		firstByteTimer.Stop()
		if arriving.CompareAndSwap(false, true) {
			c.pause.listsArriving.Add(1)
		}
	}})
	return ctx, func() {
		firstByteTimer.Stop()
		cancel()
		if arriving.Swap(true) {
			c.pause.listsArriving.Add(-1)
		}
	}
}

// refreshList fetches and applies the list of one source.
func (c *Core) refreshList(ctx context.Context, call listCall, config discovery.SourceConfig) {
	ctx, done := c.withFirstByteTimeout(ctx)
	defer done()
	list, err := call.source.Fetch(ctx)
	switch {
	case err != nil:
		c.log.Warn("endpoint list refresh failed", "source", config.String(), "error", err)
	case c.reconcileLists:
		c.mu.Lock()
		report := membership.ListReceived{Source: call.name, Complete: true, Nodes: list.Nodes()}
		c.applySourceList(call, list.Index, report)
		c.mu.Unlock()
	default:
		c.applyList(call, list, policy.EndpointsFull)
	}
}
