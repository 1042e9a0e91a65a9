// Package eventlog writes down what becomes of each request, attempt and connection, one line an
// event, so that an incident can be read back from the logs of the processes.
//
// Guarantees:
//
//  1. [Recorder.Record] never waits and does no I/O: it may be called with a lock held.
//  2. An event carries the time at which it was recorded, not that at which it was written.
//  3. At most [queueLength] events wait to be written. Those that find no place are counted, and the
//     count is logged.
//
// Events are logged at the level debug, those of [Recorder.Warn] as warnings. Below it a call costs one look at the level, and callers
// that would have to gather figures ask [Recorder.Enabled] first.
package eventlog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// queueLength bounds the events that wait to be written.
const queueLength = 4096

// Event is something that happened: one of the types of this package.
type Event interface {
	// describe returns the event's message and what belongs to it.
	describe() (message string, attributes []slog.Attr)
}

// entry is an event and when it happened.
type entry struct {
	at    time.Time
	level slog.Level
	event Event
}

// Recorder takes events and writes them to a logger. A nil Recorder takes none.
type Recorder struct {
	log     *slog.Logger
	queue   chan entry
	dropped atomic.Int64
}

// New returns a Recorder that writes to log. Run must be called too.
func New(log *slog.Logger) *Recorder {
	return &Recorder{log: log, queue: make(chan entry, queueLength)}
}

// Enabled tells whether events are written at all.
func (r *Recorder) Enabled() bool { return r.accepts(slog.LevelDebug) }

func (r *Recorder) accepts(level slog.Level) bool {
	return r != nil && r.log.Enabled(context.Background(), level)
}

// Record takes an event. It does not wait.
func (r *Recorder) Record(event Event) { r.enqueue(slog.LevelDebug, event) }

// Warn takes an event that operators should see without asking. It does not wait.
func (r *Recorder) Warn(event Event) { r.enqueue(slog.LevelWarn, event) }

func (r *Recorder) enqueue(level slog.Level, event Event) {
	if !r.accepts(level) {
		return
	}
	select {
	case r.queue <- entry{time.Now(), level, event}:
	default:
		r.dropped.Add(1)
	}
}

// Run writes events until ctx ends, and then those that still wait.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case e := <-r.queue:
			r.write(e)
		case <-ctx.Done():
			r.drain()
			return
		}
	}
}

// drain writes what waits now.
func (r *Recorder) drain() {
	for {
		select {
		case e := <-r.queue:
			r.write(e)
		default:
			return
		}
	}
}

func (r *Recorder) write(e entry) {
	if dropped := r.dropped.Swap(0); dropped > 0 {
		r.log.Warn("events dropped", "count", dropped)
	}
	message, attributes := e.event.describe()
	record := slog.NewRecord(e.at, e.level, message, 0)
	record.AddAttrs(attributes...)
	r.log.Handler().Handle(context.Background(), record)
}
