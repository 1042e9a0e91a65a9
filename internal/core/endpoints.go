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

// This file maintains the endpoint list: it passes the reports of its sources to package membership, and the
// resulting node changes to the connection pool and to the decision module.

// endpointState is the state of the endpoint list and its sources. It is guarded by Core.mu.
type endpointState struct {
	sources         []discovery.SourceConfig
	source          discovery.Source  // the first of sources, opened; used where there is exactly one source
	confirmedSource discovery.Source  // the source whose list was last applied; nil until one has reported
	received        bool              // Core.listReceived is closed
	version         uint64            // of the list in force, where there is exactly one source
	sourceVersions  map[string]uint64 // by source name: version of its latest list, where there are several sources
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

// membershipSources converts the configuration of sources for package membership.
func membershipSources(configs []discovery.SourceConfig) (sources []membership.Source) {
	for _, config := range configs {
		source := membership.Source{Name: config.String(), NeedsConfirmation: config.NeedsConfirmation()}
		sources = append(sources, source)
	}
	return sources
}

// ListReceived returns a channel that is closed once a source has reported its endpoint list.
func (c *Core) ListReceived() <-chan struct{} { return c.listReceived }

// HasServingNodes reports whether there is any node that requests can be sent to.
func (c *Core) HasServingNodes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.reconciler.Serving() > 0
}

// SetListSources replaces the sources of the endpoint list. There must be at least one.
func (c *Core) SetListSources(configs []discovery.SourceConfig) {
	c.mu.Lock()
	c.endpoints.sources = configs
	c.endpoints.source = configs[0].Open()
	c.endpoints.version = 0 // versions of different services can't be compared
	c.handleMembership(membership.SourcesChanged{Sources: membershipSources(configs)})
	c.mu.Unlock()
	signal(c.sourcesChanged)
}

func (c *Core) listSources() []discovery.SourceConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.sources
}

// listCall is a fetch or a watch of a list source. It holds what was known at its start, to recognize outdated lists.
type listCall struct {
	name         string
	source       discovery.Source
	knownVersion uint64 // at the call's start, then of the call's latest list; zero right after a change of sources
}

// isOutdated reports whether a list from a call is older than the list known by now, so that it must not undo a drain
// that was reported since the call began. A version below the one known at the call's start is not outdated: it means
// that the service has restarted and begun again with a low version.
func (call listCall) isOutdated(version, known uint64) bool {
	return version < known && version >= call.knownVersion
}

// newListCall returns a call of the current source that begins now.
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

// applyList applies a list from the only source, unless it is outdated. It ignores a list from the previous source once
// the current one has reported, so that it can't undo what the current one reported.
func (c *Core) applyList(call listCall, list discovery.List, kind policy.EndpointUpdateKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &c.endpoints
	fromCurrentSource := call.source == state.source
	if !fromCurrentSource && state.confirmedSource == state.source {
		return
	}
	if fromCurrentSource {
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

// markListReceived closes Core.listReceived at the first call. c.mu is held.
func (c *Core) markListReceived() {
	if !c.endpoints.received {
		c.endpoints.received = true
		close(c.listReceived)
	}
}

// handleMembership passes an event to package membership and executes the resulting actions. It adds nodes to the
// connection pool before it updates the decision module, and removes them after that, so that the decision module never
// names a node that the pool does not know. c.mu is held.
func (c *Core) handleMembership(event membership.Event) {
	now := c.policyTime()
	_, isList := event.(membership.ListReceived)
	if isList {
		c.overload.lastListAt = now
	}
	state := &c.endpoints
	state.actions = state.reconciler.Handle(now, event, state.actions[:0])
	update := policy.EndpointUpdate{Version: state.version, Kind: policy.EndpointsDelta}
	var listed []upstream.Node
	var removed []string
	for _, action := range state.actions {
		switch action := action.(type) {
		case membership.Change:
			c.reportNodeChange(&action)
			update.Endpoints = append(update.Endpoints, c.policyEndpoint(&action.Node))
			if action.Status == membership.Gone {
				removed = append(removed, action.Name)
				delete(state.failedNodes, action.Name)
			} else {
				listed = append(listed, c.upstreamNode(&action.Node))
			}
		case membership.Refetch:
			c.requestRefetch(action.Source)
		case membership.SetTimer:
			c.setTimer(timer{at: c.policyTime() + action.After, kind: membershipTimer})
		}
	}
	c.pool.UpdateNodes(listed)
	if isList || len(update.Endpoints) > 0 {
		c.handle(update)
	}
	c.pool.RemoveNodes(removed)
}

// reportNodeChange records a change of a node in the event log. With reconcileLists it also logs the change, but only
// once a source has reported a list. c.mu is held.
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

// requestRefetch requests a refetch of a source's list. It drops the request if too many are pending: package
// membership stops waiting for confirmation after Limits.ConfirmTimeout or FailedConfirmTimeout even without a refetch.
// c.mu is held.
func (c *Core) requestRefetch(source string) {
	unconfirmed := len(c.endpoints.reconciler.Unconfirmed(source))
	c.log.Warn("endpoint list collapsed", "source", source, "unconfirmed", unconfirmed)
	select {
	case c.refetchRequested <- source:
	default:
	}
}

// policyEndpoint converts a node for the decision module.
func (c *Core) policyEndpoint(node *membership.Node) policy.Endpoint {
	return policy.Endpoint{
		Server:          node.Name,
		Zone:            indexOrLen(c.zones, node.Zone),
		MachineKind:     indexOrLen(c.machineKinds, node.Type),
		Cell:            node.Group,
		State:           policyStateOf[node.Status],
		Weight:          node.Weight,
		StartedAt:       node.Started,
		NoDeduplication: c.binaryNodes.matches(node), // the binary protocol has no idempotency key
	}
}

// upstreamNode converts a node for the connection pool.
func (c *Core) upstreamNode(node *membership.Node) upstream.Node {
	converted := upstream.Node{Name: node.Name, Address: node.Address}
	if node.Started > 0 {
		converted.Started = time.Unix(0, int64(node.Started))
	}
	if c.binaryNodes.matches(node) {
		converted.Dialect = binary.NodeDialect{}
	}
	return converted
}

var policyStateOf = map[membership.Status]policy.EndpointState{
	membership.Up:       policy.Serving,
	membership.Draining: policy.Draining,
	membership.Gone:     policy.Removed,
}

// indexOrLen returns the index of a name, or len(names) if it is not among them.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// observeConnection reports to package membership what connections observe of a node: each failure, and the
// first answer after a failure. c.mu is held.
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
