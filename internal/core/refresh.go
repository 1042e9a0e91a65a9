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

// runListRefresh fetches the endpoint list anew after each pause of the process, until ctx ends: what the
// sources reported meanwhile counts as known to this proxy, but may be unread.
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

// refreshLists fetches from all sources of the list at once, and waits no longer than sends are deferred: for the
// beginning of an answer, and longer for its end.
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

// awaitAnswer ends the returned context if no answer begins in the time for which sends are deferred. An answer that
// has begun counts as a list that arrives until done.
func (c *Core) awaitAnswer(ctx context.Context) (answered context.Context, done func()) {
	ctx, cancel := context.WithCancel(ctx)
	var arriving atomic.Bool
	silence := time.AfterFunc(pause.DefaultLimits.MaxDeferral, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		silence.Stop()
		if arriving.CompareAndSwap(false, true) {
			c.pause.listsArriving.Add(1)
		}
	}})
	return ctx, func() {
		silence.Stop()
		cancel()
		if arriving.Swap(true) {
			c.pause.listsArriving.Add(-1)
		}
	}
}

// refreshList fetches the list of one source.
func (c *Core) refreshList(ctx context.Context, call listCall, config discovery.SourceConfig) {
	ctx, done := c.awaitAnswer(ctx)
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
