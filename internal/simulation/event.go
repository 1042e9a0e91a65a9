package simulation

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Duration
	sequence uint64 // orders events at the same time
	do       func()
}

// eventQueue holds the scheduled events.
type eventQueue struct{ heap eventHeap }

func (q *eventQueue) add(e event) { heap.Push(&q.heap, e) }

func (q *eventQueue) isDue(now time.Duration) bool { return len(q.heap) > 0 && q.heap[0].at <= now }

func (q *eventQueue) take() event { return heap.Pop(&q.heap).(event) }

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{} // releases its function
	*h = (*h)[:last]
	return e
}
