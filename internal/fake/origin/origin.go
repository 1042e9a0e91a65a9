// Package origin is a fake of the one slow origin behind all cache nodes. It has no sockets: fake nodes of the same
// process call it. It guarantees:
//
//  1. It executes a bounded number of operations at the same time, and queues a bounded number.
//  2. Its ledger counts every execution of every write. The origin drops no repeated writes; nodes do.
//  3. An operation that fails was not started and has no effect.
//
// Each operation completes on its own goroutine; [Origin.Close] stops those that have not completed.
package origin

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Errors of operations that were not started.
var (
	ErrFull = errors.New("origin: queue full")
	ErrDown = errors.New("origin: down")
)

// Config sets the limits of an origin.
type Config struct {
	Slots       int           // operations executed at the same time; at least 1
	Queue       int           // operations that may wait for a slot
	ServiceTime time.Duration // mean execution time of an operation, varied by a quarter
	Seed        uint64
}

// Stats count the operations of an origin.
type Stats struct {
	Fetches    int
	Writes     int // executions
	QueueFull  int // operations rejected with ErrFull
	Effects    int // distinct writes
	Duplicates int // distinct writes that were executed more than once
}

// Origin is a fake origin. It is safe for concurrent use.
type Origin struct {
	config Config

	mu                  sync.Mutex
	rng                 *rand.Rand
	running             int
	queue               []*operation
	down                bool
	serviceTimeOverride time.Duration // 0 for none
	stats               Stats
	ledger              ledger
	timers              map[*time.Timer]struct{} // of running operations
	closed              bool
}

type operation struct{ complete func() }

// New returns an origin.
func New(c Config) *Origin {
	c.Slots = max(c.Slots, 1)
	return &Origin{
		config: c,
		rng:    rand.New(rand.NewPCG(c.Seed, 3)),
		ledger: ledger{effects: make(map[effectKey]*Effect)},
		timers: make(map[*time.Timer]struct{}),
	}
}

// Fetch reads a key. done is called at most once: with an error before Fetch returns, otherwise on another goroutine.
func (o *Origin) Fetch(done func(error)) {
	o.submit(done, func() { o.stats.Fetches++ })
}

// Write writes a record under an idempotency key. It calls done as Fetch does, after the write has taken effect.
func (o *Origin) Write(record, key string, done func(error)) {
	o.submit(done, func() { o.recordWrite(effectKey{record, key}) })
}

// submit starts or queues an operation. effect is called with o.mu held when it completes.
func (o *Origin) submit(done func(error), effect func()) {
	if err := o.trySubmit(done, effect); err != nil {
		done(err)
	}
}

func (o *Origin) trySubmit(done func(error), effect func()) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || o.closed {
		return ErrDown
	}
	busy := o.running >= o.config.Slots
	if busy && len(o.queue) >= o.config.Queue {
		o.stats.QueueFull++
		return ErrFull
	}
	op := &operation{complete: func() {
		o.mu.Lock()
		effect()
		o.mu.Unlock()
		done(nil)
	}}
	if busy {
		o.queue = append(o.queue, op)
	} else {
		o.start(op)
	}
	return nil
}

// start executes an operation after its service time, and then starts the next in the queue. o.mu is held.
func (o *Origin) start(op *operation) {
	o.running++
	mean := o.config.ServiceTime
	if o.serviceTimeOverride > 0 {
		mean = o.serviceTimeOverride
	}
	// Between 3/4 and 5/4 of the mean.
	serviceTime := time.Duration(float64(mean) * (0.75 + o.rng.Float64()/2))
	var timer *time.Timer
	timer = time.AfterFunc(serviceTime, func() {
		o.mu.Lock()
		delete(o.timers, timer)
		o.running--
		if len(o.queue) > 0 && !o.closed {
			next := o.queue[0]
			o.queue = o.queue[1:]
			o.start(next)
		}
		o.mu.Unlock()
		op.complete()
	})
	o.timers[timer] = struct{}{}
}

// recordWrite enters an executed write into the ledger. o.mu is held.
func (o *Origin) recordWrite(key effectKey) {
	o.stats.Writes++
	switch o.ledger.record(key, time.Now()) {
	case 1:
		o.stats.Effects++
	case 2:
		o.stats.Duplicates++
	}
}

// SetDown makes the origin reject operations with ErrDown, or accept them again. Operations in flight complete.
func (o *Origin) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// SetServiceTime changes the mean execution time of operations that start from now on; 0 restores the configured one.
func (o *Origin) SetServiceTime(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serviceTimeOverride = d
}

// Stats returns the counts so far.
func (o *Origin) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stats
}

// DuplicateEffects returns the first writes that were executed more than once, each as it was at its second execution.
func (o *Origin) DuplicateEffects() []Effect {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.ledger.duplicates)
}

// EffectCount returns how often a write was executed.
func (o *Origin) EffectCount(record, key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.ledger.effects[effectKey{record, key}]; e != nil {
		return e.Count
	}
	return 0
}

// Close stops all operations in flight: they have no effect, and their callbacks are not called. It does not wait for
// an operation that is just completing.
func (o *Origin) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for t := range o.timers {
		t.Stop()
	}
	clear(o.timers)
	o.queue = nil
}
