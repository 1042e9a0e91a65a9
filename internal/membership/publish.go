package membership

import (
	"slices"
	"time"
)

// forgetTimerSlack makes the timer fire when the time to forget a node has passed, not just when it ends.
const forgetTimerSlack = time.Millisecond

// merge returns what all sources together report of a node, and the source that decided it.
func (r *Reconciler) merge(name string) (is Node, from string) {
	is = Node{Name: name, Status: Gone}
	listed := false
	worst, worstReason, worstSource := Up, "", ""
	for _, s := range r.sources {
		n := s.nodes[name]
		if n == nil {
			continue
		}
		if n.Status != Gone && !listed {
			listed = true
			is, from = *n, s.Name
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
		return is, from
	}
	if from != worstSource {
		worstReason = worst.String() + " in " + worstSource + " " + worstReason
	}
	is.Status, is.Reason = Draining, worstReason
	return is, worstSource
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
	is, from := r.merge(name)
	n := r.nodes[name]
	if n == nil {
		if is.Status == Gone {
			return
		}
		n = &node{published: Node{Name: name, Status: Gone}}
		r.nodes[name] = n
	}
	if r.settings.InferRestarts {
		if inferred := r.infer(n, &is); inferred != "" {
			reason = inferred
		}
	}
	if reason != "" && is.Reason == "" {
		is.Reason = reason
	}
	r.publish(n, is, from)
}

// publish makes a node what it is from now on, and appends a Change if that is different from before.
func (r *Reconciler) publish(n *node, is Node, from string) {
	previous := n.published.Status
	if !n.differs(&is) {
		return
	}
	if previous == Up && is.Status != Up {
		n.leftAt = r.now
		n.leftByFailure = is.Status == Gone
	}
	if is.Status == Gone {
		n.leftByFailure = true
		if previous == Draining {
			n.leftAt = r.now
		}
	}
	n.known = true
	n.published = is
	if is.Status == Gone && r.settings.InferRestarts {
		r.setTimer(r.settings.Limits.ForgetAfter + forgetTimerSlack)
	}
	r.actions = append(r.actions, Change{Node: is, Source: from, Previous: previous})
}

// differs reports whether a node differs from what is published. Another reason for serving is no difference.
func (n *node) differs(is *Node) bool {
	if !n.known {
		return is.Status != Gone
	}
	same := n.published
	if is.Status == Up {
		same.Reason = is.Reason
	}
	return same != *is
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
