package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// recorder counts what became of requests, by the phase in which they started.
type recorder struct {
	phases    []Phase
	startedAt time.Time // of the first phase

	mu              sync.Mutex
	counts          []phaseCounts
	timeline        []TimelineInterval // of timelineTick each
	events          eventCounts
	notOfferedCount int
	failedDials     int
	lag             time.Duration // of this process, the longest recently
	lagAt           time.Time
	maxLag          time.Duration
}

// TimelineInterval counts the requests that started in a short interval, and those of them that were in time.
type TimelineInterval struct {
	Offered int `json:"offered"`
	InTime  int `json:"in_time"`
}

const (
	timelineTick = 250 * time.Millisecond
	lagTick      = 10 * time.Millisecond
	lagMemory    = 5 * time.Second
	maxSamples   = 20
)

func newRecorder(phases []Phase, start time.Time) *recorder {
	return &recorder{phases: phases, startedAt: start, counts: make([]phaseCounts, len(phases))}
}

// watchLag measures how late this process wakes up, until ctx ends: a machine without a free core delays the proxies
// as well.
func (r *recorder) watchLag(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, lagTick)
		now := time.Now()
		r.addLag(now, now.Sub(before)-lagTick)
	}
}

func (r *recorder) addLag(now time.Time, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lag > r.lag || now.Sub(r.lagAt) > lagMemory {
		r.lag = lag
		r.lagAt = now
	}
	r.maxLag = max(r.maxLag, lag)
}

// tolerance is how late an answer may be now, which is more if this process was late recently.
func (r *recorder) tolerance() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return baseTolerance + 2*r.lag
}

// phaseCounts are the counts of one phase.
type phaseCounts struct {
	offered, inTime, late, refused, failed, retries int
	latencies                                       []float32 // of served requests, in seconds
	handovers, handoversInTime                      int
	offeredWeight, servedWeight                     float64
}

// The weights of requests: handovers weigh more, late ones and those over their tenant's quota less.
const (
	handoverWeight  = 2
	lateFactor      = 0.3
	overQuotaFactor = 0.2
)

// weight is the weight of a request that is answered in time.
func (q *clientRequest) weight() float64 {
	weight := 1.0
	if q.class.isWrite {
		weight = handoverWeight
	}
	if q.overQuota {
		weight *= overQuotaFactor
	}
	return weight
}

// eventCounts counts what the rules forbid, and what looks like it but is excused.
type eventCounts struct {
	requests        int // attempts that were sent
	lost            int
	wrongAnswers    int // answers that are not the request's
	crossedClose    int // attempts whose idle connection was closed as they were sent
	atKilledProxy   int // attempts in flight when their proxy was killed
	atStoppedProxy  int // attempts in flight at a stopped process beyond their deadlines
	unknownOutcomes int // handovers whose clients never learnt what became of them
	atCutLink       int // attempts in flight over a link that was cut
	overdue         int // attempts that were answered shortly after their deadlines
	maxOverdue      time.Duration
	samples         []string
}

// recordedRequest is a request's place in the counts.
type recordedRequest struct {
	phase      int
	interval   int // of the timeline
	isHandover bool
	weight     float64
}

// phaseAndTime returns the phase at a time, and the time since the phase started.
func (r *recorder) phaseAndTime(at time.Time) (*Phase, time.Duration) {
	i, since := r.phaseAt(at), at.Sub(r.startedAt)
	for _, p := range r.phases[:i] {
		since -= time.Duration(p.Duration)
	}
	return &r.phases[i], since
}

// phaseAt returns the number of the phase at a time, the last one for any time after it.
func (r *recorder) phaseAt(at time.Time) int {
	since := at.Sub(r.startedAt)
	for i, p := range r.phases {
		since -= time.Duration(p.Duration)
		if since < 0 {
			return i
		}
	}
	return len(r.phases) - 1
}

