// Package unresponsive is a fake of a node that accepts no connection until the test calls Accept, as if its machine
// were unreachable for a while or its process slow to accept. It starts no goroutines.
package unresponsive

import (
	"fmt"
	"net"

	"mulleinpier/internal/fake/backlog"
)

// Node is an unresponsive node.
type Node struct {
	listener *net.TCPListener
	fillers  map[string]net.Conn // connections that fill the listener's backlog, by local address
}

// Start returns a node with a full listen backlog. The kernel drops further connection attempts. A client's kernel
// retries its attempt by itself, for the first time after a second.
func Start() (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("unresponsive node: %w", err)
	}
	n := &Node{listener: l.(*net.TCPListener), fillers: make(map[string]net.Conn)}
	fillers, err := backlog.Fill(n.listener)
	for _, c := range fillers {
		n.fillers[c.LocalAddr().String()] = c
	}
	if err != nil {
		n.Close()
		return nil, fmt.Errorf("unresponsive node: %w", err)
	}
	return n, nil
}

// Address returns the address at which the node will accept connections.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Accept empties the backlog and returns the next connection of a client. Further connection attempts succeed.
func (n *Node) Accept() (*net.TCPConn, error) {
	for {
		c, err := n.listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		filler := n.fillers[c.RemoteAddr().String()]
		if filler == nil {
			return c, nil
		}
		filler.Close()
		c.Close()
	}
}

// Close closes the listener and the connections that fill its backlog, but not those that Accept returned.
func (n *Node) Close() {
	n.listener.Close()
	for _, c := range n.fillers {
		c.Close()
	}
}
