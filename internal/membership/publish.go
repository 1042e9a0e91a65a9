package membership

import (
	"slices"
	"time"
)

// forgetTimerSlack makes the timer fire when the time to forget a node has passed, not just when it ends.
const forgetTimerSlack = time.Millisecond

// merge returns what all sources together report of a node, and the source that decided it.
func (r *Reconciler) merge(name string) (merged Node, from string) {
	merged = Node{Name: name, Status: Gone}
	listed := false
	worst, worstReason, worstSource := Up, "", ""
	for _, s := range r.sources {
		n := s.nodes[name]
		if n == nil {
			continue
		}
		if n.Status != Gone && !listed {
			listed = true
			merged, from = *n, s.Name
		}
		// The last report of a retired source that a node leaves counts as long as its list does.
		if n.Status > worst {
			worst, worstReason, worstSource = n.Status, n.Reason, s.Name
		}
	}
	if !listed {
		return Node{Name: name, Status: Gone, Reason: worstReason}, worstSource
	}
	if worst == Up {
		return merged, from
	}
	if from != worstSource {
		worstReason = worst.String() + " in " + worstSource + " " + worstReason
	}
	merged.Status, merged.Reason = Draining, worstReason
	return merged, worstSource
}

// publishAll publishes what has changed of all nodes.
func (r *Reconciler) publishAll() {
	ordered := r.orderedNames()
	for _, name := range ordered {
		r.publishNode(name, "")
	}
	r.releaseHolds(ordered)
	r.sweep()
}

// orderedNames returns in order the names of all nodes that are published or reported.
func (r *Reconciler) orderedNames() []string {
	names := make(map[string]bool, len(r.nodes))
	for _, s := range r.sources {
		for name := range s.nodes {
			names[name] = true
		}
	}
	for name := range r.nodes {
		names[name] = true
	}
	ordered := make([]string, 0, len(names))
	for name := range names {
		ordered = append(ordered, name)
	}
	slices.Sort(ordered)
	return ordered
}

// publishNode publishes a node if it has changed, with a reason where its sources report none.
func (r *Reconciler) publishNode(name, reason string) {
	merged, from := r.merge(name)
	n := r.nodes[name]
	if n == nil {
		if merged.Status == Gone {
			return
		}
		n = &node{published: Node{Name: name, Status: Gone}}
		r.nodes[name] = n
	}
	if r.settings.InferRestarts {
		if inferred := r.infer(n, &merged); inferred != "" {
			reason = inferred
		}
	}
	if reason != "" && merged.Reason == "" {
		merged.Reason = reason
	}
	r.publish(n, merged, from)
}

// publish publishes a node as its sources have it, if that differs from what is published.
func (r *Reconciler) publish(n *node, merged Node, from string) {
	previous := n.published.Status
	if !n.differs(&merged) {
		return
	}
	if previous == Up && merged.Status != Up {
		n.leftAt = r.now
		n.wasGone = merged.Status == Gone
	}
	if merged.Status == Gone { // also after a drain: the absence counts from here
		n.wasGone = true
		if previous == Draining {
			n.leftAt = r.now
		}
	}
	n.everPublished = true
	n.published = merged
	if merged.Status == Gone && r.settings.InferRestarts {
		r.setTimer(r.settings.Limits.ForgetAfter + forgetTimerSlack)
	}
	r.actions = append(r.actions, Change{Node: merged, Source: from, Previous: previous})
}

// differs reports whether a node differs from what is published. Another reason for serving is no difference.
func (n *node) differs(merged *Node) bool {
	if !n.everPublished {
		return merged.Status != Gone
	}
	same := n.published
	if merged.Status == Up {
		same.Reason = merged.Reason
	}
	return same != *merged
}

// sweep forgets reports of nodes that left, once no source lists them.
func (r *Reconciler) sweep() {
	for _, s := range r.sources {
		for name, n := range s.nodes {
			if n.Status == Gone && !r.isListed(name) {
				delete(s.nodes, name)
			}
		}
	}
	if r.settings.InferRestarts {
		return
	}
	for name, n := range r.nodes { // nothing has to be remembered of nodes that left
		if n.published.Status == Gone {
			delete(r.nodes, name)
		}
	}
}

// isListed reports whether a source lists a node that is not gone.
func (r *Reconciler) isListed(name string) bool {
	return slices.ContainsFunc(r.sources, func(s *source) bool {
		n := s.nodes[name]
		return n != nil && n.Status != Gone
	})
}
