package frontend

import "sync/atomic"

// Budget bounds the bytes of one kind that are held at a time.
type Budget struct {
	all  int64
	free atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{all: int64(bytes)}
	b.free.Store(int64(bytes))
	return b
}

// Try takes n bytes if they are free.
func (b *Budget) Try(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.Give(n)
	return false
}

// TryBut takes n bytes if they are free, and one part in so many of all besides.
func (b *Budget) TryBut(n, part int) bool {
	if b.free.Add(-int64(n)) >= b.all/int64(part) {
		return true
	}
	b.Give(n)
	return false
}

// Give gives them back.
func (b *Budget) Give(n int) { b.free.Add(int64(n)) }

// Free returns how many bytes are free.
func (b *Budget) Free() int { return int(b.free.Load()) }
