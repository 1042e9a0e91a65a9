package membership

import (
	"maps"
	"time"
)

// This file decides whether nodes missing from a complete list are gone, or the list has collapsed and the source has
// to confirm the loss (rules 2 and 3).

// refetchInterval is the shortest time between the request of a failed refetch and the request of the next one.
const refetchInterval = 250 * time.Millisecond

// pendingRemovals are the unconfirmed nodes of a source: they are missing from its collapsed list, and their last
// reports stay in force.
type pendingRemovals struct {
	since         time.Duration
	until         time.Duration
	lastRefetch   time.Duration // when the last refetch was requested
	names         map[string]bool
	listEmpty     bool
	refetchFailed bool
}

func (p *pendingRemovals) add(names []string) {
	for _, name := range names {
		p.names[name] = true
	}
}

// handleMissing removes the nodes that a complete list lacks, or makes them unconfirmed if the list has collapsed.
func (r *Reconciler) handleMissing(s *source, e ListReceived, missing []string) {
	if len(missing) == 0 {
		return
	}
	remaining := countPresent(e.Nodes)
	removeAll := func() {
		for _, name := range missing {
			s.remove(name, r.now, "not in the list")
		}
	}
	switch p := s.pending; {
	case !s.NeedsConfirmation, p == nil && !r.hasCollapsed(s, remaining, len(missing)):
		removeAll()
	case p == nil:
		r.startConfirmation(s, remaining, missing)
	case e.Refetched && remaining > 0: // the refetched list confirms the loss
		s.pending = nil
		removeAll()
	default:
		r.extendConfirmation(s, remaining, missing)
	}
}

func countPresent(nodes []Node) (count int) {
	for i := range nodes {
		if nodes[i].Status != Gone {
			count++
		}
	}
	return count
}

// startConfirmation makes the missing nodes of a collapsed list unconfirmed, and requests a refetch.
func (r *Reconciler) startConfirmation(s *source, remaining int, missing []string) {
	limits := &r.settings.Limits
	p := &pendingRemovals{
		since:     r.now,
		until:     r.now + limits.ConfirmTimeout,
		names:     make(map[string]bool),
		listEmpty: remaining == 0,
	}
	if p.listEmpty {
		p.until = r.now + limits.FailedConfirmTimeout
	}
	p.add(missing)
	s.pending = p
	r.refetch(s)
	r.setTimer(p.until - r.now)
}

// extendConfirmation handles a list that arrives during a confirmation and does not confirm the loss, as it shows the
// same collapse or lacks more nodes.
func (r *Reconciler) extendConfirmation(s *source, remaining int, missing []string) {
	p := s.pending
	if remaining > 0 && p.listEmpty { // no longer empty: ConfirmTimeout applies to the nodes still missing
		p.listEmpty = false
		p.until = min(p.until, r.now+r.settings.Limits.ConfirmTimeout)
		r.refetch(s)
		r.setTimer(r.settings.Limits.ConfirmTimeout)
	}
	p.listEmpty = p.listEmpty || remaining == 0
	p.add(missing)
}

// confirmPresent ends the confirmation of the nodes that a list contains.
func (s *source) confirmPresent(names map[string]bool) {
	if s.pending == nil {
		return
	}
	for name := range names {
		delete(s.pending.names, name)
	}
	if len(s.pending.names) == 0 {
		s.pending = nil
	}
}

// refetch requests the list of a source again. A confirmation must be pending.
func (r *Reconciler) refetch(s *source) {
	s.pending.lastRefetch = r.now
	r.actions = append(r.actions, Refetch{s.Name})
}

// refetchFailed extends the pending confirmation of a source to FailedConfirmTimeout and schedules the next refetch. s
// is nil for an unknown source.
func (r *Reconciler) refetchFailed(s *source) {
	if s == nil || s.pending == nil {
		return
	}
	if p := s.pending; !p.refetchFailed {
		p.refetchFailed = true
		p.until = p.since + r.settings.Limits.FailedConfirmTimeout
		r.setTimer(r.settings.Limits.FailedConfirmTimeout)
	}
	r.setTimer(refetchInterval)
}

// retryRefetches requests another refetch from each source whose refetch has failed, refetchInterval after the last
// request.
func (r *Reconciler) retryRefetches() {
	for _, s := range r.sources {
		if s.pending != nil && s.pending.refetchFailed && r.now-s.pending.lastRefetch >= refetchInterval {
			r.refetch(s)
		}
	}
}

// hasCollapsed reports whether less than MinRemainingShare of a list is left. The loss of a single node within
// CollapseWindow is never a collapse, even if it was the last node.
func (r *Reconciler) hasCollapsed(s *source, remaining, missing int) bool {
	window := r.settings.Limits.CollapseWindow
	maps.DeleteFunc(s.losses, func(_ string, lostAt time.Duration) bool { return r.now-lostAt > window })
	if missing == 1 && len(s.losses) == 0 {
		return false
	}
	sizeBefore := remaining + missing + len(s.losses)
	return float64(remaining) < r.settings.Limits.MinRemainingShare*float64(sizeBefore)
}

// expirePending removes the nodes whose confirmation has timed out.
func (r *Reconciler) expirePending() {
	for _, s := range r.sources {
		p := s.pending
		if p == nil || r.now < p.until {
			continue
		}
		for name := range p.names {
			s.remove(name, r.now, "not in the list for "+(r.now-p.since).Round(time.Millisecond).String())
		}
		s.pending = nil
	}
}
