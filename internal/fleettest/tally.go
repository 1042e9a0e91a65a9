package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// recorder counts what became of requests, by the phase in which they began.
type recorder struct {
	phases []Phase
	startedAt  time.Time // of the first phase

	mu     sync.Mutex
	counts []phaseCounts
	timeline []TimelineInterval // of courseTick each
	events  eventCounts
	notOfferedCount int
	failedDials int // connections that did not come up
	lag    time.Duration
	lagAt  time.Time
	maxLag   time.Duration // of it
}

// TimelineInterval is what began in a short stretch of time, and what of it was in time.
type TimelineInterval struct {
	Offered int `json:"offered"`
	InTime  int `json:"in_time"`
}

const (
	timelineTick = 250 * time.Millisecond
	lagTick    = 10 * time.Millisecond
	lagMemory    = 5 * time.Second
)

// watchLag keeps how late the test itself was woken lately, until ctx ends. What
// a machine without a free core does to it, it does to the proxies as well.
func (t *recorder) watchLag(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, lagTick)
		now := time.Now()
		by := now.Sub(before) - lagTick
		t.mu.Lock()
		if by > t.lag || now.Sub(t.lagAt) > lagMemory {
			t.lag, t.lagAt = by, now
		}
		t.maxLag = max(t.maxLag, by)
		t.mu.Unlock()
	}
}

// tolerance is how late an answer may be: slack, and more where the test itself
// was late.
func (t *recorder) tolerance() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return baseTolerance + 2*t.lag
}

// phaseCounts is of one phase.
type phaseCounts struct {
	offered, inTime, late, refused, failed, retries int
	latencies                                       []float32 // of served ones, seconds
	handovers, handoversInTime                      int
	offeredWeight, servedWeight                                   float64
}

// What requests are worth: handovers twice as much, late ones and those over their tenant's
// share little.
const (
	handoverWeight = 2
	lateFactor     = 0.3
	overQuotaFactor     = 0.2
)

// weightOf is what answering a request in time is worth.
func weightOf(handover, over bool) float64 {
	worth := 1.0
	if handover {
		worth = handoverWeight
	}
	if over {
		worth *= overQuotaFactor
	}
	return worth
}

// eventCounts counts what the rules forbid, and what looks like it but is not.
type eventCounts struct {
	requests int // tries that were sent
	lost     int
	wrongAnswers    int // answers that are not the request's
	crossedClose  int // closed between requests as they went out
	atKilledProxy  int // out when their proxy was killed outright
	atStoppedProxy    int // out at a process that stood still to beyond their deadline
	unknownOutcomes   int // handovers whose tills never learnt what came of them
	atCutLink  int // out over a link that was cut
	overdue  int // answered just after the deadline
	maxOverdue   time.Duration
	samples  []string
}

// recordedRequest is a request's place in the tally.
type recordedRequest struct {
	phase    int
	interval  int
	isHandover bool
	weight    float64
}

func newRecorder(phases []Phase, began time.Time) *recorder {
	return &recorder{phases: phases, startedAt: began, counts: make([]phaseCounts, len(phases))}
}

// phaseAndTime returns the phase that a time lies in, and the time since it began.
func (t *recorder) phaseAndTime(at time.Time) (*Phase, time.Duration) {
	i, since := t.phaseAt(at), at.Sub(t.startedAt)
	for _, p := range t.phases[:i] {
		since -= time.Duration(p.Duration)
	}
	return &t.phases[i], since
}

// phaseAt returns the phase that a time lies in, the last for any after it.
func (t *recorder) phaseAt(at time.Time) int {
	since := at.Sub(t.startedAt)
	for i, p := range t.phases {
		if since -= time.Duration(p.Duration); since < 0 {
			return i
		}
	}
	return len(t.phases) - 1
}

