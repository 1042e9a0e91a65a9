package policy

import "time"

// This file holds what a stop of the whole proxy means: it is no sign of any server. To one that
// wakes all servers look slow at once, and all gates as if nothing had been asked for long.

// handlePause keeps a stop that has just ended out of all that is learnt. What is out can't tell any
// more how long its answer took, and the gates remember what was before: a proxy that wakes must
// not send as if its servers had become idle. It should cover machines that sleep, too. It
// might hurt where a gate was shut for a trouble that ended meanwhile: it opens as fast as it would
// have then.
func (b *Balancer) handlePause(d time.Duration) {
	for _, r := range b.requests {
		r.spannedPause = true
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.done {
				a.spannedPause = true
				a.hedgeAt, a.slowAt = a.hedgeAt+d, a.slowAt+d
			}
		}
	}
	for _, s := range b.servers {
		s.gate.updated += d
		s.abandonedAt += d
		s.lastResponse += d
	}
	for _, g := range b.gates {
		g.updated += d
	}
	b.handoverGate.updated += d
}

// learnAcrossPause takes of an attempt that was out in a stop what no time is needed for: that its
// server answered, and has the key now.
func (b *Balancer) learnAcrossPause(r *request, s *server, result Result) {
	if result != Served {
		return
	}
	r.served, s.lastResponse = true, b.now
	s.consecutiveFailures, s.backoffUntil = 0, 0
	if r.cacheable {
		s.filter.Add(&r.filterPositions)
	}
}
