package policy

import (
	"errors"
	"fmt"
	"slices"
)

// ErrImmutableSetting is the error of settings that would change what a Balancer is bound to.
var ErrImmutableSetting = errors.New("settings: Zones, Zone, Kinds, AskList, Aside, Origin and Reports cannot change in service")

// validate names the setting that cannot be meant.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case s.Zone < 0 || len(s.Zones) > 0 && s.Zone >= len(s.Zones):
		return fmt.Errorf("settings: Zone %d is out of range", s.Zone)
	case s.Rules.SlowStartWindow < 0, s.Rules.DrainGrace < 0, s.Rules.ResponseGrace < 0, s.Rules.OverloadWindow < 0,
		s.Rules.MaxPollInterval < 0:
		return fmt.Errorf("settings: Rules has a negative duration")
	case s.EventInterval < 0 || s.Limits.MaxRetryAfter < 0:
		return fmt.Errorf("settings: Tick or Limits.MaxRetryAfter is negative")
	case s.Limits.MaxAttempts < 0:
		return fmt.Errorf("settings: Limits.MaxAttempts is negative")
	}
	for i, c := range s.Classes {
		switch {
		case c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0:
			return fmt.Errorf("settings: Classes[%d] has a negative duration", i)
		case c.Deadline == 0:
			return fmt.Errorf("settings: Classes[%d] has no deadline", i)
		case c.Name != "" && slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }):
			return fmt.Errorf("settings: Classes[%d] is a second %q", i, c.Name)
		}
	}
	for i, t := range s.Tenants {
		if slices.ContainsFunc(s.Tenants[:i], func(o Tenant) bool { return o.Name == t.Name }) {
			return fmt.Errorf("settings: Tenants[%d] is a second %q", i, t.Name)
		}
	}
	return nil
}

// Reconfigure puts other settings into force for what arrives from now on. A
// request that was taken before ends under those that it came with: its class,
// its limits on attempts, its window. What has been learnt of servers stays; what
// was learnt by class follows the class's name. It returns an error, and changes
// nothing, where the settings cannot be meant or would change what the indices
// of servers refer to ([ErrFixed]).
func (b *Balancer) Reconfigure(set Settings) error {
	if err := set.validate(); err != nil {
		return err
	}
	old := b.settings
	if !slices.Equal(set.Zones, old.Zones) || set.Zone != old.Zone || !slices.Equal(set.MachineKinds, old.MachineKinds) ||
		set.EndpointsOnRequest != old.EndpointsOnRequest || set.CacheAside != old.CacheAside || set.OriginKind != old.OriginKind || set.LoadReports != old.LoadReports {
		return ErrImmutableSetting
	}
	// The last place is for classes that are gone while requests of them are open.
	last := len(set.Classes)
	from := slices.Repeat([]int{-1}, last+1) // by new place
	to := slices.Repeat([]int{last}, len(b.failureRates))
	for i := range set.Classes {
		from[i] = slices.IndexFunc(old.Classes, func(c Class) bool { return c.Name == set.Classes[i].Name })
		if from[i] >= 0 {
			to[from[i]] = i
		}
	}
	b.failureRates, b.healthyFailureRates = reorderByClass(b.failureRates, from), reorderByClass(b.healthyFailureRates, from)
	for _, s := range b.servers {
		s.suspicions = reorderByClass(s.suspicions, from)
	}
	for _, r := range b.requests {
		r.Class = to[r.Class]
	}
	b.settings = &set
	b.zonalHomes = b.prefersZonalHomes()
	return nil
}

// reorderByClass returns what is known by class in the order of other classes: from has the old
// place of each, -1 for a new one.
func reorderByClass[T any](in []T, from []int) []T {
	out := make([]T, len(from))
	for i, f := range from {
		if f >= 0 {
			out[i] = in[f]
		}
	}
	return out
}
