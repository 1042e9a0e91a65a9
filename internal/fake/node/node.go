// Package node is a fake cache node for tests. It speaks the meta or the binary protocol on a real socket and reads
// through to a fake origin, as production nodes do. It guarantees:
//
//  1. Execution slots, request queue, connection table and cache are bounded (see [Config]).
//  2. Within a [Group], writes with the same idempotency key are executed once per deduplication window.
//  3. A node that starts cold has a reduced capacity until it is warm. If it is sent far more than that, it
//     collapses: it rejects all requests until it is restarted.
//  4. It simulates the faults of [Fault] on demand, as a client sees them on its socket.
//
// It does not store what clients write: the value of a read names the key, the node and a serial number.
//
// A node owns its listener and connections, with one goroutine per listener and two per connection; [Node.Close] waits
// for these.
package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mulleinpier/internal/fake/origin"
)

// Config configures a node and its limits. A field that is 0 takes the default that its comment states.
type Config struct {
	Name             string
	Slots            int           // requests executed at the same time; default 8
	Queue            int           // requests that may wait for a slot; default 64
	ServiceTime      time.Duration // mean execution time of a request, varied by a quarter; default none
	Capacity         int           // keys in the cache; default 4096
	MaxConns         int           // open connections; further ones are reset; default 64
	IdleTimeout      time.Duration // after which an idle connection is closed; default 15 s
	ValueSize        int           // bytes to which the value of a read is padded; default 64
	ReportLoad       bool          // successful answers in the meta protocol carry a load report
	Binary           bool          // the node speaks only the binary protocol; otherwise only meta
	MissingKeyPrefix string        // keys with this prefix do not exist at the origin; "" for none
	// LedgerByValue makes the origin's ledger identify writes by their values instead of their idempotency keys. Fault
	// tests whose clients write each value only once then detect a duplicate even under another idempotency key.
	LedgerByValue bool

	Cold               bool          // the node starts now, with an empty cache and reduced capacity
	ColdCapacityShare  float64       // share of the capacity at the start; default 0.3
	WarmUpTime         time.Duration // from the start to full capacity; default 8.6 s
	CollapseLoadFactor float64       // load above which the node collapses, as a multiple of its capacity; default 3
	CollapseTime       time.Duration // window over which the load is measured; default 2 s

	Seed   uint64
	Origin *origin.Origin // required
	Group  *Group         // required
	// OnRequest, if set, is called for each valid read and write with the node's name, the request's id ("" in the
	// binary protocol, which has none), its value, and the time when its first byte arrived. Calls for different
	// connections may be concurrent.
	OnRequest func(node, id, value string, at time.Time)
	// OnExecuted, if set, is called for each request that the node has executed, right before it is answered. It must
	// not call the node.
	OnExecuted func(node, id string)
}

const (
	defaultSlots              = 8
	defaultQueue              = 64
	defaultCapacity           = 4096
	defaultMaxConns           = 64
	defaultIdleTimeout        = 15 * time.Second
	defaultValueSize          = 64 // bytes
	defaultColdCapacityShare  = 0.3
	defaultWarmUpTime         = 8600 * time.Millisecond
	defaultCollapseLoadFactor = 3
	defaultCollapseTime       = 2 * time.Second
)

func (c *Config) setDefaults() {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.Queue, defaultQueue)
	setDefault(&c.Capacity, defaultCapacity)
	setDefault(&c.MaxConns, defaultMaxConns)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.ValueSize, defaultValueSize)
	setDefault(&c.ColdCapacityShare, defaultColdCapacityShare)
	setDefault(&c.WarmUpTime, defaultWarmUpTime)
	setDefault(&c.CollapseLoadFactor, defaultCollapseLoadFactor)
	setDefault(&c.CollapseTime, defaultCollapseTime)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats count what a node received and how it answered.
type Stats struct {
	Requests  int
	Hits      int
	Misses    int
	Writes    int // including Repeats
	Repeats   int // writes that were dropped as duplicates, by their idempotency keys
	Busy      int // rejected requests
	Conns     int // open connections
	MaxConns  int // highest number of connections that were open at the same time
	Collapsed bool
}

// host is a loopback address that is not used for outgoing connections: an outgoing connection could take the port of a
// node that is down.
const host = "127.0.0.2"

