// Package node is a fake cache node: it reads through to a fake origin and speaks the meta or the binary protocol as
// real nodes do. Its cache, slots, queue and connections are bounded; it starts warm or cold, collapses when it gets
// far more than it withstands while cold, and fails on demand by a [Fault]. A node owns its goroutines; Close ends
// them.
package node

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// loopbackHost is an address that no connection goes out from: while a node is down, no other socket can take its port
// by chance.
const loopbackHost = "127.0.0.2"

// Node is a fake cache node. It is safe for concurrent use.
type Node struct {
	config  Config
	address string

	mu         sync.Mutex
	stalled    sync.Cond // while fault is Stall or Vanish
	rng        *rand.Rand
	cache      *cache
	startedAt  time.Time // zero for long ago, so that it is warm
	draining   bool
	fault      Fault
	faultCount int // requests counted for Fault.OneIn
	listener   *net.TCPListener
	fillers    []net.Conn // that keep the backlog full while vanished
	conns      map[*connection]struct{}
	running    int
	waiting    []*command
	fetching   int
	arrivals   []time.Time // within FallTime, while cold
	stats      Stats
	serial     int
	closed     bool
	tasks      sync.WaitGroup
}

// generatorStream is the second seed of nodes' generators.
const generatorStream = 4

// Start starts a node at a free port of the loopback.
func Start(c Config) (*Node, error) {
	c.applyDefaults()
	n := &Node{
		config: c,
		rng:    rand.New(rand.NewPCG(c.Seed, generatorStream)),
		cache:  newCache(c.Capacity),
		conns:  make(map[*connection]struct{}),
	}
	n.stalled.L = &n.mu
	if c.Cold {
		n.startedAt = time.Now()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.listenLocked(loopbackHost + ":0"); err != nil {
		return nil, err
	}
	n.address = n.listener.Addr().String()
	c.Group.join(n)
	return n, nil
}

// Name returns the node's name.
func (n *Node) Name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Name
}

// Address returns where it listens, the same after a restart.
func (n *Node) Address() string { return n.address }

// Started returns the time of its last cold start; zero for long ago.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Conns = len(n.conns)
	return s
}

// listenLocked listens at an address. n.mu is held.
func (n *Node) listenLocked(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listener = listener.(*net.TCPListener)
	own := n.listener
	n.tasks.Go(func() { n.accept(own) })
	return nil
}

func (n *Node) accept(listener *net.TCPListener) {
	for {
		socket, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		n.mu.Lock()
		c := &connection{node: n, socket: socket}
		c.changed.L = &n.mu
		if n.closed || n.listener != listener || len(n.conns) >= n.config.MaxConns {
			n.mu.Unlock()
			socket.SetLinger(0) // a full table resets
			socket.Close()
			continue
		}
		n.conns[c] = struct{}{}
		n.stats.MaxConns = max(n.stats.MaxConns, len(n.conns))
		n.mu.Unlock()
		n.tasks.Go(c.readLoop)
		n.tasks.Go(c.writeLoop)
	}
}

// Close ends the node and waits for its goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.fault = Fault{}
	n.stalled.Broadcast()
	n.closeAllLocked()
	n.mu.Unlock()
	n.tasks.Wait()
}

// closeAllLocked closes the listener and resets all connections. n.mu is held.
func (n *Node) closeAllLocked() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
	for _, c := range n.fillers {
		c.Close()
	}
	n.fillers = nil
	for c := range n.conns {
		c.resetLocked()
	}
	n.waiting = nil
}

// Restart replaces the node by one that was just started: cold and empty, at the same address.
func (n *Node) Restart() error { return n.RestartAs("") }

// RestartAs is Restart under another name: another node takes the address over.
func (n *Node) RestartAs(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name != "" {
		n.config.Name = name
	}
	n.closeAllLocked()
	n.cache = newCache(n.config.Capacity)
	n.startedAt = time.Now()
	n.draining = false
	n.fault = Fault{}
	n.arrivals = nil
	n.stats.Collapsed = false
	n.stalled.Broadcast()
	return n.listenLocked(n.address)
}

// SetDraining has the node reject new requests, or accept them again.
func (n *Node) SetDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = draining
}

// HasCached reports whether a key is in the cache.
func (n *Node) HasCached(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.cache.elements[key]
	return ok
}
