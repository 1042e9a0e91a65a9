package simwire

import (
	"encoding/json"
	"fmt"

	"mulleinpier/policy"
)

// setup holds the settings that are used; unknown keys are passed over.
type setup struct {
	NInstances, Me, MyZone int
	Dcs, Skus              []string
	Quantum                float64
	OverShareWorth         *float64
	RegistryMode           string
	WeightKind             string
	FamilyInfo             struct {
		Mode       string
		OriginKind *int
	}
	Telemetry struct{ How string }
	Services  []struct {
		Name, Effect, DedupScope                      string
		Aim, HardLimit, Window, Importance, LateShare float64
		Streamed                                      bool
	}
	Realms []struct {
		Name     string
		QuotaRps float64
	}
	Limits struct {
		MaxAttempts                              int
		MayDuplicate, Cancel, Probes, RetryAfter bool
		MaxRetryAfter                            float64
	}
	Charges     struct{ Origin, CrossZone, Probe, Handshake float64 }
	Obligations struct {
		AnswerSlack, MustAskIn, StopSendingWithin  float64
		StartCapacity, RampTime, TipMultiple, Fall float64
	}
}

var (
	effects = map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentWithKey, "unsafe": policy.NotIdempotent}
	groups  = map[string]policy.DedupScope{"": policy.DedupScopeAll, "all": policy.DedupScopeAll, "zone": policy.DedupScopeZone,
		"cell": policy.DedupScopeCell}
	reports = map[string]policy.LoadReportMode{"": policy.LoadReportNone, "none": policy.LoadReportNone,
		"answers": policy.LoadReportInResponse, "probe": policy.LoadReportByHealthCheck}
)

// ParseSettings reads the settings of an instance.
func ParseSettings(text string) (policy.Settings, error) {
	var in setup
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	o := in.Obligations
	s := policy.Settings{
		ProxyCount: in.NInstances, ProxyIndex: in.Me, Zones: in.Dcs, Zone: in.MyZone, MachineKinds: in.Skus,
		OverQuotaFactor: 1, EndpointsOnRequest: in.RegistryMode == "on_request",
		RegisteredWeights: in.WeightKind == "nominal" || in.WeightKind == "rough",
		CacheAside:        in.FamilyInfo.Mode == "aside", OriginKind: -1, EventInterval: millis(in.Quantum),
		Limits: policy.Limits{MaxAttempts: in.Limits.MaxAttempts, AllowHedging: in.Limits.MayDuplicate,
			AllowCancel: in.Limits.Cancel, AllowHealthChecks: in.Limits.Probes},
		Rules: policy.Rules{ResponseGrace: millis(o.AnswerSlack), MaxPollInterval: millis(o.MustAskIn),
			DrainGrace: millis(o.StopSendingWithin), SlowStartShare: o.StartCapacity, SlowStartWindow: millis(o.RampTime),
			OverloadMultiple: o.TipMultiple, OverloadWindow: millis(o.Fall)},
	}
	s.Costs = policy.Costs{OriginFetch: in.Charges.Origin, CrossZone: in.Charges.CrossZone, HealthCheck: in.Charges.Probe,
		Handshake: in.Charges.Handshake}
	if s.Limits.MaxAttempts == 0 { // none is told: no more than the one that serves
		s.Limits.MaxAttempts = 1
	}
	if in.OverShareWorth != nil {
		s.OverQuotaFactor = *in.OverShareWorth
	}
	if s.CacheAside && in.FamilyInfo.OriginKind != nil {
		s.OriginKind = *in.FamilyInfo.OriginKind
	}
	if in.Limits.RetryAfter {
		s.Limits.MaxRetryAfter = millis(in.Limits.MaxRetryAfter)
	}
	var ok bool
	if s.LoadReports, ok = reports[in.Telemetry.How]; !ok {
		return s, fmt.Errorf("settings: Telemetry.How cannot be %q", in.Telemetry.How)
	}
	for i, c := range in.Services {
		class := policy.Class{Name: c.Name, DedupWindow: millis(c.Window), LatencyObjective: millis(c.Aim),
			Deadline: millis(c.HardLimit), PriorityWeight: c.Importance, LateWeightShare: c.LateShare, Streamed: c.Streamed}
		if class.LatencyObjective == 0 { // none is told: any answer in time is as good
			class.LatencyObjective = class.Deadline
		}
		if class.Idempotency, ok = effects[c.Effect]; !ok {
			return s, fmt.Errorf("settings: Services[%d].Effect cannot be %q", i, c.Effect)
		}
		if class.DedupScope, ok = groups[c.DedupScope]; !ok {
			return s, fmt.Errorf("settings: Services[%d].DedupScope cannot be %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range in.Realms {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	return s, nil
}
