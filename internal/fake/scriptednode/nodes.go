// Package scriptednode is a fake of cache nodes, or of proxies, that react to each request exactly as the test says, in
// the meta or the binary protocol. A reaction has the same meaning in both.
//
// It stores no data: every served read is answered with [Value], every served write with [Receipt].
//
// Nodes own their listeners and a goroutine per connection; [Nodes.Close] waits for these.
package scriptednode

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/request"
)

// ReceivedRequest is a request as a node received it.
type ReceivedRequest struct {
	Node           int
	ReceivedAt     time.Time // of its first byte
	Verb           request.Verb
	Key, Value     string
	IdempotencyKey string // "" in the binary protocol
	// Only in meta:
	ID      string
	Class   string
	Tenant  string
	Timeout time.Duration // time that the client still waits
	Retry   bool          // marked as a retry
}

// Nodes are scripted nodes. They are safe for concurrent use.
type Nodes struct {
	dialect   Dialect
	react     func(number int, r ReceivedRequest) Reaction
	listeners []net.Listener
	tasks     sync.WaitGroup
	closing   chan struct{} // closed by Close

	mu       sync.Mutex
	requests []ReceivedRequest
	accepted int              // connections so far
	open     map[net.Conn]int // connections and their nodes
}

// New returns a node without a listener, which serves the connections of [Nodes.Connect].
func New(dialect Dialect, react func(number int, r ReceivedRequest) Reaction) *Nodes {
	return &Nodes{dialect: dialect, react: react, open: make(map[net.Conn]int), closing: make(chan struct{})}
}

// Connect returns the client's end of a connection in memory to node 0. Unlike a socket, it can be used in virtual
// time.
func (ns *Nodes) Connect() net.Conn {
	client, server := net.Pipe()
	ns.handle(0, server)
	return client
}

// Start returns count nodes that listen at a loopback address. react decides what to do with each request. It gets the
// request's number, counted from 0 over all nodes. Calls for different connections may be concurrent.
func Start(dialect Dialect, count int, react func(number int, r ReceivedRequest) Reaction) (*Nodes, error) {
	ns := New(dialect, react)
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			ns.Close()
			return nil, fmt.Errorf("scripted node %d: %w", i, err)
		}
		ns.listeners = append(ns.listeners, l)
		ns.tasks.Go(func() { ns.accept(i, l) })
	}
	return ns, nil
}

// Address returns the address at which a node listens.
func (ns *Nodes) Address(i int) string { return ns.listeners[i].Addr().String() }

// CloseListener closes a node's listener. Open connections stay open.
func (ns *Nodes) CloseListener(i int) { ns.listeners[i].Close() }

// Stop ends a node as if its process had ended: open connections are reset, new ones refused.
func (ns *Nodes) Stop(i int) {
	ns.listeners[i].Close()
	ns.forEachConnection(i, func(c *net.TCPConn) {
		c.SetLinger(0) // closing with linger 0 resets the connection
		c.Close()
	})
}

// HalfClose ends the sending side of all connections of a node, as a draining node does with idle connections.
func (ns *Nodes) HalfClose(i int) { ns.forEachConnection(i, func(c *net.TCPConn) { c.CloseWrite() }) }

// forEachConnection calls do for the open connections of a node.
func (ns *Nodes) forEachConnection(i int, do func(*net.TCPConn)) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for c, node := range ns.open {
		if node == i {
			do(c.(*net.TCPConn))
		}
	}
}

// Restart makes a node that was stopped listen at its address again.
func (ns *Nodes) Restart(i int) error {
	l, err := net.Listen("tcp", ns.Address(i))
	if err != nil {
		return fmt.Errorf("scripted node %d: %w", i, err)
	}
	ns.listeners[i] = l
	ns.tasks.Go(func() { ns.accept(i, l) })
	return nil
}

// ConnectionCounts returns how many connections were accepted so far, and how many of them are open.
func (ns *Nodes) ConnectionCounts() (total, open int) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.accepted, len(ns.open)
}

// Requests returns the requests that the nodes received so far, in order.
func (ns *Nodes) Requests() []ReceivedRequest {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return slices.Clone(ns.requests)
}

// Close ends the nodes and waits for their goroutines.
func (ns *Nodes) Close() {
	close(ns.closing)
	for _, l := range ns.listeners {
		l.Close()
	}
	ns.mu.Lock()
	for c := range ns.open {
		c.Close()
	}
	ns.mu.Unlock()
	ns.tasks.Wait()
}

func (ns *Nodes) accept(i int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		ns.handle(i, c)
	}
}

// handle starts to serve a connection.
func (ns *Nodes) handle(i int, c net.Conn) {
	ns.mu.Lock()
	ns.open[c] = i
	ns.accepted++
	ns.mu.Unlock()
	ns.tasks.Go(func() {
		ns.serve(i, c)
		c.Close()
		ns.mu.Lock()
		delete(ns.open, c)
		ns.mu.Unlock()
	})
}

// serve reads requests and reacts to them until the connection ends, or a reaction ends it.
func (ns *Nodes) serve(i int, c net.Conn) {
	in := bufio.NewReader(c)
	codec := ns.dialect.codec()
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		arrived := time.Now()
		r, err := codec.read(in)
		if err != nil {
			return
		}
		if r.noop {
			c.Write([]byte("MN\r\n"))
			continue
		}
		r.Node = i
		r.ReceivedAt = arrived
		ns.mu.Lock()
		number := len(ns.requests)
		ns.requests = append(ns.requests, r.ReceivedRequest)
		ns.mu.Unlock()
		reaction := ns.react(number, r.ReceivedRequest)
		if !ns.perform(reaction, r, codec, c) {
			return
		}
	}
}
