package discovery

import (
	"context"
	"sync/atomic"
)

// arrivalKey is the context key of the counter that WithArrivals sets.
type arrivalKey struct{}

// WithArrivals returns a context whose watches count in arriving the lists that have been received in part and have
// not been delivered yet.
func WithArrivals(ctx context.Context, arriving *atomic.Int32) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arriving)
}

// arrival counts the list that one watch is receiving, from its first part to its delivery.
type arrival struct {
	arriving *atomic.Int32 // nil if the context has no counter
	begun    bool
}

// arrivalOf returns the arrival for a watch with this context.
func arrivalOf(ctx context.Context) *arrival {
	arriving, _ := ctx.Value(arrivalKey{}).(*atomic.Int32)
	return &arrival{arriving: arriving}
}

// begin records that a part of a list has been received.
func (a *arrival) begin() {
	if a.arriving != nil && !a.begun {
		a.begun = true
		a.arriving.Add(1)
	}
}

// end records that the list was delivered, or that the watch ended before the delivery.
func (a *arrival) end() {
	if a.begun {
		a.begun = false
		a.arriving.Add(-1)
	}
}
