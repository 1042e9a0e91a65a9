package loadgen

// PhaseResult counts the requests that started in one phase, and what was sent for them.
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
	P50             float64 `json:"p50_ms"` // of served requests
	P99             float64 `json:"p99_ms"`
	Dials           int     `json:"dials"`
	DialFails       int     `json:"dial_fails"`
	// DialsBusiest50ms counts the dials in the busiest 50 ms, DialsMean50ms those in 50 ms on average.
	DialsBusiest50ms int     `json:"dials_busiest_50ms"`
	DialsMean50ms    float64 `json:"dials_mean_50ms"`
	// Lost counts requests that a proxy received and did not answer, CrossedClose those that a proxy did not read
	// before it closed the connection, KilledInFlight those at a proxy that was killed.
	Lost           int `json:"lost"`
	CrossedClose   int `json:"crossed"`
	KilledInFlight int `json:"excused"`
	Overdue        int `json:"overdue"` // answered shortly after the try was given up
}

// TriesPerRequest is how many tries there were for each request.
func (r *PhaseResult) TriesPerRequest() float64 { return float64(r.Tries) / float64(max(r.Offered, 1)) }

// Goodput is how many requests a second were answered in time.
func (r *PhaseResult) Goodput() float64 { return float64(r.InTime) / max(r.Seconds, 1e-9) }

// Result is the result of a load.
type Result struct {
	Kind        Kind          `json:"kind"`
	Clients     int           `json:"clients"`
	Phases      []PhaseResult `json:"phases"`
	NotOffered  int           `json:"not_offered"` // because too many were in flight
	LostSamples []string      `json:"samples"`     // descriptions of lost requests
}
