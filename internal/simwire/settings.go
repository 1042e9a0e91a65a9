package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"mulleinpier/policy"
)

// wireSettings has the simulator's settings that are used here; other keys are ignored. Times are in milliseconds.
type wireSettings struct {
	ProxyCount      int             `json:"NInstances"`
	ProxyIndex      int             `json:"Me"`
	Zone            int             `json:"MyZone"`
	Zones           []string        `json:"Dcs"`
	MachineKinds    []string        `json:"Skus"`
	EventInterval   wireMillis      `json:"Quantum"`
	OverQuotaFactor *float64        `json:"OverShareWorth"`
	EndpointMode    string          `json:"RegistryMode"`
	WeightKind      string          `json:"WeightKind"`
	Cache           wireCache       `json:"FamilyInfo"`
	LoadReports     wireLoadReports `json:"Telemetry"`
	Classes         []wireClass     `json:"Services"`
	Tenants         []wireTenant    `json:"Realms"`
	Limits          wireLimits      `json:"Limits"`
	Costs           wireCosts       `json:"Charges"`
	Rules           wireRules       `json:"Obligations"`
}

type wireCache struct {
	Mode       string `json:"Mode"`
	OriginKind *int   `json:"OriginKind"`
}

type wireLoadReports struct {
	Mode string `json:"How"`
}

type wireClass struct {
	Name             string     `json:"Name"`
	Idempotency      string     `json:"Effect"`
	DedupScope       string     `json:"DedupScope"`
	LatencyObjective wireMillis `json:"Aim"`
	Deadline         wireMillis `json:"HardLimit"`
	DedupWindow      wireMillis `json:"Window"`
	PriorityWeight   float64    `json:"Importance"`
	LateWeightShare  float64    `json:"LateShare"`
	Streamed         bool       `json:"Streamed"`
}

type wireTenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"QuotaRps"`
}

type wireLimits struct {
	MaxAttempts       int        `json:"MaxAttempts"`
	AllowHedging      bool       `json:"MayDuplicate"`
	AllowCancel       bool       `json:"Cancel"`
	AllowHealthChecks bool       `json:"Probes"`
	SendRetryAfter    bool       `json:"RetryAfter"`
	MaxRetryAfter     wireMillis `json:"MaxRetryAfter"`
}

type wireCosts struct {
	OriginFetch float64 `json:"Origin"`
	CrossZone   float64 `json:"CrossZone"`
	HealthCheck float64 `json:"Probe"`
	Handshake   float64 `json:"Handshake"`
}

type wireRules struct {
	ResponseGrace    wireMillis `json:"AnswerSlack"`
	MaxPollInterval  wireMillis `json:"MustAskIn"`
	DrainGrace       wireMillis `json:"StopSendingWithin"`
	SlowStartShare   float64    `json:"StartCapacity"`
	SlowStartWindow  wireMillis `json:"RampTime"`
	OverloadMultiple float64    `json:"TipMultiple"`
	OverloadWindow   wireMillis `json:"Fall"`
}

var (
	idempotencyNames = map[string]policy.Idempotency{
		"safe":   policy.Idempotent,
		"keyed":  policy.IdempotentWithKey,
		"unsafe": policy.NotIdempotent,
	}
	dedupScopeNames = map[string]policy.DedupScope{
		"":     policy.DedupScopeAll,
		"all":  policy.DedupScopeAll,
		"zone": policy.DedupScopeZone,
		"cell": policy.DedupScopeCell,
	}
	loadReportNames = map[string]policy.LoadReportMode{
		"":        policy.LoadReportNone,
		"none":    policy.LoadReportNone,
		"answers": policy.LoadReportInResponse,
		"probe":   policy.LoadReportByHealthCheck,
	}
)

const noOrigin = -1 // Settings.OriginKind if no machine kind is the origin

// ParseSettings parses the JSON settings of an instance.
func ParseSettings(text string) (policy.Settings, error) {
	var in wireSettings
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := policy.Settings{
		ProxyCount:         in.ProxyCount,
		ProxyIndex:         in.ProxyIndex,
		Zones:              in.Zones,
		Zone:               in.Zone,
		MachineKinds:       in.MachineKinds,
		OverQuotaFactor:    1,
		EndpointsOnRequest: in.EndpointMode == "on_request",
		RegisteredWeights:  in.WeightKind == "nominal" || in.WeightKind == "rough",
		CacheAside:         in.Cache.Mode == "aside",
		OriginKind:         noOrigin,
		Limits:             in.Limits.limits(),
		Rules:              in.Rules.rules(),
		Costs:              in.Costs.costs(),
		EventInterval:      time.Duration(in.EventInterval),
	}
	if in.OverQuotaFactor != nil {
		s.OverQuotaFactor = *in.OverQuotaFactor
	}
	if s.CacheAside && in.Cache.OriginKind != nil {
		s.OriginKind = *in.Cache.OriginKind
	}
	var ok bool
	if s.LoadReports, ok = loadReportNames[in.LoadReports.Mode]; !ok {
		return s, fmt.Errorf("settings: Telemetry.How cannot be %q", in.LoadReports.Mode)
	}
	for i := range in.Classes {
		class, err := in.Classes[i].class(i)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range in.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s, nil
}

func (in *wireLimits) limits() policy.Limits {
	limits := policy.Limits{
		MaxAttempts:       in.MaxAttempts,
		AllowHedging:      in.AllowHedging,
		AllowCancel:       in.AllowCancel,
		AllowHealthChecks: in.AllowHealthChecks,
	}
	if limits.MaxAttempts == 0 { // not set: a single attempt
		limits.MaxAttempts = 1
	}
	if in.SendRetryAfter {
		limits.MaxRetryAfter = time.Duration(in.MaxRetryAfter)
	}
	return limits
}

func (in *wireRules) rules() policy.Rules {
	return policy.Rules{
		ResponseGrace:    time.Duration(in.ResponseGrace),
		MaxPollInterval:  time.Duration(in.MaxPollInterval),
		DrainGrace:       time.Duration(in.DrainGrace),
		SlowStartShare:   in.SlowStartShare,
		SlowStartWindow:  time.Duration(in.SlowStartWindow),
		OverloadMultiple: in.OverloadMultiple,
		OverloadWindow:   time.Duration(in.OverloadWindow),
	}
}

func (in *wireCosts) costs() policy.Costs {
	return policy.Costs{
		OriginFetch: in.OriginFetch,
		CrossZone:   in.CrossZone,
		Handshake:   in.Handshake,
		HealthCheck: in.HealthCheck,
	}
}

// class returns the class; index is its position in Services, for error messages.
func (in *wireClass) class(index int) (policy.Class, error) {
	class := policy.Class{
		Name:             in.Name,
		DedupWindow:      time.Duration(in.DedupWindow),
		LatencyObjective: time.Duration(in.LatencyObjective),
		Deadline:         time.Duration(in.Deadline),
		PriorityWeight:   in.PriorityWeight,
		LateWeightShare:  in.LateWeightShare,
		Streamed:         in.Streamed,
	}
	if class.LatencyObjective == 0 { // not set: all answers before the deadline are worth the same
		class.LatencyObjective = class.Deadline
	}
	var ok bool
	if class.Idempotency, ok = idempotencyNames[in.Idempotency]; !ok {
		return class, fmt.Errorf("settings: Services[%d].Effect cannot be %q", index, in.Idempotency)
	}
	if class.DedupScope, ok = dedupScopeNames[in.DedupScope]; !ok {
		return class, fmt.Errorf("settings: Services[%d].DedupScope cannot be %q", index, in.DedupScope)
	}
	return class, nil
}