// requestStarted counts a request that starts at a time.
func (r *recorder) requestStarted(at time.Time, q *clientRequest) recordedRequest {
	recorded := recordedRequest{
		phase:      r.phaseAt(at),
		interval:   max(int(at.Sub(r.startedAt)/timelineTick), 0),
		isHandover: q.class.isWrite,
		weight:     q.weight(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[recorded.phase]
	c.offered++
	for len(r.timeline) <= recorded.interval {
		r.timeline = append(r.timeline, TimelineInterval{})
	}
	r.timeline[recorded.interval].Offered++
	c.offeredWeight += recorded.weight
	if recorded.isHandover {
		c.handovers++
	}
	return recorded
}

func (r *recorder) retried(recorded recordedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[recorded.phase].retries++
}

// requestEnded counts the end of a request.
func (r *recorder) requestEnded(recorded recordedRequest, took time.Duration, as outcome, objective time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[recorded.phase]
	switch {
	case as == refused:
		c.refused++
	case as != served:
		c.failed++
	case took > objective:
		c.latencies = append(c.latencies, float32(took.Seconds()))
		c.late++
		c.servedWeight += lateFactor * recorded.weight
	default:
		c.latencies = append(c.latencies, float32(took.Seconds()))
		c.inTime++
		r.timeline[recorded.interval].InTime++
		c.servedWeight += recorded.weight
		if recorded.isHandover {
			c.handoversInTime++
		}
	}
}

func (r *recorder) attemptSent()    { r.add(func(e *eventCounts) { e.requests++ }) }
func (r *recorder) crossedClose()   { r.add(func(e *eventCounts) { e.crossedClose++ }) }
func (r *recorder) atStoppedProxy() { r.add(func(e *eventCounts) { e.atStoppedProxy++ }) }
func (r *recorder) unknownOutcome() { r.add(func(e *eventCounts) { e.unknownOutcomes++ }) }
func (r *recorder) atCutLink()      { r.add(func(e *eventCounts) { e.atCutLink++ }) }
func (r *recorder) atKilledProxy()  { r.add(func(e *eventCounts) { e.atKilledProxy++ }) }
func (r *recorder) notOffered()     { r.add(func(*eventCounts) { r.notOfferedCount++ }) }
func (r *recorder) dialFailed()     { r.add(func(*eventCounts) { r.failedDials++ }) }

func (r *recorder) overdue(by time.Duration) {
	r.add(func(e *eventCounts) {
		e.overdue++
		e.maxOverdue = max(e.maxOverdue, by)
	})
}

func (r *recorder) lost(format string, a ...any) {
	r.add(func(e *eventCounts) { e.lost++ }, fmt.Sprintf(format, a...))
}

func (r *recorder) wrongAnswer(format string, a ...any) {
	r.add(func(e *eventCounts) { e.wrongAnswers++ }, fmt.Sprintf(format, a...))
}

// add changes the counts, and keeps some descriptions of what was wrong.
func (r *recorder) add(change func(*eventCounts), samples ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.events)
	for _, sample := range samples {
		if len(r.events.samples) < maxSamples {
			at := time.Since(r.startedAt).Seconds()
			r.events.samples = append(r.events.samples, fmt.Sprintf("%.2f s: %s", at, sample))
		}
	}
}

// quantile returns a quantile of a sorted list of seconds, in milliseconds.
func quantile(sorted []float32, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]) * 1000
}

// summary describes a phase in one line.
func (r *recorder) summary(phase int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[phase]
	return fmt.Sprintf("%s: %d offered, %d in time; %d lost", r.phases[phase].Name, c.offered, c.inTime, r.events.lost)
}

// phaseReports returns the counts as a report has them.
func (r *recorder) phaseReports() (list []PhaseReport, events eventCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, c := range r.counts {
		slices.Sort(c.latencies)
		list = append(list, PhaseReport{
			Name:            r.phases[i].Name,
			Seconds:         time.Duration(r.phases[i].Duration).Seconds(),
			Offered:         c.offered,
			InTime:          c.inTime,
			Late:            c.late,
			Refused:         c.refused,
			Failed:          c.failed,
			Retries:         c.retries,
			P50:             quantile(c.latencies, 0.5),
			P99:             quantile(c.latencies, 0.99),
			Handovers:       c.handovers,
			HandoversInTime: c.handoversInTime,
			OfferedWeight:   c.offeredWeight,
			ServedWeight:    c.servedWeight,
		})
	}
	events = r.events
	events.samples = slices.Clone(r.events.samples)
	return list, events
}
