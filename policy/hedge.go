package policy

import "time"

const (
	// hedgeLatencyMultiple times the expected latency without an answer, the answer is lost rather than late.
	hedgeLatencyMultiple = 5.0

	// The bounds of the delay of a hedged request, as shares of the latency objective: sooner, a short pause of the
	// server would do; later, the hedged request would be too late.
	minHedgeDelayShare = 0.2
	maxHedgeDelayShare = 0.6

	// slowHitMultiple times the expected latency of a hit is exceeded by a healthy server only rarely.
	slowHitMultiple = 3.0
)

// overdueTimes returns until when an attempt that is sent now should have been answered: hedgeAt, after which a hedged
// request may be sent, and slowAt, after which the server counts as slow even if it answers others.
func (b *Balancer) overdueTimes(r *request, s *server, path servingPath) (hedgeAt, slowAt time.Duration) {
	expected, objective := b.expectedHitTime(s), r.class.LatencyObjective.Seconds()
	slow := slowHitMultiple * expected
	if path == fetchPath { // fetches scatter little compared with queues
		expected += b.missPenalty
		slow += b.missPenalty
	}
	delay := min(max(hedgeLatencyMultiple*expected, minHedgeDelayShare*objective), maxHedgeDelayShare*objective)
	hedgeAt = b.now + time.Duration(delay*float64(time.Second))
	slowAt = max(hedgeAt, b.now+time.Duration(slow*float64(time.Second)))
	return hedgeAt, slowAt
}

// handleHedgeTimer sends a hedged request for a read that has long had no answer: the answer may be lost, or the server
// stalled or gone. It only hedges what another cache is expected to hold.
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

// recordOverdue counts the only attempt of a request that has no answer against its server if it is slow, now rather
// than when its client has left. If it may still become slow the timer is set again for that.
func (b *Balancer) recordOverdue(r *request, a *attempt) {
	switch {
	case r.openAttempts != 1 || a.done:
	case b.isSlow(a):
		b.recordHealth(a.server, a, r.Class, healthSample{failed: 1, unreached: 1})
	case a.slowAt < r.Deadline:
		b.setTimer(timerHedge, r.ID, a.slowAt-b.now)
	}
}

// mayHedge reports whether a request whose latest attempt is overdue may have a second one beside it. A server that
// answers others and is not taken for faulty is waited for. Under overload, when all is slow, hedging would do harm: so
// it is paid from the retry budget, and not done while the gates shed.
func (b *Balancer) mayHedge(r *request, a *attempt) bool {
	answersOthers := a.server.lastResponse > a.sentAt
	if answersOthers && b.faultProbability(a.server, r.Class) < ejectionProbability {
		return false
	}
	return r.openAttempts == 1 && b.level < LevelEconomy && b.retryTokens >= 1 && !b.isShedding()
}

// isSlow reports whether an attempt without an answer counts against its server: a server that has not responded to
// anything since is silent after a part of the latency objective; one that answers others is slow only far beyond the
// expected latency, or fetches that take no longer than usual would make busy servers look faulty wherever an
// objective is short.
func (b *Balancer) isSlow(a *attempt) bool {
	silent := a.server.lastResponse <= a.sentAt
	return b.now >= a.slowAt || b.now >= a.hedgeAt && silent
}
