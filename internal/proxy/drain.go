package proxy

import "time"

const (
	// drainAcceptTime is how long connections are still accepted after a drain starts, because clients keep connecting
	// for some tenths of a second.
	drainAcceptTime = 500 * time.Millisecond
	// abortGrace is the time between aborting all requests and closing all connections, in which the responses to the
	// aborted requests are written. A shortened drain also waits abortGrace between the last deadline and the abort.
	// Commands are read, and rejected, for the first half of it.
	abortGrace = 50 * time.Millisecond
	// unarmedTimerDelay is the initial delay of a timer that is set later. It is longer than any drain.
	unarmedTimerDelay = time.Hour
)

// drainState is the state of a server's graceful shutdown. It is guarded by Server.mu.
type drainState struct {
	started     bool
	startedAt   time.Time
	shortened   bool
	acceptEnded bool        // makeRoom no longer waits for a free place
	acceptTimer *time.Timer // sets acceptEnded; nil before the drain
	abortTimer  *time.Timer // aborts the requests in flight; nil until drainClients
}

// startDrain limits the time in which connections are accepted. An inherited listener stops accepting immediately:
// another process may hold the listener too and accept later connections.
func (s *Server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain.started, s.drain.startedAt = true, time.Now()
	// With a deadline in the future, Accept returns the connections in the backlog before it times out.
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

// endAccept ends the wait in makeRoom. When all places are taken, only closing clients in drainClients is sure to free
// one, and that starts after accepting has ended.
func (s *Server) endAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain.acceptEnded = true
	s.changed.Broadcast()
}

// ShortenDrain shortens a drain, whether it has started or not. No more connections are accepted in the drain, and the
// clients connected now may send no more commands. Serve returns shortly after the last deadline of the open requests
// at the latest.
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

// drainClients closes each client connection once no request is in flight on it, and waits until all are closed.
// Requests that do not finish in time are aborted and answered with an error, and abortGrace later the remaining
// connections are closed. Clients that never stop sending are not read until then: they could hold up the drain.
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
	// These are reset when the requests are aborted.
	endReadingTimer := time.AfterFunc(unarmedTimerDelay, s.endReading)
	defer endReadingTimer.Stop()
	closeTimer := time.AfterFunc(unarmedTimerDelay, s.closeClients)
	defer closeTimer.Stop()
	s.drain.abortTimer = time.AfterFunc(wait, func() {
		s.core.AbortAll()
		endReadingTimer.Reset(abortGrace / 2)
		closeTimer.Reset(abortGrace)
	})
	defer s.drain.abortTimer.Stop()
	for len(s.clients) > 0 {
		s.changed.Wait()
	}
}

// endReading makes all clients' connections read nothing more.
func (s *Server) endReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.EndReading()
	}
}

// closeClients closes all client connections, even those with requests in flight.
func (s *Server) closeClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.Close("drain timeout")
	}
}

// drainTimeout returns how long requests may still stay open. The service manager kills the process no sooner than the
// longest deadline and 0.7 s after SIGTERM. In a process that stalls repeatedly, both the signal and the end of the
// wait may be late by the length of a stall, so two stalls are subtracted. Requests that are accepted last get a little
// less than their deadline.
func (s *Server) drainTimeout() time.Duration {
	end := s.drain.startedAt.Add(drainAcceptTime + s.longestDeadline)
	return time.Until(end) - 2*s.core.WorstStall()
}
