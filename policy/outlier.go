package policy

import (
	"math"
	"time"

	"mulleinpier/internal/outlier"
)

// This file tells faulty servers from failures that affect all.
//
// A proxy of a large fleet meets a server once in some seconds, and cannot wait for a dozen failures of it. So each
// server is taken for one of two kinds, healthy or faulty. How often healthy ones fail is learnt from all together,
// and what is seen of one server moves the odds between the two: two failures in a row mean much where others hardly
// fail, and nothing where all do. Zones are judged in the same way by attempts that could not reach their servers.

const (
	maxHealthDecayTime = 20 * time.Second // where servers are met too seldom for minHealthSamples

	// minHealthSamples of a server are to be remembered, if they take no longer than maxHealthDecayTime.
	minHealthSamples = 6.0

	// minAttemptsPerSecond of a server keeps the decay time finite.
	minAttemptsPerSecond = 1e-3

	singleFailureProbability = 0.35 // the highest fault probability after one failure

	// maxChanceFailures is how many failures in a row may be chance; more count as none.
	maxChanceFailures = 3.0

	// ejectionProbability is the fault probability from which a server's failures say nothing about load. It is high
	// since a queue that stays full for a second looks like a fault, too.
	ejectionProbability = 0.9

	// maxFaultyShare of all servers may be faulty; beyond it the failures affect all.
	maxFaultyShare = 0.2

	// recentResponseTime is how long after its last response a server counts as one that can be reached.
	recentResponseTime = outlier.DecayTime / 8

	// chanceProbability is the probability under which something is not taken for chance.
	chanceProbability = 0.01
)

// healthDecayTime is how long what is seen of one server counts: long enough for some samples.
func (b *Balancer) healthDecayTime() time.Duration {
	b.connectionFailures.Decay(b.now, outlier.DecayTime)
	servers := float64(max(len(b.serving), 1))
	perSecond := b.connectionFailures.Attempts / outlier.DecayTime.Seconds() / servers
	needed := time.Duration(minHealthSamples / max(perSecond, minAttemptsPerSecond) * float64(time.Second))
	return max(outlier.DecayTime, min(maxHealthDecayTime, needed))
}

// baselineFailureRate is the share of a class's attempts that fails at healthy servers.
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

// faultProbability is the probability that a server is faulty for a class: it answers with errors, with nothing or
// with noise, for all classes or for one. What an overload or a failed origin makes fail, fails at all servers and
// counts against none. Where the misses of a warming server fail before those of others do, it is suspected wrongly.
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

// suspectedZone returns the suspicion against a server's zone, nil for none. The servers of a lost zone are each met
// seldom; together they show the loss within some requests. A server that has responded lately is left out: it can be
// reached all the same.
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

// avoidanceCost is what is added to the cost of a server that may be faulty, in latency objectives. A
// single failure moves no key, as that would cost a fetch at another server. Where servers are met often, some more
// requests tell the faulty from those that pause, and only servers at ejectionProbability are avoided: moving the keys
// of servers that pause in turn could overload the origin with fetches.
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

// healthSample is how an attempt ended for its server's health; each value is 0 or 1.
type healthSample struct {
	failed    float64
	unreached float64 // it did not reach its server
}

// recordHealth counts how an attempt ended for its server's health, once.
func (b *Balancer) recordHealth(s *server, a *attempt, class int, sample healthSample) {
	if a.healthRecorded {
		return
	}
	a.healthRecorded = true
	if sample.failed > 0 {
		// What was in flight together fails together: a pause, or a connection's end, is one failure until something
		// is answered again. Nor is a warming server faulty because it is slow and asks the origin.
		if a.sentAt < s.lastHealthFailure || b.capacityShare(s) < 1 {
			return
		}
		s.lastHealthFailure = b.now
	} else {
		s.lastHealthFailure = 0
	}
	b.recordOwnHealth(s, class, sample.failed)
	baseline := b.baselineFailureRate(class)
	s.suspicions[class].Observe(b.now, b.healthDecayTime(), sample.failed, baseline)
	b.failureRates[class].Observe(b.now, 1, sample.failed)
	if s.Zone >= 0 && s.Zone < len(b.zoneSuspicions) {
		b.zoneSuspicions[s.Zone].Observe(b.now, outlier.DecayTime, sample.unreached, baseline)
	}
}

// recordOwnHealth counts a server's failures in a row. A success shows that they were chance: then they count among the
// failures of healthy servers.
func (b *Balancer) recordOwnHealth(s *server, class int, failed float64) {
	own := &s.suspicions[class]
	own.ConsecutiveFailures += failed
	if failed > 0 || b.capacityShare(s) < 1 {
		return
	}
	byChance := min(own.ConsecutiveFailures, maxChanceFailures)
	b.healthyFailureRates[class].Observe(b.now, 1+byChance, byChance)
	own.ConsecutiveFailures = 0
}

// unlikelyByChance reports whether so many connections in a row would seldom break by chance, as often as they break
// at all servers together. A server must not be ejected, and its keys moved, for what affects all: networks that reset
// or drop idle connections, proxies or nodes short of descriptors. Where most of a fleet fails at once, the first
// failures at each server are taken for the network's, and cost a retry each.
func (b *Balancer) unlikelyByChance(failures int) bool {
	b.connectionFailures.Observe(b.now, 0, 0)
	rate := b.connectionFailures.Rate()
	return math.Pow(rate, float64(failures)) < chanceProbability
}
