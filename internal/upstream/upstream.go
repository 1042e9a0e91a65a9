// Package upstream keeps the connections to cache nodes. It sends attempts over
// them and tells how each ended; which node an attempt goes to, and whether
// another follows, is decided elsewhere.
package upstream

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
	"mulleinpier/internal/socket"
)

// Result is how an attempt ended without a served answer.
type Result uint8

// The results.
const (
	Busy                   Result = iota // turned away
	Failed                               // an error, it may have run
	NotWritten                           // its last byte was never written
	ConnectionLost                       // the connection ended after that
	Malformed                            // what came instead of its answer can't be read
	ConnectionLimitReached               // the node took no further connection, and has not run it
)

// Attempt is one sending of a request. Each is written at most once and has
// exactly one end, told to the Handler, unless it was withdrawn.
type Attempt struct {
	ID           uint64 // these two name it to the handler
	Number       int
	Request      *request.Request // not to be changed any more
	Deadline     time.Time        // when the proxy stops waiting
	HandlerState any              // the handler's own

	node      string
	endOffset int  // of its bytes among those of the batch in writing
	requeued  bool // it has been taken over from a connection that ended
	abandoned bool // nobody waits for its answer
}

// Handler is told what becomes of attempts. No lock of this package is held
// during its calls.
type Handler interface {
	// BeforeWrite drops the attempts of a batch whose first byte must not be written
	// any more, and returns the others. Those dropped have ended.
	BeforeWrite(batch []*Attempt) []*Attempt
	// WrittenLate tells that attempts were written so long after Begin let them: the process stood
	// still in between, or the node took nothing.
	WrittenLate(batch []*Attempt, by time.Duration)
	// Answered ends an attempt with a served answer, which is the handler's from then on.
	Answered(a *Attempt, answer *request.Answer)
	// Ended ends an attempt; answer is nil where none came.
	Ended(a *Attempt, answer *request.Answer, result Result)
}

// Dialect is how requests are said to nodes, and their answers read. It has no
// state, and is comparable.
type Dialect interface {
	// AppendHead appends a request up to its value, AppendTail what follows it.
	AppendHead(dst []byte, r *request.Request, wait time.Duration) []byte
	AppendTail(dst []byte, r *request.Request) []byte
	// ReadAnswer reads the next answer, which must be that to r. After an error
	// where the next one begins can't be known; one of the network's is a
	// *net.OpError, io.EOF or io.ErrUnexpectedEOF.
	ReadAnswer(in *bufio.Reader, r *request.Request) (request.Answer, error)
}

// Limits bound the connections.
type Limits struct {
	MaxPerNode     int                // connections to one node
	MaxConnections int                // connections to all nodes
	MaxPipelined   int                // attempts out on one connection
	ConnectTimeout time.Duration      // how long one may take to come up
	IdleTimeout    time.Duration      // how long one may stand idle
	SilenceTimeout time.Duration      // how long one with attempts out may say nothing
	FleetShare     connlimit.Capacity // what all proxies together may keep; zero for no bound
}

// SetLimits puts other limits into force. Connections over them are not closed
// for it: they fall idle.
func (ns *Pool) SetLimits(limits Limits) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	ns.limits = limits
	ns.budget.SetCapacity(limits.FleetShare)
}

// Node is a cache node's place.
type Node struct {
	Name, Address string
	Started       time.Time // of its last start, zero for long ago
	Dialect       Dialect   // that it speaks; nil for the usual
}

// Pool holds the connections to all cache nodes.
type Pool struct {
	dialect  Dialect
	handler  Handler
	log      *slog.Logger
	recorder *eventlog.Recorder // nil for none

	tasks sync.WaitGroup // dials, readers and writers

	mu                 sync.Mutex
	limits             Limits
	nodes              map[string]*node
	connections        int  // open or coming up, of all nodes
	closed             bool // Run has ended
	lastWarning        time.Time
	suppressedWarnings int // warnings left out since
	counts             Counts
	budget             connlimit.Budget
	startedAt          time.Time
	closeCheckTimeout  time.Duration // endTime, but in tests
	// Dials end with Run: one to a node that says nothing would hold up the end of the process.
	dials     context.Context
	stopDials context.CancelFunc
}

// Counts are what became of connections since they were last taken.
type Counts struct {
	Dials                  int
	DialFailures           int // of them, connections that never came up
	ConnectionLimitReached int // of them, connections that the node had no room for
	IdleClosed             int // idle connections closed to leave their place to other proxies
	Connections            int // open or coming up now
}

