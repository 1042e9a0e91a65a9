package faultinject

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxLinkConns bounds the connections of a link; more are closed at once. Each has two ends.
	maxLinkConns = 1024
	// linkDialTimeout bounds the dial of the target.
	linkDialTimeout = 2 * time.Second
	// maxFillers is how many connections fill the backlog at most; the kernel takes one or two more than it is told.
	maxFillers        = 8
	fillerDialTimeout = 50 * time.Millisecond
	normalBacklog     = 128
)

// longPast is a deadline that ends a call at once.
var longPast = time.Unix(1, 0)

// Link passes connections from its address on to a target, and can block, delay, slow or cut them. It is safe for
// concurrent use.
type Link struct {
	target   string
	address  string
	listener *net.TCPListener

	mu        sync.Mutex
	changed   sync.Cond // of fault and closed
	fault     Fault
	changedAt time.Time  // of fault, or the last reset
	fillers   []net.Conn // that keep the backlog full
	conns     map[net.Conn]struct{}
	closed    bool
	tasks     sync.WaitGroup
}

// NewLink opens a link to a target at a free port of a loopback host.
func NewLink(host, target string) (*Link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{
		target:   target,
		address:  listener.Addr().String(),
		listener: listener.(*net.TCPListener),
		conns:    make(map[net.Conn]struct{}),
	}
	l.changed.L = &l.mu
	l.tasks.Go(l.accept)
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.address }

// SetFault sets the fault of the link, or ends it with the zero value.
func (l *Link) SetFault(f Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	before := l.fault
	l.fault = f
	l.changedAt = time.Now()
	l.changed.Broadcast()
	switch {
	case f.BacklogFull && !before.BacklogFull:
		return l.fillBacklogLocked()
	case !f.BacklogFull && before.BacklogFull:
		return l.reopenLocked()
	}
	return nil
}

// FaultySince reports whether the link has a fault, or had one at a time or later.
func (l *Link) FaultySince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault != (Fault{}) || l.changedAt.After(at)
}

// Reset resets all connections of the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changedAt = time.Now()
	for c := range l.conns {
		reset(c)
	}
}

// setBacklogLocked sets the length of the listener's backlog. l.mu is held.
func (l *Link) setBacklogLocked(length int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}

// fillBacklogLocked fills the backlog of the listener, from which nothing is accepted any more: whoever connects gets
// no answer. l.mu is held.
func (l *Link) fillBacklogLocked() error {
	if err := l.setBacklogLocked(0); err != nil {
		return err
	}
	l.listener.SetDeadline(longPast) // ends accept; the socket stays
	for range maxFillers {
		c, err := net.DialTimeout("tcp", l.address, fillerDialTimeout)
		if err != nil {
			return nil // full
		}
		l.fillers = append(l.fillers, c)
	}
	return errors.New("link: the backlog does not fill")
}

// reopenLocked accepts connections again. l.mu is held.
func (l *Link) reopenLocked() error {
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	if err := l.setBacklogLocked(normalBacklog); err != nil {
		return err
	}
	l.listener.SetDeadline(time.Time{})
	l.tasks.Go(l.accept)
	return nil
}

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.listener.Close()
	for _, c := range l.fillers {
		c.Close()
	}
	for c := range l.conns {
		c.Close()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	l.tasks.Wait()
}

// accept accepts connections until the link is closed or its backlog is to be full.
func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.serve(in) })
	}
}

// add notes one end of a connection, and reports whether the link accepts it.
func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= 2*maxLinkConns {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

// serve passes one connection on to the target.
func (l *Link) serve(in net.Conn) {
	if !l.add(in) {
		return
	}
	defer l.remove(in)
	out, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		in.(*net.TCPConn).SetLinger(0) // as if the target had refused it
		return
	}
	if !l.add(out) {
		return
	}
	defer l.remove(out)
	var tasks sync.WaitGroup
	back := transfer{link: l, from: out, to: in, direction: backward}
	tasks.Go(back.run)
	duplicate := l.dialDuplicate(&tasks)
	forth := transfer{link: l, from: in, to: out, duplicate: duplicate, direction: forward}
	forth.run()
	if duplicate != nil {
		duplicate.(*net.TCPConn).CloseWrite()
	}
	tasks.Wait()
}

// awaitPassable waits while a direction is blocked. It reports whether it was, and whether the link is open still.
func (l *Link) awaitPassable(direction func(*Fault) *Direction) (blocked, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for direction(&l.fault).Blocked && !l.closed {
		blocked = true
		l.changed.Wait()
	}
	return blocked, !l.closed
}

// state returns the fault of a direction now.
func (l *Link) state(direction func(*Fault) *Direction) Direction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *direction(&l.fault)
}
