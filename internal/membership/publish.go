package membership

import (
	"slices"
	"time"
)

// forgetTimerSlack delays the timer beyond ForgetAfter, since a node is forgotten only once more than ForgetAfter has
// passed.
const forgetTimerSlack = time.Millisecond

// merge combines the reports of all sources on a node, and returns the result and the source that decided it.
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
		// A retired source's last report that a node is draining or gone counts until the source is dropped.
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

// mergeUnlessReplaced is like merge, but a node is gone if another one has taken its address.
func (r *Reconciler) mergeUnlessReplaced(name string) (merged Node, from string) {
	merged, from = r.merge(name)
	if merged.Status == Gone {
		return merged, from
	}
	if replacedBy := r.claimAddress(&merged); replacedBy != "" {
		merged = Node{Name: name, Status: Gone, Reason: "its address was taken by " + replacedBy}
	}
	return merged, from
}

// publishAll publishes all nodes that have changed, then releases hold-downs if no node serves.
func (r *Reconciler) publishAll() {
	ordered := r.orderedNames()
	r.ownersChanged = false
	for _, name := range ordered {
		r.publishNode(name, "")
	}
	if r.ownersChanged { // the previous owners may have been published before the new ones
		for _, name := range ordered {
			r.publishNode(name, "")
		}
	}
	r.releaseHolds(ordered)
	r.sweep()
}

// orderedNames returns the sorted names of all nodes that are published or reported.
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

// publishNode publishes a node if it has changed. reason is published if the sources report no reason.
func (r *Reconciler) publishNode(name, reason string) {
	merged, from := r.mergeUnlessReplaced(name)
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

// publish publishes the merged state of a node if it differs from the published one.
func (r *Reconciler) publish(n *node, merged Node, from string) {
	previous := n.published.Status
	if !n.differs(&merged) {
		return
	}
	if previous == Up && merged.Status != Up {
		n.leftAt = r.now
		n.wasGone = merged.Status == Gone
	}
	if merged.Status == Gone { // a drained node counts as absent only from now on
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

// differs reports whether the merged state of a node differs from the published one. For a node that is up, a
// different reason alone does not count.
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

// sweep deletes reports of nodes that left and that no source lists any more.
func (r *Reconciler) sweep() {
	r.sweepOwners()
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
	for name, n := range r.nodes { // without inferred restarts, nodes that left need no state
		if n.published.Status == Gone {
			delete(r.nodes, name)
		}
	}
}

// isListed reports whether any source lists a node as not gone.
func (r *Reconciler) isListed(name string) bool {
	return slices.ContainsFunc(r.sources, func(s *source) bool {
		n := s.nodes[name]
		return n != nil && n.Status != Gone
	})
}
