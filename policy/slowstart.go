package policy

const (
	// slowStartMargin exceeds a warming server's due share: where most servers warm up, the warm ones overflow first.
	slowStartMargin = 1.4

	// maxSlowStartTokens is how many sends an unused allowance may grow to.
	maxSlowStartTokens = 2.0
)

// capacityShare is the share of its full capacity that a server has at least: less than 1 while it warms up.
func (b *Balancer) capacityShare(s *server) float64 {
	age, window := b.now-s.StartedAt, b.settings.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= window {
		return 1
	}
	initial := b.settings.Rules.SlowStartShare
	return initial + (1-initial)*max(float64(age), 0)/float64(window)
}

// grantSlowStartTokens gives each warming server its due share of a request that arrives: its capacity over the
// fleet's. As every proxy does so, no warming server gets more of its present capacity than the fleet as a whole.
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
		granted := slowStartMargin * b.slowStartPart(s) * b.capacityShare(s) / fleet
		s.slowStartTokens = min(s.slowStartTokens+granted, maxSlowStartTokens)
	}
}

// slowStartPart is the part of a server's due share that this proxy grants. With zonal homes the proxies of the
// server's own zone grant all of it, as far as that pushes no server over if all clients come to one zone.
func (b *Balancer) slowStartPart(s *server) float64 {
	if !b.zonalHomes {
		return 1
	}
	if s.Zone != b.settings.Zone {
		return 0
	}
	return min(float64(len(b.settings.Zones)), max(1, b.settings.Rules.OverloadMultiple/slowStartMargin))
}
