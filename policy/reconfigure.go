package policy

import (
	"errors"
	"slices"
)

// ErrImmutableSetting is returned for settings that change a field that is fixed when a Balancer is created.
var ErrImmutableSetting = errors.New("settings: Zones, Zone, MachineKinds, EndpointsOnRequest, CacheAside, OriginKind" +
	" and LoadReports cannot be changed while in use")

// Reconfigure applies other settings to requests that arrive from now on. An open request keeps the settings that it
// arrived under: its class, its limits on attempts and its dedup window. Estimates of servers are kept; estimates by
// class are matched by the class's name. If the settings are invalid, or would change what the indices of servers refer
// to ([ErrImmutableSetting]), it returns an error and changes nothing.
func (b *Balancer) Reconfigure(next Settings) error {
	if err := next.validate(); err != nil {
		return err
	}
	if next.changesImmutable(b.settings) {
		return ErrImmutableSetting
	}
	// The last index is for classes that were removed while requests of them are open.
	removedClass := len(next.Classes)
	oldIndexes := slices.Repeat([]int{-1}, removedClass+1) // by new index
	newIndexes := slices.Repeat([]int{removedClass}, len(b.failureRates))
	for i := range next.Classes {
		hasSameName := func(c Class) bool { return c.Name == next.Classes[i].Name }
		oldIndexes[i] = slices.IndexFunc(b.settings.Classes, hasSameName)
		if oldIndexes[i] >= 0 {
			newIndexes[oldIndexes[i]] = i
		}
	}
	b.failureRates = reorderByClass(b.failureRates, oldIndexes)
	b.healthyFailureRates = reorderByClass(b.healthyFailureRates, oldIndexes)
	for _, s := range b.servers {
		s.suspicions = reorderByClass(s.suspicions, oldIndexes)
	}
	for _, r := range b.requests {
		r.Class = newIndexes[r.Class]
	}
	b.settings = &next
	b.zonalHomes = b.prefersZonalHomes()
	return nil
}

// changesImmutable reports whether s differs from old in a field that is fixed when a Balancer is created.
func (s *Settings) changesImmutable(old *Settings) bool {
	return !slices.Equal(s.Zones, old.Zones) ||
		s.Zone != old.Zone ||
		!slices.Equal(s.MachineKinds, old.MachineKinds) ||
		s.EndpointsOnRequest != old.EndpointsOnRequest ||
		s.CacheAside != old.CacheAside ||
		s.OriginKind != old.OriginKind ||
		s.LoadReports != old.LoadReports
}

// reorderByClass returns per-class values in the order of the new classes: oldIndexes has the old index of each class,
// -1 for a new one.
func reorderByClass[T any](values []T, oldIndexes []int) []T {
	out := make([]T, len(oldIndexes))
	for i, old := range oldIndexes {
		if old >= 0 {
			out[i] = values[old]
		}
	}
	return out
}
