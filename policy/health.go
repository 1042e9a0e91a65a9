package policy

import (
	"time"

	"mulleinpier/internal/outlier"
)

// This file tells sick servers from a bad hour of all.
//
// A proxy of a large fleet meets a server once in some seconds, and can't wait for a dozen
// failures of it. So each server is taken for one of two kinds, well or sick; how often the
// well ones fail is learnt from all together, and what is seen of one server moves the odds
// between the two. Two failures in a row tell much where others hardly fail, and nothing
// where all do. Zones are judged in the same way by what could not be reached in them.

const (
	maxHealthDecayTime       = 20 * time.Second // and where a server is met so seldom that this saw none
	minHealthSamples         = 6.0              // of a server that are to be remembered, if they take no longer
	singleFailureProbability = 0.35             // chance after one at most
	maxChanceFailures        = 3.0              // failures in a row that may be chance; more were none
	ejectionProbability      = 0.9              // from which it tells nothing of load: a queue that stays full for a second looks sick, too
	maxFaultyShare           = 0.2              // of all servers that may be sick; beyond it is a bad hour of all
)

// healthDecayTime is how long what is seen of one server counts: long enough for some samples.
func (b *Balancer) healthDecayTime() time.Duration {
	b.connectionFailures.Decay(b.now, outlier.DecayTime)
	rate := b.connectionFailures.Attempts / outlier.DecayTime.Seconds() / float64(max(len(b.serving), 1))
	return max(outlier.DecayTime, min(maxHealthDecayTime, time.Duration(minHealthSamples/max(rate, 1e-3)*float64(time.Second))))
}

// baselineFailureRate is the share of what well servers are asked that fails.
func (b *Balancer) baselineFailureRate(class int) float64 {
	all, well := &b.failureRates[class], &b.healthyFailureRates[class]
	all.Decay(b.now, outlier.DecayTime)
	well.Decay(b.now, outlier.DecayTime)
	ill := 0.0
	for _, s := range b.serving {
		if s.suspicions[class].LogOdds > 0 {
			ill += b.faultProbability(s, class)
		}
	}
	general := max(0, min(1, (ill/float64(max(len(b.serving), 1))-maxFaultyShare)/maxFaultyShare))
	return well.Rate() + max(all.Rate()-well.Rate(), 0)*general
}

// faultProbability is the chance that a server is sick for a class. What an overload or a fallen origin
// makes fail, fails everywhere and tells of none. It should cover any server that answers,
// but not with what it is asked for: errors, silence, noise, for all or for one class. It
// might hurt where the misses of a cold server fail before those of others do.
func (b *Balancer) faultProbability(s *server, class int) float64 {
	p := 0.0
	if own := &s.suspicions[class]; own.LogOdds > 0 {
		own.Decay(b.now, b.healthDecayTime())
		p = own.Probability() - outlier.PriorProbability
	}
	if z := s.Zone; z >= 0 && z < len(b.zoneSuspicions) && len(b.zoneSuspicions) > 1 && b.zoneSuspicions[z].LogOdds > 0 && b.now-s.lastResponse > outlier.DecayTime/8 {
		// A lost zone's servers are each met seldom; together they tell within some requests. It
		// might hurt a server that is reached all the same: whoever was heard of just now is left out.
		b.zoneSuspicions[z].Decay(b.now, outlier.DecayTime)
		p = max(p, b.zoneSuspicions[z].Probability()-outlier.PriorProbability)
	}
	return p
}

// avoidanceCost is what is paid, in aims, to keep a request from a server that may be sick. One
// failure moves no key: it would cost a fetch at another. Where servers are met often, a few requests
// more tell the surely sick from those that pause, and only they are left: keys of three servers
// that pause by turns, fetched elsewhere for seconds, made the origin fall.
func (b *Balancer) avoidanceCost(s *server, class int) float64 {
	p, least := b.faultProbability(s, class), singleFailureProbability
	if p <= least {
		return 0
	}
	if b.healthDecayTime() == outlier.DecayTime {
		least = ejectionProbability
	}
	return max(p-least, 0) / (1 - least)
}

// recordHealth counts how an attempt ended for its server's health, once.
func (b *Balancer) recordHealth(s *server, a *attempt, class int, failed, unreached float64) {
	if a.healthRecorded {
		return
	}
	a.healthRecorded = true
	if failed > 0 {
		// What was out together fails together: a pause, or a connection's end, is one
		// failure, until something is answered again. Nor is a cold server sick because it is
		// slow and asks the origin.
		if a.sentAt < s.lastHealthFailure || b.capacityShare(s) < 1 {
			return
		}
		s.lastHealthFailure = b.now
	} else {
		s.lastHealthFailure = 0
	}
	own := &s.suspicions[class]
	if own.ConsecutiveFailures += failed; failed == 0 && b.capacityShare(s) == 1 { // what failed here passed by: it was chance
		row := min(own.ConsecutiveFailures, maxChanceFailures)
		b.healthyFailureRates[class].Observe(b.now, 1+row, row)
		own.ConsecutiveFailures = 0
	}
	rest := b.baselineFailureRate(class)
	own.Observe(b.now, b.healthDecayTime(), failed, rest)
	b.failureRates[class].Observe(b.now, 1, failed)
	if s.Zone >= 0 && s.Zone < len(b.zoneSuspicions) {
		b.zoneSuspicions[s.Zone].Observe(b.now, outlier.DecayTime, unreached, rest)
	}
}
