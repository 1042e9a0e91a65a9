package retry

// Budget limits the retries of a process in proportion to its successes: in the long run there are at most 1+Ratio
// attempts per request, however many fail. A keyed request may overdraw the budget by up to Burst; until successes have
// paid that back, safe requests get no retry. It is not safe for concurrent use.
type Budget struct {
	Ratio float64 // retries that each success adds
	Burst float64 // retries that can be saved up at most
	saved float64 // retries; negative while overdrawn
}

// NewBudget returns a budget with one retry saved up, or Burst if that is less: a program that sends a single request
// would otherwise never get a retry.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, saved: min(burst, 1)}
}

// RecordSuccess adds Ratio to the saved retries after a served request, up to Burst.
func (b *Budget) RecordSuccess() { b.saved = min(b.saved+b.Ratio, b.Burst) }

// CanAfford reports whether a request with this effect could get a retry now.
func (b *Budget) CanAfford(e Effect) bool {
	if e == Keyed {
		return b.saved >= 1-b.Burst
	}
	return b.saved >= 1
}

// spend pays for one retry and reports whether the budget could afford it.
func (b *Budget) spend(e Effect) bool {
	if !b.CanAfford(e) {
		return false
	}
	b.saved--
	return true
}
