package policy

import (
	"math"
	"time"
)

const (
	admissionDecayTime = 2 * time.Second

	// admissionMinRetention bounds how much one sample lets a gate forget: a gate of the fleet remembers some twenty
	// events, however few the requests are.
	admissionMinRetention = 0.95

	// The priors are completions in time that are assumed besides those seen. admissionPrior is small, or a proxy of
	// few requests would never shed. A single server's counts are small, and chance must not shut its gate.
	admissionPrior       = 1.25
	serverAdmissionPrior = 5

	admissionSlack = 1.1
	recoveryBoost  = 6.0  // additional share when all completes in time, so that a gate reopens within seconds
	minAdmitShare  = 0.03 // always passes, so that a recovery is seen

	// Shares of the time left and of the latency objective that an answer may be expected to take. Both are under 1
	// since latencies scatter around what is expected.
	maxExpectedShare  = 0.8
	maxObjectiveShare = 0.5

	minSamples = 5 // answers after which a server's expected latency may count against a request

	maxShelterFetchShare = 0.25 // of reads that are likely misses, at LevelShelter

	weightBuckets   = 16
	weightRetention = 0.995 // of a histogram at each sample: it remembers some two hundred
)

// admissionGate counts what was offered, what completed and what completed in time, all decaying.
type admissionGate struct {
	offered, completed, inTime float64
	updated                    time.Duration
	minRetention               float64 // share of the counts that one sample keeps at least
}

// gateSample is what one observation adds to a gate. Negative counts take back earlier ones.
type gateSample struct{ offered, completed, inTime float64 }

func (g *admissionGate) observe(now time.Duration, sample gateSample) {
	retention := max(math.Exp(-float64(now-g.updated)/float64(admissionDecayTime)), g.minRetention)
	g.offered = g.offered*retention + sample.offered
	g.completed = g.completed*retention + sample.completed
	g.inTime = g.inTime*retention + sample.inTime
	g.updated = now
}

// admitShare is the share of requests to admit: admissionSlack times what completes in time, since clients that retry
// keep a queue full of work that nobody waits for; more when nearly all that is sent completes in time, as the queue
// is empty again.
func (g *admissionGate) admitShare(prior float64) float64 {
	boost := admissionSlack * (1 + recoveryBoost*g.inTimeMargin(prior))
	return max(minAdmitShare, min(1, boost*(g.inTime+prior)/(g.offered+prior)))
}

// inTimeMargin is 1 when all that completed was in time, and falls to 0 at four in five.
func (g *admissionGate) inTimeMargin(prior float64) float64 {
	return max(0, 5*(g.inTime+prior)/(g.completed+prior)-4)
}

// servingPath says how a request is expected to be served.
type servingPath uint8

const (
	fetchPath servingPath = iota // by a fetch from the origin, or by a server for a request without a key
	hitPath                      // from a cache: the chosen server's filter names the key
	pathCount
)

// admissionPath is the state of load shedding on one path. The paths are kept apart: a slow origin must not shut the
// gate of what caches hold.
type admissionPath struct {
	gate    admissionGate
	weights weightHistogram
}

// AdmissionShares returns the shares of requests that are admitted now: of those whose key the chosen server is
// expected to hold, and of the others.
func (b *Balancer) AdmissionShares() (hits, fetches float64) {
	return b.paths[hitPath].gate.admitShare(admissionPrior), b.paths[fetchPath].gate.admitShare(admissionPrior)
}

// isShedding reports whether either gate rejects requests.
func (b *Balancer) isShedding() bool {
	hits, fetches := b.AdmissionShares()
	return hits < 1 || fetches < 1
}

// passesGate reports whether a request passes the gates of its path and server. Requests of the highest weight pass;
// among those of the weight at the edge chance decides, and the minimum share passes by chance alone, so that a wrong
// weight shuts out nobody completely.
func (b *Balancer) passesGate(r *request, s *server, path servingPath) bool {
	admission := &b.paths[path]
	share := min(admission.gate.admitShare(admissionPrior), s.gate.admitShare(serverAdmissionPrior))
	smaller, similar, all := admission.weights.observe(b.requestWeight(r))
	if share >= 1 || b.rng.Float64() < minAdmitShare {
		return true
	}
	if b.level >= LevelHandovers && r.class.Idempotency == IdempotentWithKey {
		return true
	}
	return b.rng.Float64()*similar < smaller+similar-(1-share)*all
}

