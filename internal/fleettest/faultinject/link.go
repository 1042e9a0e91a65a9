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
	// maxLinkConns limits the connections of a link; further connections are closed as soon as they are accepted.
	maxLinkConns = 1024
	// linkDialTimeout limits how long the target may take to accept a connection.
	linkDialTimeout = 2 * time.Second
	// maxFillers limits the connections that a link opens to itself to fill its backlog. The kernel queues one or two
	// connections more than the backlog's length, which is 0 at that time.
	maxFillers        = 8
	fillerDialTimeout = 50 * time.Millisecond
	normalBacklog     = 128
)

// pastDeadline is a deadline in the past, which ends a blocked call immediately.
var pastDeadline = time.Unix(1, 0)

// Link accepts connections at its address and forwards them to a target. It can block, delay, slow, duplicate or reset
// them. It is safe for concurrent use.
type Link struct {
	target   string
	address  string
	listener *net.TCPListener

	mu        sync.Mutex
	changed   sync.Cond // signals changes of fault and closed
	fault     Fault
	changedAt time.Time             // when fault was last set, or the connections last reset
	fillers   []net.Conn            // connections that keep the backlog full
	conns     map[net.Conn]struct{} // both ends of each connection
	closed    bool
	tasks     sync.WaitGroup
}

// NewLink opens a link to a target. It listens on a free port of host, which must be a loopback address.
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

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.address }

// SetFault replaces the fault of the link; the zero Fault ends the current fault. It fails if the link is closed, or if
// the backlog cannot be filled or emptied.
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

// FaultySince reports whether the link has a fault now, or whether its fault was changed or its connections were reset
// after the time at.
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

// setBacklogLocked sets the length of the listener's backlog. l.mu must be held.
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

// fillBacklogLocked stops accepting connections and fills the backlog of the listener, so that further connection
// attempts get no answer. l.mu must be held.
func (l *Link) fillBacklogLocked() error {
	if err := l.setBacklogLocked(0); err != nil {
		return err
	}
	l.listener.SetDeadline(pastDeadline) // makes accept return, but leaves the socket open
	for range maxFillers {
		c, err := net.DialTimeout("tcp", l.address, fillerDialTimeout)
		if err != nil {
			return nil // the backlog is full
		}
		l.fillers = append(l.fillers, c)
	}
	return errors.New("link: the backlog is not full after the maximum number of connections")
}

// reopenLocked empties the backlog and accepts connections again. l.mu must be held.
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

// Close closes the link and all its connections, and waits for its goroutines.
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

// accept accepts connections until the link is closed or fillBacklogLocked stops it.
func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.serve(in) })
	}
}

// addConn registers one end of a connection. If the link is closed or has too many connections, it closes this end and
// returns false.
func (l *Link) addConn(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= 2*maxLinkConns {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) removeConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

// serve forwards one connection to the target, until both directions have ended.
func (l *Link) serve(in net.Conn) {
	if !l.addConn(in) {
		return
	}
	defer l.removeConn(in)
	out, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		in.(*net.TCPConn).SetLinger(0) // closing with linger 0 resets the connection
		return
	}
	if !l.addConn(out) {
		return
	}
	defer l.removeConn(out)
	var tasks sync.WaitGroup
	backwardTransfer := transfer{link: l, from: out, to: in, direction: backward}
	tasks.Go(backwardTransfer.run)
	duplicate := l.dialDuplicate(&tasks)
	forwardTransfer := transfer{link: l, from: in, to: out, duplicate: duplicate, direction: forward}
	forwardTransfer.run()
	if duplicate != nil {
		duplicate.(*net.TCPConn).CloseWrite()
	}
	tasks.Wait()
}

// awaitUnblocked waits while a direction is blocked. It reports whether the direction was blocked, and whether the link
// is still open.
func (l *Link) awaitUnblocked(direction func(*Fault) *Direction) (blocked, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for direction(&l.fault).Blocked && !l.closed {
		blocked = true
		l.changed.Wait()
	}
	return blocked, !l.closed
}

// state returns the current fault of a direction.
func (l *Link) state(direction func(*Fault) *Direction) Direction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *direction(&l.fault)
}
