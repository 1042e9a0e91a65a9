package core

import (
	"context"
	"slices"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// This file holds the endpoint list: what its sources report goes to package membership, and what that
// decides goes to the connections and to the decision module.

// endpointState is what the core knows of the endpoint list and its sources. It is guarded by Core.mu.
type endpointState struct {
	sources         []discovery.SourceConfig
	source          discovery.Source  // the open one, where there is exactly one
	confirmedSource discovery.Source  // the one that reported last
	received        bool              // Core.listReceived is closed
	version         uint64            // of the list in force, where there is exactly one source
	sourceVersions  map[string]uint64 // of the latest list of each of several sources, by its name
	reconciler      *membership.Reconciler
	actions         []membership.Action // reused between events
	failedNodes     map[string]bool     // nodes whose latest connection failed
}

func newEndpointState(config *Config) endpointState {
	return endpointState{
		sources: config.ListSources,
		source:  config.ListSources[0].Open(),
		reconciler: membership.New(membership.Settings{
			Limits:        config.Membership,
			Sources:       membershipSources(config.ListSources),
			InferRestarts: config.ReconcileLists,
		}),
		sourceVersions: make(map[string]uint64),
		failedNodes:    make(map[string]bool),
	}
}

// membershipSources returns sources as package membership knows them.
func membershipSources(configs []discovery.SourceConfig) (sources []membership.Source) {
	for _, config := range configs {
		source := membership.Source{Name: config.String(), NeedsConfirmation: config.NeedsConfirmation()}
		sources = append(sources, source)
	}
	return sources
}

// ListReceived is closed once a source has reported its endpoint list.
func (c *Core) ListReceived() <-chan struct{} { return c.listReceived }

// HasServingNodes reports whether there is any node that requests can be sent to.
func (c *Core) HasServingNodes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.reconciler.Serving() > 0
}

// SetListSources replaces the sources of the endpoint list.
func (c *Core) SetListSources(configs []discovery.SourceConfig) {
	c.mu.Lock()
	c.endpoints.sources = configs
	c.endpoints.source = configs[0].Open()
	c.endpoints.version = 0 // another service may count otherwise
	c.handleMembership(membership.SourcesChanged{Sources: membershipSources(configs)})
	c.mu.Unlock()
	signal(c.sourcesChanged)
}

// listSources returns the sources of the endpoint list.
func (c *Core) listSources() []discovery.SourceConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.sources
}

// listCall is a call of a list source. Its answer is judged by what was known when the call began.
type listCall struct {
	name         string
	source       discovery.Source
	knownVersion uint64 // of the list then; zero right after a change of sources
}

// isOutdated reports whether the answer to a call is older than the list that is known by now: it must not undo a
// drain that has been reported since the call began. A version below the one that was known then is not an older list,
// but that of a service that has restarted and counts anew.
func (call listCall) isOutdated(version, known uint64) bool {
	return version < known && version >= call.knownVersion
}

// newListCall returns a call of the present source that begins now.
func (c *Core) newListCall() listCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return listCall{
		name:         c.endpoints.sources[0].String(),
		source:       c.endpoints.source,
		knownVersion: c.endpoints.version,
	}
}

// runListFetches fetches the list whenever the decision module requests it, until ctx ends.
func (c *Core) runListFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.fetchRequested:
			call := c.newListCall()
			list, err := call.source.Fetch(ctx)
			c.handleFetch(call, list, err)
		}
	}
}

