package policy

import (
	"math"
	"time"
)

const (
	admissionDecayTime = 2 * time.Second

	// admissionMinRetention is the least share of its counts that a gate for all servers keeps at each sample, so that
	// it remembers about twenty events even at a low request rate.
	admissionMinRetention = 0.95

	// The priors are completions in time that are assumed in addition to those observed. admissionPrior is small so
	// that a proxy with few requests can shed load. serverAdmissionPrior is larger because a single server's counts are
	// small and chance must not close its gate.
	admissionPrior       = 1.25
	serverAdmissionPrior = 5

	admissionSlack = 1.1
	recoveryBoost  = 6.0  // additional multiple of the share while all answers are in time: gates reopen within seconds
	minAdmitShare  = 0.03 // this share of requests is always admitted, because their answers show a recovery

	// The longest expected latency that is accepted, as shares of the time until the deadline and of the latency
	// objective. Both are below 1 because latencies vary around the expected value.
	maxExpectedShare  = 0.8
	maxObjectiveShare = 0.5

	minSamples = 5 // answers needed before a server's expected latency can cause a rejection

	maxShelterFetchShare = 0.25 // highest share of likely misses that is admitted at LevelShelter

	weightBuckets   = 16
	weightRetention = 0.995 // share of its counts that a histogram keeps at each sample, to remember about 200
)

// admissionGate holds decaying counts of the requests offered, completed and completed in time.
type admissionGate struct {
	offered, completed, inTime float64
	updated                    time.Duration
	minRetention               float64 // lowest share of the counts that is kept at each sample
}

// gateSample is what one observation adds to a gate. Negative counts undo earlier ones.
type gateSample struct{ offered, completed, inTime float64 }

func (g *admissionGate) observe(now time.Duration, sample gateSample) {
	retention := max(math.Exp(-float64(now-g.updated)/float64(admissionDecayTime)), g.minRetention)
	g.offered = g.offered*retention + sample.offered
	g.completed = g.completed*retention + sample.completed
	g.inTime = g.inTime*retention + sample.inTime
	g.updated = now
}

// admitShare returns the share of requests to admit. It is admissionSlack times the share that completes in time, since
// clients that retry would otherwise keep queues full of requests that nobody waits for. It is higher when nearly
// everything that is sent completes in time, because the queue is empty again.
func (g *admissionGate) admitShare(prior float64) float64 {
	boost := admissionSlack * (1 + recoveryBoost*g.inTimeMargin(prior))
	return max(minAdmitShare, min(1, boost*(g.inTime+prior)/(g.offered+prior)))
}

// inTimeMargin is 1 if everything that completed was in time, and falls linearly to 0 at four in five.
func (g *admissionGate) inTimeMargin(prior float64) float64 {
	return max(0, 5*(g.inTime+prior)/(g.completed+prior)-4)
}

// servingPath says how a request is expected to be served.
type servingPath uint8

const (
	fetchPath servingPath = iota // by a fetch from the origin; also for writes and requests without a key
	hitPath                      // from a cache: the chosen server's filter contains the key
	pathCount
)

// admissionPath is the load shedding state of one path. The paths are separate so that a slow origin does not close the
// gate for keys that caches hold.
type admissionPath struct {
	gate    admissionGate
	weights weightHistogram
}

// AdmissionShares returns the shares of requests that the gates of the two paths admit now: hits for requests whose key
// the chosen server is expected to hold, fetches for all others.
func (b *Balancer) AdmissionShares() (hits, fetches float64) {
	return b.paths[hitPath].gate.admitShare(admissionPrior), b.paths[fetchPath].gate.admitShare(admissionPrior)
}

// isShedding reports whether the gate of either path rejects requests.
func (b *Balancer) isShedding() bool {
	hits, fetches := b.AdmissionShares()
	return hits < 1 || fetches < 1
}

// passesGate reports whether a request passes the gates of its path and server. Requests with the highest weights pass,
// and chance decides at the threshold weight. In addition a random minAdmitShare of all requests passes, so that no
// request is excluded completely because of a wrong weight.
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

// shed rejects a request and counts it at the gates.
func (b *Balancer) shed(r *request, s *server, path servingPath, reason Reason) {
	b.counters.Rejected++
	// Shed requests count as offered, so the rate of sends settles at admissionSlack times the rate of answers in time.
	s.gate.observe(b.now, gateSample{offered: 1})
	b.paths[path].gate.observe(b.now, gateSample{offered: 1})
	b.endUnserved(r, reason)
}

// requestWeight is the weight of answering a request in time. It is reduced for a tenant over its quota, and for a
// retry, whose answer is already late for its client.
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

// weightHistogram holds decaying counts of requests by weight. Two buckets span a factor of two.
type weightHistogram [weightBuckets]float64

// observe counts a weight and returns the counts of smaller weights, of the same bucket and of all weights.
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

// fetchAdmitShare returns the share of likely cache misses that the degradation level admits. Misses and handovers both
// use the origin, and a queue there delays both. From LevelHandovers on only as many reads may fetch as keep nearly all
// handovers in time. Handovers that are late for a reason other than the origin reduce the share too.
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

// isUnattainable reports whether s is unlikely to answer a request before its client gives up or, unless it is a
// handover from LevelHandovers on, within maxObjectiveShare of its latency objective. Such a request is rejected
// immediately: the server would work on a request that nobody waits for, and clients that retry after a timeout would
// fill servers with such work. The miss penalty is not included, since a fetch that is too late for one attempt fills
// the cache for the next. Estimates may be too high, so a server with nothing in flight still gets a request, which
// corrects them. For a server with fewer than minSamples answers the result is false, because its expected latency is
// assumed rather than measured.
func (b *Balancer) isUnattainable(r *request, s *server) bool {
	limit := maxExpectedShare * (r.Deadline - b.now).Seconds()
	if b.level < LevelHandovers || r.class.Idempotency != IdempotentWithKey {
		limit = min(limit, maxObjectiveShare*r.class.LatencyObjective.Seconds())
	}
	return s.samples >= minSamples && s.inFlight > 0 && b.expectedHitTime(s) > limit
}

// RetryAfter returns the delay after which a rejected request of a class should be retried. It is random so that
// clients that are rejected together do not retry together. Its mean is half a latency objective, plus a quarter for
// each degradation level: a queue that can be answered in time is empty within a latency objective. The mean is at most
// two thirds of Limits.MaxRetryAfter, the highest value that jitter does not carry over that limit. For an unknown
// class the mean is half of the limit.
func (b *Balancer) RetryAfter(class int) time.Duration {
	limit := b.settings.Limits.MaxRetryAfter
	if class < 0 || class >= len(b.settings.Classes) {
		return b.jitter(limit / 2)
	}
	mean := b.settings.Classes[class].LatencyObjective / 2 * time.Duration(2+b.level) / 2
	return min(b.jitter(min(mean, limit*2/3)), limit)
}
