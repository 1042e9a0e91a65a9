package simulation

import (
	"time"

	"mulleinpier/policy"
)

// Plan says what is simulated.
type Plan struct {
	Seed         uint64
	Settings     policy.Settings // of each proxy; ProxyIndex and Zone are filled in, ProxyCount if it is 0
	Proxies      int
	Nodes        int
	Node         NodePlan
	Origin       OriginPlan
	EndpointList EndpointListPlan
	Clients      ClientPlan
	MessageDelay time.Duration // of a message between any two
}

// NodePlan describes every node.
type NodePlan struct {
	Workers          int
	ServiceTime      time.Duration // of a worker for one request, when the node is warm
	MaxQueued        int           // requests that may wait
	IdleTTL          time.Duration // after which an unused key is forgotten
	MaxConnections   int           // 0 for any number
	ServiceTimeSigma float64       // standard deviation of the service time's logarithm, 0 for a constant time
}

// OriginPlan describes the one slow origin.
type OriginPlan struct {
	FetchTime        time.Duration
	FetchesPerSecond float64
	MaxQueueTime     time.Duration // a fetch that would wait longer fails
}

// EndpointListPlan describes the service of the endpoint list.
type EndpointListPlan struct {
	CallsPerSecond float64 // that it answers; it drops any more
}

// ClientPlan describes the clients.
type ClientPlan struct {
	RequestsPerSecond float64
	Keys              int       // the n-th is requested about 1/n as often as the first
	ClassShares       []float64 // of requests, by class
	RetryPause        time.Duration
	HotProxyFactor    float64 // load of proxy 0 as a multiple of the mean; 0 for the same as others
	IgnoreRetryAfter  bool    // retry after RetryPause, whatever a rejection advises
}
