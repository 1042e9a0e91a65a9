package faultinject

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Direction is what one direction of a link does with what comes.
type Direction struct {
	Blocked        bool          // nothing passes; what comes waits and is delivered when it is not held any more
	Delay          time.Duration // a piece passes so much later
	BytesPerSecond int           // bytes a second; 0 for no bound
}

// Fault is what a link does. The zero value passes all on.
type Fault struct {
	Forward, Backward Direction // from who connects to who is connected to, and the other way
	BacklogFull       bool      // no new connection comes up: the backlog is full
	Duplicate         bool      // what goes forth on a new connection goes on a second one too, whose answers nobody hears
}

// LinkFaults by name, as scenarios say them.
var LinkFaults = map[string]func(by time.Duration) Fault{
	"": func(time.Duration) Fault { return Fault{} },
	"cut": func(time.Duration) Fault {
		return Fault{Forward: Direction{Blocked: true}, Backward: Direction{Blocked: true}, BacklogFull: true}
	},
	"forth": func(time.Duration) Fault { return Fault{Forward: Direction{Blocked: true}} },  // what goes out never comes
	"back":  func(time.Duration) Fault { return Fault{Backward: Direction{Blocked: true}} }, // calls go out and nothing comes
	"delay": func(by time.Duration) Fault {
		return Fault{Forward: Direction{Delay: by}, Backward: Direction{Delay: by}}
	},
	"twice": func(time.Duration) Fault { return Fault{Duplicate: true} },
	"slow": func(time.Duration) Fault {
		return Fault{Forward: Direction{BytesPerSecond: slowRate}, Backward: Direction{BytesPerSecond: slowRate}}
	},
}

const (
	slowRate  = 4 << 10
	pieceMost = 16 << 10
	// A link carries so many connections at a time; more are refused.
	linkConns = 1024
	dialTime  = 2 * time.Second
	// A second connection is held for so long at the most.
	secondTime = time.Minute
)

// Link is a way from whoever connects to its address to a target, through which all bytes
// pass and may be held, slowed or cut. It is safe for concurrent use.
type Link struct {
	target  string
	address string

	mu       sync.Mutex
	changed  sync.Cond // of fault and closed
	fault    Fault
	troubled time.Time // when a fault last ended
	listener *net.TCPListener
	fill     []net.Conn
	conns    map[net.Conn]struct{}
	closed   bool
	tasks    sync.WaitGroup
}

// NewLink opens a link to a target on a port of a loopback host.
func NewLink(host, target string) (*Link, error) {
	l := &Link{target: target, conns: make(map[net.Conn]struct{})}
	l.changed.L = &l.mu
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.listener, l.address = listener.(*net.TCPListener), listener.Addr().String()
	l.tasks.Go(func() { l.accept(l.listener) })
	return l, nil
}

// Address is where the link begins.
func (l *Link) Address() string { return l.address }

// SetFault puts a fault in, or takes it out with the zero value.
func (l *Link) SetFault(f Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	before := l.fault
	l.fault, l.troubled = f, time.Now()
	l.changed.Broadcast()
	switch {
	case f.BacklogFull && !before.BacklogFull:
		return l.shut()
	case !f.BacklogFull && before.BacklogFull:
		return l.reopen()
	}
	return nil
}

// FaultySince tells whether a fault is in, or was at a time or later.
func (l *Link) FaultySince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault != (Fault{}) || l.troubled.After(at)
}

// Reset ends all connections of the link with resets.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.troubled = time.Now()
	for c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// shut fills the backlog of the listener, which nobody takes from any more: whoever connects
// hears nothing. l.mu is held.
func (l *Link) shut() error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	if raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	l.listener.SetDeadline(time.Unix(1, 0)) // ends its accept; the socket stays
	for range 8 {
		c, err := net.DialTimeout("tcp", l.address, 50*time.Millisecond)
		if err != nil {
			return nil // full
		}
		l.fill = append(l.fill, c)
	}
	return errors.New("link: the backlog does not fill")
}

// reopen takes connections again. l.mu is held.
func (l *Link) reopen() error {
	for _, c := range l.fill {
		c.Close()
	}
	l.fill = nil
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	if raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 128) }); err != nil {
		return err
	}
	l.listener.SetDeadline(time.Time{})
	l.tasks.Go(func() { l.accept(l.listener) })
	return nil
}

