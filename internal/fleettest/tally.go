package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// tally counts what became of requests, by the phase in which they began.
type tally struct {
	phases []Phase
	began  time.Time // of the first phase

	mu     sync.Mutex
	counts []count
	course []TimelineInterval // of courseTick each
	rules  broken
	unsent int
	refuse int // connections that did not come up
	lag    time.Duration
	lagAt  time.Time
	most   time.Duration // of it
}

// TimelineInterval is what began in a short stretch of time, and what of it was in time.
type TimelineInterval struct {
	Offered int `json:"offered"`
	InTime  int `json:"in_time"`
}

const (
	courseTick = 250 * time.Millisecond
	lagTick    = 10 * time.Millisecond
	lagKept    = 5 * time.Second
)

// watchLag keeps how late the test itself was woken lately, until ctx ends. What
// a machine without a free core does to it, it does to the proxies as well.
func (t *tally) watchLag(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, lagTick)
		now := time.Now()
		by := now.Sub(before) - lagTick
		t.mu.Lock()
		if by > t.lag || now.Sub(t.lagAt) > lagKept {
			t.lag, t.lagAt = by, now
		}
		t.most = max(t.most, by)
		t.mu.Unlock()
	}
}

// slackNow is how late an answer may be: slack, and more where the test itself
// was late.
func (t *tally) slackNow() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slack + 2*t.lag
}

// count is of one phase.
type count struct {
	offered, inTime, late, refused, failed, retries int
	latencies                                       []float32 // of served ones, seconds
	handovers, handoversInTime                      int
	worth, earned                                   float64
}

// What requests are worth: handovers twice as much, late ones and those over their tenant's
// share little.
const (
	handoverWorth = 2
	lateWorth     = 0.3
	overWorth     = 0.2
)

// worthOf is what answering a request in time is worth.
func worthOf(handover, over bool) float64 {
	worth := 1.0
	if handover {
		worth = handoverWorth
	}
	if over {
		worth *= overWorth
	}
	return worth
}

// broken counts what the rules forbid, and what looks like it but is not.
type broken struct {
	requests int // tries that were sent
	lost     int
	wrong    int // answers that are not the request's
	crossed  int // closed between requests as they went out
	excused  int // out when their proxy was killed outright
	stood    int // out at a process that stood still to beyond their deadline
	unsure   int // handovers whose tills never learnt what came of them
	severed  int // out over a link that was cut
	overdue  int // answered just after the deadline
	overBy   time.Duration
	samples  []string
}

// note is a request's place in the tally.
type note struct {
	phase    int
	stretch  int
	handover bool
	worth    float64
}

func newTally(phases []Phase, began time.Time) *tally {
	return &tally{phases: phases, began: began, counts: make([]count, len(phases))}
}

// place returns the phase that a time lies in, and the time since it began.
func (t *tally) place(at time.Time) (*Phase, time.Duration) {
	i, since := t.phaseAt(at), at.Sub(t.began)
	for _, p := range t.phases[:i] {
		since -= time.Duration(p.Duration)
	}
	return &t.phases[i], since
}

// phaseAt returns the phase that a time lies in, the last for any after it.
func (t *tally) phaseAt(at time.Time) int {
	since := at.Sub(t.began)
	for i, p := range t.phases {
		if since -= time.Duration(p.Duration); since < 0 {
			return i
		}
	}
	return len(t.phases) - 1
}

func (t *tally) begin(at time.Time, handover, over bool) note {
	n := note{phase: t.phaseAt(at), stretch: max(int(at.Sub(t.began)/courseTick), 0), handover: handover, worth: worthOf(handover, over)}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counts[n.phase]
	c.offered++
	for len(t.course) <= n.stretch {
		t.course = append(t.course, TimelineInterval{})
	}
	t.course[n.stretch].Offered++
	c.worth += n.worth
	if handover {
		c.handovers++
	}
	return n
}

func (t *tally) retry(n note) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[n.phase].retries++
}

func (t *tally) end(n note, took time.Duration, as ending, aim time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counts[n.phase]
	switch {
	case as == served:
		c.latencies = append(c.latencies, float32(took.Seconds()))
		if took <= aim {
			c.inTime++
			t.course[n.stretch].InTime++
			c.earned += n.worth
			if n.handover {
				c.handoversInTime++
			}
		} else {
			c.late++
			c.earned += lateWorth * n.worth
		}
	case as == refused:
		c.refused++
	default:
		c.failed++
	}
}

func (t *tally) sent()       { t.add(func(b *broken) { b.requests++ }) }
func (t *tally) crossed()    { t.add(func(b *broken) { b.crossed++ }) }
func (t *tally) stood()      { t.add(func(b *broken) { b.stood++ }) }
func (t *tally) unsure()     { t.add(func(b *broken) { b.unsure++ }) }
func (t *tally) severed()    { t.add(func(b *broken) { b.severed++ }) }
func (t *tally) excused()    { t.add(func(b *broken) { b.excused++ }) }
func (t *tally) notOffered() { t.add(func(*broken) { t.unsent++ }) }
func (t *tally) unopened()   { t.add(func(*broken) { t.refuse++ }) }

func (t *tally) overdue(by time.Duration) {
	t.add(func(b *broken) {
		b.overdue++
		b.overBy = max(b.overBy, by)
	})
}

func (t *tally) lose(format string, a ...any) {
	t.add(func(b *broken) { b.lost++ }, fmt.Sprintf(format, a...))
}

func (t *tally) wrong(format string, a ...any) {
	t.add(func(b *broken) { b.wrong++ }, fmt.Sprintf(format, a...))
}

// add changes the counts, and keeps some samples of what was wrong.
func (t *tally) add(change func(*broken), samples ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.rules)
	for _, sample := range samples {
		if len(t.rules.samples) < 20 {
			t.rules.samples = append(t.rules.samples, fmt.Sprintf("%.2f s: %s", time.Since(t.began).Seconds(), sample))
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

// figures returns the counts of the phases as a report has them.
func (t *tally) figures() (list []PhaseReport, rules broken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, c := range t.counts {
		slices.Sort(c.latencies)
		p := PhaseReport{Name: t.phases[i].Name, Seconds: time.Duration(t.phases[i].Duration).Seconds(), Offered: c.offered,
			InTime: c.inTime, Late: c.late, Refused: c.refused, Failed: c.failed, Retries: c.retries,
			P50: quantile(c.latencies, 0.5), P99: quantile(c.latencies, 0.99),
			Handovers: c.handovers, HandoversInTime: c.handoversInTime, OfferedWeight: c.worth, ServedWeight: c.earned}
		list = append(list, p)
	}
	rules = t.rules
	rules.samples = slices.Clone(t.rules.samples)
	return list, rules
}
