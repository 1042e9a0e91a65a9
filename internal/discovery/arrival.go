package discovery

import "context"

// arrivalKey finds the function of WithArrivals in a context.
type arrivalKey struct{}

// WithArrivals has report called with true as a part of a list has come to a watch under the context, and with false
// once the list was delivered, or will never be.
func WithArrivals(ctx context.Context, report func(arriving bool)) context.Context {
	return context.WithValue(ctx, arrivalKey{}, report)
}

// arrival reports the lists of one watch, each from its first part to its delivery.
type arrival struct {
	report func(arriving bool) // nil for nobody
	begun  bool
}

// arrivalOf returns the arrivals that the context of a watch asks for.
func arrivalOf(ctx context.Context) *arrival {
	report, _ := ctx.Value(arrivalKey{}).(func(arriving bool))
	return &arrival{report: report}
}

// begin reports that a part of a list has come.
func (a *arrival) begin() {
	if a.report != nil && !a.begun {
		a.begun = true
		a.report(true)
	}
}

// end reports that the list was delivered, or will never be.
func (a *arrival) end() {
	if a.begun {
		a.begun = false
		a.report(false)
	}
}
