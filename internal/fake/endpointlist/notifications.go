package endpointlist

import "time"

// notifications records what one proxy has been notified of.
type notifications struct {
	known            map[string]bool      // nodes that the proxy has been notified of
	unavailableSince map[string]time.Time // when first notified that a node drains or is gone, by node
}

func newNotifications() *notifications {
	return &notifications{known: make(map[string]bool), unavailableSince: make(map[string]time.Time)}
}

// DrainNotifiedAt returns when a proxy was notified that a node is draining or gone. It returns false if the proxy was
// not notified, or was notified later that the node is up again.
func (s *Service) DrainNotifiedAt(proxy int, node string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notified[proxy]
	if n == nil {
		return time.Time{}, false
	}
	at, ok := n.unavailableSince[node]
	return at, ok
}

// recordNotification records the content of a message to a proxy. It must be called before the message is written:
// otherwise the recorded time of a drain could be later than the time at which the proxy receives it.
func (s *Service) recordNotification(proxy int, m *message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notified[proxy]
	if n == nil {
		n = newNotifications()
		s.notified[proxy] = n
	}
	n.record(m, time.Now())
}

func (n *notifications) record(m *message, now time.Time) {
	listed := make(map[string]bool, len(m.Endpoints))
	for _, e := range m.Endpoints {
		n.known[e.Name] = true
		listed[e.Name] = true
		if e.Status == statusUp {
			delete(n.unavailableSince, e.Name)
		} else {
			n.markUnavailable(e.Name, now)
		}
	}
	if !m.Snapshot {
		return
	}
	for name := range n.known {
		if !listed[name] {
			n.markUnavailable(name, now)
		}
	}
}

func (n *notifications) markUnavailable(node string, now time.Time) {
	if _, marked := n.unavailableSince[node]; !marked {
		n.unavailableSince[node] = now
	}
}
