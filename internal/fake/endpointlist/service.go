// Package endpointlist is a fake of the service that notifies proxies of the list of nodes, in the platform's format. It
// talks to each proxy at an address of its own, so that it knows when each was notified of a drain. Close ends its
// goroutines.
package endpointlist

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Entry is a node's entry in the platform's format.
type Entry struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Type          string  `json:"type"`
	Group         int     `json:"group"`
	Status        string  `json:"status"` // up, draining, removed
	Weight        float64 `json:"weight"`
	StartedMillis int64   `json:"since_ms"`
}

// message is one line of a watch: the changes up to a version, or a snapshot.
type message struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// keepaliveInterval is after how long without changes a watch gets an empty line.
const keepaliveInterval = 2 * time.Second

// moveGrace is how long an address that was moved away from keeps its connections.
const moveGrace = 1500 * time.Millisecond

// maxKeptChanges bounds the changes that are kept for watches that resume; older ones get a snapshot.
const maxKeptChanges = 1024

// Service is a fake list service. It is safe for concurrent use.
type Service struct {
	// AddressFor, if set before use, is where a proxy finds a node: the address of an entry may differ
	// from one proxy to the next.
	AddressFor func(proxy int, e *Entry) string

	mu              sync.Mutex
	changed         chan struct{} // closed at each change
	index           uint64
	entries         map[string]Entry
	changes         []message // changes, in order
	down            bool
	listeners       map[int]*proxyListener
	leaving         []*proxyListener
	drainNotifiedAt map[int]map[string]time.Time // proxy, node: of a drain that is on
	isNotified      map[int]map[string]bool      // proxy, node: it has been told of it
	tasks           sync.WaitGroup
	timers          map[*time.Timer]struct{}
	closed          bool
}

// proxyListener is the address of one proxy.
type proxyListener struct {
	listener net.Listener
	server   *http.Server
	end      chan struct{} // closed to end its watches
}

// New returns a service with a list of entries.
func New(entries []Entry) *Service {
	s := &Service{changed: make(chan struct{}), index: 1, entries: make(map[string]Entry), listeners: make(map[int]*proxyListener),
		drainNotifiedAt: make(map[int]map[string]time.Time), isNotified: make(map[int]map[string]bool), timers: make(map[*time.Timer]struct{})}
	for _, e := range entries {
		s.entries[e.Name] = e
	}
	return s
}

// Open returns the address for a proxy, and opens it if need be.
func (s *Service) Open(proxy int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.listeners[proxy]; d != nil {
		return d.listener.Addr().String(), nil
	}
	return s.open(proxy)
}