// Close ends the link and all that passes.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.listener.Close()
	for _, c := range l.fill {
		c.Close()
	}
	for c := range l.conns {
		c.Close()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	l.tasks.Wait()
}

func (l *Link) accept(listener *net.TCPListener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return // closed, or shut for a while
		}
		l.tasks.Go(func() { l.carry(in) })
	}
}

// enter notes a connection, and tells whether the link takes it.
func (l *Link) enter(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= 2*linkConns {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) leave(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

func (l *Link) carry(in net.Conn) {
	if !l.enter(in) {
		return
	}
	defer l.leave(in)
	out, err := net.DialTimeout("tcp", l.target, dialTime)
	if err != nil {
		in.(*net.TCPConn).SetLinger(0) // as if it had been refused
		return
	}
	if !l.enter(out) {
		return
	}
	defer l.leave(out)
	var both sync.WaitGroup
	both.Go(func() { l.pass(in, out, nil, func(f *Fault) *Direction { return &f.Backward }) })
	again := l.second(&both)
	l.pass(out, in, again, func(f *Fault) *Direction { return &f.Forward })
	if again != nil {
		again.(*net.TCPConn).CloseWrite()
	}
	both.Wait()
}

// second opens a second connection to the target where all is to come twice, nil else.
func (l *Link) second(tasks *sync.WaitGroup) net.Conn {
	l.mu.Lock()
	twice := l.fault.Duplicate
	l.mu.Unlock()
	if !twice {
		return nil
	}
	again, err := net.DialTimeout("tcp", l.target, dialTime)
	if err != nil || !l.enter(again) {
		return nil
	}
	tasks.Go(func() {
		defer l.leave(again)
		again.SetReadDeadline(time.Now().Add(secondTime))
		io.Copy(io.Discard, again)
	})
	return again
}

// pass takes what comes from one end to the other, as its way's fault wants it.
// Also, if there is one, gets all of it too.
func (l *Link) pass(to, from, also net.Conn, way func(*Fault) *Direction) {
	piece := make([]byte, pieceMost)
	var last time.Time // of a read; before the first it may have waited in the backlog, for as long as a cut
	for {
		n, err := from.Read(piece)
		held, open := l.await(way)
		if !open {
			return
		}
		held = held || l.FaultySince(last)
		if last = time.Now(); held && broken(from) { // a sender that gave up with a reset sends nothing again
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
		if n > 0 {
			if held { // a kernel that sends again what waited sends the end that follows with it
				cork(to, true)
			}
			l.dawdle(n, way)
			if also != nil {
				also.Write(piece[:n]) // one that has ended takes none
			}
			if _, failed := to.Write(piece[:n]); failed != nil {
				from.Close()
				return
			}
			if held && err == nil {
				if closing(from) {
					err = io.EOF // which goes with it
				} else {
					cork(to, false)
				}
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				to.(*net.TCPConn).CloseWrite()
			} else {
				to.(*net.TCPConn).SetLinger(0)
				to.Close()
			}
			return
		}
	}
}

// await waits while a way is held, and tells whether it did, and whether the link is open still.
func (l *Link) await(way func(*Fault) *Direction) (held, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for way(&l.fault).Blocked && !l.closed {
		held = true
		l.changed.Wait()
	}
	return held, !l.closed
}

// cork holds back what is written until more or the end follows, or lets it go.
func cork(c net.Conn, on bool) {
	if raw, err := c.(*net.TCPConn).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			value := 0
			if on {
				value = 1
			}
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, value)
		})
	}
}

// closing tells whether the other end has closed a connection and nothing more is to be read of it.
func closing(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0
	})
	return ended
}

// broken tells whether the other end has reset a connection, whatever of it is unread: what is held back
// on a way waits in its sender, which forgets it with a reset.
func broken(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClosed
	})
	return closed
}

// tcpClosed is the state of a connection that was reset (Linux's TCP_CLOSE).
const tcpClosed = 7

// dawdle takes the time that a piece needs.
func (l *Link) dawdle(size int, way func(*Fault) *Direction) {
	l.mu.Lock()
	w := *way(&l.fault)
	l.mu.Unlock()
	d := w.Delay
	if w.BytesPerSecond > 0 {
		d += time.Duration(size) * time.Second / time.Duration(w.BytesPerSecond)
	}
	time.Sleep(min(d, 30*time.Second))
}
