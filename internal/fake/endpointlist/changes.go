package endpointlist

import "slices"

// Entry is a node's entry in the platform's format.
type Entry struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Type          string  `json:"type"`
	Group         int     `json:"group"`
	Status        string  `json:"status"` // up, draining or removed
	Weight        float64 `json:"weight"`
	StartedMillis int64   `json:"since_ms"` // Unix time of the node's start, in ms
}

const (
	statusUp      = "up"
	statusRemoved = "removed"
)

// message is what a proxy receives: the complete list (a snapshot), or changes.
type message struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// maxLogLength is the number of changes that are retained for watches that resume. A watch from an index before them
// gets a snapshot.
const maxLogLength = 1024

// Set publishes changes in one step: new entries, changed entries, or entries with the status removed.
func (s *Service) Set(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	for _, e := range entries {
		if e.Status == statusRemoved {
			delete(s.entries, e.Name)
		} else {
			s.entries[e.Name] = e
		}
	}
	s.log = append(s.log, message{Index: s.index, Endpoints: slices.Clone(entries)})
	if len(s.log) > maxLogLength {
		s.log = s.log[len(s.log)-maxLogLength:]
	}
	s.wakeWatches()
}

// changesSince returns the changes after an index, and a channel that is closed at the next change. It returns false if
// the service is down.
func (s *Service) changesSince(index uint64) (m message, changed <-chan struct{}, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m = message{Index: s.index}
	switch {
	case s.down || s.closed:
		return m, s.changed, false
	case index == s.index:
	case !s.isLogged(index):
		m.Snapshot = true
		for _, e := range s.entries {
			m.Endpoints = append(m.Endpoints, e)
		}
	default:
		m.Endpoints = s.loggedSince(index)
	}
	return m, s.changed, true
}

// isLogged reports whether the log has all changes after an index. s.mu is held.
func (s *Service) isLogged(index uint64) bool {
	return index != 0 && index <= s.index && len(s.log) > 0 && index >= s.log[0].Index-1
}

// loggedSince returns the latest change of each entry that changed after an index. s.mu is held.
func (s *Service) loggedSince(index uint64) (entries []Entry) {
	positions := make(map[string]int) // in entries, by name
	for _, change := range s.log {
		if change.Index <= index {
			continue
		}
		for _, e := range change.Endpoints {
			if position, ok := positions[e.Name]; ok {
				entries[position] = e
				continue
			}
			positions[e.Name] = len(entries)
			entries = append(entries, e)
		}
	}
	return entries
}
