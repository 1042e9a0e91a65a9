// Package upstream keeps the connections to cache nodes. It sends attempts over them and reports how each
// ended. It does not decide which node an attempt goes to, or whether another follows.
//
// Guarantees:
//
//  1. An attempt is written at most once, and its end is reported exactly once unless it was withdrawn.
//  2. The handler checks an attempt right before its first byte is written, and again if the node did not
//     accept data in the meantime.
//  3. An answer is that of its attempt, or the connection ends: from the first unexpected byte on, nothing
//     that comes over a connection is believed.
//  4. No attempt waits behind one that was abandoned: its connection gets no new ones.
//  5. No lock is held during I/O of the network or calls of the handler. Warnings about malformed answers are
//     logged under it, one a second at most.
//
// Goroutines and state: each dial has a goroutine, each connection a reader and a writer; [Pool.Run] waits
// for all of them. Pool.mu guards the state of all connections.
package upstream

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/eventlog"
)

// Limits bound the connections.
type Limits struct {
	MaxPerNode     int                // connections to one node
	MaxConnections int                // connections to all nodes
	MaxPipelined   int                // attempts in flight on one connection
	ConnectTimeout time.Duration      // for establishing a connection
	IdleTimeout    time.Duration      // of a connection without attempts
	SilenceTimeout time.Duration      // of a connection with attempts over which nothing comes
	FleetShare     connlimit.Capacity // that all proxies together may use; zero for no bound
}

// Node is a cache node.
type Node struct {
	Name, Address string
	Started       time.Time // of its latest start, zero for long ago
	Dialect       Dialect   // nil for the pool's
}

// Pool holds the connections to all cache nodes. It is safe for concurrent use.
type Pool struct {
	dialect  Dialect // of nodes without one of their own
	handler  Handler
	log      *slog.Logger
	recorder *eventlog.Recorder // nil for none

	// Dials end with Run: one to a node that does not answer would delay the end of the process.
	dials     context.Context
	stopDials context.CancelFunc
	tasks     sync.WaitGroup // dials, readers and writers
	startedAt time.Time

	mu                 sync.Mutex // guards what follows
	limits             Limits
	budget             connlimit.Budget
	nodes              map[string]*node
	connections        int  // open or being established, to all nodes
	closed             bool // Run is ending: nothing is sent or dialed any more
	counts             Counts
	lastWarning        time.Time
	suppressedWarnings int           // since then
	closeCheckTimeout  time.Duration // the constant of this name; longer in tests
}

// Counts are what became of connections since they were last taken.
type Counts struct {
	Dials                  int
	DialFailures           int // of them, connections that were not established
	ConnectionLimitReached int // of them, connections that a node was at its limit for
	IdleClosed             int // idle connections closed in favour of other proxies
	Connections            int // open or being established now
}

// New returns a pool without nodes. It works while [Pool.Run] runs.
func New(limits Limits, dialect Dialect, handler Handler, log *slog.Logger) *Pool {
	p := &Pool{
		limits:            limits,
		dialect:           dialect,
		handler:           handler,
		log:               log,
		nodes:             make(map[string]*node),
		startedAt:         time.Now(),
		closeCheckTimeout: closeCheckTimeout,
	}
	p.dials, p.stopDials = context.WithCancel(context.Background())
	p.budget.SetCapacity(limits.FleetShare)
	return p
}

// SetRecorder has the events of connections recorded. It is called before anything is sent.
func (p *Pool) SetRecorder(recorder *eventlog.Recorder) { p.recorder = recorder }

// SetLimits puts other limits into force. Connections beyond them are not closed at once, but as they become
// idle.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	p.budget.SetCapacity(limits.FleetShare)
}

// TakeCounts returns what was counted since it was last called.
func (p *Pool) TakeCounts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Connections = p.connections
	p.counts = Counts{}
	return counts
}

