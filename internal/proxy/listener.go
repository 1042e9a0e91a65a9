package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"mulleinpier/internal/frontend"
)

const (
	// earlyCloseMargin is the number of free places (client connections that maxClients still allows) at which idle
	// connections begin to be closed. That is before all places are taken, because a closed connection counts until
	// its client closes it too.
	earlyCloseMargin = 16
	// minIdleToEvict is how long a connection must have been idle before it is closed to make room.
	minIdleToEvict = 100 * time.Millisecond
	// minBlockingAccept is the shortest duration of an accept that is assumed to have found the backlog empty.
	minBlockingAccept = time.Millisecond
	// acceptRetryInterval is the wait after an accept that failed for lack of descriptors or buffers.
	acceptRetryInterval = 10 * time.Millisecond
)

// clientListener is a listener for clients, with the host that their connections share.
type clientListener struct {
	*net.TCPListener
	inherited bool // another process may hold the listener too
	// shared is a duplicate of an inherited listener, used to accept its connections. It is nil for a listener that
	// this process opened. It is needed because package net does not let callers wait for connections on a
	// net.TCPListener and run accept4 themselves.
	shared *os.File
	host   *frontend.Host
	// backlogEmptyAt is when the backlog was last seen empty, by the core's clock. Only the accepting goroutine uses
	// it.
	backlogEmptyAt time.Duration
}

// openListener opens a listener at an address, or uses the inherited listener if there is one, and adds it to
// s.listeners.
func (s *Server) openListener(address string, inherited *net.TCPListener, host *frontend.Host) error {
	l := &clientListener{TCPListener: inherited, inherited: inherited != nil, host: host}
	if !l.inherited {
		noKeepAlive := net.ListenConfig{KeepAlive: -1}
		opened, err := noKeepAlive.Listen(context.Background(), "tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		l.TCPListener = opened.(*net.TCPListener)
	} else {
		shared, err := pollableDuplicate(inherited)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		l.shared = shared
	}
	s.listeners = append(s.listeners, l)
	return nil
}

// SetDeadline sets the time at which accepting ends.
func (l *clientListener) SetDeadline(t time.Time) error {
	if l.inherited {
		return l.shared.SetDeadline(t)
	}
	return l.TCPListener.SetDeadline(t)
}

// Close closes the listener in this process; other processes may still hold an inherited one.
func (l *clientListener) Close() error {
	if l.inherited {
		return errors.Join(l.shared.Close(), l.TCPListener.Close())
	}
	return l.TCPListener.Close()
}

// closeUnused closes a listener that was not used. An inherited listener stays open, so that Listen can use it again.
func (l *clientListener) closeUnused() {
	if l.inherited {
		l.shared.Close()
		return
	}
	l.TCPListener.Close()
}

// accept accepts a connection, and sets backlogEmptyAt if the backlog was empty.
func (l *clientListener) accept(now func() time.Duration) (*net.TCPConn, error) {
	start := now()
	socket, err := l.acceptNext()
	if end := now(); end-start >= minBlockingAccept {
		l.backlogEmptyAt = end
	}
	return socket, err
}

// acceptNext waits for a connection and accepts it.
func (l *clientListener) acceptNext() (*net.TCPConn, error) {
	if l.inherited {
		return l.acceptShared()
	}
	return l.AcceptTCP()
}

// acceptClients accepts connections until the listener is closed or its deadline passes.
func (s *Server) acceptClients(l *clientListener) {
	l.backlogEmptyAt = s.core.Now()
	for s.makeRoom() {
		socket, err := l.accept(s.core.Now)
		switch {
		case err == nil:
			<-s.core.Resumed() // after a pause, sends are deferred for a short, bounded time
			s.serveClient(l, socket)
		case endsAccepting(err):
			return
		default: // out of descriptors or buffers: the connection stays in the backlog
			s.log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// endsAccepting reports whether an accept failed because the listener is closed or its deadline has passed. All other
// errors are retried, even a time-out reported by accept(2): on Linux it also returns network errors that are pending
// on the new connection.
func endsAccepting(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// serveClient starts the goroutine that serves a client. The goroutine ends when the client's connection is closed, at
// the latest in the drain.
func (s *Server) serveClient(l *clientListener, socket *net.TCPConn) {
	c := frontend.New(l.host, socket, l.backlogEmptyAt)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.Serve()
		s.mu.Lock()
		delete(s.clients, c)
		s.changed.Broadcast()
		s.mu.Unlock()
	}()
}

// makeRoom closes the client that has been idle longest when few places are free, and waits while all are taken. It
// reports whether another client can be accepted, and returns false only if a drain ends the wait. A connection in the
// backlog is already established for its client, so it must not be accepted only to be closed. A connection that was
// just accepted must not be closed either, since its request may not have been read yet.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) >= s.maxClients-earlyCloseMargin {
		s.closeLongestIdle()
		if len(s.clients) < s.maxClients {
			return true
		}
		if s.drain.acceptEnded {
			return false
		}
		s.changed.Wait()
	}
	return true
}

// closeLongestIdle closes the client that has been idle longest, if that is for more than minIdleToEvict. s.mu is held.
func (s *Server) closeLongestIdle() {
	var longest *frontend.Conn
	since := time.Now().Add(-minIdleToEvict)
	for c := range s.clients {
		if at, idle := c.IdleSince(); idle && at.Before(since) {
			longest, since = c, at
		}
	}
	if longest != nil {
		longest.CloseIdle()
	}
}

// closeListeners closes the listeners. Connections in the backlog of an inherited listener are left to the other
// process that holds it.
func (s *Server) closeListeners() {
	for _, l := range s.listeners {
		if !l.inherited {
			s.acceptBacklog(l)
		}
		l.Close()
	}
}

// acceptBacklog accepts all connections in the backlog, without waiting. The listener must be closed immediately
// afterwards, because a connection that arrives between the two calls is reset together with its request. This window
// is some microseconds long; a listener that the service manager holds has none.
func (s *Server) acceptBacklog(l *clientListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	for err == nil {
		var accepted int
		controlErr := raw.Control(func(fd uintptr) { accepted, err = acceptOnce(int(fd)) })
		if err = errors.Join(err, controlErr); err != nil {
			return
		}
		if socket, err := newTCPConn(accepted); err == nil {
			s.serveClient(l, socket)
		}
	}
}
