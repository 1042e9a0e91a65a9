package node

import (
	"sync"
	"time"
)

// Group is what the nodes of a fleet share: the record of writes by which they drop repeats, and the invalidation of
// their caches by writes. It is safe for concurrent use.
type Group struct {
	window time.Duration

	mu      sync.Mutex
	nodes   []*Node
	records map[string]*writeRecord // by idempotency key
	order   []string                // of seen, oldest first
}

// writeRecord is a write that was started within the window.
type writeRecord struct {
	startedAt time.Time
	done      bool
	receipt   string
	waiting   []func(receipt string, err error)
}

// maxRecords bounds the records, whatever the window.
const maxRecords = 1 << 16

// NewGroup returns a group that drops repeats of an idempotency key for a window that starts with the first write.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, records: make(map[string]*writeRecord)}
}

// once calls run for the first of the writes under a key within the window, and done with its receipt for each of them.
// A run that failed has had no effect and is forgotten: the next write is the first again.
func (g *Group) once(key string, run func(done func(receipt string, err error)), done func(receipt string, err error)) {
	now := time.Now()
	g.mu.Lock()
	for len(g.order) > 0 {
		oldest := g.records[g.order[0]]
		if oldest != nil && now.Sub(oldest.startedAt) < g.window && len(g.order) < maxRecords {
			break
		}
		delete(g.records, g.order[0])
		g.order = g.order[1:]
	}
	if e := g.records[key]; e != nil {
		if e.done {
			g.mu.Unlock()
			done(e.receipt, nil)
			return
		}
		e.waiting = append(e.waiting, done)
		g.mu.Unlock()
		return
	}
	e := &writeRecord{startedAt: now, waiting: []func(string, error){done}}
	g.records[key] = e
	g.order = append(g.order, key)
	g.mu.Unlock()
	run(func(receipt string, err error) {
		g.mu.Lock()
		waiting := e.waiting
		e.done, e.receipt, e.waiting = true, receipt, nil
		if err != nil && g.records[key] == e {
			delete(g.records, key)
		}
		g.mu.Unlock()
		for _, done := range waiting {
			done(receipt, err)
		}
	})
}

func (g *Group) join(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes = append(g.nodes, n)
}

// invalidate removes a key from all caches.
func (g *Group) invalidate(key string) {
	g.mu.Lock()
	nodes := g.nodes
	g.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		n.cache.drop(key)
		n.mu.Unlock()
	}
}
