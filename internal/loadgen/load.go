// Package loadgen is the client side of experiments: many tills that ask a fleet of proxies, each
// on its own, of two kinds. Library tills use the client package. Brief tills behave as
// the operators describe theirs: they ask again at once or after a short fixed wait, mark
// repeats only at times, heed no advice, and reconnect at once; they write a handover
// again however long ago its first try went out.
//
// Arrivals do not wait for answers. Load is bounded: see [Config].
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinpier/client"
)

// Kind is how tills behave.
type Kind string

// The kinds.
const (
	Library Kind = "library"
	Naive   Kind = "brief"
)

// Phase is a stretch of time whose figures stand together.
type Phase struct {
	Name     string
	Duration time.Duration
}

// Config says what to ask. All is needed but what has a usual value.
type Config struct {
	Kind           Kind
	Addresses      []string
	Clients        int     // tills; 1 to 10,000
	Rate           float64 // requests a second over all tills; at most 20,000
	Phases         []Phase // one hour together at most
	HandoverShare  float64 // share of the requests
	Keys           int     // of reads
	Skew           float64 // of their popularity, above 1
	Tenant         string
	Seed           uint64
	Options        client.Options // of library tills; Proxies, Tenant and Trace are set here
	ReadObjective  time.Duration  // 500 ms
	WriteObjective time.Duration  // 750 ms

	// SeenByNode tells whether a node has seen a try, Excused whether a proxy was killed outright just now. A
	// rehearsal knows; where they are nil, nothing is counted as lost.
	SeenByNode     func(id string) bool
	RecentlyKilled func(proxy string) bool
}

// The bounds of a load.
const (
	mostClients = 10000
	mostRate    = 20000
	mostFor     = time.Hour
	mostOpen    = 8192 // requests under way, over all tills
	mostDials   = 1 << 20
)

func (c *Config) check() error {
	if c.ReadObjective == 0 {
		c.ReadObjective = 500 * time.Millisecond
	}
	if c.WriteObjective == 0 {
		c.WriteObjective = 750 * time.Millisecond
	}
	if c.Options.Read == (client.Class{}) {
		c.Options.Read = client.Read
	}
	if c.Options.Write == (client.Class{}) {
		c.Options.Write = client.Write
	}
	total := time.Duration(0)
	for _, p := range c.Phases {
		total += p.Duration
	}
	switch {
	case c.Kind != Library && c.Kind != Naive:
		return fmt.Errorf("load: kind cannot be %q: want %s or %s", c.Kind, Library, Naive)
	case len(c.Addresses) == 0:
		return errors.New("load: there is no proxy")
	case c.Clients < 1 || c.Clients > mostClients:
		return fmt.Errorf("load: clients cannot be %d: want 1 to %d", c.Clients, mostClients)
	case !(c.Rate > 0 && c.Rate <= mostRate):
		return fmt.Errorf("load: rate cannot be %v: want above 0 to %d", c.Rate, mostRate)
	case total <= 0 || total > mostFor:
		return fmt.Errorf("load: lasts %v: want above 0 to %v", total, mostFor)
	case !(c.HandoverShare >= 0 && c.HandoverShare <= 1):
		return fmt.Errorf("load: handovers cannot be %v: want 0 to 1", c.HandoverShare)
	case c.Keys < 1 || c.Keys > 1e8 || !(c.Skew > 1):
		return errors.New("load: want keys from 1 to 100000000, skew above 1")
	}
	return nil
}

