package policy

import (
	"fmt"
	"slices"
	"time"
)

// Idempotency says whether a request of a class may be repeated.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // servers in the same dedup scope drop repeats within the class's window
	NotIdempotent                        // must never run twice
)

// DedupScope says which servers deduplicate keyed requests together.
type DedupScope uint8

// The scopes in which servers deduplicate.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey: how long servers drop repeats
	LatencyObjective time.Duration // an answer within it earns the full PriorityWeight
	Deadline         time.Duration // how long a client waits across all its attempts
	PriorityWeight   float64       // requests with a low weight are rejected first when load is shed
	LateWeightShare  float64       // share of PriorityWeight for an answer after LatencyObjective and before Deadline
	Streamed         bool
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all proxies; 0 for no limit
}

// LoadReportMode says how servers report their load.
type LoadReportMode uint8

// The modes of load reports.
const (
	LoadReportNone LoadReportMode = iota
	LoadReportInResponse
	LoadReportByHealthCheck
)

// Limits restrict what a Balancer may do.
type Limits struct {
	MaxAttempts       int
	AllowHedging      bool // a request may have two attempts in flight at once
	AllowCancel       bool
	AllowHealthChecks bool
	MaxRetryAfter     time.Duration // 0: rejected clients get no Retry-After
}

// Rules are bounds that no decision may violate. No decision uses ResponseGrace, DrainGrace and OverloadWindow, because
// requests end by their deadline and draining servers get no requests; tests and simulations check them.
type Rules struct {
	ResponseGrace    time.Duration // how long after its deadline a final answer may still be given
	MaxPollInterval  time.Duration // changes of the endpoint list count as known after this time without a call for it
	DrainGrace       time.Duration // how long requests may still be sent to a draining server
	SlowStartShare   float64       // capacity of a server that has just started, as a share of its full capacity
	SlowStartWindow  time.Duration // time after which a started server has its full capacity
	OverloadMultiple float64       // a warming server given more than this multiple of its present capacity collapses
	OverloadWindow   time.Duration // time over which OverloadMultiple is measured
}

// Costs are the costs of serving a request, as shares of its priority weight.
type Costs struct {
	OriginFetch float64 // a fetch from the origin
	CrossZone   float64 // an attempt in another zone
	Handshake   float64 // a connection that must be opened
	HealthCheck float64
}

// Settings configure a Balancer for one proxy of a deployment. No decision uses LoadReports, OriginKind, CacheAside,
// Class.Streamed, Limits.AllowHealthChecks and Costs.HealthCheck, which only describe the deployment.
type Settings struct {
	ProxyCount           int // proxies in this tier
	ProxyIndex           int // index of this proxy
	Zones                []string
	Zone                 int // this proxy's zone, an index into Zones
	MachineKinds         []string
	Classes              []Class
	Tenants              []Tenant
	OverQuotaFactor      float64 // multiplies the priority weight of a request over its tenant's quota
	EndpointsOnRequest   bool    // the endpoint list is sent only after a Subscribe action
	RegisteredWeights    bool    // Endpoint.Weight is a registered size
	CacheAside           bool    // the balancer forwards a miss to the origin
	OriginKind           int     // machine kind of the origin with CacheAside, else -1
	LoadReports          LoadReportMode
	Limits               Limits
	Rules                Rules
	Costs                Costs
	EventInterval        time.Duration // minimum time between two batches of events
	ConnectionsPerServer float64       // connections that each server keeps for this proxy; 0 for no bound
}

// validate returns an error that names the invalid setting, or nil if all settings are valid.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case s.Zone < 0 || len(s.Zones) > 0 && s.Zone >= len(s.Zones):
		return fmt.Errorf("settings: Zone %d is out of range", s.Zone)
	case s.Rules.hasNegativeDuration():
		return fmt.Errorf("settings: Rules has a negative duration")
	case s.EventInterval < 0 || s.Limits.MaxRetryAfter < 0:
		return fmt.Errorf("settings: EventInterval or Limits.MaxRetryAfter is negative")
	case s.Limits.MaxAttempts < 0:
		return fmt.Errorf("settings: Limits.MaxAttempts is negative")
	}
	if err := s.validateClasses(); err != nil {
		return err
	}
	for i, t := range s.Tenants {
		if slices.ContainsFunc(s.Tenants[:i], func(o Tenant) bool { return o.Name == t.Name }) {
			return fmt.Errorf("settings: Tenants[%d] has the name %q of another tenant", i, t.Name)
		}
	}
	return nil
}

func (s *Settings) validateClasses() error {
	for i, c := range s.Classes {
		isSame := func(o Class) bool { return o.Name == c.Name }
		switch {
		case c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0:
			return fmt.Errorf("settings: Classes[%d] has a negative duration", i)
		case c.Deadline == 0:
			return fmt.Errorf("settings: Classes[%d] has no deadline", i)
		case c.Name != "" && slices.ContainsFunc(s.Classes[:i], isSame):
			return fmt.Errorf("settings: Classes[%d] has the name %q of another class", i, c.Name)
		}
	}
	return nil
}

func (r *Rules) hasNegativeDuration() bool {
	return min(r.SlowStartWindow, r.DrainGrace, r.ResponseGrace, r.OverloadWindow, r.MaxPollInterval) < 0
}
