package policy

import "time"

// handlePause excludes a pause of this process that has just ended from the estimates. After a pause all servers look
// slow at once, and all gates look as if nothing had been offered for a long time. So the durations of attempts that
// were in flight are ignored, and the gates keep their counts: a proxy that resumes must not send as if its servers had
// become idle. A gate that was closed for a fault that ended during the pause reopens as fast as it would have without
// the pause.
func (b *Balancer) handlePause(pause time.Duration) {
	for _, r := range b.requests {
		r.spannedPause = true
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.done {
				a.spannedPause = true
				a.hedgeAt += pause
				a.slowAt += pause
			}
		}
	}
	for _, s := range b.servers {
		s.gate.updated += pause
		s.abandonedAt += pause
		s.lastResponse += pause
	}
	for i := range b.paths {
		b.paths[i].gate.updated += pause
	}
	b.handoverGate.updated += pause
}

// learnFromOutcomeAcrossPause records what an attempt that was in flight during a pause shows regardless of time: that
// its server answered, and holds the key now.
func (b *Balancer) learnFromOutcomeAcrossPause(r *request, s *server, result Result) {
	if result != Served {
		return
	}
	r.served = true
	s.lastResponse = b.now
	s.consecutiveFailures, s.backoffUntil = 0, 0
	if r.cacheable {
		s.filter.Add(&r.filterPositions)
	}
}
