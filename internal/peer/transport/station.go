// Package transport carries out what package peer decides, in real processes: instances that beat at the fleet's watchers,
// and watchers that tell them what they hold of all. A beat is a request that is answered when something has changed,
// or a beat's time later: so changes are told at once, and one exchange is under way at a time on each link.
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

// HeartbeatPath is where watchers take beats.
const HeartbeatPath = "/v1/beat"

// beat is what an instance says, and report what a watcher answers.
type beat struct {
	rpc.Header
	Member peer.Member `cbor:"3,keyasint"`
	Boot   uint64      `cbor:"4,keyasint,omitempty"` // of the watcher, whose opinion is known
	Known  uint64      `cbor:"5,keyasint,omitempty"` // its version
}

type report struct {
	Answer  peer.HeartbeatResult `cbor:"1,keyasint"`
	Boot    uint64               `cbor:"2,keyasint"`
	Version uint64               `cbor:"3,keyasint"`
	Whole   bool                 `cbor:"4,keyasint,omitempty"` // List is of all; else of those that have changed since what is known
	List    []peer.MemberState   `cbor:"5,keyasint,omitempty"`
}

// Server is a watcher at work. It is safe for concurrent use.
type Server struct {
	fleet string
	boot  uint64
	clock func() time.Duration

	mu      sync.Mutex
	watch   *peer.Detector
	version uint64 // that changed was closed for last
	changed chan struct{}
	conns   map[net.Conn]uint64
	last    uint64 // of them
	stopped bool
}

// connKey finds a connection's number in a request's context.
type connKey struct{}

// NewServer returns a watcher. Its server is to have its ConnContext and ConnState.
func NewServer(fleet string, clock func() time.Duration) *Server {
	return &Server{fleet: fleet, boot: rand.Uint64() | 1, clock: clock, watch: peer.NewDetector(peer.DefaultParameters, clock()), changed: make(chan struct{}),
		conns: make(map[net.Conn]uint64)}
}

// ConnContext numbers a connection.
func (s *Server) ConnContext(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.conns[c] = s.last
	return context.WithValue(ctx, connKey{}, s.last)
}

// ConnState hears of a connection's end.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.handle(peer.ConnectionLost{ConnectionID: n})
	}
}

// handle tells the watch something, and those who wait what came of it. s.mu is held.
func (s *Server) handle(e peer.Event) peer.HeartbeatResult {
	if s.stopped {
		return peer.Accepted
	}
	answer := s.watch.Handle(s.clock(), e)
	if v := s.watch.Version(); v != s.version {
		s.version = v
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return answer
}

// Stop has the watcher say nothing more: as its connections are closed, one after another, it would hold those who are
// closed first for dead, and tell the others.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Run lets time pass until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for {
		s.mu.Lock()
		s.handle(peer.Tick{})
		now := s.clock()
		wait, changed := s.watch.NextTick(now)-now, s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed: // it may have to look sooner
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
}

// ServeHTTP takes a beat.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in beat
	if !rpc.ReadRequest(w, r, s.fleet, &in) {
		return
	}
	conn, _ := r.Context().Value(connKey{}).(uint64)
	s.mu.Lock()
	out := report{Answer: s.handle(peer.Heartbeat{Member: in.Member, ConnectionID: conn}), Boot: s.boot}
	late := time.NewTimer(peer.DefaultParameters.HeartbeatInterval)
	defer late.Stop()
	for waits := true; waits && out.Answer == peer.Accepted && in.Boot == s.boot && in.Known == s.version; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-late.C:
			waits = false
		case <-r.Context().Done(): // the connection has ended, or this server does
			s.mu.Lock()
			s.handle(peer.ConnectionLost{ConnectionID: conn})
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
	}
	out.Version = s.version
	if in.Boot != s.boot {
		in.Known = 0
	}
	out.List, out.Whole = s.watch.ChangedSince(in.Known)
	s.mu.Unlock()
	rpc.WriteResponse(w, out)
}

// Members is what this watcher holds of all.
func (s *Server) Members() []peer.MemberState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.Members()
}
