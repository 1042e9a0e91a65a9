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
	// earlyCloseMargin is how many connections below the limit idle ones begin to be closed: each counts until its
	// client closes too.
	earlyCloseMargin = 16
	// minIdleToEvict is how long a connection must have idled before it is closed to make room.
	minIdleToEvict = 100 * time.Millisecond
	// minBlockingAccept is the duration from which an accept is taken to have found the backlog empty.
	minBlockingAccept = time.Millisecond
	// acceptRetryInterval is the wait after an accept that failed for lack of descriptors or buffers.
	acceptRetryInterval = 10 * time.Millisecond
)

// clientListener is a listener and what its clients share.
type clientListener struct {
	*net.TCPListener
	inherited bool // another process may hold it too
	// shared is a duplicate of an inherited listener, from which its connections are accepted; nil for one that was
	// opened here. The net package does not let its callers accept by themselves.
	shared *os.File
	host   *frontend.Host
	// backlogEmptyAt is when the backlog was last seen empty, by the clock of the core. It belongs to the goroutine
	// that accepts.
	backlogEmptyAt time.Duration
}

// openListener opens an address, or uses an inherited listener.
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

// SetDeadline sets when accepting ends.
func (l *clientListener) SetDeadline(t time.Time) error {
	if l.inherited {
		return l.shared.SetDeadline(t)
	}
	return l.TCPListener.SetDeadline(t)
}

// Close closes the listener in this process.
func (l *clientListener) Close() error {
	if l.inherited {
		return errors.Join(l.shared.Close(), l.TCPListener.Close())
	}
	return l.TCPListener.Close()
}

// closeUnused undoes openListener. An inherited listener stays open, for another try.
func (l *clientListener) closeUnused() {
	if l.inherited {
		l.shared.Close()
		return
	}
	l.TCPListener.Close()
}

// accept accepts a connection, and records when the backlog was empty.
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
			<-s.core.Resumed() // bounded: after a pause sends are deferred for a short time
			s.serveClient(l, socket)
		case endsAccepting(err):
			return
		default: // for lack of descriptors or buffers: the connection stays in the backlog
			s.log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// endsAccepting reports whether an accept failed because the listener is closed or its deadline has passed. Nothing
// else ends accepting, not even a time-out of the system call: Linux returns pending network errors with new
// connections.
func endsAccepting(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// serveClient starts a client's goroutine. It ends with the client's connection, or with the drain.
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

// makeRoom closes the client that has idled longest when the limit of clients is near, and waits while it is reached.
// It reports whether there is room for another; there is none only where a drain ends the wait. A connection in the
// backlog has been acknowledged and must not be accepted only to be dropped; nor must one be closed that was just
// accepted, since its request may not have been read yet.
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

// closeLongestIdle closes the client that has idled longest, if any has for minIdleToEvict. s.mu is held.
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

// closeListeners closes the listeners. The backlog of an inherited one is left to the other process.
func (s *Server) closeListeners() {
	for _, l := range s.listeners {
		if !l.inherited {
			s.acceptBacklog(l)
		}
		l.Close()
	}
}

// acceptBacklog accepts what the backlog holds, without waiting. A connection that arrives between this and the close
// is reset together with its request, so nothing may come in between. Some microseconds remain; a listener that the
// service manager holds leaves none.
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
