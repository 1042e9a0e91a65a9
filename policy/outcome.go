package policy

import "time"

// The bounds of the time for which a server whose connections fail is not chosen.
const (
	minServerBackoff = 250 * time.Millisecond
	maxServerBackoff = 4 * time.Second

	maxBackoffDoublings = 8 // more would exceed maxServerBackoff in any case
)

// outcomeEffect is what an outcome says about its server and about load. The numbers are 0 or 1, to be added to counts.
type outcomeEffect struct {
	inTime           float64
	failed           float64
	connectionFailed float64
	maybeFaulty      bool // the failure may be the server's own fault rather than load
}

// learnFromOutcome updates all estimates from the outcome of an attempt.
func (b *Balancer) learnFromOutcome(r *request, a *attempt, e Outcome) {
	s := a.server
	b.updateLoad(s, e.Result)
	switch {
	case e.Result == NotSent: // its server has not seen it, and nothing follows from that
		b.observeGates(a, gateSample{offered: -1})
		return
	case a.sentAt < s.StartedAt: // sent before the server's restart
		return
	case a.spannedPause:
		b.learnAcrossPause(r, s, e.Result)
		return
	}
	if e.Result != Cancelled && e.Result != TimedOut && e.Result != ConnectFailed {
		s.lastResponse = b.now
	}
	b.countFetch(r, a, e)
	effect := b.applyResult(r, a, e)
	b.learnHealth(r, a, e.Result, effect)
	if b.saysNothingOfLoad(r, s, e, effect) {
		b.observeGates(a, gateSample{offered: -1, inTime: effect.inTime})
	} else {
		b.observeGates(a, gateSample{completed: 1, inTime: effect.inTime})
	}
}

// learnHealth counts an outcome for the health of its server and for the connections of all.
func (b *Balancer) learnHealth(r *request, a *attempt, result Result, effect outcomeEffect) {
	if result == ConnectionLimitReached {
		return
	}
	if result != Cancelled {
		b.connectionFailures.Observe(b.now, 1, effect.connectionFailed)
	} else if effect.failed == 0 {
		return
	}
	sample := healthSample{failed: effect.failed}
	if result == ConnectFailed || result == TimedOut || result == Cancelled {
		sample.unreached = effect.failed
	}
	b.recordHealth(a.server, a, r.Class, sample)
}

// observeGates counts a sample at the gates of an attempt's server and path.
func (b *Balancer) observeGates(a *attempt, sample gateSample) {
	a.server.gate.observe(b.now, sample)
	b.paths[a.path].gate.observe(b.now, sample)
}

// applyResult updates what depends on the kind of result.
func (b *Balancer) applyResult(r *request, a *attempt, e Outcome) (effect outcomeEffect) {
	s := a.server
	switch e.Result {
	case Served:
		s.consecutiveFailures, s.backoffUntil = 0, 0
		if b.countsAsInTime(r, a) {
			effect.inTime = 1
		}
		b.earnRetry()
		r.served = true
		if r.cacheable {
			s.filter.Add(&r.filterPositions)
		}
		b.updateLatencies(s, a, r, e)
	case TimedOut:
		b.updateLatencies(s, a, r, e)
		s.consecutiveFailures++
		effect.failed = 1
	case Errored, Rejected:
		effect.failed, effect.maybeFaulty = 1, true
	case Malformed:
		effect.failed = 1
	case Cancelled: // its time was up, or a hedged request was faster
		if b.isSlow(a) {
			effect.failed, effect.maybeFaulty = 1, true
		}
	case ConnectFailed, Reset:
		b.countBrokenConnection(s, a, e.Result)
		effect.failed, effect.connectionFailed = 1, 1
	case ConnectionLimitReached: // a healthy server whose connections other proxies use
		s.backoffUntil = b.now + b.jitter(minServerBackoff)
	}
	return effect
}

// countsAsInTime reports whether an answer that arrives now is in time for the gates. At LevelLate a slow origin makes
// fetches late, which is accepted; a queue at the servers, which shows in what was expected to be a hit, is not.
func (b *Balancer) countsAsInTime(r *request, a *attempt) bool {
	if b.now-r.arrivedAt <= r.class.LatencyObjective {
		return true
	}
	return b.level == LevelLate && r.cacheable && a.path == fetchPath &&
		b.paths[hitPath].gate.admitShare(admissionPrior) == 1
}

// countBrokenConnection ejects a server for a while if its connections break more often than by chance. The end of one
// connection is one failure, whatever waited on it, and does not show that the server has gone as long as others come
// up.
func (b *Balancer) countBrokenConnection(s *server, a *attempt, result Result) {
	if a.sentAt < s.lastFailure {
		return
	}
	s.consecutiveFailures++
	s.lastFailure = b.now
	mayBeGone := result == ConnectFailed || s.consecutiveFailures > 1
	if mayBeGone && b.unlikelyByChance(s.consecutiveFailures) {
		backoff := min(minServerBackoff<<min(s.consecutiveFailures, maxBackoffDoublings), maxServerBackoff)
		s.backoffUntil = b.now + b.jitter(backoff)
	}
}

// saysNothingOfLoad reports whether an outcome must not count at the gates.
func (b *Balancer) saysNothingOfLoad(r *request, s *server, e Outcome, effect outcomeEffect) bool {
	switch e.Result {
	case ConnectFailed, ConnectionLimitReached, Reset, Malformed:
		return true
	case Cancelled:
		// After another attempt has served the request that one counts. A client that gives up before the latency
		// objective shows its patience, not load: gates that shut for it would reject what idle servers could answer.
		if r.served || b.now-r.arrivedAt < r.class.LatencyObjective {
			return true
		}
	}
	return effect.maybeFaulty && b.faultProbability(s, r.Class) >= ejectionProbability
}
