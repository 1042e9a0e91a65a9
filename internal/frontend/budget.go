package frontend

import "sync/atomic"

// Budget bounds the bytes of one kind that are in use at a time. It is safe for concurrent use.
type Budget struct {
	total     int64
	available atomic.Int64 // negative after Acquire beyond the total
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{total: int64(bytes)}
	b.available.Store(b.total)
	return b
}

// Acquire takes n bytes, whether they are available or not.
func (b *Budget) Acquire(n int) { b.available.Add(-int64(n)) }

// TryAcquire takes n bytes if they are available, and reports whether it did.
func (b *Budget) TryAcquire(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// TryAcquireUnreserved takes n bytes if that leaves the reserved part of the total available, one in
// reservedDivisor. It reports whether it did.
func (b *Budget) TryAcquireUnreserved(n, reservedDivisor int) bool {
	if b.available.Add(-int64(n)) >= b.total/int64(reservedDivisor) {
		return true
	}
	b.Release(n)
	return false
}

// Release gives n bytes back.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Available returns how many bytes are available.
func (b *Budget) Available() int { return int(b.available.Load()) }
