package config

import (
	"slices"
	"time"

	"mulleinpier/internal/membership"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/proxy"
	"mulleinpier/policy"
)

// Bounds of settings.
const (
	maxDuration    = time.Hour
	maxMemoryMB    = 1 << 20
	maxInFlight    = 1 << 20
	maxDescriptors = 1 << 20
	maxPin         = 24 * time.Hour
	bytesPerMB     = 1 << 20
)

// noOriginKind tells policy that no node is the origin itself.
const noOriginKind = -1

// readIdentity reads the settings outside of all tables (name, address, zone, the zones and types of nodes), and sets
// those that the file has no keys for.
func (r *reader) readIdentity() {
	p, top := r.config.Proxy, r.top
	p.ReconcileLists, p.Membership = true, membership.DefaultLimits
	p.Name = top.text("name", defaultName, printable)
	p.Listen = top.text("listen", "", isAddress)
	if !top.has("listen") {
		r.errors.add("listen", "is missing: want HOST:PORT")
	}
	p.Policy = policy.Settings{
		ProxyCount:      1,
		OriginKind:      noOriginKind,
		OverQuotaFactor: 0.2,
		LoadReports:     policy.LoadReportInResponse,
		EventInterval:   5 * time.Millisecond,
	}
	settings := &p.Policy
	settings.Zones = top.texts("zones", []string{}, printable)
	settings.MachineKinds = top.texts("types", []string{}, printable)
	r.errors.addDuplicates("zones", settings.Zones)
	r.errors.addDuplicates("types", settings.MachineKinds)
	zone := top.text("zone", "", anything)
	if zone == "" {
		return
	}
	settings.Zone = slices.Index(settings.Zones, zone)
	if settings.Zone < 0 {
		r.errors.add("zone", "cannot be %q: want one of zones %q", zone, settings.Zones)
		settings.Zone = 0
	}
}

// readLimits reads the table limits. It returns those that AllocateResources divides.
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

// readRules reads the table rules.
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

// readCosts reads the table prices.
func (r *reader) readCosts() {
	t := r.top.table("prices")
	r.config.Proxy.Policy.Costs = policy.Costs{
		OriginFetch: t.number("origin", 0.15, 0, 10),
		CrossZone:   t.number("cross_zone", 0.02, 0, 10),
	}
	t.rejectUnknown()
}

// readOverload reads the table service: how service is reduced under overload.
func (r *reader) readOverload() {
	t := r.top.table("service")
	c := &r.config.Proxy.Overload
	c.Enabled = t.boolean("reduce", true)
	c.Timings = overload.DefaultTimings
	c.Timings.ConfirmFor = t.duration("confirm", c.Timings.ConfirmFor, 0, time.Minute)
	c.Timings.MinStay = t.duration("stay", c.Timings.MinStay, time.Second, maxDuration)
	c.Timings.MaxStay = t.duration("most_stay", c.Timings.MaxStay, time.Second, maxDuration)
	if c.Timings.MaxStay < c.Timings.MinStay {
		t.add("most_stay", "cannot be %v: want no less than stay, %v", c.Timings.MaxStay, c.Timings.MinStay)
	}
	level := t.text("pin", "", oneOf(overload.LevelNames()...))
	until := t.text("pin_until", "", anything)
	switch {
	case t.has("pin") != t.has("pin_until"):
		t.add("pin", "goes with %s: a pin has an end", t.key("pin_until"))
	case t.has("pin"):
		end, err := time.Parse(time.RFC3339, until)
		if err != nil || time.Until(end) > maxPin {
			t.add("pin_until", "cannot be %q: want a time as 2006-01-02T15:04:05Z, within %v", until, maxPin)
		}
		c.PinnedLevel, _ = overload.ParseLevel(level) // it has been checked
		c.PinnedUntil = end
	}
	t.rejectUnknown()
}
