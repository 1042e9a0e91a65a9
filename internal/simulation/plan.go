package simulation

import (
	"time"

	"mulleinpier/policy"
)

// Plan describes a simulated fleet.
type Plan struct {
	Seed         uint64
	Settings     policy.Settings // settings of each proxy; New sets ProxyIndex and Zone, and ProxyCount if it is 0
	Proxies      int
	Nodes        int
	Node         NodePlan
	Origin       OriginPlan
	EndpointList EndpointListPlan
	Clients      ClientPlan
	MessageDelay time.Duration // delay of every message
}

// NodePlan describes the nodes, which are all alike.
type NodePlan struct {
	Workers          int
	ServiceTime      time.Duration // time that a worker of a warm node takes for one request
	MaxQueued        int           // requests that may wait for a worker
	IdleTTL          time.Duration // time after which an unused key leaves the cache
	MaxConnections   int           // 0 for no limit
	ServiceTimeSigma float64       // standard deviation of the logarithm of the service time; 0 for a constant time
}

// OriginPlan describes the origin that all nodes share.
type OriginPlan struct {
	FetchTime        time.Duration
	FetchesPerSecond float64
	MaxQueueTime     time.Duration // a fetch that would wait longer fails
}

// EndpointListPlan describes the endpoint list service.
type EndpointListPlan struct {
	CallsPerSecond float64 // calls that the service answers each second, dropping further ones; 0 for no limit
}

// ClientPlan describes the clients.
type ClientPlan struct {
	RequestsPerSecond float64
	Keys              int       // the n-th is requested about 1/n times as often as the first
	ClassShares       []float64 // shares of all requests, by class
	RetryPause        time.Duration
	HotProxyFactor    float64 // load of proxy 0 as a multiple of the mean; 0 for the same load as the others
	IgnoreRetryAfter  bool    // retry after RetryPause, whatever the Retry-After of a rejection
}
