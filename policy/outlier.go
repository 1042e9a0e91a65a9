package policy

import (
	"math"
	"time"

	"mulleinpier/internal/outlier"
)

// This file distinguishes faulty servers from failures that affect all servers.
//
// In a large fleet a proxy sends to one server only every few seconds, and cannot wait for a dozen failures of it. So
// each server is modelled as either healthy or faulty. The failure rate of healthy servers is estimated from all
// servers together, and each attempt at one server moves the odds between the two: two failures in a row are strong
// evidence if other servers rarely fail, and none if all do. Zones are judged in the same way, by attempts that could
// not reach their servers.

const (
	maxHealthDecayTime = 20 * time.Second // limit where a server gets few attempts

	// minHealthSamples is how many samples of a server are remembered, if they arrive within maxHealthDecayTime.
	minHealthSamples = 6.0

	// minAttemptsPerSecond is the lowest rate that is assumed for a server. It keeps the decay time finite.
	minAttemptsPerSecond = 1e-3

	singleFailureProbability = 0.35 // the highest fault probability after one failure

	// maxChanceFailures is how many failures in a row before a success count as chance; further ones do not.
	maxChanceFailures = 3.0

	// ejectionProbability is the fault probability from which a server's failures say nothing about load. It is high
	// because a queue that stays full for a second also looks like a fault.
	ejectionProbability = 0.9

	// maxFaultyShare is the share of all servers that may be faulty. Beyond it failures increasingly count as affecting
	// all servers.
	maxFaultyShare = 0.2

	// recentResponseTime is how long after its last response a server counts as reachable.
	recentResponseTime = outlier.DecayTime / 8

	// significanceLevel is the probability below which failures are not attributed to chance.
	significanceLevel = 0.01
)

// healthDecayTime returns the decay time of one server's health: long enough for some samples.
func (b *Balancer) healthDecayTime() time.Duration {
	b.connectionFailures.Decay(b.now, outlier.DecayTime)
	servers := float64(max(len(b.serving), 1))
	perSecond := b.connectionFailures.Attempts / outlier.DecayTime.Seconds() / servers
	needed := time.Duration(minHealthSamples / max(perSecond, minAttemptsPerSecond) * float64(time.Second))
	return max(outlier.DecayTime, min(maxHealthDecayTime, needed))
}

// baselineFailureRate returns the share of a class's attempts that fails at healthy servers. If too many servers look
// faulty, it rises towards the share that fails at all servers.
func (b *Balancer) baselineFailureRate(class int) float64 {
	all, healthy := &b.failureRates[class], &b.healthyFailureRates[class]
	all.Decay(b.now, outlier.DecayTime)
	healthy.Decay(b.now, outlier.DecayTime)
	faulty := 0.0
	for _, s := range b.serving {
		if s.suspicions[class].LogOdds > 0 {
			faulty += b.faultProbability(s, class)
		}
	}
	faultyShare := faulty / float64(max(len(b.serving), 1))
	affectsAll := max(0, min(1, (faultyShare-maxFaultyShare)/maxFaultyShare))
	return healthy.Rate() + max(all.Rate()-healthy.Rate(), 0)*affectsAll
}

// faultProbability returns the probability, above the prior, that a server is faulty for a class: it answers with
// errors or malformed data, or not at all, for one class or for all. Failures due to an overload or a failed origin
// occur at all servers and count against none. If the misses of a warming server fail before those of others do, the
// server is suspected wrongly.
func (b *Balancer) faultProbability(s *server, class int) float64 {
	probability := 0.0
	if own := &s.suspicions[class]; own.LogOdds > 0 {
		own.Decay(b.now, b.healthDecayTime())
		probability = own.Probability() - outlier.PriorProbability
	}
	if zone := b.suspectedZone(s); zone != nil {
		zone.Decay(b.now, outlier.DecayTime)
		probability = max(probability, zone.Probability()-outlier.PriorProbability)
	}
	return probability
}