// TakeCounts returns what was counted since it was last called.
func (ns *Pool) TakeCounts() Counts {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	counts := ns.counts
	counts.Connections = ns.connections
	ns.counts = Counts{}
	return counts
}

// The waits before a node that refused connections is asked for a further one.
// The first refusal brings none: networks reset single connections, and on
// the few that are left attempts would wait for one another and end together.
// A node whose table is full costs as many refusals as it takes to double
// the wait.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 4 * time.Second
)

type node struct {
	Node
	listed      bool
	connections []*conn // in order of opening
	dialing     int
	waiting     []*Attempt // for one of the connections coming up
	dialBackoff time.Duration
	nextDialAt  time.Time // no further connection before
}

// New returns an empty Nodes. Run must be called too.
func New(limits Limits, dialect Dialect, handler Handler, log *slog.Logger) *Pool {
	ns := &Pool{limits: limits, dialect: dialect, handler: handler, log: log, nodes: make(map[string]*node), startedAt: time.Now(),
		closeCheckTimeout: closeCheckTimeout}
	ns.dials, ns.stopDials = context.WithCancel(context.Background())
	ns.budget.SetCapacity(limits.FleetShare)
	return ns
}

// SetRecorder has connections and their ends written down. It is called before anything is sent.
func (ns *Pool) SetRecorder(record *eventlog.Recorder) { ns.recorder = record }

// UpdateNodes adds nodes or changes what is known of them. Connections to an old
// address, in another dialect or from before a restart lead nowhere: they get nothing new.
func (ns *Pool) UpdateNodes(list []Node) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for _, in := range list {
		n := ns.nodes[in.Name]
		if n == nil {
			n = &node{}
			ns.nodes[in.Name] = n
		}
		moved := n.Address != in.Address || n.Dialect != in.Dialect
		n.Node, n.listed = in, true
		for _, c := range slices.Clone(n.connections) {
			if moved || c.openedAt.Before(in.Started) {
				ns.retire(c, "node moved or started anew")
			}
		}
	}
}

// RemoveNodes forgets nodes once nothing is out to them.
func (ns *Pool) RemoveNodes(names []string) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for _, name := range names {
		if n := ns.nodes[name]; n != nil {
			n.listed = false
			for _, c := range slices.Clone(n.connections) {
				ns.retire(c, "node removed")
			}
			ns.removeIfUnused(n)
		}
	}
}

// removeIfUnused drops a node that is gone and has nothing left, or the map would grow
// with each machine replaced.
func (ns *Pool) removeIfUnused(n *node) {
	if !n.listed && len(n.connections) == 0 && n.dialing == 0 {
		delete(ns.nodes, n.Name)
	}
}

// NodeNames returns the names of all listed nodes.
func (ns *Pool) NodeNames() []string {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	var names []string
	for name, n := range ns.nodes {
		if n.listed {
			names = append(names, name)
		}
	}
	return names
}

// Send sets an attempt on its way. It returns false, and does nothing, where
// the node is not known or no connection to it can be had.
func (ns *Pool) Send(name string, a *Attempt) bool {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	a.node = name
	return ns.enqueue(ns.nodes[name], a)
}

// enqueue prefers an idle connection, then a new one, since answers on one
// connection come in order and a slow one holds up those behind it. A node's
// table is small and shared with all proxies: where it has no room, attempts
// are pipelined.
func (ns *Pool) enqueue(n *node, a *Attempt) bool {
	if n == nil || ns.closed {
		return false
	}
	best := n.leastLoaded(ns.limits.MaxPipelined)
	// Nothing but a new connection can help a node without any.
	more := n.openConnections()+n.dialing < ns.limits.MaxPerNode && (best == nil || !time.Now().Before(n.nextDialAt))
	switch {
	case best != nil && best.outstanding() == 0:
		best.enqueue(a)
	case more && ns.ensureCapacity():
		n.waiting = append(n.waiting, a)
		ns.dial(n)
	case best != nil:
		best.enqueue(a)
	case n.dialing > 0 && len(n.waiting) < ns.limits.MaxPipelined:
		n.waiting = append(n.waiting, a)
	default:
		return false
	}
	return true
}