// UpdateNodes adds nodes or changes what is known of them. Connections to a former address, in another
// dialect or from before a restart get no new attempts.
func (p *Pool) UpdateNodes(nodes []Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, update := range nodes {
		n := p.nodes[update.Name]
		if n == nil {
			n = &node{}
			p.nodes[update.Name] = n
		}
		moved := n.Address != update.Address || n.Dialect != update.Dialect
		n.Node, n.listed = update, true
		for _, c := range slices.Clone(n.connections) {
			if moved || c.openedAt.Before(update.Started) {
				c.retire("node moved or restarted")
			}
		}
	}
}

// RemoveNodes removes nodes. They are forgotten when their last attempt has ended.
func (p *Pool) RemoveNodes(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		n := p.nodes[name]
		if n == nil {
			continue
		}
		n.listed = false
		for _, c := range slices.Clone(n.connections) {
			c.retire("node removed")
		}
		p.removeIfUnused(n)
	}
}

// removeIfUnused forgets a removed node that has nothing left, or the map would grow with each machine that
// is replaced. p.mu is held.
func (p *Pool) removeIfUnused(n *node) {
	if !n.listed && len(n.connections) == 0 && n.dialing == 0 {
		delete(p.nodes, n.Name)
	}
}

// NodeNames returns the names of the nodes that have been added and not removed.
func (p *Pool) NodeNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, n := range p.nodes {
		if n.listed {
			names = append(names, name)
		}
	}
	return names
}

// Send sends an attempt to a node as soon as a connection takes it. It returns false, and does nothing, where
// the node is not known or no connection to it can be had.
func (p *Pool) Send(name string, a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.node = name
	return p.enqueue(p.nodes[name], a)
}

// enqueue gives an attempt to a connection, or has it wait for one. It prefers an idle connection, then a new
// one, since answers come in order and a slow one delays those behind it. Nodes take few connections, and all
// proxies share them: where no more can be had, attempts are pipelined. p.mu is held.
func (p *Pool) enqueue(n *node, a *Attempt) bool {
	if n == nil || p.closed {
		return false
	}
	best := n.leastLoaded(p.limits.MaxPipelined)
	switch {
	case best != nil && best.outstanding() == 0:
		best.enqueue(a)
	case p.mayDial(n, best) && p.makeCapacity():
		n.waiting = append(n.waiting, a)
		p.dial(n)
	case best != nil:
		best.enqueue(a)
	case n.dialing > 0 && len(n.waiting) < p.limits.MaxPipelined:
		n.waiting = append(n.waiting, a)
	default:
		return false
	}
	return true
}

// Abandon reports that nobody waits for an attempt any more. It returns true if no byte of it has been
// written, and none will be.
//
// An abandoned attempt that has been written delays all that follow it on its connection, forever where its
// answer is lost, the node is stuck or its machine has vanished. So the connection gets no new attempts, and
// is closed once nobody waits for anything on it. Under overload, when many attempts are abandoned, that
// costs the nodes handshakes, which are a fraction of the abandoned work.
func (p *Pool) Abandon(a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.abandoned = true
	if p.dequeue(a) {
		return true
	}
	n := p.nodes[a.node]
	if n == nil {
		return false
	}
	for _, c := range n.connections {
		if slices.Contains(c.inFlight, a) {
			c.retire("attempt abandoned")
			break
		}
	}
	return false
}

// Withdraw takes back an attempt of which no byte has been written, and reports whether it could. One that is
// being written or was written goes on.
func (p *Pool) Withdraw(a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dequeue(a)
}

// dequeue removes an attempt that waits to be written, and reports whether it did. p.mu is held.
func (p *Pool) dequeue(a *Attempt) bool {
	n := p.nodes[a.node]
	if n == nil {
		return false
	}
	if i := slices.Index(n.waiting, a); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		return true
	}
	for _, c := range n.connections {
		if i := slices.Index(c.queued, a); i >= 0 {
			c.queued = slices.Delete(c.queued, i, i+1)
			return true
		}
	}
	return false
}