// PhaseResult are what became of the requests that began in one phase, and of what was sent for them.
type PhaseResult struct {
	Phase           string  `json:"phase"`
	Seconds         float64 `json:"seconds"`
	Offered         int     `json:"offered"`
	InTime          int     `json:"in_time"`
	Late            int     `json:"late"`
	Refused         int     `json:"refused"`
	Failed          int     `json:"failed"`
	Unknown         int     `json:"unknown"` // handovers of which it can't be told
	Tries           int     `json:"tries"`
	Handovers       int     `json:"handovers"`
	HandoversInTime int     `json:"handovers_in_time"`
	P50             float64 `json:"p50_ms"` // of what was served
	P99             float64 `json:"p99_ms"`
	Dials           int     `json:"dials"`
	DialFails       int     `json:"dial_fails"`
	// DialsBusiest50ms is how many attempts to connect lay in the busiest 50 ms, Mean how many do in
	// the mean.
	DialsBusiest50ms int     `json:"dials_busiest_50ms"`
	DialsMean50ms    float64 `json:"dials_mean_50ms"`
	// Lost are requests that a proxy took and did not answer; Crossed those that it did not
	// read before it closed, Excused those of a proxy that was killed.
	Lost           int `json:"lost"`
	CrossedClose   int `json:"crossed"`
	KilledInFlight int `json:"excused"`
	Overdue        int `json:"overdue"` // answered just after the try was given up
}

// TriesPerRequest is how many tries there were for each request.
func (f *PhaseResult) TriesPerRequest() float64 { return float64(f.Tries) / float64(max(f.Offered, 1)) }

// Goodput is how many requests a second were answered in time.
func (f *PhaseResult) Goodput() float64 { return float64(f.InTime) / max(f.Seconds, 1e-9) }

// Result is what a load brought.
type Result struct {
	Kind        Kind          `json:"kind"`
	Clients     int           `json:"clients"`
	Phases      []PhaseResult `json:"phases"`
	NotOffered  int           `json:"not_offered"` // as too many were under way
	LostSamples []string      `json:"samples"`     // of what was lost
}

// end is how a request ended, as its till saw it.
type end uint8

const (
	served end = iota
	refused
	failed
	unknown
)

// till is one of the clients.
type till interface {
	// call carries out one request, and returns how it ended.
	call(o *order) end
	close()
}

// order is one request.
type order struct {
	key, value string // a read has no value
	retries    int
	pause      time.Duration // before each
	share      float64       // of the deadline that a try waits
	marked     bool
}

// tally counts. It is safe for concurrent use.
type tally struct {
	config *Config
	began  time.Time

	mu      sync.Mutex
	figures []PhaseResult
	times   []*hdrhistogram.Histogram // by phase, of microseconds
	dials   []time.Duration           // since began
	audit   *TraceAuditor
	samples []string
}

func (t *tally) phase(at time.Time) int {
	since := at.Sub(t.began)
	for i, p := range t.config.Phases {
		if since -= p.Duration; since < 0 {
			return i
		}
	}
	return len(t.config.Phases) - 1
}

// add changes the figures of the phase that it is.
func (t *tally) add(change func(f *PhaseResult)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.figures[t.phase(time.Now())])
}

// audit judges by what the rehearsal knows, if it does.
func (c *Config) audit(t *tally) *TraceAuditor {
	u := &TraceAuditor{SeenByNode: c.SeenByNode, RecentlyKilled: c.RecentlyKilled, OnTry: t.tried, OnLost: t.lose,
		OnCrossedClose:   func() { t.add(func(f *PhaseResult) { f.CrossedClose++ }) },
		OnKilledInFlight: func() { t.add(func(f *PhaseResult) { f.KilledInFlight++ }) },
		OnOverdue:        func(time.Duration) { t.add(func(f *PhaseResult) { f.Overdue++ }) }}
	if u.SeenByNode == nil {
		u.OnLost = func(string, ...any) {}
		u.SeenByNode = func(string) bool { return false }
	}
	if u.RecentlyKilled == nil {
		u.RecentlyKilled = func(string) bool { return false }
	}
	return u
}

func (t *tally) tried() { t.add(func(f *PhaseResult) { f.Tries++ }) }

func (t *tally) dialled() {
	t.add(func(f *PhaseResult) {
		f.Dials++
		if len(t.dials) < mostDials {
			t.dials = append(t.dials, time.Since(t.began))
		}
	})
}

func (t *tally) lose(format string, a ...any) {
	t.add(func(f *PhaseResult) {
		f.Lost++
		if len(t.samples) < 20 {
			t.samples = append(t.samples, fmt.Sprintf("%.2f s: ", time.Since(t.began).Seconds())+fmt.Sprintf(format, a...))
		}
	})
}

