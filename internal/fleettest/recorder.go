package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/delay"
)

// recorder counts the outcomes of requests, by the phase in which they started. It is safe for concurrent use.
type recorder struct {
	phases    []Phase
	startedAt time.Time // start of the first phase

	mu              sync.Mutex
	counts          []phaseCounts
	timeline        []TimelineInterval // one for each timelineTick
	events          eventCounts
	notOfferedCount int
	failedDials     int
	lag             time.Duration // longest recent wake-up delay of this process
	lagAt           time.Time
	maxLag          time.Duration
}

// TimelineInterval counts the requests that started in an interval of 250 ms, and how many of them were answered in
// time.
type TimelineInterval struct {
	Offered int `json:"offered"`
	InTime  int `json:"in_time"`
}

const (
	timelineTick = 250 * time.Millisecond
	lagTick      = 10 * time.Millisecond
	lagRetention = 5 * time.Second
	maxSamples   = 20
)

func newRecorder(phases []Phase, start time.Time) *recorder {
	return &recorder{phases: phases, startedAt: start, counts: make([]phaseCounts, len(phases))}
}

// watchLag measures how late this process wakes up, until ctx ends. A late wake-up means that the machine has no free
// core, and then the proxies are delayed, too.
func (r *recorder) watchLag(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		delay.Wait(ctx, lagTick)
		now := time.Now()
		r.addLag(now, now.Sub(before)-lagTick)
	}
}

func (r *recorder) addLag(now time.Time, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lag > r.lag || now.Sub(r.lagAt) > lagRetention {
		r.lag = lag
		r.lagAt = now
	}
	r.maxLag = max(r.maxLag, lag)
}

// tolerance returns how late an answer may currently be. It is larger if this process recently woke up late.
func (r *recorder) tolerance() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return baseTolerance + 2*r.lag
}

type phaseCounts struct {
	offered, inTime, late, refused, failed, retries int
	latencies                                       []float32 // of all served requests, also late ones, in seconds
	handovers, handoversInTime                      int
	offeredWeight, servedWeight                     float64
}

// Weights of requests: a handover counts more than a read; late requests and requests over their tenant's quota count
// less.
const (
	handoverWeight  = 2
	lateFactor      = 0.3
	overQuotaFactor = 0.2
)

// weight returns the weight of a request if it is answered in time.
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

// eventCounts counts breaches of the rules, and events that look like a breach but are excused.
type eventCounts struct {
	requests        int // attempts sent
	lost            int
	wrongAnswers    int // answers that do not match the request or are malformed
	crossedClose    int // attempts sent just as the proxy closed the idle connection
	atKilledProxy   int // attempts in flight when their proxy was killed
	atStoppedProxy  int // attempts still in flight at a stopped process at their deadlines
	unknownOutcomes int // handovers whose clients never learned the outcome
	atCutLink       int // attempts in flight over a link that was cut
	overdue         int // attempts answered after their deadlines, but within the tolerance
	maxOverdue      time.Duration
	samples         []string
}

// recordedRequest says where a started request was counted.
type recordedRequest struct {
	phase      int
	interval   int // index in the timeline
	isHandover bool
	weight     float64
}

// phaseAndTime returns the phase at the time at, and the time since that phase started.
func (r *recorder) phaseAndTime(at time.Time) (*Phase, time.Duration) {
	i, since := r.phaseAt(at), at.Sub(r.startedAt)
	for _, p := range r.phases[:i] {
		since -= time.Duration(p.Duration)
	}
	return &r.phases[i], since
}

// phaseAt returns the index of the phase at the time at. Any time after the last phase belongs to the last phase.
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

// requestStarted counts a request that starts at the time at. Its result goes to requestEnded.
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

// requestEnded counts a request by its result and, if it was served, by whether it took longer than the objective.
func (r *recorder) requestEnded(recorded recordedRequest, took time.Duration, result outcome, objective time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[recorded.phase]
	switch {
	case result == refused:
		c.refused++
	case result != served:
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

func (r *recorder) attemptSent()    { r.update(func(e *eventCounts) { e.requests++ }) }
func (r *recorder) crossedClose()   { r.update(func(e *eventCounts) { e.crossedClose++ }) }
func (r *recorder) atStoppedProxy() { r.update(func(e *eventCounts) { e.atStoppedProxy++ }) }
func (r *recorder) unknownOutcome() { r.update(func(e *eventCounts) { e.unknownOutcomes++ }) }
func (r *recorder) atCutLink()      { r.update(func(e *eventCounts) { e.atCutLink++ }) }
func (r *recorder) atKilledProxy()  { r.update(func(e *eventCounts) { e.atKilledProxy++ }) }
func (r *recorder) notOffered()     { r.update(func(*eventCounts) { r.notOfferedCount++ }) }
func (r *recorder) dialFailed()     { r.update(func(*eventCounts) { r.failedDials++ }) }

func (r *recorder) overdue(by time.Duration) {
	r.update(func(e *eventCounts) {
		e.overdue++
		e.maxOverdue = max(e.maxOverdue, by)
	})
}

func (r *recorder) lost(format string, a ...any) {
	r.update(func(e *eventCounts) { e.lost++ }, fmt.Sprintf(format, a...))
}

func (r *recorder) wrongAnswer(format string, a ...any) {
	r.update(func(e *eventCounts) { e.wrongAnswers++ }, fmt.Sprintf(format, a...))
}

// update changes the counts, and keeps the first maxSamples descriptions of problems.
func (r *recorder) update(change func(*eventCounts), samples ...string) {
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

// quantile returns a quantile of a sorted list of seconds, in milliseconds; 0 for an empty list.
func quantile(sorted []float32, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]) * 1000
}

// summary describes a phase in one line, with the number of requests that were lost in all phases so far.
func (r *recorder) summary(phase int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[phase]
	return fmt.Sprintf("%s: %d offered, %d in time; %d lost", r.phases[phase].Name, c.offered, c.inTime, r.events.lost)
}

// phaseReports returns the counts in the form that reports use.
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
