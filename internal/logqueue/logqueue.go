// Package logqueue decouples the writers of log lines from their reader: a reader that is slow, absent or gone holds up
// nobody who logs.
//
// Guarantees:
//
//  1. [Queue.Write] does no I/O and does not wait for the output, so callers may have locked a mutex.
//  2. At most maxQueuedBytes of lines wait to be written. Lines that do not fit, and lines that could not be written,
//     are counted. Their number is reported at the place where they are missing, once the output accepts data again.
//  3. The output receives each line in one write, in the order of the calls of Write.
//
// A queue owns one goroutine, which returns after [Queue.Close], unless the output blocks for ever.
package logqueue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait to be written.
	maxQueuedBytes = 1 << 20
	// retryInterval is the time between writes to an output that is non-blocking and full.
	retryInterval = 10 * time.Millisecond
)

// entry is either a line, or a number of lines that were dropped between the entries before and after it.
type entry struct {
	line    []byte
	dropped int
}

// Queue is a writer of lines that never blocks. It is safe for concurrent use.
type Queue struct {
	out   io.Writer
	ended chan struct{} // closed when all entries are written and the queue is closed

	mu      sync.Mutex
	changed *sync.Cond // signals a new entry or a change of closed
	entries []entry
	bytes   int // in entries
	closed  bool
	report  func(dropped int) []byte

	// Only the goroutine of run accesses these fields.
	dropped int  // lines that are missing since the last report
	partial bool // the last write ended within a line
}

// New returns a queue that writes to out.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, ended: make(chan struct{}), report: defaultReport}
	q.changed = sync.NewCond(&q.mu)
	go q.run()
	return q
}

func defaultReport(dropped int) []byte { return fmt.Appendf(nil, "log lines dropped: %d\n", dropped) }

// SetReport sets the function that returns the line which reports a number of dropped lines.
func (q *Queue) SetReport(report func(dropped int) []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.report = report
}

// Write queues one line, which must end with a newline, or drops it. It returns no error, as its caller cannot know
// whether the line will be written.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+len(line) > maxQueuedBytes {
		q.dropLocked()
	} else {
		q.entries = append(q.entries, entry{line: bytes.Clone(line)})
		q.bytes += len(line)
	}
	q.changed.Signal()
	return len(line), nil
}

// dropLocked counts a dropped line in the last entry. q.mu is locked.
func (q *Queue) dropLocked() {
	if n := len(q.entries); n > 0 && q.entries[n-1].dropped > 0 {
		q.entries[n-1].dropped++
		return
	}
	q.entries = append(q.entries, entry{dropped: 1})
}

// Close waits until all queued lines are written, but not for longer than timeout, and reports whether they are. The
// queue must not be written to any more.
func (q *Queue) Close(timeout time.Duration) bool {
	q.mu.Lock()
	q.closed = true
	q.changed.Signal()
	q.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-q.ended:
		return true
	case <-timer.C:
		return false
	}
}

// run writes entries until the queue is closed and empty.
func (q *Queue) run() {
	defer close(q.ended)
	for {
		e, report, ok := q.next()
		q.dropped += e.dropped
		reported := q.writeReport(report)
		if !ok {
			return
		}
		if e.line != nil && !(reported && q.writeLine(e.line)) {
			q.dropped++
		}
	}
}

// next waits for an entry and removes it. It returns false if the queue is closed and empty.
func (q *Queue) next() (e entry, report func(int) []byte, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.entries) == 0 && !q.closed {
		q.changed.Wait()
	}
	if len(q.entries) == 0 {
		return entry{}, q.report, false
	}
	e = q.entries[0]
	q.entries[0] = entry{}
	q.entries = q.entries[1:]
	q.bytes -= len(e.line)
	return e, q.report, true
}

// writeReport writes the number of missing lines. It returns true if there are none that have not been reported.
func (q *Queue) writeReport(report func(int) []byte) bool {
	if q.dropped == 0 {
		return true
	}
	if !q.writeLine(report(q.dropped)) {
		return false
	}
	q.dropped = 0
	return true
}

// writeLine writes a line, and reports whether it was written completely. A line that was cut off by an error is ended
// first, so that it does not run into this one.
func (q *Queue) writeLine(line []byte) bool {
	if q.partial {
		line = append([]byte("\n"), line...)
	}
	written, err := q.writeAll(line)
	if written > 0 {
		q.partial = line[written-1] != '\n'
	}
	return err == nil
}

// writeAll writes data. While the output is non-blocking and full, it retries.
func (q *Queue) writeAll(data []byte) (written int, err error) {
	for written < len(data) {
		n, err := q.out.Write(data[written:])
		written += n
		switch {
		case errors.Is(err, syscall.EAGAIN):
			time.Sleep(retryInterval)
		case err != nil:
			return written, err
		}
	}
	return written, nil
}
