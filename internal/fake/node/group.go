package node

import (
	"sync"
	"time"
)

// Group is what the nodes of a fleet share: the record of executed idempotency keys, by which they drop repeated
// writes, and the invalidation of cached copies after a write. It is safe for concurrent use.
type Group struct {
	window time.Duration

	mu         sync.Mutex
	nodes      []*Node
	executions map[string]*execution // by idempotency key
	order      []string              // keys of executions, oldest first
}

// writeDone receives the receipt of a write, or the error by which it had no effect.
type writeDone func(receipt string, err error)

// execution is the first write with an idempotency key.
type execution struct {
	startedAt time.Time
	complete  bool
	receipt   string
	waiting   []writeDone // of the writes with this key, until it is complete
}

// maxExecutions bounds the record of executed keys, however long the window is.
const maxExecutions = 1 << 16

// NewGroup returns a group that drops repeats of an idempotency key until window has passed since its first execution
// started.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, executions: make(map[string]*execution)}
}

// executeOnce calls write only for the first of the writes with a key in the window, and done with its receipt for
// each of them. A write that failed had no effect and is forgotten: the next one with the key is the first again.
func (g *Group) executeOnce(key string, write func(writeDone), done writeDone) {
	now := time.Now()
	g.mu.Lock()
	g.forgetExpired(now)
	if e := g.executions[key]; e != nil {
		if e.complete {
			g.mu.Unlock()
			done(e.receipt, nil)
			return
		}
		e.waiting = append(e.waiting, done)
		g.mu.Unlock()
		return
	}
	e := &execution{startedAt: now, waiting: []writeDone{done}}
	g.executions[key] = e
	g.order = append(g.order, key)
	g.mu.Unlock()
	write(func(receipt string, err error) { g.complete(key, e, receipt, err) })
}

// forgetExpired removes keys that are older than the window or too many. g.mu is held.
func (g *Group) forgetExpired(now time.Time) {
	for len(g.order) > 0 {
		oldest := g.executions[g.order[0]]
		if oldest != nil && now.Sub(oldest.startedAt) < g.window && len(g.order) < maxExecutions {
			return
		}
		delete(g.executions, g.order[0])
		g.order = g.order[1:]
	}
}

// complete records the outcome of an execution and notifies all writes that wait for it.
func (g *Group) complete(key string, e *execution, receipt string, err error) {
	g.mu.Lock()
	waiting := e.waiting
	e.waiting = nil
	e.complete = true
	e.receipt = receipt
	if err != nil && g.executions[key] == e {
		delete(g.executions, key)
	}
	g.mu.Unlock()
	for _, done := range waiting {
		done(receipt, err)
	}
}

func (g *Group) add(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes = append(g.nodes, n)
}

// invalidate removes a key from the caches of all nodes.
func (g *Group) invalidate(key string) {
	g.mu.Lock()
	nodes := g.nodes
	g.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		n.cache.remove(key)
		n.mu.Unlock()
	}
}
