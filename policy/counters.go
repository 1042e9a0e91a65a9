package policy

// Counters count how requests and attempts ended. Package overload decides the degradation level from them.
type Counters struct {
	// Requests that were sent and have ended, and those of them not served within their latency objective. Handovers
	// are the requests of IdempotentWithKey classes, Reads are all others.
	Reads, LateReads         int
	Handovers, LateHandovers int

	// Requests that reached the gates, and those of them that were shed there, including DeadlineRejections. Requests
	// that the degradation level rejects count as Offered but not as Rejected.
	Offered, Rejected int

	// Writes that were served, reads that missed the cache, and attempts on the fetch path that failed; FailedFetches
	// are those that ended in an error or a timeout.
	Fetches, FailedFetches int

	TimedFetches int     // fetches and writes whose latency was measured
	FetchTimeSum float64 // sum of the latencies that the origin added to these, in latency objectives of their classes

	Servers, Ejected   int // servers listed now, and those of them that serve but are in backoff
	DeadlineRejections int // requests rejected because the chosen server was unlikely to answer in time
	WaitsForServer     int
}

// TakeCounters returns the counts since its last call and resets them. Servers and Ejected are the present values.
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

// countRequest counts a request that ends. It skips a request whose client left before the latency objective, which
// says nothing about load, a request that was never sent, which was counted at the gates, and one that spanned a pause.
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

// countFetch counts an attempt whose outcome shows that it had to ask the origin.
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