// suspectedZone returns the suspicion against a server's zone, nil for none. Each server of an unreachable zone gets
// few requests, but together they show the loss within some requests. A server that has responded recently is left out
// because it can be reached.
func (b *Balancer) suspectedZone(s *server) *outlier.Suspicion {
	if s.Zone < 0 || s.Zone >= len(b.zoneSuspicions) || len(b.zoneSuspicions) == 1 {
		return nil
	}
	zone := &b.zoneSuspicions[s.Zone]
	if zone.LogOdds <= 0 || b.now-s.lastResponse <= recentResponseTime {
		return nil
	}
	return zone
}

// avoidanceCost returns the cost that is added for a server that may be faulty, in latency objectives. A single failure
// moves no key, because a move costs a fetch at another server. Where servers get many requests, a few more of them
// tell a faulty server from one that pauses, so only servers from ejectionProbability on are avoided: if servers pause
// in turn, moving their keys could overload the origin with fetches.
func (b *Balancer) avoidanceCost(s *server, class int) float64 {
	probability := b.faultProbability(s, class)
	if probability <= singleFailureProbability {
		return 0
	}
	threshold := singleFailureProbability
	if b.healthDecayTime() == outlier.DecayTime {
		threshold = ejectionProbability
	}
	return max(probability-threshold, 0) / (1 - threshold)
}

// healthSample is what an attempt says about its server's health; each value is 0 or 1.
type healthSample struct {
	failed    float64
	unreached float64 // the attempt did not reach its server
}

// recordHealth counts an attempt for the health of its server and zone. It counts each attempt only once.
func (b *Balancer) recordHealth(s *server, a *attempt, class int, sample healthSample) {
	if a.healthRecorded {
		return
	}
	a.healthRecorded = true
	if sample.failed > 0 {
		// Attempts in flight together fail together, so a pause or a broken connection counts as one failure until the
		// server answers again. A warming server is slow because it fetches from the origin, so its failures do not
		// count.
		if a.sentAt < s.lastHealthFailure || b.capacityShare(s) < 1 {
			return
		}
		s.lastHealthFailure = b.now
	} else {
		s.lastHealthFailure = 0
	}
	b.countConsecutiveFailures(s, class, sample.failed)
	baseline := b.baselineFailureRate(class)
	s.suspicions[class].Observe(b.now, b.healthDecayTime(), sample.failed, baseline)
	b.failureRates[class].Observe(b.now, 1, sample.failed)
	if s.Zone >= 0 && s.Zone < len(b.zoneSuspicions) {
		b.zoneSuspicions[s.Zone].Observe(b.now, outlier.DecayTime, sample.unreached, baseline)
	}
}

// countConsecutiveFailures counts a server's failures in a row. A success shows that they were chance, so they then
// count among the failures of healthy servers.
func (b *Balancer) countConsecutiveFailures(s *server, class int, failed float64) {
	own := &s.suspicions[class]
	own.ConsecutiveFailures += failed
	if failed > 0 || b.capacityShare(s) < 1 {
		return
	}
	byChance := min(own.ConsecutiveFailures, maxChanceFailures)
	b.healthyFailureRates[class].Observe(b.now, 1+byChance, byChance)
	own.ConsecutiveFailures = 0
}

// unlikelyByChance reports whether this many connections in a row are unlikely to break by chance, given how often they
// break at all servers together. A server must not be ejected, and its keys moved, for causes that affect all: networks
// that reset or drop idle connections, or proxies or servers that run out of descriptors. If most of a fleet fails at
// once, the first failures at each server are attributed to the network and cost a retry each.
func (b *Balancer) unlikelyByChance(failures int) bool {
	b.connectionFailures.Observe(b.now, 0, 0)
	rate := b.connectionFailures.Rate()
	return math.Pow(rate, float64(failures)) < significanceLevel
}
