package frontend

import "sync/atomic"

// Budget bounds the bytes of one kind that are held at a time.
type Budget struct {
	total int64
	free  atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{total: int64(bytes)}
	b.free.Store(int64(bytes))
	return b
}

// TryAcquire takes n bytes if they are free.
func (b *Budget) TryAcquire(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// TryAcquireUnreserved takes n bytes if they are free, and one part in so many of all besides.
func (b *Budget) TryAcquireUnreserved(n, part int) bool {
	if b.free.Add(-int64(n)) >= b.total/int64(part) {
		return true
	}
	b.Release(n)
	return false
}

// Release gives them back.
func (b *Budget) Release(n int) { b.free.Add(int64(n)) }

// Available returns how many bytes are free.
func (b *Budget) Available() int { return int(b.free.Load()) }
