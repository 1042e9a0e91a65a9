package config

import (
	"time"

	"mulleinpier/internal/proxy"
	"mulleinpier/policy"
)

// The upper bounds of several settings.
const (
	maxDuration    = time.Hour
	maxMemoryMB    = 1 << 20
	maxInFlight    = 1 << 20
	maxDescriptors = 1 << 20
	bytesPerMB     = 1 << 20
)

// readLimits reads the table limits. It returns the limits by which AllocateResources divides descriptors and memory.
func (r *reader) readLimits() proxy.ResourceLimits {
	p := r.config.Proxy
	t := r.top.table("limits")
	p.Cores = t.number("cores", 1, 0.01, 1024)
	p.MemoryBytes = t.integer("memory_mb", 64, proxy.MinMemoryBytes/bytesPerMB, maxMemoryMB) * bytesPerMB
	p.MaxDescriptors = t.integer("sockets", 1024, proxy.MinDescriptors, maxDescriptors)
	limits := proxy.ResourceLimits{
		ConnectTimeout:       t.duration("connect_timeout", 200*time.Millisecond, time.Millisecond, time.Minute),
		NodeIdleTimeout:      t.duration("connection_idle", 15*time.Second, 10*time.Millisecond, maxDuration),
		StreamsPerConnection: t.integer("streams", 128, 1, 1<<16),
		ConnectionsPerNode:   t.integer("connections_per_node", 4, 1, 1<<16),
		MaxInFlight:          t.integer("held", 1000, 1, maxInFlight),
	}
	p.Policy.Limits = policy.Limits{
		MaxAttempts:   t.integer("attempts", 4, 1, 16),
		AllowHedging:  t.boolean("second_copies", true),
		AllowCancel:   true,
		MaxRetryAfter: t.duration("retry_after", 1200*time.Millisecond, 0, time.Minute),
	}
	t.rejectUnknown()
	return limits
}

func (r *reader) readRules() {
	t := r.top.table("rules")
	r.config.Proxy.Policy.Rules = policy.Rules{
		DrainGrace:       t.duration("drain_grace", 500*time.Millisecond, 0, time.Minute),
		ResponseGrace:    t.duration("answer_slack", 20*time.Millisecond, 0, time.Minute),
		SlowStartShare:   t.number("cold_share", 0.3, 0.01, 1),
		SlowStartWindow:  t.duration("cold_ramp", 8600*time.Millisecond, 0, maxDuration),
		OverloadMultiple: t.number("fall_multiple", 3, 1, 100),
		OverloadWindow:   t.duration("fall_time", 2*time.Second, 0, maxDuration),
		MaxPollInterval:  10 * time.Second,
	}
	t.rejectUnknown()
}

// readCosts reads the table prices: the costs of an origin fetch and of an attempt in another zone.
func (r *reader) readCosts() {
	t := r.top.table("prices")
	r.config.Proxy.Policy.Costs = policy.Costs{
		OriginFetch: t.number("origin", 0.15, 0, 10),
		CrossZone:   t.number("cross_zone", 0.02, 0, 10),
	}
	t.rejectUnknown()
}
