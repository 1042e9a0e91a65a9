package policy

import (
	"math"
	"time"
)

const (
	// estimateDecayTime is the time constant with which an estimate without new samples decays to the fleet's mean.
	estimateDecayTime = 8 * time.Second

	// Weights of a new sample in exponentially weighted moving averages.
	latencySampleWeight  = 0.2
	loadSampleWeight     = 0.05
	fleetSampleWeight    = 0.01
	kindSampleWeight     = 0.02
	minLatencyRiseWeight = 0.002 // raises the minimum again, as one fast answer must not set it permanently
	baselineSampleWeight = 0.002

	// baselineTolerance is the multiple of its baseline up to which the miss penalty does not indicate a queue at the
	// origin.
	baselineTolerance = 1.3

	// originQueueCostFactor is the delay that a fetch which joins a queue at the origin adds for all fetches behind it,
	// as a multiple of the queueing time.
	originQueueCostFactor = 3.0
)

// expectedHitTime returns the expected response time of a hit in seconds: the lowest latency, plus the processing time
// scaled by current over mean load. Without recent samples the processing time decays to the fleet's mean.
func (b *Balancer) expectedHitTime(s *server) float64 {
	minLatency, processingTime := b.minLatency, b.processingTime
	if s.lastSample > 0 {
		trust := math.Exp(-float64(b.now-s.lastSample) / float64(estimateDecayTime))
		processingTime += (s.processingTime - processingTime) * trust
		minLatency = s.minLatency
	}
	return minLatency + processingTime*(b.currentLoad(s)+1)/(s.meanLoad+1)
}

// currentLoad returns the number of this proxy's attempts that a server is working on: those in flight, and abandoned
// ones, which it works on for about as long as an answer would have taken.
func (b *Balancer) currentLoad(s *server) float64 {
	if s.abandoned > 0 {
		decayTime := max(s.minLatency+s.processingTime, b.minLatency+b.processingTime)
		s.abandoned *= math.Exp(-(b.now - s.abandonedAt).Seconds() / decayTime)
	}
	s.abandonedAt = b.now
	return s.inFlight + s.abandoned
}

// missCost returns the cost of a miss in seconds. With zonal homes, a miss penalty above its baseline means a queue at
// the origin, and each further fetch delays all fetches behind it. The added cost moves requests to the one home that
// all proxies share before the origin is full.
func (b *Balancer) missCost() float64 {
	if !b.zonalHomes {
		return b.missPenalty
	}
	queue := max(0, b.missPenalty-baselineTolerance*b.baselineMissPenalty)
	return b.missPenalty + originQueueCostFactor*queue
}

// updateLoad updates a server's load estimates when an attempt ends.
func (b *Balancer) updateLoad(s *server, result Result) {
	if s.samples == 0 { // a mean load of zero would make any attempt in flight look slow
		s.meanLoad = max(s.meanLoad, b.currentLoad(s))
	}
	s.meanLoad += (b.currentLoad(s) - s.meanLoad) * loadSampleWeight
	s.inFlight--
	if result == Cancelled || result == TimedOut {
		s.abandoned++
	}
}

// updateLatencies updates the estimates of a server, its machine kind and the fleet from a measured latency.
func (b *Balancer) updateLatencies(s *server, a *attempt, r *request, e Outcome) {
	latency := e.Took.Seconds()
	if a.path == hitPath && e.CacheStatus != CacheUnknown {
		hit := 0.0
		if e.CacheStatus == CacheHit {
			hit = 1
		}
		s.filterHitRate += (hit - s.filterHitRate) * loadSampleWeight
	}
	if e.isMiss() || r.Write {
		b.updateMissPenalty(s, r, e)
		return
	}
	if s.lastSample == 0 {
		s.minLatency, s.processingTime = latency, b.processingTime
	}
	if latency < s.minLatency {
		s.minLatency = latency
	} else {
		s.minLatency += (latency - s.minLatency) * minLatencyRiseWeight
	}
	s.processingTime += (latency - s.minLatency - s.processingTime) * latencySampleWeight
	b.processingTime += (latency - s.minLatency - b.processingTime) * fleetSampleWeight
	if kinds := b.processingTimeByKind; s.MachineKind < len(kinds) {
		kinds[s.MachineKind] += (latency - s.minLatency - kinds[s.MachineKind]) * kindSampleWeight
	}
	b.minLatency += (s.minLatency - b.minLatency) * fleetSampleWeight
	s.lastSample = b.now
	s.samples++
}

// isMiss reports whether an answer had to be fetched from the origin.
func (e *Outcome) isMiss() bool {
	return e.CacheStatus == CacheMiss || e.CacheStatus == CacheMissCoalesced
}

// updateMissPenalty updates the miss penalty from the latency that the origin added. A write is counted, but does not
// change the estimate.
func (b *Balancer) updateMissPenalty(s *server, r *request, e Outcome) {
	if s.lastSample == 0 {
		return
	}
	added := max(e.Took.Seconds()-s.minLatency-s.processingTime, 0)
	if r.class.LatencyObjective > 0 {
		b.counters.TimedFetches++
		b.counters.FetchTimeSum += added / r.class.LatencyObjective.Seconds()
	}
	if e.isMiss() {
		b.missPenalty += (added - b.missPenalty) * loadSampleWeight
		risen := b.baselineMissPenalty + (b.missPenalty-b.baselineMissPenalty)*baselineSampleWeight
		b.baselineMissPenalty = min(risen, b.missPenalty)
	}
}
