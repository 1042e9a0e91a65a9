package proxy

import "sync"

// budget bounds the bytes of one kind that are held at a time.
type budget struct {
	mu   sync.Mutex
	more sync.Cond
	free int
}

func newBudget(bytes int) *budget {
	b := &budget{free: bytes}
	b.more.L = &b.mu
	return b
}

// take waits until n bytes are free.
func (b *budget) take(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.free < n {
		b.more.Wait()
	}
	b.free -= n
}

// try takes n bytes if they are free.
func (b *budget) try(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < n {
		return false
	}
	b.free -= n
	return true
}

func (b *budget) give(n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
	b.more.Broadcast()
}
