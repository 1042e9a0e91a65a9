package policy

// Counters count what became of requests and attempts. Package overload decides the degradation level from them.
type Counters struct {
	// Requests that were sent and ended, and of them those not served within their latency objective. Handovers are
	// the requests of classes that are IdempotentWithKey, Reads all others.
	Reads, LateReads         int
	Handovers, LateHandovers int

	// Requests that reached a gate, and of them those rejected there. Neither counts what the degradation level
	// rejected: Offered does, Rejected does not.
	Offered, Rejected int

	// Writes, and reads that no filter named, that ended; of them those that ended in an error or without an answer.
	Fetches, FailedFetches int

	TimedFetches int     // fetches and writes that were served and measured
	FetchTimeSum float64 // what the origin added to them, in latency objectives of their classes

	Servers, Ejected   int // listed now, and of them those not chosen for the time being
	DeadlineRejections int // rejected since the chosen server could hardly answer in time
	WaitsForServer     int
}

// TakeCounters returns what has been counted since it was last called.
func (b *Balancer) TakeCounters() Counters {
	counters := b.counters
	b.counters = Counters{}
	for _, s := range b.servers {
		if !s.listed {
			continue
		}
		counters.Servers++
		if s.State == Serving && s.backoffUntil > b.now {
			counters.Ejected++
		}
	}
	return counters
}

// countRequest counts a request that ends. A client that left before the latency objective says something about its
// patience, not about load; a request that was never sent has been counted at the gates.
func (b *Balancer) countRequest(r *request) {
	if r.spannedPause || len(r.attempts) == 0 {
		return
	}
	withinObjective := b.now-r.arrivedAt <= r.class.LatencyObjective
	if !r.served && withinObjective && r.openAttempts > 0 {
		return
	}
	late := 0
	if !r.served || !withinObjective {
		late = 1
	}
	if r.class.Idempotency == IdempotentWithKey {
		b.handoverGate.observe(b.now, gateSample{offered: 1, completed: 1, inTime: float64(1 - late)})
		b.counters.Handovers++
		b.counters.LateHandovers += late
		return
	}
	b.counters.Reads++
	b.counters.LateReads += late
}

// countFetch counts an attempt that had to ask the origin, as far as its outcome shows that.
func (b *Balancer) countFetch(r *request, a *attempt, e Outcome) {
	if r.Key == "" || a.path == hitPath {
		return
	}
	switch {
	case e.isMiss(), r.Write && e.Result == Served:
		b.counters.Fetches++
	case e.Result == Errored, e.Result == TimedOut:
		b.counters.Fetches++
		b.counters.FailedFetches++
	}
}
