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
	// reservedDescriptors are for everything but clients and nodes: discovery, listeners, poller, log.
	reservedDescriptors = 32
	// bytesPerRequest is the memory that is reserved for each request in flight.
	bytesPerRequest = 16 << 10
	// budgetDivisor gives the part of the memory for the values of requests, and as much for those of responses.
	budgetDivisor = 8
	// minLongestDeadline is the lowest value that is assumed for the longest deadline of all classes.
	minLongestDeadline = time.Second
)

// The lowest limits that a proxy can work with.
const (
	MinDescriptors = 2 * reservedDescriptors
	MinMemoryBytes = 32 * bytesPerMB
)

// ResourceLimits bound connections and requests.
type ResourceLimits struct {
	ConnectTimeout       time.Duration // of a connection to a node
	NodeIdleTimeout      time.Duration // after which nodes close an idle connection
	StreamsPerConnection int           // requests in flight on one connection to a node
	ConnectionsPerNode   int           // of this proxy
	MaxInFlight          int           // requests
	ConnectionShare      connlimit.Capacity
}

// AllocateResources divides descriptors and memory between clients and nodes, requests and responses. It returns an
// error where they are too few.
func (c *Config) AllocateResources(limits ResourceLimits) error {
	switch {
	case c.MaxDescriptors < MinDescriptors:
		return fmt.Errorf("limits: sockets cannot be %d", c.MaxDescriptors)
	case c.MemoryBytes < MinMemoryBytes:
		return fmt.Errorf("limits: memory_mb cannot be %d", c.MemoryBytes/bytesPerMB)
	case c.Cores <= 0:
		return fmt.Errorf("limits: cores cannot be %v", c.Cores)
	}
	c.MaxInFlight = min(limits.MaxInFlight, c.MemoryBytes/bytesPerRequest)
	toNodes := (c.MaxDescriptors - reservedDescriptors) / 2
	c.MaxClients = c.MaxDescriptors - reservedDescriptors - toNodes
	c.RequestBudgetBytes = c.MemoryBytes / budgetDivisor
	c.ResponseBudgetBytes = c.MemoryBytes / budgetDivisor
	longest := max(minLongestDeadline, longestDeadline(&c.Policy))
	c.Upstream = upstream.Limits{
		MaxPerNode:     limits.ConnectionsPerNode,
		MaxConnections: toNodes,
		MaxPipelined:   limits.StreamsPerConnection,
		ConnectTimeout: limits.ConnectTimeout,
		IdleTimeout:    limits.NodeIdleTimeout / 2, // well before the node closes it
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
