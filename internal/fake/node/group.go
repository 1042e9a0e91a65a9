package node

import (
	"sync"
	"time"
)

// Group is what all nodes of a fleet have in common: the memory of handovers
// that they drop repeats from, and the copies that a write makes void.
type Group struct {
	window time.Duration

	mu    sync.Mutex
	nodes []*Node
	seen  map[string]*entry // by idempotency key
	order []string          // of seen, oldest first
}

type entry struct {
	since   time.Time
	done    bool
	receipt string
	waiting []func(receipt string, err error)
}

// mostSeen bounds the memory of repeats, whatever the window.
const mostSeen = 1 << 16

// NewGroup returns a group that drops repeats of an idempotency key for window
// from the time at which the first was begun.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, seen: make(map[string]*entry)}
}

// once calls run for the first of the writes under a key within the window, and
// done with its receipt for each of them. A run that failed, so had no
// effect, is forgotten: the next is the first again.
func (g *Group) once(key string, run func(done func(receipt string, err error)), done func(receipt string, err error)) {
	now := time.Now()
	g.mu.Lock()
	for len(g.order) > 0 {
		oldest := g.seen[g.order[0]]
		if oldest != nil && now.Sub(oldest.since) < g.window && len(g.order) < mostSeen {
			break
		}
		delete(g.seen, g.order[0])
		g.order = g.order[1:]
	}
	if e := g.seen[key]; e != nil {
		if e.done {
			g.mu.Unlock()
			done(e.receipt, nil)
			return
		}
		e.waiting = append(e.waiting, done)
		g.mu.Unlock()
		return
	}
	e := &entry{since: now, waiting: []func(string, error){done}}
	g.seen[key] = e
	g.order = append(g.order, key)
	g.mu.Unlock()
	run(func(receipt string, err error) {
		g.mu.Lock()
		waiting := e.waiting
		e.done, e.receipt, e.waiting = true, receipt, nil
		if err != nil && g.seen[key] == e {
			delete(g.seen, key)
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

// void drops all copies of a key.
func (g *Group) void(key string) {
	g.mu.Lock()
	nodes := g.nodes
	g.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		n.cache.drop(key)
		n.mu.Unlock()
	}
}