// Node is a running fake node. It is safe for concurrent use.
type Node struct {
	config  Config
	address string

	mu             sync.Mutex
	silenceChanged sync.Cond // signalled when isSilent may have changed or a connection has closed
	rng            *rand.Rand
	cache          *cache
	startedAt      time.Time // zero for a node that started warm and was never restarted
	draining       bool
	fault          Fault
	faultEligible  int // requests since the fault was set, for Fault.OneIn
	listener       *net.TCPListener
	backlogFill    []net.Conn // connections that keep the listen backlog full during MachineDown
	connections    map[*connection]struct{}
	running        int // requests being executed
	queue          []*pendingRequest
	fetching       int         // reads waiting for the origin
	arrivals       []time.Time // times of the requests within the last CollapseTime, while warming up
	stats          Stats
	serial         int // number of values and of binary receipts issued
	closed         bool
	tasks          sync.WaitGroup
}

// Start returns a node that listens at a free port of a loopback address.
func Start(c Config) (*Node, error) {
	c.setDefaults()
	n := &Node{
		config:      c,
		rng:         rand.New(rand.NewPCG(c.Seed, 4)),
		cache:       newCache(c.Capacity),
		connections: make(map[*connection]struct{}),
	}
	n.silenceChanged.L = &n.mu
	if c.Cold {
		n.startedAt = time.Now()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.listen(net.JoinHostPort(host, "0")); err != nil {
		return nil, err
	}
	n.address = n.listener.Addr().String()
	c.Group.add(n)
	return n, nil
}

// Name returns the node's name.
func (n *Node) Name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Name
}

// Address returns the address at which the node listens. A restart does not change it.
func (n *Node) Address() string { return n.address }

// Started returns the time of the last start, or the zero time if the node started warm and was never restarted.
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
	s.Conns = len(n.connections)
	return s
}

// HasCached reports whether the node has a cached copy of a key.
func (n *Node) HasCached(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cache.contains(key)
}

// listen opens the listener. n.mu is held.
func (n *Node) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("fake node %q: %w", n.config.Name, err)
	}
	opened := listener.(*net.TCPListener)
	n.listener = opened
	n.tasks.Go(func() { n.accept(opened) })
	return nil
}

func (n *Node) accept(listener *net.TCPListener) {
	for {
		socket, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		c := &connection{node: n, socket: socket}
		c.changed.L = &n.mu
		if !n.register(c, listener) {
			socket.SetLinger(0) // closing with linger 0 resets the connection
			socket.Close()
			continue
		}
		n.tasks.Go(c.read)
		n.tasks.Go(c.write)
	}
}

// register adds a connection to the table. It returns false if the table is full or the listener is no longer in use.
func (n *Node) register(c *connection, listener *net.TCPListener) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.listener != listener || len(n.connections) >= n.config.MaxConns {
		return false
	}
	n.connections[c] = struct{}{}
	n.stats.MaxConns = max(n.stats.MaxConns, len(n.connections))
	return true
}

// Close stops the node and waits for the goroutines of its listener and connections. Requests in flight are not
// answered.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.fault = Fault{}
	n.silenceChanged.Broadcast()
	n.shutDown()
	n.mu.Unlock()
	n.tasks.Wait()
}

// shutDown closes the listener, resets all connections and discards the queue. n.mu is held.
func (n *Node) shutDown() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
	n.emptyBacklog()
	for c := range n.connections {
		c.reset()
	}
	n.queue = nil
}

// Restart restarts the node at its address, cold and with an empty cache. It ends the node's fault, draining and
// collapse.
func (n *Node) Restart() error { return n.RestartAs("") }

// RestartAs is like Restart, but changes the name, as if another node had taken over the address. "" keeps the name.
func (n *Node) RestartAs(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name != "" {
		n.config.Name = name
	}
	n.shutDown()
	n.cache = newCache(n.config.Capacity)
	n.startedAt = time.Now()
	n.draining = false
	n.fault = Fault{}
	n.arrivals = nil
	n.stats.Collapsed = false
	n.silenceChanged.Broadcast()
	return n.listen(n.address)
}

// SetDraining makes the node reject new requests, or accept them again.
func (n *Node) SetDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = draining
}
