package proxy

import "sync/atomic"

// budget bounds the bytes of one kind that are held at a time.
type budget struct{ free atomic.Int64 }

func newBudget(bytes int) *budget {
	b := new(budget)
	b.free.Store(int64(bytes))
	return b
}

// try takes n bytes if they are free.
func (b *budget) try(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.give(n)
	return false
}

func (b *budget) give(n int) { b.free.Add(int64(n)) }
