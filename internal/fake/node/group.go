package node

import (
	"sync"
	"time"
)

// Group is the state that the nodes of a fleet share. It records executed idempotency keys, by which the nodes drop
// duplicate writes, and invalidates the nodes' cached copies after a write. It is safe for concurrent use.
type Group struct {
	window time.Duration

	mu         sync.Mutex
	nodes      []*Node
	executions map[string]*execution // by idempotency key
	order      []string              // keys of executions, oldest first
}

// writeDone receives the receipt of a write, or an error if the write had no effect.
type writeDone func(receipt string, err error)

// execution is the first write with an idempotency key.
type execution struct {
	startedAt time.Time
	complete  bool
	receipt   string
	waiting   []writeDone // callbacks of all writes with this key, called on completion
}

// maxExecutions limits the number of recorded keys. If there are more, the oldest are removed even within the window.
const maxExecutions = 1 << 16

// NewGroup returns a group that drops duplicate writes with an idempotency key until window has passed since the start
// of the first execution.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, executions: make(map[string]*execution)}
}

// executeOnce calls write only for the first write with a key within the window. It calls done for each write with the
// key, with the receipt of the first. A failed write had no effect and is not recorded: the next write with the key is
// executed.
func (g *Group) executeOnce(key string, write func(writeDone), done writeDone) {
	now := time.Now()
	g.mu.Lock()
	g.removeExpired(now)
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

// removeExpired removes keys that are older than the window, and the oldest ones if the record is full. g.mu is held.
func (g *Group) removeExpired(now time.Time) {
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
