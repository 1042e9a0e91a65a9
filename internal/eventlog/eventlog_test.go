package eventlog

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// recorderAt returns a Recorder whose logger has the given level, and the buffer that the logger writes to.
func recorderAt(level slog.Level) (*Recorder, *bytes.Buffer) {
	var out bytes.Buffer
	return New(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))), &out
}

// writeQueued writes all queued events.
func writeQueued(r *Recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.Run(ctx)
}

// TestEventsKeepTheirTime checks that an event is logged with the time at which it was recorded, even if it is written
// 20 ms later (guarantee 2).
func TestEventsKeepTheirTime(t *testing.T) {
	r, out := recorderAt(slog.LevelDebug)
	r.Record(RequestAbandoned{ID: "a1", Duration: 40 * time.Millisecond})
	before := time.Now()
	time.Sleep(20 * time.Millisecond)
	writeQueued(r)
	at, rest, _ := strings.Cut(strings.TrimPrefix(out.String(), "time="), " ")
	written, err := time.Parse(time.RFC3339Nano, at)
	if err != nil || written.After(before.Add(time.Millisecond)) {
		t.Errorf("written with the time %s, recorded before %v: %v", at, before, err)
	}
	if want := "msg=\"request abandoned\" request=a1 duration=40ms"; !strings.Contains(rest, want) {
		t.Errorf("wrote %q, want %q in it", rest, want)
	}
}

// TestDroppedEventsAreCounted checks that Record returns although the queue is full and nothing writes events
// (guarantee 1), and that the events that found the queue full are dropped and their number is logged (guarantee 3).
func TestDroppedEventsAreCounted(t *testing.T) {
	r, out := recorderAt(slog.LevelDebug)
	for range queueLength + 3 {
		r.Record(ProcessStalled{})
	}
	writeQueued(r)
	lines := strings.Count(out.String(), "process stalled")
	if lines != queueLength || !strings.Contains(out.String(), "msg=\"events dropped\" count=3") {
		t.Errorf("%d events written, want %d and a line about the other 3: %.120q", lines, queueLength, out.String())
	}
}

// TestNoEventIsRecordedBelowDebug checks that no event is queued while debug logs are off, and that a nil
// Recorder ignores events.
func TestNoEventIsRecordedBelowDebug(t *testing.T) {
	r, out := recorderAt(slog.LevelInfo)
	r.Record(ProcessStalled{})
	writeQueued(r)
	(*Recorder)(nil).Record(ProcessStalled{})
	if out.Len() > 0 || len(r.queue) > 0 {
		t.Errorf("wrote %q", out.String())
	}
}
