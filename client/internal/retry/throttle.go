package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the adaptive throttling.
const (
	throttleHalfLife     = 500 * time.Millisecond // time in which the weight of a past request halves
	throttleMultiplier   = 2                      // requests that are sent for each one that is accepted
	throttleFreeRequests = 4                      // requests that are sent however many are rejected
	maxRejectProbability = 0.9                    // the remaining requests detect the end of the overload
)

// Throttle keeps a process from sending much more than a service accepts, because rejections also cost an overloaded
// service work. It is the client-side throttling of the chapter "Handling Overload" of the book Site Reliability
// Engineering, with an upper bound on the reject probability so that the end of an overload is noticed soon. It is not
// safe for concurrent use.
type Throttle struct {
	requests  float64 // decayed by throttleHalfLife
	accepted  float64 // requests that were not rejected, decayed likewise
	decayedAt time.Duration
}

// decay updates the counts to now.
func (t *Throttle) decay(now time.Duration) {
	elapsed := now - t.decayedAt
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(throttleHalfLife))
	t.requests *= factor
	t.accepted *= factor
	t.decayedAt = now
}

// RejectProbability returns the probability with which Allow rejects a request at now.
func (t *Throttle) RejectProbability(now time.Duration) float64 {
	t.decay(now)
	excess := t.requests - throttleMultiplier*t.accepted - throttleFreeRequests
	return min(max(0, excess/(t.requests+1)), maxRejectProbability)
}

// Allow reports whether one more request, first attempt or retry, may be sent at now. A request that Allow rejects
// counts immediately; one that is sent counts when it ends, because its outcome is not known before.
func (t *Throttle) Allow(now time.Duration, rng *rand.Rand) bool {
	probability := t.RejectProbability(now)
	if probability == 0 || rng.Float64() >= probability {
		return true
	}
	t.requests++
	return false
}

// RecordOutcome counts a request that was sent and has ended.
func (t *Throttle) RecordOutcome(now time.Duration, outcome Outcome) {
	t.decay(now)
	t.requests++
	if outcome != Rejected {
		t.accepted++
	}
}