// handleConnectionLimit notes that a node has no room for a connection more. The node is well and
// its connections to others are at work: it is left alone for a moment, and this proxy
// keeps fewer connections itself, as do all that meet such nodes.
func (ns *Pool) handleConnectionLimit(c *conn) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	ns.counts.ConnectionLimitReached++
	ns.budget.Rejected(time.Since(ns.startedAt), ns.connections, len(ns.nodes))
	c.retired = true
}

// closeExcess closes the connections that have idled longest while there are more than
// the budget keeps. ns.mu is held.
func (ns *Pool) closeExcess() {
	if ns.connections <= connlimit.MinConnections {
		return
	}
	for most := ns.budget.Limit(time.Since(ns.startedAt), len(ns.nodes)); ns.connections > most; {
		if !ns.closeOldest("place for other proxies") {
			return
		}
		ns.counts.IdleClosed++
	}
}

// openConnections counts the connections that take attempts.
func (n *node) openConnections() int {
	open := 0
	for _, c := range n.connections {
		if !c.retired {
			open++
		}
	}
	return open
}

// ensureCapacity makes sure that a further connection is within the limit, if need be by
// closing an idle one of another node.
func (ns *Pool) ensureCapacity() bool {
	return ns.connections < ns.limits.MaxConnections || ns.closeOldest("place for another node")
}

