package proxy

import "time"

const (
	// drainAcceptTime is how long connections are accepted after the start of a drain: clients go on connecting for
	// some tenths of a second.
	drainAcceptTime = 500 * time.Millisecond
	// abortGrace is the time between the abort of all requests and the cut of all connections, in which the
	// responses to the aborted requests are written. In a shortened drain it also follows upon the last deadline,
	// before the abort.
	abortGrace = 50 * time.Millisecond
	// unsetTimer is longer than any drain.
	unsetTimer = time.Hour
)

// drainState is the state of a server's graceful shutdown. It is guarded by Server.mu.
type drainState struct {
	started     bool
	startedAt   time.Time
	shortened   bool
	acceptEnded bool        // makeRoom does not wait any more
	acceptTimer *time.Timer // sets acceptEnded; nil before the drain
	abortTimer  *time.Timer // aborts the requests in flight; nil until drainClients
}

// startDrain bounds the time in which connections are accepted. Where another process holds a listener too, later
// connections are left to that one.
func (s *Server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain.started, s.drain.startedAt = true, time.Now()
	// Accept returns what the backlog holds before it obeys a deadline that lies in the future.
	for _, l := range s.listeners {
		until := time.Now().Add(drainAcceptTime)
		if l.inherited || s.drain.shortened {
			until = time.Now()
		}
		l.SetDeadline(until)
	}
	s.drain.acceptTimer = time.AfterFunc(drainAcceptTime, s.endAccept)
	if s.drain.shortened {
		s.drain.acceptTimer.Reset(0)
	}
}

// endAccept ends the wait for room: where all places are taken, the drain itself has to begin to free any.
func (s *Server) endAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain.acceptEnded = true
	s.changed.Broadcast()
}

// ShortenDrain shortens a drain, also one yet to come: no more connections are accepted, and Serve returns when the
// deadlines of what is open now have passed, at the latest.
func (s *Server) ShortenDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drain.shortened {
		return
	}
	s.drain.shortened = true
	if s.drain.started {
		for _, l := range s.listeners {
			l.SetDeadline(time.Now())
		}
		s.drain.acceptTimer.Reset(0)
	}
	for c := range s.clients {
		c.DrainNow()
	}
	if s.drain.abortTimer != nil {
		s.drain.abortTimer.Reset(s.core.LongestRemaining() + abortGrace)
	}
}

// drainClients closes each client between requests and waits for all. Requests that cannot be finished in time are
// answered with an error, and connections that are still open after that are cut.
func (s *Server) drainClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.Drain()
		if s.drain.shortened {
			c.DrainNow()
		}
	}
	wait := s.drainTimeout()
	if s.drain.shortened {
		wait = s.core.LongestRemaining() + abortGrace
	}
	cutTimer := time.AfterFunc(unsetTimer, s.cutClients) // set when the requests are aborted
	defer cutTimer.Stop()
	s.drain.abortTimer = time.AfterFunc(wait, func() {
		s.core.AbortAll()
		cutTimer.Reset(abortGrace)
	})
	defer s.drain.abortTimer.Stop()
	for len(s.clients) > 0 {
		s.changed.Wait()
	}
}

// cutClients closes all connections, whatever is under way on them.
func (s *Server) cutClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.Close("drain timeout")
	}
}

// drainTimeout returns how long open requests may still take. The service manager kills the process no sooner than
// the longest deadline and 0.7 s after SIGTERM. Where the process is stalled time and again, both the signal and
// the end of the wait may be late by the length of a stall, so two are subtracted. Requests accepted last have a
// little less than their time.
func (s *Server) drainTimeout() time.Duration {
	end := s.drain.startedAt.Add(drainAcceptTime + s.longestDeadline)
	return time.Until(end) - 2*s.core.WorstStall()
}
