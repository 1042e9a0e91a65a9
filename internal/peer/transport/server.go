package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// minTickWait is the shortest wait for a watcher's next tick.
const minTickWait = time.Millisecond

// Server is a watcher. It is an [http.Handler] for heartbeats, and safe for concurrent use.
type Server struct {
	fleet       string
	incarnation uint64
	clock       func() time.Duration

	mu               sync.Mutex
	detector         *peer.Detector
	notifiedVersion  uint64        // the version at which changed was last closed
	changed          chan struct{} // closed on the next change of the opinion
	connections      map[net.Conn]uint64
	lastConnectionID uint64
	stopped          bool
}

// connectionKey is the context key of a connection's ID.
type connectionKey struct{}

// NewServer returns a watcher without members. The HTTP server that passes requests to the watcher must use the
// watcher's ConnContext and ConnState.
func NewServer(fleet string, clock func() time.Duration) *Server {
	return &Server{
		fleet:       fleet,
		incarnation: rand.Uint64() | 1,
		clock:       clock,
		detector:    peer.NewDetector(peer.DefaultParameters, clock()),
		changed:     make(chan struct{}),
		connections: make(map[net.Conn]uint64),
	}
}

// ConnContext assigns an ID to a connection. It is used as [http.Server.ConnContext].
func (s *Server) ConnContext(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnectionID++
	s.connections[c] = s.lastConnectionID
	return context.WithValue(ctx, connectionKey{}, s.lastConnectionID)
}

// ConnState records the end of a connection. It is used as [http.Server.ConnState].
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.connections[c]; ok {
		delete(s.connections, c)
		s.handle(peer.ConnectionLost{ConnectionID: id})
	}
}

// handle passes an event to the detector, and wakes the requests that wait for a change. s.mu is held.
func (s *Server) handle(e peer.Event) peer.HeartbeatResult {
	if s.stopped {
		return peer.Accepted
	}
	result := s.detector.Handle(s.clock(), e)
	if v := s.detector.Version(); v != s.notifiedVersion {
		s.notifiedVersion = v
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return result
}

// Stop makes the watcher ignore further events. It is called before the HTTP server is closed: otherwise the watcher
// would treat the connections that close first as ended processes, and report that on the remaining ones.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Run sends ticks to the detector until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for {
		s.mu.Lock()
		s.handle(peer.Tick{})
		now := s.clock()
		wait := s.detector.NextTick(now) - now
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed: // the next tick may be due earlier
		case <-time.After(max(wait, minTickWait)):
		}
	}
}

// ServeHTTP handles a heartbeat. It responds once something has changed or a heartbeat interval has passed, and
// without delay to a rejected heartbeat.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in heartbeat
	if !rpc.ReadRequest(w, r, s.fleet, &in) {
		return
	}
	connectionID, _ := r.Context().Value(connectionKey{}).(uint64)
	s.mu.Lock()
	result := s.handle(peer.Heartbeat{Member: in.Member, ConnectionID: connectionID})
	s.mu.Unlock()
	if result == peer.Accepted && !s.waitForChange(r.Context(), &in) {
		s.mu.Lock()
		s.handle(peer.ConnectionLost{ConnectionID: connectionID})
		s.mu.Unlock()
		return
	}
	rpc.WriteResponse(w, s.report(result, &in))
}

// waitForChange waits until the opinion differs from the version that the sender knows, or for a heartbeat interval. It
// returns false if ctx ends first, as the connection or this server is closed.
func (s *Server) waitForChange(ctx context.Context, in *heartbeat) bool {
	timer := time.NewTimer(peer.DefaultParameters.HeartbeatInterval)
	defer timer.Stop()
	for {
		s.mu.Lock()
		isKnown := in.ServerIncarnation == s.incarnation && in.KnownVersion == s.notifiedVersion
		changed := s.changed
		s.mu.Unlock()
		if !isKnown {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// report returns the report for the sender, with the changes since the version that it knows.
func (s *Server) report(result peer.HeartbeatResult, in *heartbeat) report {
	known := in.KnownVersion
	if in.ServerIncarnation != s.incarnation {
		known = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := report{Result: result, ServerIncarnation: s.incarnation, Version: s.notifiedVersion}
	out.Members, out.Complete = s.detector.ChangedSince(known)
	return out
}

// Members returns all members and their states in this watcher's opinion, sorted by name.
func (s *Server) Members() []peer.MemberState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Members()
}
