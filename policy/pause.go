package policy

import "time"

// handlePause keeps a pause of this process that has just ended out of all that is learnt. After a pause all servers
// look slow at once, and all gates as if nothing had been offered for long. The duration of what was in flight says
// nothing any more, and the gates remember what was before: a proxy that resumes must not send as if its servers had
// become idle. Where a gate was shut for a fault that ended meanwhile, it opens as fast as it would have done then.
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

// learnAcrossPause learns from an attempt that was in flight in a pause what does not depend on time: that its server
// answered, and holds the key now.
func (b *Balancer) learnAcrossPause(r *request, s *server, result Result) {
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
