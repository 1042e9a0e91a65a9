// Package unresponsive is a fake node to which no connection comes up until the test accepts one: as at a machine that
// is cut off for a while, or a process that accepts late. It starts no goroutines.
package unresponsive

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Node is an unresponsive node.
type Node struct {
	listener *net.TCPListener
	fillers  map[string]net.Conn // connections that fill the backlog, by their addresses
}

// Start returns a node whose backlog is full. The kernel drops other attempts to connect, which their senders repeat,
// first after a second.
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
	for range 16 { // far more than the backlog holds
		c, err := net.DialTimeout("tcp", n.Address(), 50*time.Millisecond)
		if err != nil {
			return n, nil
		}
		n.fillers[c.LocalAddr().String()] = c
	}
	n.Close()
	return nil, errors.New("the backlog does not fill")
}

// Address returns where it listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Accept lets connections come up from now on, and returns the next one.
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

// Close closes the node.
func (n *Node) Close() {
	n.listener.Close()
	for _, c := range n.fillers {
		c.Close()
	}
}
