// Package link is a fake of the network between clients and one server. While the network is cut, it delivers nothing
// in either direction and open connections stay open. Once it is restored, it delivers what was sent meanwhile, as TCP
// does by retransmission, except on connections that their sender has reset.
package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	chunkBytes = 16 << 10 // largest number of bytes that is forwarded at once
	heldChunks = 64       // chunks that one direction of a connection holds while the network is cut
)

// Link accepts connections and forwards each over its own connection to the server. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	tasks    sync.WaitGroup

	mu       sync.Mutex
	restored chan struct{} // closed unless the network is cut
	sockets  map[*net.TCPConn]struct{}
}

// Start returns a link to the server at a loopback address.
func Start(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{
		listener: listener,
		target:   target,
		restored: make(chan struct{}),
		sockets:  make(map[*net.TCPConn]struct{}),
	}
	close(l.restored)
	l.tasks.Go(l.accept)
	return l, nil
}

// Address returns the address at which clients reach the server.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut makes the network deliver nothing until [Link.Restore].
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCutLocked() {
		l.restored = make(chan struct{})
	}
}

// Restore ends a cut.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCutLocked() {
		close(l.restored)
	}
}

// CloseWhenDelivered stops accepting connections, restores the network and waits until the connections have ended.
func (l *Link) CloseWhenDelivered() {
	l.listener.Close()
	l.Restore()
	l.tasks.Wait()
}

// Close ends all connections and waits for the goroutines of the link.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	for socket := range l.sockets {
		reset(socket)
	}
	l.mu.Unlock()
	l.CloseWhenDelivered()
}

// isCutLocked reports whether the network is cut. l.mu is held.
func (l *Link) isCutLocked() bool {
	select {
	case <-l.restored:
		return false
	default:
		return true
	}
}

// awaitRestored waits while the network is cut, and reports whether it was.
func (l *Link) awaitRestored() (wasCut bool) {
	l.mu.Lock()
	wasCut = l.isCutLocked()
	restored := l.restored
	l.mu.Unlock()
	<-restored
	return wasCut
}

// reset closes a socket so that its peer sees a reset and the kernel drops what it has not delivered.
func reset(socket *net.TCPConn) {
	socket.SetLinger(0)
	socket.Close()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.connect(client.(*net.TCPConn)) })
	}
}

// connect forwards a connection until both sides have ended. One that was opened during a cut is reset at its end.
func (l *Link) connect(client *net.TCPConn) {
	l.track(client)
	defer l.end(client)
	if l.awaitRestored() {
		reset(client)
		return
	}
	socket, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	server := socket.(*net.TCPConn)
	l.track(server)
	defer l.end(server)
	var answers sync.WaitGroup
	answers.Go(func() { l.forward(client, server) })
	l.forward(server, client)
	answers.Wait()
}

// track lets [Link.Close] end a socket.
func (l *Link) track(socket *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sockets[socket] = struct{}{}
}

// end closes a socket that was tracked.
func (l *Link) end(socket *net.TCPConn) {
	l.mu.Lock()
	delete(l.sockets, socket)
	l.mu.Unlock()
	socket.Close()
}

// forward delivers what one side sends, and then its end: a reset at once, without what was not delivered before.
func (l *Link) forward(destination, source *net.TCPConn) {
	held := make(chan []byte, heldChunks)
	end := make(chan error, 1)
	go func() {
		end <- receive(held, source)
		close(held)
	}()
	for chunk := range held {
		wasCut := l.awaitRestored()
		if !wasCut || !wasReset(source) {
			destination.Write(chunk) // fails if the destination has ended, which the other direction notices
		}
	}
	l.awaitRestored()
	if !errors.Is(<-end, io.EOF) {
		reset(destination)
		return
	}
	destination.CloseWrite()
}

// receive reads until the source ends, and returns why.
func receive(held chan<- []byte, source *net.TCPConn) error {
	for {
		chunk := make([]byte, chunkBytes)
		n, err := source.Read(chunk)
		if n > 0 {
			held <- chunk[:n]
		}
		if err != nil {
			return err
		}
	}
}

// tcpClose is the state of a connection that was reset, TCP_CLOSE in the kernel's include/net/tcp_states.h.
const tcpClose = 7

// wasReset reports whether the peer of a socket has reset the connection. Unlike a read, it knows that at once.
func wasReset(socket *net.TCPConn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // the socket is closed
	}
	isReset := true
	raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err != nil || info.State == tcpClose
	})
	return isReset
}