// closeOldest closes the connection that has idled longest, if any idles.
func (ns *Pool) closeOldest(reason string) bool {
	var oldest *conn
	for _, n := range ns.nodes {
		for _, c := range n.connections {
			if c.outstanding() == 0 && (oldest == nil || c.lastActive.Before(oldest.lastActive)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.close(reason)
	}
	return oldest != nil
}

// leastLoaded returns the connection with the least out, of those equal the one used
// last, so that the others become idle and leave their place to other proxies.
func (n *node) leastLoaded(most int) *conn {
	var best *conn
	for _, c := range n.connections {
		if c.retired || c.outstanding() >= most {
			continue
		}
		if best == nil || c.outstanding() < best.outstanding() ||
			c.outstanding() == best.outstanding() && c.lastActive.After(best.lastActive) {
			best = c
		}
	}
	return best
}

// dial opens one more connection to a node. ns.mu is held.
func (ns *Pool) dial(n *node) {
	n.dialing++
	ns.connections++
	ns.counts.Dials++
	address, name, began := n.Address, n.Name, time.Now()
	dialer := net.Dialer{Timeout: ns.limits.ConnectTimeout, KeepAlive: -1}
	ns.tasks.Go(func() {
		socket, err := dialer.DialContext(ns.dials, "tcp", address) // bounded by the dialer's timeout
		if took := time.Since(began); err != nil {
			ns.recorder.Record(eventlog.NodeDialFailed{Node: name, Duration: took, Err: err})
		} else {
			ns.recorder.Record(eventlog.NodeConnected{Node: name, Duration: took})
		}
		ns.dialFinished(n, address, socket, err)
	})
}

func (ns *Pool) dialFinished(n *node, address string, socket net.Conn, err error) {
	ns.mu.Lock()
	n.dialing--
	switch {
	case err != nil:
		ns.connections--
		ns.counts.DialFailures++
		n.nextDialAt = time.Now().Add(n.dialBackoff)
		n.dialBackoff = min(max(2*n.dialBackoff, minDialBackoff), maxDialBackoff)
	case address != n.Address || !n.listed || ns.closed: // the node has moved or is gone
		ns.connections--
		socket.Close()
	default:
		n.dialBackoff = 0
		n.connections = append(n.connections, newConn(ns, n, socket.(*net.TCPConn)))
		n.assignWaiting()
	}
	// What this one would have carried goes over another, if there is one.
	var lost []*Attempt
	for len(n.waiting) > n.dialing {
		if best := n.leastLoaded(ns.limits.MaxPipelined); best != nil {
			best.enqueue(n.waiting[0])
		} else if n.dialing == 0 {
			lost = append(lost, n.waiting[0])
		} else {
			break // others still come up
		}
		n.waiting = n.waiting[1:]
	}
	ns.removeIfUnused(n)
	ns.mu.Unlock()
	for _, a := range lost {
		ns.handler.Ended(a, nil, NotWritten)
	}
}

// assignWaiting gives the first that waits to an idle connection.
func (n *node) assignWaiting() {
	if len(n.waiting) == 0 {
		return
	}
	if best := n.leastLoaded(1); best != nil {
		best.enqueue(n.waiting[0])
		n.waiting = n.waiting[1:]
	}
}

// Abandon tells that nobody waits for an attempt any more. It returns true if
// no byte of it is written, and none will be.
//
// One that is under way holds up all that follow it on its connection, for good
// where its answer is lost, the node has stalled or the machine has vanished. So
// the connection gets nothing new, and is closed once nobody waits for anything
// on it. Under overload, when much is given up, this costs the nodes handshakes,
// a fraction of the work given up.
func (ns *Pool) Abandon(a *Attempt) bool {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	a.abandoned = true
	if ns.withdraw(a) {
		return true
	}
	if n := ns.nodes[a.node]; n != nil {
		for _, c := range n.connections {
			if slices.Contains(c.inFlight, a) {
				ns.retire(c, "given up")
				break
			}
		}
	}
	return false
}

// Withdraw takes back an attempt that has not begun, and tells whether it could. Nothing else
// changes: one that is under way goes on.
func (ns *Pool) Withdraw(a *Attempt) bool {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.withdraw(a)
}

func (ns *Pool) withdraw(a *Attempt) bool {
	n := ns.nodes[a.node]
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

// CloseIdle closes the idle connections to a node.
func (ns *Pool) CloseIdle(name string) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if n := ns.nodes[name]; n != nil {
		for _, c := range slices.Clone(n.connections) {
			if c.outstanding() == 0 {
				c.close("not used")
			}
		}
	}
}

// retire lets a connection finish what is waited for. ns.mu is held.
func (ns *Pool) retire(c *conn, reason string) {
	c.retired = true
	if !c.isAwaited() {
		c.close(reason)
	}
}

// warnMalformed logs what is wrong with a node's answers, once a second at most: a node
// that answers noise must not flood the log. ns.mu is held.
func (ns *Pool) warnMalformed(name string, err error) {
	if now := time.Now(); now.Sub(ns.lastWarning) < time.Second {
		ns.suppressedWarnings++
	} else {
		ns.log.Warn("node answer malformed", "node", name, "error", err, "suppressed", ns.suppressedWarnings)
		ns.lastWarning, ns.suppressedWarnings = now, 0
	}
}

// Run closes connections that stood idle for long, before the node does it
// in the middle of a request, and those whose node has fallen silent: a machine
// that vanished says nothing at all. When ctx ends it closes all and waits for the
// end of what this package has started.
func (ns *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(ns.sweepInterval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			ns.closeAll()
			ns.tasks.Wait()
			return
		case now := <-tick.C:
			ns.sweep(now)
			tick.Reset(ns.sweepInterval())
		}
	}
}

// sweepInterval is the time between two sweeps.
func (ns *Pool) sweepInterval() time.Duration {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return max(min(ns.limits.IdleTimeout, ns.limits.SilenceTimeout)/8, time.Millisecond)
}

func (ns *Pool) sweep(now time.Time) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for _, n := range ns.nodes {
		for _, c := range slices.Clone(n.connections) {
			limit, reason := ns.limits.SilenceTimeout, "silent"
			if c.outstanding() == 0 {
				limit, reason = ns.limits.IdleTimeout, "idle"
			}
			if now.Sub(c.lastActive) > limit {
				c.close(reason)
			}
		}
	}
}

// CloseStale closes the idle connections that ended meanwhile, or have idled for so long that their
// nodes may end them: after a stop of the process nobody has noticed either. No lock is held
// while they are looked at.
func (ns *Pool) CloseStale() {
	ns.mu.Lock()
	var idle []*conn
	for _, n := range ns.nodes {
		for _, c := range n.connections {
			if c.outstanding() == 0 {
				idle = append(idle, c)
			}
		}
	}
	limit := ns.limits.IdleTimeout
	ns.mu.Unlock()
	dead := slices.DeleteFunc(idle, func(c *conn) bool { return !socket.PeerClosed(c.socket) && !socket.Readable(c.socket) })
	ns.mu.Lock()
	for _, c := range dead {
		if c.outstanding() == 0 {
			c.close("ended during a stop")
		}
	}
	ns.mu.Unlock()
	if limit > 0 {
		ns.sweep(time.Now())
	}
}

// closeAll closes all connections, for good.
func (ns *Pool) closeAll() {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	ns.closed = true
	ns.stopDials()
	for _, n := range ns.nodes {
		for _, c := range slices.Clone(n.connections) {
			c.close("process ends")
		}
	}
}
