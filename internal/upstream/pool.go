// Package upstream manages the connections to cache nodes. It sends attempts over them and reports how each attempt
// ended. Its caller decides which node an attempt goes to and whether to retry.
//
// Guarantees:
//
//  1. An attempt is written at most once, and its end is reported exactly once unless it was withdrawn.
//  2. The handler checks an attempt right before its first byte is written, and again if the node accepted no
//     data in the meantime.
//  3. An answer is matched to the right attempt, or the connection ends: after the first unexpected byte,
//     everything that arrives on a connection is ignored. An answer that names no request ends an attempt that
//     must not run twice only once it is certain that it is the answer to this attempt, see attribution.go.
//  4. No new attempt waits behind an abandoned one: a connection with an abandoned attempt gets no new ones.
//  5. An abandoned attempt with side effects is not delivered any more: its connection is reset at once.
//  6. A repeat of an attempt that may have been executed is written only on a connection that has just been confirmed
//     to deliver, see pathcheck.go.
//  7. No lock is held during network I/O or calls of the handler. Warnings about malformed answers are logged
//     with the lock held, at most one per second.
//
// Concurrency: each dial runs in its own goroutine, and each connection has a reader and a writer goroutine;
// [Pool.Run] waits for all of them. Pool.mu guards the state of all connections.
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

// Limits are the limits and timeouts of connections.
type Limits struct {
	MaxPerNode     int                // connections to one node
	MaxConnections int                // connections to all nodes
	MaxPipelined   int                // attempts outstanding on one connection
	ConnectTimeout time.Duration      // for establishing a connection
	IdleTimeout    time.Duration      // for a connection without attempts
	SilenceTimeout time.Duration      // for a connection with attempts on which no answer arrives
	FleetShare     connlimit.Capacity // what the nodes offer to all proxies together; zero for no limit
}

// Node is a cache node.
type Node struct {
	Name, Address string
	Started       time.Time // time of the latest start; the zero time keeps all open connections
	Dialect       Dialect   // nil for the pool's dialect
}

// Pool holds the connections to all cache nodes. It is safe for concurrent use.
type Pool struct {
	dialect  Dialect // for nodes whose Dialect is nil
	handler  Handler
	log      *slog.Logger
	recorder *eventlog.Recorder // nil for none

	// dialContext is cancelled when the pool closes: a dial to a node that does not answer would delay process exit.
	dialContext context.Context
	stopDials   context.CancelFunc
	tasks       sync.WaitGroup // dials, readers and writers
	startedAt   time.Time

	mu                 sync.Mutex // guards the fields below
	limits             Limits
	budget             connlimit.Budget
	nodes              map[string]*node
	connections        int    // open or being established, to all nodes
	connectionsOpened  uint64 // established so far
	closed             bool   // Run is ending: nothing is sent or dialed any more
	counts             Counts
	lastWarning        time.Time     // time of the last warning about a malformed answer
	suppressedWarnings int           // malformed answers since lastWarning that were not logged
	closeCheckTimeout  time.Duration // the constant closeCheckTimeout, except in tests, which need longer
}

// Counts are statistics of connections since the previous call of [Pool.TakeCounts].
type Counts struct {
	Dials                  int
	DialFailures           int // dials that established no connection
	ConnectionLimitReached int // connections that a node rejected because it was at its limit
	IdleClosed             int // idle connections closed to leave capacity to other proxies
	Connections            int // open or being established now
}

// New returns a pool without nodes. [Pool.Run] must run while the pool is used.
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
	p.dialContext, p.stopDials = context.WithCancel(context.Background())
	p.budget.SetCapacity(limits.FleetShare)
	return p
}

// SetRecorder sets the event log for connection events. It must be called before the first attempt is sent.
func (p *Pool) SetRecorder(recorder *eventlog.Recorder) { p.recorder = recorder }

// SetLimits replaces the limits. Connections in excess of the new limits are not closed immediately, but when they
// become idle.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	p.budget.SetCapacity(limits.FleetShare)
}

// TakeCounts returns the statistics since its previous call, and resets them.
func (p *Pool) TakeCounts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Connections = p.connections
	p.counts = Counts{}
	return counts
}

// UpdateNodes adds nodes, or updates the ones it already has. Connections to a previous address, in a previous
// dialect or opened before the node's latest start get no new attempts.
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

// RemoveNodes removes nodes and ignores unknown names. Attempts already sent to a node still end as usual; the state of
// the node is kept until its last connection and dial have ended.
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

// removeIfUnused deletes a removed node once it has neither connections nor dials. Otherwise the map would grow
// with each machine that is replaced. p.mu is held.
func (p *Pool) removeIfUnused(n *node) {
	if !n.listed && len(n.connections) == 0 && n.dialing == 0 {
		delete(p.nodes, n.Name)
	}
}

// NodeNames returns the names of the nodes that have been added and not removed, in no particular order.
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

// Send queues an attempt for a node; it is written once a connection is available. Send returns false, and the
// attempt is not queued, if the node is unknown, no connection can take the attempt, or the pool is closed.
func (p *Pool) Send(name string, a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.node = name
	return p.enqueue(p.nodes[name], a)
}

// enqueue gives an attempt to a connection, or lets it wait for a dial. It prefers an idle connection, then a new
// one, since answers come in order and a slow one delays those behind it. Nodes accept few connections, and all
// proxies share them, so attempts are pipelined when no further connection may be opened. p.mu is held.
func (p *Pool) enqueue(n *node, a *Attempt) bool {
	if n == nil || p.closed {
		return false
	}
	best := n.leastLoaded(a, p.limits.MaxPipelined)
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

// Abandon tells the pool that nobody waits for an attempt any more. It returns true if no byte of the attempt has
// been written and none will be.
//
// An abandoned attempt that has been written delays all attempts behind it on its connection, forever if its
// answer is lost, the node hangs or its machine has failed. Therefore the connection gets no new attempts, and is
// closed once it has no waiters. Under overload, when many attempts are abandoned, this costs the nodes extra
// handshakes, which are a fraction of the abandoned work.
//
// If the attempt has side effects, the connection is reset at once, although others may wait on it: as long as it is
// open, the kernel may still deliver the attempt, for example when a network partition ends, and by then the nodes may
// have forgotten the key of a repeat that was executed in the meantime.
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
		if !slices.Contains(c.inFlight, a) {
			continue
		}
		if a.Request.SideEffects {
			c.close("attempt with side effects abandoned")
		} else {
			c.retire("attempt abandoned")
		}
		break
	}
	return false
}

// Withdraw removes an attempt of which no byte has been written, and reports whether it did. It does not affect an
// attempt that is being checked or written, or has been written.
func (p *Pool) Withdraw(a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dequeue(a)
}

// dequeue removes an attempt that waits for a connection or in a connection's queue, and reports whether it did.
// p.mu is held.
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
			c.writerWake.Signal() // attempts that waited behind it for a path check may be written now
			return true
		}
	}
	return false
}