func (c *Core) handleFetch(call listCall, list discovery.List, err error) {
	if err == nil {
		c.applyList(call, list, policy.EndpointsFull)
		return
	}
	c.log.Warn("endpoint list fetch failed", "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(policy.EndpointUpdate{Version: c.endpoints.version, Kind: policy.EndpointsUnavailable})
}

// applyList puts a list from the only source into force, unless it is outdated. Nor may the previous source undo
// what the present one has reported.
func (c *Core) applyList(call listCall, list discovery.List, kind policy.EndpointUpdateKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &c.endpoints
	fromPresentSource := call.source == state.source
	if !fromPresentSource && state.confirmedSource == state.source {
		return
	}
	if fromPresentSource {
		if kind != policy.EndpointsCached && call.isOutdated(list.Index, state.version) {
			c.log.Info("outdated endpoint list ignored", "version", list.Index, "known_version", state.version)
			return
		}
		state.version = list.Index
	}
	if kind != policy.EndpointsCached {
		state.confirmedSource = call.source
		c.counts.listUpdates++
		c.markListReceived()
	}
	complete := list.Snapshot || kind != policy.EndpointsDelta
	c.handleMembership(membership.ListReceived{Source: call.name, Complete: complete, Nodes: list.Nodes()})
}

// markListReceived notes that a list has been received. c.mu is held.
func (c *Core) markListReceived() {
	if !c.endpoints.received {
		c.endpoints.received = true
		close(c.listReceived)
	}
}

// handleMembership gives package membership an event and carries out the actions that follow. Connections
// come first, so that the decision module never names a node that they don't know. c.mu is held.
func (c *Core) handleMembership(event membership.Event) {
	now := c.policyTime()
	_, isList := event.(membership.ListReceived)
	if isList {
		c.overload.lastListAt = now
	}
	state := &c.endpoints
	state.actions = state.reconciler.Handle(now, event, state.actions[:0])
	update := policy.EndpointUpdate{Version: state.version, Kind: policy.EndpointsDelta}
	var present []upstream.Node
	var gone []string
	for _, action := range state.actions {
		switch action := action.(type) {
		case membership.Change:
			c.reportNodeChange(&action)
			update.Endpoints = append(update.Endpoints, c.policyEndpoint(&action.Node))
			if action.Status == membership.Gone {
				gone = append(gone, action.Name)
				delete(state.failedNodes, action.Name)
			} else {
				present = append(present, c.upstreamNode(&action.Node))
			}
		case membership.Refetch:
			c.requestRefetch(action.Source)
		case membership.SetTimer:
			c.setTimer(timer{at: c.policyTime() + action.After, kind: membershipTimer})
		}
	}
	c.pool.UpdateNodes(present)
	if isList || len(update.Endpoints) > 0 {
		c.handle(update)
	}
	c.pool.RemoveNodes(gone)
}

// reportNodeChange logs a change of a node, from the first list that a source has reported on.
// c.mu is held.
func (c *Core) reportNodeChange(change *membership.Change) {
	if c.reconcileLists && c.endpoints.received {
		c.log.Info("node status changed", "node", change.Name, "address", change.Address,
			"status", change.Status.String(), "previous", change.Previous.String(),
			"source", change.Source, "reason", change.Reason)
	}
	c.recorder.Record(eventlog.NodeUpdated{
		Node:    change.Name,
		Status:  change.Status.String(),
		Version: c.endpoints.version,
	})
}

// requestRefetch has a source fetched again. If too many wait already this one is left out: what is to be
// confirmed ends without it as well. c.mu is held.
func (c *Core) requestRefetch(source string) {
	unconfirmed := len(c.endpoints.reconciler.Unconfirmed(source))
	c.log.Warn("endpoint list collapsed", "source", source, "unconfirmed", unconfirmed)
	select {
	case c.refetchRequested <- source:
	default:
	}
}

// policyEndpoint returns a node as the decision module knows it.
func (c *Core) policyEndpoint(node *membership.Node) policy.Endpoint {
	return policy.Endpoint{
		Server:          node.Name,
		Zone:            indexOrLen(c.zones, node.Zone),
		MachineKind:     indexOrLen(c.kinds, node.Type),
		Cell:            node.Group,
		State:           endpointStateOf[node.Status],
		Weight:          node.Weight,
		StartedAt:       node.Started,
		NoDeduplication: c.binaryNodes.matches(node), // the binary protocol has no idempotency key
	}
}

// upstreamNode returns a node as the connections know it.
func (c *Core) upstreamNode(node *membership.Node) upstream.Node {
	known := upstream.Node{Name: node.Name, Address: node.Address}
	if node.Started > 0 {
		known.Started = time.Unix(0, int64(node.Started))
	}
	if c.binaryNodes.matches(node) {
		known.Dialect = binary.NodeDialect{}
	}
	return known
}

var endpointStateOf = map[membership.Status]policy.EndpointState{
	membership.Up:       policy.Serving,
	membership.Draining: policy.Draining,
	membership.Gone:     policy.Removed,
}

// indexOrLen returns the index of a name, and the first index after all names for an unknown one.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// observeConnection reports to package membership what connections see of a node: each failure, and the
// first answer after one. c.mu is held.
func (c *Core) observeConnection(node string, observation membership.Observation) {
	failed := c.endpoints.failedNodes
	if !c.reconcileLists || observation != membership.Failed && !failed[node] {
		return
	}
	if observation == membership.Failed {
		failed[node] = true
	} else {
		delete(failed, node)
	}
	c.handleMembership(membership.ConnectionObserved{Node: node, Observation: observation})
}