// shed rejects a request at the gates.
func (b *Balancer) shed(r *request, s *server, path servingPath, reason Reason) {
	b.counters.Rejected++
	// What is shed counts as offered: sends then settle at admissionSlack times what completes in time.
	s.gate.observe(b.now, gateSample{offered: 1})
	b.paths[path].gate.observe(b.now, gateSample{offered: 1})
	b.endUnserved(r, reason)
}

// requestWeight is the weight of answering a request in time: small over its tenant's quota, and reduced for a retry,
// which is late for its client already.
func (b *Balancer) requestWeight(r *request) float64 {
	weight := r.class.PriorityWeight
	if r.overQuota {
		weight *= b.settings.OverQuotaFactor
	}
	if r.IsRetry {
		weight *= r.class.LateWeightShare
	}
	return weight
}

// weightHistogram counts requests by weight, decaying. Two buckets are a factor of two.
type weightHistogram [weightBuckets]float64

// observe counts a weight and returns how many were smaller, how many were about as large, and the sum of all.
func (h *weightHistogram) observe(weight float64) (smaller, similar, all float64) {
	bucket := 0
	if weight > 0 {
		bucket = weightBuckets/2 + int(math.Floor(2*math.Log2(weight)))
		bucket = max(0, min(weightBuckets-1, bucket))
	}
	for i := range h {
		h[i] *= weightRetention
		if i < bucket {
			smaller += h[i]
		}
		all += h[i]
	}
	h[bucket]++
	return smaller, h[bucket], all + 1
}

// passesLevel reports whether the degradation level admits a request that is a likely cache miss.
func (b *Balancer) passesLevel(r *request) bool {
	return r.class.Idempotency == IdempotentWithKey || b.rng.Float64() <= b.fetchAdmitShare()
}

// fetchAdmitShare is the share of likely cache misses that the degradation level admits. They and handovers meet at the
// origin, and a queue there makes both late: from LevelHandovers on only as many reads fetch as leave nearly all
// handovers in time. Handovers that are late for another reason than the origin reduce it as well.
func (b *Balancer) fetchAdmitShare() float64 {
	if b.level < LevelHandovers {
		return 1
	}
	b.handoverGate.observe(b.now, gateSample{})
	share := b.handoverGate.inTimeMargin(admissionPrior)
	if b.level >= LevelShelter {
		share *= maxShelterFetchShare
	}
	return max(minAdmitShare, share)
}

// isUnattainable reports whether s can hardly answer a request before its client gives up. Such a request is rejected
// at once: its work would go on with nobody waiting, and clients that retry for want of an answer fill servers with
// such work. The time of a miss is left out, since a fetch that is too late for one attempt fills the cache for the
// next. As estimates may be too high, a server with nothing in flight gets a request all the same, which corrects
// them, and a server that has answered little is not judged by what is assumed of it.
func (b *Balancer) isUnattainable(r *request, s *server) bool {
	limit := maxExpectedShare * (r.Deadline - b.now).Seconds()
	if b.level < LevelHandovers || r.class.Idempotency != IdempotentWithKey {
		limit = min(limit, maxObjectiveShare*r.class.LatencyObjective.Seconds())
	}
	return s.samples >= minSamples && s.inFlight > 0 && b.expectedHitTime(s) > limit
}

// RetryAfter returns when a rejected request of a class is to be retried, at random since clients that are rejected
// together must not come back together. The mean is half a latency objective, and a quarter more with each degradation
// level: a queue that can be answered in time is gone within a latency objective. Two thirds of the limit are the
// largest mean that jitter does not carry over the limit.
func (b *Balancer) RetryAfter(class int) time.Duration {
	limit := b.settings.Limits.MaxRetryAfter
	if class < 0 || class >= len(b.settings.Classes) {
		return b.jitter(limit / 2)
	}
	mean := b.settings.Classes[class].LatencyObjective / 2 * time.Duration(2+b.level) / 2
	return min(b.jitter(min(mean, limit*2/3)), limit)
}
