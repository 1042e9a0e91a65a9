package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// The parameters of the adaptive throttling.
const (
	throttleHalfLife     = 500 * time.Millisecond // weight of a past request, halved each time
	throttleMultiplier   = 2                      // requests that are sent for each one that is accepted
	throttleFreeRequests = 4                      // requests that are sent however many are rejected
	maxRejectProbability = 0.9                    // the rest finds out whether the overload is over
)

// Throttle keeps a process from sending much more than a service accepts, because a rejection costs an overloaded
// service work too. It is the client-side throttling of chapter "Handling Overload" of the book Site Reliability
// Engineering, with an upper bound so that the end of an overload is noticed soon. It is not safe for concurrent use.
type Throttle struct {
	requests  float64 // decayed by throttleHalfLife
	accepted  float64 // those of requests that were not rejected
	decayedAt time.Duration
}

// decay brings the counts to a time.
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

// RejectProbability is the share of requests that are rejected locally at a time.
func (t *Throttle) RejectProbability(now time.Duration) float64 {
	t.decay(now)
	excess := t.requests - throttleMultiplier*t.accepted - throttleFreeRequests
	return min(max(0, excess/(t.requests+1)), maxRejectProbability)
}

// Allow reports whether one more request, first attempt or retry, may be sent at now. A request that may not counts at
// once; one that is sent counts when it ends, because one in flight says nothing yet.
func (t *Throttle) Allow(now time.Duration, rng *rand.Rand) bool {
	probability := t.RejectProbability(now)
	if probability == 0 || rng.Float64() >= probability {
		return true
	}
	t.requests++
	return false
}

// RecordOutcome counts a request that was sent, by how it ended.
func (t *Throttle) RecordOutcome(now time.Duration, outcome Outcome) {
	t.decay(now)
	t.requests++
	if outcome != Rejected {
		t.accepted++
	}
}
