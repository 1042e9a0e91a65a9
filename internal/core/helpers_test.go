package core

import (
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// oneNodeConfig configures a core for one node and one class. Its timeouts are too long to affect a test.
func oneNodeConfig(nodeAddress string, class policy.Class) *Config {
	class.LatencyObjective = 20 * time.Second
	class.Deadline = time.Minute
	class.PriorityWeight = 1
	return &Config{
		ListSources:    []discovery.SourceConfig{{StaticAddresses: nodeAddress}},
		InitialList:    discovery.StaticList(nodeAddress),
		ReconcileLists: true,
		Membership:     membership.DefaultLimits,
		MaxInFlight:    100,
		Policy: policy.Settings{
			ProxyCount:    1,
			OriginKind:    -1,
			EventInterval: 5 * time.Millisecond,
			Limits:        policy.Limits{MaxAttempts: 1},
			Classes:       []policy.Class{class},
		},
		Upstream: upstream.Limits{
			MaxPerNode:     4,
			MaxConnections: 4,
			MaxPipelined:   64,
			ConnectTimeout: time.Minute,
			IdleTimeout:    time.Minute,
			SilenceTimeout: time.Minute,
		},
	}
}
