package policy

import (
	"math"

	"mulleinpier/internal/bloom"
)

const (
	// rendezvousCandidates is how many servers, the first by rendezvous hash, are considered for a key besides those
	// whose filters contain it. More would scatter copies where many proxies see few requests each.
	rendezvousCandidates = 4

	// zonalHomeMissShare is the additional share of reads that miss at a home that only its own zone uses.
	zonalHomeMissShare = 0.22

	// maxKindWeight bounds the rendezvous weight of a fast machine kind, as a multiple of the fleet's mean.
	maxKindWeight = 8
)

// The groups of home servers. With zonal homes there are two, otherwise all homes are in the first.
const (
	homesInOwnZone = iota
	homesElsewhere
	homeGroups
)

// homeServers are the first servers for a key by rendezvous hash, best first.
type homeServers struct {
	servers [homeGroups][rendezvousCandidates]*server
	scores  [homeGroups][rendezvousCandidates]float64
}

// insert adds a server to a group if it is among the first limit servers by score.
func (h *homeServers) insert(group, limit int, s *server, score float64) {
	if score <= h.scores[group][limit-1] { // scores are in descending order, so most servers are discarded here
		return
	}
	for i := range limit {
		if score > h.scores[group][i] {
			s, h.servers[group][i] = h.servers[group][i], s
			score, h.scores[group][i] = h.scores[group][i], score
		}
	}
}

// firstMissProbability is the probability that the first server of a group does not hold a key that no filter contains.
func (h *homeServers) firstMissProbability(group int) float64 {
	miss := h.servers[group][0].filter.FalsePositiveRate()
	isHomeOfOneZone := h.scores[group][0] < h.scores[1-group][0] // the key's best home overall is in the other group
	if isHomeOfOneZone {
		miss += (1 - miss) * zonalHomeMissShare
	}
	return miss
}

// addHome adds a server to the homes of a request's key if its score is high enough.
func (b *Balancer) addHome(homes *homeServers, r *request, s *server) {
	score := b.rendezvousWeight(s) / -math.Log(bloom.UnitInterval(bloom.Mix(r.keyHash^s.nameHash)))
	group, limit := homesInOwnZone, rendezvousCandidates
	if b.zonalHomes {
		limit /= 2
		if s.Zone != b.settings.Zone {
			group = homesElsewhere
		}
	}
	homes.insert(group, limit, s, score)
}

// prefersZonalHomes reports whether keys should have a home in each zone instead of a single one. A single home needs
// the fewest fetches, but a proxy of a large fleet has connections to few servers, so that most requests would cost a
// handshake and a zone crossing. With zonal homes the proxy can keep connections to the homes in its own zone. If
// clients are spread very unequally over the zones, the estimate of misses is too low, and requests go to other zones.
func (b *Balancer) prefersZonalHomes() bool {
	zones := float64(len(b.settings.Zones))
	connections := b.settings.ConnectionsPerServer
	if zones < 2 || connections <= 0 {
		return false
	}
	costs := &b.settings.Costs
	saved := costs.Handshake*max(0, 1-connections) + costs.CrossZone*(1-1/zones)
	return saved > costs.OriginFetch*zonalHomeMissShare
}

// rendezvousWeight returns a server's weight in the rendezvous hash: its registered size, or the estimated speed of its
// machine kind. With equal weights the slow kinds would always be full, and the requests that overflow from them would
// load the origin.
func (b *Balancer) rendezvousWeight(s *server) float64 {
	if b.settings.RegisteredWeights && s.Weight > 0 {
		return s.Weight
	}
	if s.MachineKind < len(b.rendezvousWeightByKind) {
		return b.rendezvousWeightByKind[s.MachineKind]
	}
	return 1
}

// updateRendezvousWeights sets the weights of the machine kinds from their estimated processing times. It runs only as
// part of the periodic maintenance because each change of a weight moves keys.
func (b *Balancer) updateRendezvousWeights() {
	for kind, time := range b.processingTimeByKind {
		b.rendezvousWeightByKind[kind] = b.processingTime / max(time, b.processingTime/maxKindWeight)
	}
}
