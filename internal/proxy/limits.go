package proxy

import (
	"fmt"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

const (
	bytesPerMB = 1 << 20
	// reservedDescriptors is the number of descriptors for everything but client and node connections: discovery,
	// listeners, poller, log.
	reservedDescriptors = 32
	// bytesPerRequest is the memory assumed for each request in flight, which limits how many requests may be in
	// flight.
	bytesPerRequest = 16 << 10
	// bytesPerClient is the memory assumed for each client connection, which limits how many there may be: its buffer
	// and goroutines, and the small answers that wait for it.
	bytesPerClient = 128 << 10
	// budgetDivisor sets the budgets for the values of requests and of responses: each is 1/budgetDivisor of the
	// memory.
	budgetDivisor = 8
	// minLongestDeadline is the lowest value used as the longest deadline when computing SilenceTimeout.
	minLongestDeadline = time.Second
)

// The lowest resource limits that a proxy can run with.
const (
	MinDescriptors = 2 * reservedDescriptors
	MinMemoryBytes = 32 * bytesPerMB
)

// ResourceLimits are the limits on connections and requests that come from the configuration, not from the resources of
// the process.
type ResourceLimits struct {
	ConnectTimeout       time.Duration // for establishing a connection to a node
	NodeIdleTimeout      time.Duration // time after which a node closes an idle connection
	StreamsPerConnection int           // maximum number of requests in flight on one connection to a node
	ConnectionsPerNode   int           // maximum number of connections from this proxy to one node
	MaxInFlight          int           // maximum number of requests in flight
	ConnectionShare      connlimit.Capacity
}

// AllocateResources divides the descriptors between clients and nodes, and the memory between clients, requests and
// responses.
// It returns an error if the process has too little of a resource.
func (c *Config) AllocateResources(limits ResourceLimits) error {
	switch {
	case c.MaxDescriptors < MinDescriptors:
		return fmt.Errorf("limits: sockets cannot be %d: too few to serve clients", c.MaxDescriptors)
	case c.MemoryBytes < MinMemoryBytes:
		return fmt.Errorf("limits: memory_mb cannot be %d: too little to serve clients", c.MemoryBytes/bytesPerMB)
	case c.Cores <= 0:
		return fmt.Errorf("limits: cores cannot be %v: want a number above 0", c.Cores)
	}
	c.MaxInFlight = min(limits.MaxInFlight, c.MemoryBytes/bytesPerRequest)
	nodeConnections := (c.MaxDescriptors - reservedDescriptors) / 2
	c.MaxClients = min(c.MaxDescriptors-reservedDescriptors-nodeConnections, c.MemoryBytes/bytesPerClient)
	c.RequestBudgetBytes = c.MemoryBytes / budgetDivisor
	c.ResponseBudgetBytes = c.MemoryBytes / budgetDivisor
	longest := max(minLongestDeadline, longestDeadline(&c.Policy))
	c.Upstream = upstream.Limits{
		MaxPerNode:     limits.ConnectionsPerNode,
		MaxConnections: nodeConnections,
		MaxPipelined:   limits.StreamsPerConnection,
		ConnectTimeout: limits.ConnectTimeout,
		IdleTimeout:    limits.NodeIdleTimeout / 2, // well before the node closes the connection
		SilenceTimeout: longest + longest/2,
		FleetShare:     limits.ConnectionShare,
	}
	return nil
}

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(settings *policy.Settings) (longest time.Duration) {
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
