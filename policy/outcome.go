package policy

import "time"

// The bounds of the backoff of a server whose connections fail.
const (
	minServerBackoff = 250 * time.Millisecond
	maxServerBackoff = 4 * time.Second

	maxBackoffDoublings = 8 // more would exceed maxServerBackoff in any case
)

// outcomeEffect is what an outcome says about its server and about load. Its numbers are 0 or 1 and are added to
// counts.
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
	case e.Result == NotSent: // the server has not received the attempt, so the result says nothing about the server
		b.observeGates(a, gateSample{offered: -1})
		return
	case a.sentAt < s.StartedAt: // sent before the server's restart
		return
	case a.spannedPause:
		b.learnFromOutcomeAcrossPause(r, s, e.Result)
		return
	}
	if e.Result != Cancelled && e.Result != TimedOut && e.Result != ConnectFailed {
		s.lastResponse = b.now
	}
	b.countFetch(r, a, e)
	effect := b.applyResult(r, a, e)
	b.recordOutcomeHealth(r, a, e.Result, effect)
	if b.isUnrelatedToLoad(r, s, e, effect) {
		b.observeGates(a, gateSample{offered: -1, inTime: effect.inTime})
	} else {
		b.observeGates(a, gateSample{completed: 1, inTime: effect.inTime})
	}
}

// recordOutcomeHealth counts an outcome for the health of its server and for the connection failure rate of all
// servers.
func (b *Balancer) recordOutcomeHealth(r *request, a *attempt, result Result, effect outcomeEffect) {
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

// applyResult makes the updates that depend on the kind of result.
func (b *Balancer) applyResult(r *request, a *attempt, e Outcome) (effect outcomeEffect) {
	s := a.server
	switch e.Result {
	case Served:
		s.consecutiveFailures, s.backoffUntil = 0, 0
		if b.countsAsInTime(r, a) {
			effect.inTime = 1
		}
		b.refillRetryBudget()
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
	case Cancelled: // the request ended first: at the deadline, by its client or by a faster hedged request
		if b.isSlow(a) {
			effect.failed, effect.maybeFaulty = 1, true
		}
	case ConnectFailed, Reset:
		b.countBrokenConnection(s, a, e.Result)
		effect.failed, effect.connectionFailed = 1, 1
	case ConnectionLimitReached: // the server is healthy, but other proxies use all its connections
		s.backoffUntil = b.now + b.jitter(minServerBackoff)
	}
	return effect
}

// countsAsInTime reports whether an answer that arrives now is in time for the gates. At LevelLate fetches that a slow
// origin delays count as in time, but not while there is a queue at the servers, which shows in late hits.
func (b *Balancer) countsAsInTime(r *request, a *attempt) bool {
	if b.now-r.arrivedAt <= r.class.LatencyObjective {
		return true
	}
	return b.level == LevelLate && r.cacheable && a.path == fetchPath &&
		b.paths[hitPath].gate.admitShare(admissionPrior) == 1
}

// countBrokenConnection puts a server into backoff if its connections break more often than by chance. One broken
// connection is one failure, however many attempts waited on it, and does not show that the server is down as long as
// other connections can be opened.
func (b *Balancer) countBrokenConnection(s *server, a *attempt, result Result) {
	if a.sentAt < s.lastFailure {
		return
	}
	s.consecutiveFailures++
	s.lastFailure = b.now
	mayBeDown := result == ConnectFailed || s.consecutiveFailures > 1
	if mayBeDown && b.unlikelyByChance(s.consecutiveFailures) {
		backoff := min(minServerBackoff<<min(s.consecutiveFailures, maxBackoffDoublings), maxServerBackoff)
		s.backoffUntil = b.now + b.jitter(backoff)
	}
}

// isUnrelatedToLoad reports whether an outcome says nothing about load and must not count as completed at the gates.
func (b *Balancer) isUnrelatedToLoad(r *request, s *server, e Outcome, effect outcomeEffect) bool {
	switch e.Result {
	case ConnectFailed, ConnectionLimitReached, Reset, Malformed:
		return true
	case Cancelled:
		// If another attempt has served the request, that attempt counts. A client that gives up before the latency
		// objective says nothing about load: gates that close because of it would reject requests that idle servers
		// could answer.
		if r.served || b.now-r.arrivedAt < r.class.LatencyObjective {
			return true
		}
	}
	return effect.maybeFaulty && b.faultProbability(s, r.Class) >= ejectionProbability
}
