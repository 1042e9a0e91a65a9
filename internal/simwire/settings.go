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
	effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	groups  = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
		"cell": policy.GroupCell}
	reports = map[string]policy.ReportMode{"": policy.ReportNone, "none": policy.ReportNone,
		"answers": policy.ReportAnswers, "probe": policy.ReportProbe}
)

// ParseSettings reads the settings of an instance.
func ParseSettings(text string) (policy.Settings, error) {
	var in setup
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	o := in.Obligations
	s := policy.Settings{
		Proxies: in.NInstances, Proxy: in.Me, Zones: in.Dcs, Zone: in.MyZone, Kinds: in.Skus,
		OverShare: 1, AskList: in.RegistryMode == "on_request",
		Weighted: in.WeightKind == "nominal" || in.WeightKind == "rough",
		Aside:    in.FamilyInfo.Mode == "aside", Origin: -1, Tick: millis(in.Quantum),
		Limits: policy.Limits{MaxAttempts: in.Limits.MaxAttempts, Duplicates: in.Limits.MayDuplicate,
			Cancel: in.Limits.Cancel, Probes: in.Limits.Probes},
		Rules: policy.Rules{AnswerSlack: millis(o.AnswerSlack), AskWithin: millis(o.MustAskIn),
			DrainGrace: millis(o.StopSendingWithin), ColdShare: o.StartCapacity, ColdRamp: millis(o.RampTime),
			FallMultiple: o.TipMultiple, FallTime: millis(o.Fall)},
	}
	s.Prices = policy.Prices{Origin: in.Charges.Origin, CrossZone: in.Charges.CrossZone, Probe: in.Charges.Probe,
		Handshake: in.Charges.Handshake}
	if s.Limits.MaxAttempts == 0 { // none is told: no more than the one that serves
		s.Limits.MaxAttempts = 1
	}
	if in.OverShareWorth != nil {
		s.OverShare = *in.OverShareWorth
	}
	if s.Aside && in.FamilyInfo.OriginKind != nil {
		s.Origin = *in.FamilyInfo.OriginKind
	}
	if in.Limits.RetryAfter {
		s.Limits.MaxRetryAfter = millis(in.Limits.MaxRetryAfter)
	}
	var ok bool
	if s.Reports, ok = reports[in.Telemetry.How]; !ok {
		return s, fmt.Errorf("settings: Telemetry.How cannot be %q", in.Telemetry.How)
	}
	for i, c := range in.Services {
		class := policy.Class{Name: c.Name, Window: millis(c.Window), Aim: millis(c.Aim),
			Deadline: millis(c.HardLimit), Worth: c.Importance, Late: c.LateShare, Streamed: c.Streamed}
		if class.Aim == 0 { // none is told: any answer in time is as good
			class.Aim = class.Deadline
		}
		if class.Effect, ok = effects[c.Effect]; !ok {
			return s, fmt.Errorf("settings: Services[%d].Effect cannot be %q", i, c.Effect)
		}
		if class.Group, ok = groups[c.DedupScope]; !ok {
			return s, fmt.Errorf("settings: Services[%d].DedupScope cannot be %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range in.Realms {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	return s, nil
}
