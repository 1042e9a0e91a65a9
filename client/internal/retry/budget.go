package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Budget bounds the retries of a process by its successes, so that its tries per request stay
// at most 1+Ratio in the long run, however badly the service does. A keyed request may take a retry that is yet to be
// paid for, up to a whole burst in debt: until that is paid, safe ones have none. Not safe for concurrent use.
type Budget struct {
	Ratio float64 // retries that a success pays for
	Burst float64 // retries saved up at the most
	saved float64
}

// NewBudget returns a budget that has one retry saved up, or its burst if that is less: a program that asks
// once would else never ask again.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, saved: min(burst, 1)}
}

// RecordSuccess is told of a request that was served.
func (b *Budget) RecordSuccess() { b.saved = min(b.saved+b.Ratio, b.Burst) }

// CanAfford tells whether a retry of a request of some effect could be had.
func (b *Budget) CanAfford(e Effect) bool {
	if e == Keyed {
		return b.saved >= 1-b.Burst
	}
	return b.saved >= 1
}

func (b *Budget) take(e Effect) bool {
	if !b.CanAfford(e) {
		return false
	}
	b.saved--
	return true
}

// The bounds of a pace.
const (
	paceHalf  = 500 * time.Millisecond // after so long an answer counts half
	paceTimes = 2                      // requests that go out for each that is not refused
	paceFree  = 4                      // requests that go out whatever is refused
	paceMost  = 0.9                    // share that is kept back at the most: the rest asks whether it is over
)

// Throttle keeps a process from asking much more of a service than that takes: what is refused
// costs the service work that it has none to spare for. It is the adaptive throttling of
// "Handling Overload" in the book Site Reliability Engineering, with a bound so that the end of an overload
// is seen soon. Not safe for concurrent use.
type Throttle struct {
	asked, taken float64 // requests, and those not refused, each halved by paceHalf
	at           time.Duration
}

func (p *Throttle) age(now time.Duration) {
	if d := now - p.at; d > 0 {
		f := math.Exp2(-float64(d) / float64(paceHalf))
		p.asked, p.taken, p.at = p.asked*f, p.taken*f, now
	}
}

// RejectProbability is the share of requests that is kept back.
func (p *Throttle) RejectProbability(now time.Duration) float64 {
	p.age(now)
	return min(max(0, (p.asked-paceTimes*p.taken-paceFree)/(p.asked+1)), paceMost)
}

// Allow tells whether one more request, a first try or a retry, may go out at now. One that
// may not counts as asked at once, one that goes out when it ends: what is still out says nothing yet.
func (p *Throttle) Allow(now time.Duration, rng *rand.Rand) bool {
	kept := p.RejectProbability(now)
	if kept == 0 || rng.Float64() >= kept {
		return true
	}
	p.asked++
	return false
}

// RecordOutcome is told of a request that went out, and whether it was refused.
func (p *Throttle) RecordOutcome(now time.Duration, refused bool) {
	p.age(now)
	p.asked++
	if !refused {
		p.taken++
	}
}
