package policy

import "time"

const (
	// After hedgeLatencyMultiple times the expected latency, an answer is considered lost rather than late.
	hedgeLatencyMultiple = 5.0

	// The bounds of the delay before a hedged request, as shares of the latency objective. With a shorter delay a short
	// pause of the server would cause one; with a longer one the hedged request would be too late.
	minHedgeDelayShare = 0.2
	maxHedgeDelayShare = 0.6

	// slowHitMultiple times the expected latency of a hit is rarely exceeded by a healthy server.
	slowHitMultiple = 3.0
)

// overdueTimes returns the times at which an attempt that is sent now is overdue: after hedgeAt a hedged request may be
// sent, and after slowAt the server counts as slow even if it answers other requests.
func (b *Balancer) overdueTimes(r *request, s *server, path servingPath) (hedgeAt, slowAt time.Duration) {
	expected, objective := b.expectedHitTime(s), r.class.LatencyObjective.Seconds()
	slow := slowHitMultiple * expected
	if path == fetchPath { // fetch times vary little compared with queueing times
		expected += b.missPenalty
		slow += b.missPenalty
	}
	delay := min(max(hedgeLatencyMultiple*expected, minHedgeDelayShare*objective), maxHedgeDelayShare*objective)
	hedgeAt = b.now + time.Duration(delay*float64(time.Second))
	slowAt = max(hedgeAt, b.now+time.Duration(slow*float64(time.Second)))
	return hedgeAt, slowAt
}

// handleHedgeTimer sends a hedged request for a read that has waited long for its answer: the answer may be lost, or
// the server stalled or down. It hedges only if another server's cache is expected to hold the key.
func (b *Balancer) handleHedgeTimer(r *request) {
	a := &r.attempts[len(r.attempts)-1]
	b.recordOverdue(r, a)
	if !b.mayHedge(r, a) {
		return
	}
	if s, path := b.chooseServer(r); path == hitPath && !wasTried(r, s) {
		b.retryTokens--
		b.send(r, s, path, ReasonHedge)
	}
}

// recordOverdue counts a failure of the server if the only open attempt of a request is slow, without waiting for the
// client to give up. If the attempt can still become slow before the deadline, the timer is set again for that time.
func (b *Balancer) recordOverdue(r *request, a *attempt) {
	switch {
	case r.openAttempts != 1 || a.done:
	case b.isSlow(a):
		b.recordHealth(a.server, a, r.Class, healthSample{failed: 1, unreached: 1})
	case a.slowAt < r.Deadline:
		b.setTimer(timerHedge, r.ID, a.slowAt-b.now)
	}
}

// mayHedge reports whether a second attempt may be sent beside an overdue one. If the server answers other requests and
// does not count as faulty, the request waits for it. In an overload all servers are slow and hedging would add load,
// so a hedged request uses the retry budget, and none is sent while the gates shed load or from LevelEconomy on.
func (b *Balancer) mayHedge(r *request, a *attempt) bool {
	answersOthers := a.server.lastResponse > a.sentAt
	if answersOthers && b.faultProbability(a.server, r.Class) < ejectionProbability {
		return false
	}
	return r.openAttempts == 1 && b.level < LevelEconomy && b.retryTokens >= 1 && !b.isShedding()
}

// isSlow reports whether an unanswered attempt counts against its server. A server that has not responded to anything
// since the attempt was sent is slow after a part of the latency objective. A server that answers others is slow only
// far beyond the expected latency; otherwise fetches of the usual duration would make busy servers look faulty wherever
// an objective is short.
func (b *Balancer) isSlow(a *attempt) bool {
	silent := a.server.lastResponse <= a.sentAt
	return b.now >= a.slowAt || b.now >= a.hedgeAt && silent
}
