// Package origin is a fake of the one slow origin behind all cache nodes: it has slots, a queue and a service time, and
// keeps a ledger of every effect. It has no sockets, nodes of the same process call it. Its timers end with Close.
package origin

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Errors of work that was not started, and so had no effect.
var (
	ErrFull = errors.New("origin: queue full")
	ErrDown = errors.New("origin: down")
)

// Config describes an origin.
type Config struct {
	Slots       int           // pieces of work at a time; at least 1
	Queue       int           // pieces that may wait
	ServiceTime time.Duration // for one piece, give or take a quarter
	Seed        uint64
}

// Effect is an entry of the ledger: a write by its record and idempotency key, and how often it took effect.
type Effect struct {
	Record, Key string
	Count       int // carried out so often
	First, Last time.Time
}

const (
	maxEffects    = 1 << 20 // lines of the ledger: past it the oldest make room
	maxDuplicates = 1000    // that are kept for the record; all are counted
)

// Origin is a fake origin. It is safe for concurrent use.
type Origin struct {
	config Config

	mu         sync.Mutex
	rng        *rand.Rand
	running    int
	waiting    []*job
	down       bool
	slowTime   time.Duration // work in place of the usual; 0 for none
	stats      Stats
	ledger     map[string]*Effect
	order      []string // keys of the ledger, oldest first
	duplicates []Effect // as they were found, for the record
	timers     map[*time.Timer]struct{}
	closed     bool
}

// Stats count the work of an origin. QueueFull counts rejections; Effects counts distinct writes, Duplicates those that
// took effect more than once.
type Stats struct {
	Fetches, Writes, QueueFull int
	Effects, Duplicates        int // distinct writes, and those carried out more than once
}

type job struct{ done func() }

// New returns an origin.
func New(c Config) *Origin {
	c.Slots = max(c.Slots, 1)
	return &Origin{config: c, rng: rand.New(rand.NewPCG(c.Seed, 3)), ledger: make(map[string]*Effect),
		timers: make(map[*time.Timer]struct{})}
}

// Fetch reads a key. done is called once, on a goroutine of the origin or, with an error, at once.
func (o *Origin) Fetch(done func(error)) {
	o.submit(done, func() { o.stats.Fetches++ })
}

// Write carries out a write of a record under an idempotency key. It takes effect when it ends. The origin drops no
// repeats; the nodes do.
func (o *Origin) Write(record, key string, done func(error)) {
	o.submit(done, func() { o.recordLocked(record, key, time.Now()) })
}

// submit starts work or queues it. effect is called when it ends, with o.mu held.
func (o *Origin) submit(done func(error), effect func()) {
	o.mu.Lock()
	var err error
	switch {
	case o.down || o.closed:
		err = ErrDown
	case o.running >= o.config.Slots && len(o.waiting) >= o.config.Queue:
		o.stats.QueueFull++
		err = ErrFull
	}
	if err != nil {
		o.mu.Unlock()
		done(err)
		return
	}
	j := &job{done: func() {
		o.mu.Lock()
		effect()
		o.mu.Unlock()
		done(nil)
	}}
	if o.running >= o.config.Slots {
		o.waiting = append(o.waiting, j)
	} else {
		o.startLocked(j)
	}
	o.mu.Unlock()
}

// startLocked starts a piece of work. o.mu is held.
func (o *Origin) startLocked(j *job) {
	o.running++
	work := o.config.ServiceTime
	if o.slowTime > 0 {
		work = o.slowTime
	}
	took := time.Duration(float64(work) * (0.75 + o.rng.Float64()/2))
	var timer *time.Timer
	timer = time.AfterFunc(took, func() {
		o.mu.Lock()
		delete(o.timers, timer)
		o.running--
		if len(o.waiting) > 0 && !o.closed {
			next := o.waiting[0]
			o.waiting = o.waiting[1:]
			o.startLocked(next)
		}
		o.mu.Unlock()
		j.done()
	})
	o.timers[timer] = struct{}{}
}

// recordLocked enters an effect into the ledger. o.mu is held.
func (o *Origin) recordLocked(record, key string, now time.Time) {
	o.stats.Writes++
	name := record + " " + key
	e := o.ledger[name]
	if e == nil {
		if len(o.order) >= maxEffects {
			delete(o.ledger, o.order[0])
			o.order = o.order[1:]
		}
		e = &Effect{Record: record, Key: key, First: now}
		o.ledger[name] = e
		o.order = append(o.order, name)
		o.stats.Effects++
	}
	e.Count++
	e.Last = now
	if e.Count == 2 {
		o.stats.Duplicates++
		if len(o.duplicates) < maxDuplicates {
			o.duplicates = append(o.duplicates, *e)
		}
	}
}

// SetDown has the origin reject all work, or accept it again.
func (o *Origin) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// SetServiceTime changes the time of work that starts from now on; 0 for the configured one.
func (o *Origin) SetServiceTime(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowTime = d
}

// Stats returns the counts so far.
func (o *Origin) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stats
}

// DuplicateEffects returns the writes that took effect more than once, as they were when that was found.
func (o *Origin) DuplicateEffects() []Effect {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.duplicates)
}

// EffectCount returns how often a write took effect.
func (o *Origin) EffectCount(record, key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.ledger[record+" "+key]; e != nil {
		return e.Count
	}
	return 0
}

// Close drops all work in progress; its callers get no answer.
func (o *Origin) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for t := range o.timers {
		t.Stop()
	}
	clear(o.timers)
	o.waiting = nil
}
