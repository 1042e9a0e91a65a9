package policy

import (
	"math"
	"slices"
)

// choice is the best server for a request among those considered so far.
type choice struct {
	server *server
	path   servingPath
	cost   float64 // expected response time plus costs, in seconds
}

// candidates says which servers may be chosen.
type candidates uint8

const (
	preferredCandidates candidates = iota // servers that are neither ejected nor tried before
	allCandidates
)

// chooseServer returns the server with the lowest expected response time for a request, and the path on which it would
// be served. If all servers are ejected or were tried, it considers these as well: ejection alone must not leave a
// request without a server.
func (b *Balancer) chooseServer(r *request) (*server, servingPath) {
	best := b.bestServer(r, preferredCandidates)
	if best.server == nil {
		best = b.bestServer(r, allCandidates)
	}
	return best.server, best.path
}

func (b *Balancer) bestServer(r *request, from candidates) choice {
	best := choice{cost: math.Inf(1)}
	var homes homeServers
	keyIsCached := false
	for _, s := range b.serving {
		if !b.isCandidate(r, s, from) {
			continue
		}
		if r.cacheable && s.filter.Contains(&r.filterPositions) {
			keyIsCached = true
			hit := (1 - s.filter.FalsePositiveRate()) * s.filterHitRate
			b.consider(&best, r, s, 1-hit)
			continue
		}
		b.addHome(&homes, r, s)
	}
	for group := range homes.servers {
		for rank, s := range homes.servers[group] {
			if s == nil {
				break
			}
			miss := 1.0
			if rank == 0 && r.cacheable && !keyIsCached {
				miss = homes.firstMissProbability(group)
			}
			b.consider(&best, r, s, miss)
		}
	}
	return best
}

func (b *Balancer) isCandidate(r *request, s *server, from candidates) bool {
	if from == preferredCandidates && (s.backoffUntil > b.now || wasTried(r, s)) {
		return false
	}
	if b.capacityShare(s) < 1 && s.slowStartTokens < 1 {
		return false
	}
	return b.maySendTo(r, s)
}

// consider makes s the best choice if its expected cost is the lowest so far.
func (b *Balancer) consider(best *choice, r *request, s *server, missProbability float64) {
	// Costs are shares of the request's weight, and a response time of one latency objective loses all of the weight.
	// So costs are converted to seconds by multiplying them by the objective.
	objective := r.class.LatencyObjective.Seconds()
	cost := b.expectedHitTime(s) +
		missProbability*(b.missCost()+b.settings.Costs.OriginFetch*objective) +
		b.avoidanceCost(s, r.Class)*objective
	if s.Zone != b.settings.Zone {
		cost += b.settings.Costs.CrossZone * objective
	}
	if b.zonalHomes && s.Zone != b.settings.Zone {
		cost += b.settings.Costs.Handshake * objective
	}
	if cost < best.cost {
		best.server, best.cost = s, cost
		best.path = fetchPath
		if r.cacheable && missProbability < 1 && s.filter.Contains(&r.filterPositions) {
			best.path = hitPath
		}
	}
}

func wasTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}
