// Package endpointlist is a fake of the service that gives proxies the list of nodes, in the platform's format: a list
// on request, and watches that deliver changes. It guarantees:
//
//  1. It serves each proxy at an address of its own, so it knows when each was first notified that a node is draining
//     or gone.
//  2. A watch that resumes from an index gets the changes since then, or the complete list if these are no longer
//     retained.
//  3. A service that is down ends its watches and fails requests.
//
// A Service owns its listeners, HTTP servers and timers; [Service.Close] ends them and waits for the listeners.
package endpointlist

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// retiredAddressLifetime is the time after Move for which the old address of a proxy keeps its open connections.
	retiredAddressLifetime = 1500 * time.Millisecond

	headerTimeout = 5 * time.Second
	maxHeaderSize = 16 << 10 // bytes
)

// Service is a fake list service. It is safe for concurrent use.
type Service struct {
	// AddressFor, if set before use, returns the address under which a proxy reaches a node, which may differ between
	// proxies. If it is nil, proxies get the address in the entry.
	AddressFor func(proxy int, e *Entry) string

	mu        sync.Mutex
	changed   chan struct{} // closed at each change
	index     uint64
	entries   map[string]Entry
	log       []message // changes, oldest first
	down      bool
	listeners map[int]*proxyListener
	retired   []*proxyListener // listeners that Move has replaced, until they close
	notified  map[int]*notifications
	tasks     sync.WaitGroup
	timers    map[*time.Timer]struct{}
	closed    bool
}

// proxyListener serves one proxy.
type proxyListener struct {
	listener net.Listener
	server   *http.Server
	closing  chan struct{} // closed to end the proxy's watches
}

func (l *proxyListener) close() {
	close(l.closing)
	l.server.Close()
}

// New returns a service with a list of entries.
func New(entries []Entry) *Service {
	s := &Service{
		changed:   make(chan struct{}),
		index:     1,
		entries:   make(map[string]Entry),
		listeners: make(map[int]*proxyListener),
		notified:  make(map[int]*notifications),
		timers:    make(map[*time.Timer]struct{}),
	}
	for _, e := range entries {
		s.entries[e.Name] = e
	}
	return s
}

// Open returns the address for a proxy. The first call for a proxy starts to listen.
func (s *Service) Open(proxy int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.listeners[proxy]; l != nil {
		return l.listener.Addr().String(), nil
	}
	return s.listen(proxy)
}

// listen opens a new address for a proxy. s.mu is held.
func (s *Service) listen(proxy int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("fake endpoint list: listen for proxy %d: %w", proxy, err)
	}
	l := &proxyListener{listener: listener, closing: make(chan struct{})}
	handler := func(w http.ResponseWriter, r *http.Request) { s.serve(proxy, l, w, r) }
	l.server = &http.Server{
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		Handler:           http.HandlerFunc(handler),
	}
	s.listeners[proxy] = l
	s.tasks.Go(func() { l.server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Move opens a new address for a proxy. The old address accepts no new connections, and closes the open ones after
// retiredAddressLifetime.
func (s *Service) Move(proxy int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.listeners[proxy]
	address, err := s.listen(proxy)
	if err != nil || old == nil {
		return address, err
	}
	old.listener.Close()
	s.retired = append(s.retired, old)
	var timer *time.Timer
	timer = time.AfterFunc(retiredAddressLifetime, func() {
		s.mu.Lock()
		delete(s.timers, timer)
		s.retired = slices.DeleteFunc(s.retired, func(l *proxyListener) bool { return l == old })
		s.mu.Unlock()
		old.close()
	})
	s.timers[timer] = struct{}{}
	return address, nil
}

// Close closes all addresses, stops the timers and waits for the listeners' goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	for timer := range s.timers {
		timer.Stop()
	}
	closing := slices.Clone(s.retired)
	for _, l := range s.listeners {
		closing = append(closing, l)
	}
	s.retired = nil
	s.listeners = make(map[int]*proxyListener)
	s.mu.Unlock()
	for _, l := range closing {
		l.close()
	}
	s.tasks.Wait()
}

// SetDown takes the service down, which ends watches and fails requests, or brings it up again.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// wakeWatches makes all watches look for changes. s.mu is held.
func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
