package discovery

import (
	"context"
	"sync/atomic"
)

// arrivalKey finds the counter of WithArrivals in a context.
type arrivalKey struct{}

// WithArrivals has the watches under the context count the lists of which a part has come and that have not been
// delivered yet.
func WithArrivals(ctx context.Context, arriving *atomic.Int32) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arriving)
}

// arrival counts the lists of one watch, each from its first part to its delivery.
type arrival struct {
	arriving *atomic.Int32 // nil where nobody asks
	begun    bool
}

// arrivalOf returns the arrivals that the context of a watch asks for.
func arrivalOf(ctx context.Context) *arrival {
	arriving, _ := ctx.Value(arrivalKey{}).(*atomic.Int32)
	return &arrival{arriving: arriving}
}

// begin notes that a part of a list has come.
func (a *arrival) begin() {
	if a.arriving != nil && !a.begun {
		a.begun = true
		a.arriving.Add(1)
	}
}

// end notes that the list was delivered, or will never be.
func (a *arrival) end() {
	if a.begun {
		a.begun = false
		a.arriving.Add(-1)
	}
}