// open opens an address for a proxy. s.mu is held.
func (s *Service) open(proxy int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d := &proxyListener{listener: listener, end: make(chan struct{})}
	d.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(proxy, d, w, r) })}
	s.listeners[proxy] = d
	s.tasks.Go(func() { d.server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Move opens another address for a proxy. The old one accepts no new connection, and ends those that it has after a
// while.
func (s *Service) Move(proxy int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.listeners[proxy]
	address, err := s.open(proxy)
	if err != nil || old == nil {
		return address, err
	}
	old.listener.Close()
	s.leaving = append(s.leaving, old)
	var timer *time.Timer
	timer = time.AfterFunc(moveGrace, func() {
		s.mu.Lock()
		delete(s.timers, timer)
		s.leaving = slices.DeleteFunc(s.leaving, func(d *proxyListener) bool { return d == old })
		s.mu.Unlock()
		close(old.end)
		old.server.Close()
	})
	s.timers[timer] = struct{}{}
	return address, nil
}

// Close ends the service.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	var ending []*proxyListener
	for timer := range s.timers {
		timer.Stop()
	}
	ending = append(ending, s.leaving...)
	for _, d := range s.listeners {
		ending = append(ending, d)
	}
	s.leaving, s.listeners = nil, make(map[int]*proxyListener)
	s.mu.Unlock()
	for _, d := range ending {
		close(d.end)
		d.server.Close()
	}
	s.tasks.Wait()
}

// Set changes entries, adds new ones, and removes those with the status removed.
func (s *Service) Set(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	for _, e := range entries {
		if e.Status == "removed" {
			delete(s.entries, e.Name)
		} else {
			s.entries[e.Name] = e
		}
	}
	s.changes = append(s.changes, message{Index: s.index, Endpoints: slices.Clone(entries)})
	if len(s.changes) > maxKeptChanges {
		s.changes = s.changes[len(s.changes)-maxKeptChanges:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown takes the service down, which ends watches and fails requests, or brings it back.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// DrainNotifiedAt returns since when a proxy knows that a node drains or is gone; false if it was not notified, or was
// notified since that the node is up.
func (s *Service) DrainNotifiedAt(proxy int, node string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.drainNotifiedAt[proxy][node]
	return at, ok
}

// changesSince returns what changed after a version, and a channel that is closed at the next change; false if the
// service is down.
func (s *Service) changesSince(from uint64) (message, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := message{Index: s.index}
	switch {
	case s.down || s.closed:
		return m, s.changed, false
	case from == s.index:
		return m, s.changed, true
	case from == 0 || from > s.index || len(s.changes) == 0 || from < s.changes[0].Index-1:
		m.Snapshot = true
		for _, e := range s.entries {
			m.Endpoints = append(m.Endpoints, e)
		}
		return m, s.changed, true
	}
	latest := make(map[string]int)
	for _, c := range s.changes {
		if c.Index <= from {
			continue
		}
		for _, e := range c.Endpoints {
			if i, ok := latest[e.Name]; ok {
				m.Endpoints[i] = e
				continue
			}
			latest[e.Name] = len(m.Endpoints)
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m, s.changed, true
}

// noteNotification notes what a proxy is notified of. It is called before the write, so that a drain counts from no
// later than the notification.
func (s *Service) noteNotification(proxy int, m *message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told, named := s.drainNotifiedAt[proxy], s.isNotified[proxy]
	if told == nil {
		told, named = make(map[string]time.Time), make(map[string]bool)
		s.drainNotifiedAt[proxy], s.isNotified[proxy] = told, named
	}
	now := time.Now()
	gone := func(name string) {
		if _, known := told[name]; !known {
			told[name] = now
		}
	}
	there := make(map[string]bool, len(m.Endpoints))
	for _, e := range m.Endpoints {
		named[e.Name], there[e.Name] = true, true
		if e.Status == "up" {
			delete(told, e.Name)
		} else {
			gone(e.Name)
		}
	}
	for name := range named {
		if m.Snapshot && !there[name] {
			gone(name)
		}
	}
}

func (s *Service) serve(proxy int, d *proxyListener, w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if r.URL.Path != "/api/targets" || r.FormValue("from") != "" && err != nil {
		http.NotFound(w, r)
		return
	}
	m, changed, up := s.changesSince(from)
	if !up {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	watch := r.FormValue("watch") == "1"
	out := json.NewEncoder(w)
	for first := true; ; first = false {
		if len(m.Endpoints) > 0 || first {
			if m.Endpoints == nil { // nothing is new; null would be no list
				m.Endpoints = []Entry{}
			}
			s.noteNotification(proxy, &m)
			if s.AddressFor != nil {
				m.Endpoints = slices.Clone(m.Endpoints) // the log's own hold the real addresses
				for i := range m.Endpoints {
					m.Endpoints[i].Address = s.AddressFor(proxy, &m.Endpoints[i])
				}
			}
			if out.Encode(m) != nil {
				return
			}
		} else {
			fmt.Fprintln(w)
		}
		if !watch {
			return
		}
		w.(http.Flusher).Flush()
		from = m.Index
		select {
		case <-changed:
		case <-time.After(keepaliveInterval):
		case <-d.end:
			return
		case <-r.Context().Done():
			return
		}
		if m, changed, up = s.changesSince(from); !up {
			return
		}
	}
}
