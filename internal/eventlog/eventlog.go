// Package eventlog logs the events of each request, attempt and connection, one line per event, so that an
// incident can be reconstructed from the logs of the processes.
//
// Guarantees:
//
//  1. [Recorder.Record] never blocks and does no I/O, so it may be called with a lock held.
//  2. An event is logged with the time at which it was recorded, not the time at which it is written.
//  3. At most queueLength events wait to be written. Events that find the queue full are dropped, and their
//     number is logged.
//
// Events are logged at level debug, those of [Recorder.Warn] as warnings. While debug is off, a call only
// checks the level; callers that would have to compute attributes check [Recorder.Enabled] first.
//
// The package starts no goroutine: the caller runs [Recorder.Run], which writes the events.
package eventlog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// queueLength bounds the events that wait to be written.
const queueLength = 4096

// Event is one of the event types of this package. Callers pass events to [Recorder.Record] or [Recorder.Warn].
type Event interface {
	// describe returns the event's log message and attributes.
	describe() (message string, attributes []slog.Attr)
}

type entry struct {
	at    time.Time // when the event was recorded
	level slog.Level
	event Event
}

// Recorder queues events and writes them to a logger. It is safe for concurrent use; a nil Recorder ignores
// all events.
type Recorder struct {
	log     *slog.Logger
	queue   chan entry
	dropped atomic.Int64 // events dropped because the queue was full, since their number was last logged
}

// New returns a Recorder that writes to log while [Recorder.Run] runs.
func New(log *slog.Logger) *Recorder {
	return &Recorder{log: log, queue: make(chan entry, queueLength)}
}

// Enabled reports whether events other than warnings are written.
func (r *Recorder) Enabled() bool { return r.accepts(slog.LevelDebug) }

func (r *Recorder) accepts(level slog.Level) bool {
	return r != nil && r.log.Enabled(context.Background(), level)
}

// Record queues an event at level debug. It does not block.
func (r *Recorder) Record(event Event) { r.enqueue(slog.LevelDebug, event) }

// Warn queues an event that operators should see without enabling debug logs. It does not block.
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

// Run writes events until ctx is done, then writes the events that are still queued and returns.
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

// drain writes the events that are queued when it is called.
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
