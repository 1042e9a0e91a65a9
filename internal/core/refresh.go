package core

import (
	"context"
	"sync"

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

// refreshLists fetches from all sources of the list at once, and waits no longer than sends are deferred.
func (c *Core) refreshLists(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pause.DefaultLimits.MaxDeferral)
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

// refreshList fetches the list of one source.
func (c *Core) refreshList(ctx context.Context, call listCall, config discovery.SourceConfig) {
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
