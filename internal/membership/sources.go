package membership

import (
	"maps"
	"slices"
	"time"
)

// source is the state of one source.
type source struct {
	Source
	retired     bool // no longer configured, but others have not delivered their lists yet
	hasReported bool
	hasComplete bool                     // a complete list was among its reports
	nodes       map[string]*Node         // its latest reports; Gone ones as long as other sources list the node
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

// setSources puts sources into their order. Those that are no longer configured are retired: their reports count
// until the others have delivered a list, since a drain that they announce must not be missed.
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

// dropRetired drops retired sources once all others have delivered a complete list. Until then a report of the others
// replaces what retired ones reported of the same node: a source may begin with what has changed since a list that
// it takes to be known.
func (r *Reconciler) dropRetired() {
	for _, s := range r.sources {
		if !s.retired && !s.hasComplete {
			return
		}
	}
	r.sources = slices.DeleteFunc(r.sources, func(s *source) bool { return s.retired })
}

// listReceived stores a list, decides on the nodes that it lacks, and publishes what follows.
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

// update stores the reports of a list, and returns the names in it.
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

// overrideRetired removes the reports of retired sources on nodes of which another source has reported.
func (r *Reconciler) overrideRetired(names map[string]bool) {
	for _, other := range r.sources {
		if other.retired {
			maps.DeleteFunc(other.nodes, func(name string, _ *Node) bool { return names[name] })
		}
	}
}

// missing returns in order the nodes that were there and are not among names.
func (s *source) missing(names map[string]bool) (missing []string) {
	for name, n := range s.nodes {
		if !names[name] && n.Status != Gone {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// remove records a node as if the source had reported it gone.
func (s *source) remove(name string, now time.Duration, reason string) {
	s.nodes[name] = &Node{Name: name, Status: Gone, Reason: reason}
	s.losses[name] = now
}