func (t *recorder) requestStarted(at time.Time, handover, over bool) recordedRequest {
	n := recordedRequest{phase: t.phaseAt(at), interval: max(int(at.Sub(t.startedAt)/timelineTick), 0), isHandover: handover, weight: weightOf(handover, over)}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counts[n.phase]
	c.offered++
	for len(t.timeline) <= n.interval {
		t.timeline = append(t.timeline, TimelineInterval{})
	}
	t.timeline[n.interval].Offered++
	c.offeredWeight += n.weight
	if handover {
		c.handovers++
	}
	return n
}

func (t *recorder) retried(n recordedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[n.phase].retries++
}

func (t *recorder) requestEnded(n recordedRequest, took time.Duration, as outcome, aim time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counts[n.phase]
	switch {
	case as == served:
		c.latencies = append(c.latencies, float32(took.Seconds()))
		if took <= aim {
			c.inTime++
			t.timeline[n.interval].InTime++
			c.servedWeight += n.weight
			if n.isHandover {
				c.handoversInTime++
			}
		} else {
			c.late++
			c.servedWeight += lateFactor * n.weight
		}
	case as == refused:
		c.refused++
	default:
		c.failed++
	}
}

func (t *recorder) attemptSent()       { t.add(func(b *eventCounts) { b.requests++ }) }
func (t *recorder) crossedClose()    { t.add(func(b *eventCounts) { b.crossedClose++ }) }
func (t *recorder) atStoppedProxy()      { t.add(func(b *eventCounts) { b.atStoppedProxy++ }) }
func (t *recorder) unknownOutcome()     { t.add(func(b *eventCounts) { b.unknownOutcomes++ }) }
func (t *recorder) atCutLink()    { t.add(func(b *eventCounts) { b.atCutLink++ }) }
func (t *recorder) atKilledProxy()    { t.add(func(b *eventCounts) { b.atKilledProxy++ }) }
func (t *recorder) notOffered() { t.add(func(*eventCounts) { t.notOfferedCount++ }) }
func (t *recorder) dialFailed()   { t.add(func(*eventCounts) { t.failedDials++ }) }

func (t *recorder) overdue(by time.Duration) {
	t.add(func(b *eventCounts) {
		b.overdue++
		b.maxOverdue = max(b.maxOverdue, by)
	})
}

func (t *recorder) lost(format string, a ...any) {
	t.add(func(b *eventCounts) { b.lost++ }, fmt.Sprintf(format, a...))
}

func (t *recorder) wrongAnswer(format string, a ...any) {
	t.add(func(b *eventCounts) { b.wrongAnswers++ }, fmt.Sprintf(format, a...))
}

// add changes the counts, and keeps some samples of what was wrong.
func (t *recorder) add(change func(*eventCounts), samples ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.events)
	for _, sample := range samples {
		if len(t.events.samples) < 20 {
			t.events.samples = append(t.events.samples, fmt.Sprintf("%.2f s: %s", time.Since(t.startedAt).Seconds(), sample))
		}
	}
}

// quantile returns the share q of a sorted list, in milliseconds.
func quantile(sorted []float32, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]) * 1000
}

// phaseReports returns the counts of the phases as a report has them.
func (t *recorder) phaseReports() (list []PhaseReport, rules eventCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, c := range t.counts {
		slices.Sort(c.latencies)
		p := PhaseReport{Name: t.phases[i].Name, Seconds: time.Duration(t.phases[i].Duration).Seconds(), Offered: c.offered,
			InTime: c.inTime, Late: c.late, Refused: c.refused, Failed: c.failed, Retries: c.retries,
			P50: quantile(c.latencies, 0.5), P99: quantile(c.latencies, 0.99),
			Handovers: c.handovers, HandoversInTime: c.handoversInTime, OfferedWeight: c.offeredWeight, ServedWeight: c.servedWeight}
		list = append(list, p)
	}
	rules = t.events
	rules.samples = slices.Clone(t.events.samples)
	return list, rules
}
