package policy

const (
	// slowStartMargin is the multiple of its fair share that a warming server may get. It is above 1 because the warm
	// servers are overloaded first where most servers are warming up.
	slowStartMargin = 1.4

	// maxSlowStartTokens is the highest number of sends that an unused allowance accumulates.
	maxSlowStartTokens = 2.0
)

// capacityShare returns the share of its full capacity that a server has at least. It is less than 1 while the server
// is warming up.
func (b *Balancer) capacityShare(s *server) float64 {
	age, window := b.now-s.StartedAt, b.settings.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= window {
		return 1
	}
	initial := b.settings.Rules.SlowStartShare
	return initial + (1-initial)*max(float64(age), 0)/float64(window)
}

// grantSlowStartTokens grants each server its fair share of an arriving request, which is its capacity divided by the
// fleet's, times slowStartMargin. Since every proxy does so, the load of a warming server relative to its present
// capacity exceeds that of the whole fleet at most by the margin.
func (b *Balancer) grantSlowStartTokens() {
	fleet, anyWarmingUp := 0.0, false
	for _, s := range b.serving {
		share := b.capacityShare(s)
		fleet += share
		anyWarmingUp = anyWarmingUp || share < 1
	}
	if !anyWarmingUp {
		return
	}
	for _, s := range b.serving {
		granted := slowStartMargin * b.slowStartMultiple(s) * b.capacityShare(s) / fleet
		s.slowStartTokens = min(s.slowStartTokens+granted, maxSlowStartTokens)
	}
}

// slowStartMultiple returns the multiple of a server's fair share that this proxy grants. With zonal homes only proxies
// in the server's own zone grant tokens, so they grant the other zones' part as well, limited so that the server is not
// overloaded if all clients are in one zone.
func (b *Balancer) slowStartMultiple(s *server) float64 {
	if !b.zonalHomes {
		return 1
	}
	if s.Zone != b.settings.Zone {
		return 0
	}
	return min(float64(len(b.settings.Zones)), max(1, b.settings.Rules.OverloadMultiple/slowStartMargin))
}
