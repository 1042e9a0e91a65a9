package loadgen

// PhaseResult counts the requests that started in a phase, and the tries, dials and faults that happened in it.
type PhaseResult struct {
	Phase           string  `json:"phase"`
	Seconds         float64 `json:"seconds"`
	Offered         int     `json:"offered"`
	InTime          int     `json:"in_time"`
	Late            int     `json:"late"`
	Refused         int     `json:"refused"`
	Failed          int     `json:"failed"`
	Unknown         int     `json:"unknown"` // handovers with an unknown outcome
	Tries           int     `json:"tries"`
	Handovers       int     `json:"handovers"`
	HandoversInTime int     `json:"handovers_in_time"`
	P50             float64 `json:"p50_ms"` // P50 and P99 are latencies of served requests
	P99             float64 `json:"p99_ms"`
	Dials           int     `json:"dials"`
	DialFails       int     `json:"dial_fails"`
	// DialsBusiest50ms is the highest number of dials within any 50 ms. DialsMean50ms is the mean number per 50 ms.
	DialsBusiest50ms int     `json:"dials_busiest_50ms"`
	DialsMean50ms    float64 `json:"dials_mean_50ms"`
	// Lost counts tries that a proxy did not answer, or answered with a malformed answer or more than 500 ms after the
	// deadline. It excludes CrossedClose, which counts tries on an idle connection that the proxy closed before it read
	// them, and KilledInFlight, which counts tries at a proxy that was killed.
	Lost           int `json:"lost"`
	CrossedClose   int `json:"crossed"`
	KilledInFlight int `json:"excused"`
	Overdue        int `json:"overdue"` // tries answered up to 500 ms after their deadline
}

// TriesPerRequest returns the mean number of tries for each offered request.
func (r *PhaseResult) TriesPerRequest() float64 { return float64(r.Tries) / float64(max(r.Offered, 1)) }

// Goodput returns the number of requests per second that were answered in time.
func (r *PhaseResult) Goodput() float64 { return float64(r.InTime) / max(r.Seconds, 1e-9) }

// Result is the result of a load.
type Result struct {
	Kind        Kind          `json:"kind"`
	Clients     int           `json:"clients"`
	Phases      []PhaseResult `json:"phases"`
	NotOffered  int           `json:"not_offered"` // requests not sent because too many were in flight
	LostSamples []string      `json:"samples"`     // descriptions of lost requests
}