// over counts a request that began at a time.
func (t *tally) over(begun time.Time, o *order, as end) {
	took := time.Since(begun)
	aim := t.config.ReadObjective
	if o.value != "" {
		aim = t.config.WriteObjective
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.phase(begun)
	f := &t.figures[i]
	if o.value != "" {
		f.Handovers++
	}
	switch as {
	case served:
		t.times[i].RecordValue(max(took.Microseconds(), 1)) // longer than its range can't be
		if took > aim {
			f.Late++
			return
		}
		f.InTime++
		if o.value != "" {
			f.HandoversInTime++
		}
	case refused:
		f.Refused++
	case unknown:
		f.Unknown++
	default:
		f.Failed++
	}
}

// busiest returns how many of some times lie in the busiest span of a length.
func busiest(times []time.Duration, span time.Duration) (most int) {
	slices.Sort(times)
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] >= span {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

// dialSpan is the span in which attempts to connect are counted together.
const dialSpan = 50 * time.Millisecond

func (t *tally) result(notOffered int) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Result{Kind: t.config.Kind, Clients: t.config.Clients, NotOffered: notOffered, LostSamples: t.samples}
	from := time.Duration(0)
	for i, f := range t.figures {
		p := t.config.Phases[i]
		f.Phase, f.Seconds = p.Name, p.Duration.Seconds()
		f.P50, f.P99 = float64(t.times[i].ValueAtQuantile(50))/1000, float64(t.times[i].ValueAtQuantile(99))/1000
		var within []time.Duration
		for _, at := range t.dials {
			if at >= from && at < from+p.Duration {
				within = append(within, at)
			}
		}
		from += p.Duration
		f.DialsBusiest50ms, f.DialsMean50ms = busiest(within, dialSpan), float64(len(within))*dialSpan.Seconds()/p.Duration.Seconds()
		r.Phases = append(r.Phases, f)
	}
	return r
}

// Run plays a load to its end, or until ctx ends.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	t := &tally{config: &c, began: time.Now(), figures: make([]PhaseResult, len(c.Phases))}
	t.audit = c.audit(t)
	total := time.Duration(0)
	for _, p := range c.Phases {
		t.times = append(t.times, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
		total += p.Duration
	}
	rng := rand.New(rand.NewPCG(c.Seed, 7))
	zipf := rand.NewZipf(rng, c.Skew, 4, uint64(c.Keys-1))
	var tills []till
	defer func() {
		for _, x := range tills {
			x.close()
		}
	}()
	for range c.Clients {
		x, err := t.open(rng)
		if err != nil {
			return nil, err
		}
		tills = append(tills, x)
	}
	ctx, stop := context.WithTimeout(ctx, total)
	defer stop()
	t.began = time.Now()
	var tasks sync.WaitGroup
	var under atomic.Int64
	notOffered, serial := 0, 0
	prefix := strings.ToUpper(string(c.Kind[:1]))
	for next := time.Now(); ctx.Err() == nil; {
		serial++
		o := &order{key: fmt.Sprint("k", zipf.Uint64()), retries: 3, share: 0.3 + rng.Float64()*0.25, marked: rng.IntN(2) == 0}
		if rng.IntN(2) == 0 {
			o.pause = time.Duration(20+rng.IntN(140)) * time.Millisecond
		}
		if rng.Float64() < c.HandoverShare {
			o.key, o.value = fmt.Sprint("h", rng.IntN(c.Keys)), fmt.Sprintf("%s%x-%x", prefix, c.Seed, serial)
		}
		x := tills[rng.IntN(len(tills))]
		if under.Load() >= mostOpen {
			notOffered++
		} else {
			under.Add(1)
			begun := time.Now()
			t.mu.Lock()
			t.figures[t.phase(begun)].Offered++
			t.mu.Unlock()
			tasks.Go(func() {
				defer under.Add(-1)
				t.over(begun, o, x.call(o))
			})
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
	tasks.Wait()
	if c.Kind == Library && c.SeenByNode != nil {
		t.audit.Finish()
	}
	for _, x := range tills {
		x.close()
	}
	tills = nil
	return t.result(notOffered), nil
}
