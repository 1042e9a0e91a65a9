package loadgen

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request or a try ended, as its client saw it.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	unknown
)

// recorder counts requests, tries and connections by phase. It is safe for concurrent use.
type recorder struct {
	config  *Config
	auditor *TraceAuditor

	mu        sync.Mutex
	start     time.Time
	phases    []PhaseResult
	latencies []*hdrhistogram.Histogram // latencies in microseconds, one histogram for each phase
	dials     []time.Duration           // times of the dials since start
	samples   []string                  // descriptions of lost requests
}

const (
	maxLatency        = time.Minute // largest value of the histograms; no request takes longer
	latencyDigits     = 3           // significant digits of the histograms
	maxSamples        = 20
	microsPerMilli    = 1000
	dialCountInterval = 50 * time.Millisecond
)

func newRecorder(c *Config) *recorder {
	r := &recorder{config: c, start: time.Now(), phases: make([]PhaseResult, len(c.Phases))}
	for range c.Phases {
		r.latencies = append(r.latencies, hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits))
	}
	r.auditor = r.newAuditor()
	return r
}

// newAuditor returns an auditor that counts in r. Without SeenByNode, no try counts as lost.
func (r *recorder) newAuditor() *TraceAuditor {
	a := &TraceAuditor{
		SeenByNode:       r.config.SeenByNode,
		RecentlyKilled:   r.config.RecentlyKilled,
		OnTry:            r.countTry,
		OnLost:           r.countLost,
		OnCrossedClose:   func() { r.count(func(p *PhaseResult) { p.CrossedClose++ }) },
		OnKilledInFlight: func() { r.count(func(p *PhaseResult) { p.KilledInFlight++ }) },
		OnOverdue:        func(time.Duration) { r.count(func(p *PhaseResult) { p.Overdue++ }) },
	}
	if a.SeenByNode == nil {
		a.OnLost = func(string, ...any) {}
		a.SeenByNode = func(string) bool { return false }
	}
	if a.RecentlyKilled == nil {
		a.RecentlyKilled = func(string) bool { return false }
	}
	return a
}

// begin sets the start of the first phase.
func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = time.Now()
}

// phaseAt returns the index of the phase at the time at, or of the last phase if at is after the end of the load. The
// caller holds r.mu.
func (r *recorder) phaseAt(at time.Time) int {
	elapsed := at.Sub(r.start)
	for i, p := range r.config.Phases {
		elapsed -= p.Duration
		if elapsed < 0 {
			return i
		}
	}
	return len(r.config.Phases) - 1
}

// count applies a change to the counts of the current phase.
func (r *recorder) count(change func(p *PhaseResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.phases[r.phaseAt(time.Now())])
}

// countOffered counts a request in the phase in which it started.
func (r *recorder) countOffered(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phases[r.phaseAt(start)].Offered++
}

func (r *recorder) countTry() { r.count(func(p *PhaseResult) { p.Tries++ }) }

func (r *recorder) countDialFailure() { r.count(func(p *PhaseResult) { p.DialFails++ }) }

func (r *recorder) countDial() {
	r.count(func(p *PhaseResult) {
		p.Dials++
		if len(r.dials) < maxRecordedDials {
			r.dials = append(r.dials, time.Since(r.start))
		}
	})
}

func (r *recorder) countLost(format string, a ...any) {
	r.count(func(p *PhaseResult) {
		p.Lost++
		if len(r.samples) < maxSamples {
			at := fmt.Sprintf("%.2f s: ", time.Since(r.start).Seconds())
			r.samples = append(r.samples, at+fmt.Sprintf(format, a...))
		}
	})
}

// countEnded counts the outcome of a request in the phase in which the request started.
func (r *recorder) countEnded(start time.Time, q *request, result outcome) {
	took := time.Since(start)
	objective := r.config.ReadObjective
	if q.isHandover() {
		objective = r.config.WriteObjective
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.phaseAt(start)
	p := &r.phases[i]
	if q.isHandover() {
		p.Handovers++
	}
	switch result {
	case served:
		r.latencies[i].RecordValue(max(took.Microseconds(), 1))
		if took > objective {
			p.Late++
			return
		}
		p.InTime++
		if q.isHandover() {
			p.HandoversInTime++
		}
	case refused:
		p.Refused++
	case unknown:
		p.Unknown++
	default:
		p.Failed++
	}
}

// result returns the result of the load. All requests must have ended.
func (r *recorder) result(notOffered int) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{
		Kind:        r.config.Kind,
		Clients:     r.config.Clients,
		NotOffered:  notOffered,
		LostSamples: r.samples,
	}
	from := time.Duration(0)
	for i, p := range r.phases {
		phase := r.config.Phases[i]
		p.Phase = phase.Name
		p.Seconds = phase.Duration.Seconds()
		p.P50 = float64(r.latencies[i].ValueAtQuantile(50)) / microsPerMilli
		p.P99 = float64(r.latencies[i].ValueAtQuantile(99)) / microsPerMilli
		dials := r.dialsBetween(from, from+phase.Duration)
		from += phase.Duration
		p.DialsBusiest50ms = busiest(dials, dialCountInterval)
		p.DialsMean50ms = float64(len(dials)) * dialCountInterval.Seconds() / phase.Duration.Seconds()
		result.Phases = append(result.Phases, p)
	}
	return result
}

// dialsBetween returns the times since r.start of the dials in [from, to). The caller holds r.mu.
func (r *recorder) dialsBetween(from, to time.Duration) (within []time.Duration) {
	for _, at := range r.dials {
		if at >= from && at < to {
			within = append(within, at)
		}
	}
	return within
}

// busiest returns the highest number of elements of times within any interval of length span. It sorts times.
func busiest(times []time.Duration, span time.Duration) (highest int) {
	slices.Sort(times)
	first := 0
	for last := range times {
		for times[last]-times[first] >= span {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
