package frontend

import "sync/atomic"

// Budget limits the memory used for one purpose, in bytes. It is safe for concurrent use.
type Budget struct {
	total     int64
	available atomic.Int64 // negative if Acquire exceeded the total
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{total: int64(bytes)}
	b.available.Store(b.total)
	return b
}

// Acquire takes n bytes even if fewer are available.
func (b *Budget) Acquire(n int) { b.available.Add(-int64(n)) }

// TryAcquire takes n bytes if they are available, and reports whether it did.
func (b *Budget) TryAcquire(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// TryAcquireUnreserved takes n bytes if at least the reserved part of the budget, total/reservedDivisor, remains
// available afterwards. It reports whether it did.
func (b *Budget) TryAcquireUnreserved(n, reservedDivisor int) bool {
	if b.available.Add(-int64(n)) >= b.total/int64(reservedDivisor) {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Available returns the number of available bytes, negative if [Budget.Acquire] exceeded the total.
func (b *Budget) Available() int { return int(b.available.Load()) }
