// Package unresponsive is a stand-in for a node to which no connection comes up until it is told so: as one whose machine
// is cut off for a while, or that is late to accept.
package unresponsive

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Node is such a node.
type Node struct {
	listener *net.TCPListener
	fillers  map[string]net.Conn // what fills its queue, by their addresses
}

// Start returns a node whose queue of connections is full. The kernel drops what else asks for one, which asks
// again by itself, after a second at first.
func Start() (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{listener: l.(*net.TCPListener), fillers: make(map[string]net.Conn)}
	raw, err := n.listener.SyscallConn()
	if err == nil {
		var failed error
		err = errors.Join(raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), 0) }), failed)
	}
	if err != nil {
		n.Close()
		return nil, err
	}
	for range 16 { // far more than the queue holds
		c, err := net.DialTimeout("tcp", n.Address(), 50*time.Millisecond)
		if err != nil {
			return n, nil
		}
		n.fillers[c.LocalAddr().String()] = c
	}
	n.Close()
	return nil, errors.New("the queue of connections does not fill")
}

// Address returns where it would listen.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Accept lets connections come up from now on, and returns the next.
func (n *Node) Accept() (*net.TCPConn, error) {
	for {
		c, err := n.listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		own := n.fillers[c.RemoteAddr().String()]
		if own == nil {
			return c, nil
		}
		own.Close()
		c.Close()
	}
}

// Close ends it.
func (n *Node) Close() {
	n.listener.Close()
	for _, c := range n.fillers {
		c.Close()
	}
}
