package membership

import (
	"maps"
	"slices"
	"time"
)

// source is the state of one source.
type source struct {
	Source
	retired     bool // no longer configured, but kept until the configured sources have delivered their lists
	hasReported bool
	hasComplete bool                     // the source has delivered a complete list
	nodes       map[string]*Node         // latest reports; Gone ones are kept while another source lists the node
	losses      map[string]time.Duration // nodes that left within CollapseWindow, and when
	pending     *pendingRemovals         // nil for none
}

func (r *Reconciler) source(name string) *source {
	for _, s := range r.sources {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// setSources replaces the configured sources. Sources that are no longer configured are retired: their reports count
// until the others have delivered a complete list, so that no drain that they announce is missed.
func (r *Reconciler) setSources(configured []Source) {
	var next []*source
	for _, c := range configured {
		s := r.source(c.Name)
		if s == nil {
			s = &source{nodes: make(map[string]*Node), losses: make(map[string]time.Duration)}
		}
		s.Source, s.retired = c, false
		next = append(next, s)
	}
	for _, s := range r.sources {
		if !slices.Contains(next, s) && s.hasReported {
			s.retired = true
			next = append(next, s)
		}
	}
	r.sources = next
	r.dropRetired()
}

// dropRetired drops retired sources once all others have delivered a complete list. Until then a configured source's
// report on a node replaces the retired sources' reports on it, because a source may begin with changes to a list
// that it assumes the proxy already has.
func (r *Reconciler) dropRetired() {
	for _, s := range r.sources {
		if !s.retired && !s.hasComplete {
			return
		}
	}
	r.sources = slices.DeleteFunc(r.sources, func(s *source) bool { return s.retired })
}

// listReceived stores a list, handles the nodes that it lacks, and publishes the resulting changes.
func (r *Reconciler) listReceived(s *source, e ListReceived) {
	r.expirePending()
	names := s.update(e.Nodes, r.now)
	r.firstList = !s.hasReported
	awaitedComplete := !s.hasComplete
	s.hasReported = true
	s.hasComplete = s.hasComplete || e.Complete
	if !s.retired {
		r.overrideRetired(names)
	}
	if e.Complete {
		r.handleMissing(s, e, s.missing(names))
	}
	s.confirmPresent(names)
	if awaitedComplete {
		r.dropRetired()
	}
	r.publishAll()
	r.firstList = false
}

// update stores the reports of a list, records which nodes it reports as newly gone, and returns the names in it.
func (s *source) update(nodes []Node, now time.Duration) (names map[string]bool) {
	names = make(map[string]bool, len(nodes))
	for i := range nodes {
		n := nodes[i]
		names[n.Name] = true
		if n.Status != Gone {
			delete(s.losses, n.Name)
		} else if before := s.nodes[n.Name]; before != nil && before.Status != Gone {
			s.losses[n.Name] = now
		}
		s.nodes[n.Name] = &n
	}
	return names
}

// overrideRetired removes the retired sources' reports on the named nodes, which a configured source has reported.
func (r *Reconciler) overrideRetired(names map[string]bool) {
	for _, other := range r.sources {
		if other.retired {
			maps.DeleteFunc(other.nodes, func(name string, _ *Node) bool { return names[name] })
		}
	}
}

// missing returns the sorted names of the nodes that the source listed and that are not among names.
func (s *source) missing(names map[string]bool) (missing []string) {
	for name, n := range s.nodes {
		if !names[name] && n.Status != Gone {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// remove records that a node is gone, as if the source had reported it.
func (s *source) remove(name string, now time.Duration, reason string) {
	s.nodes[name] = &Node{Name: name, Status: Gone, Reason: reason}
	s.losses[name] = now
}
