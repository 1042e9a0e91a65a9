package eventlog

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func recorderAt(level slog.Level) (*Recorder, *bytes.Buffer) {
	var out bytes.Buffer
	return New(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))), &out
}

// run writes all that has been recorded.
func run(r *Recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.Run(ctx)
}

// TestEventsKeepTheirTime guards guarantee 2.
func TestEventsKeepTheirTime(t *testing.T) {
	r, out := recorderAt(slog.LevelDebug)
	r.Record(RequestAbandoned{ID: "a1", Duration: 40 * time.Millisecond})
	before := time.Now()
	time.Sleep(20 * time.Millisecond)
	run(r)
	at, rest, _ := strings.Cut(strings.TrimPrefix(out.String(), "time="), " ")
	written, err := time.Parse(time.RFC3339Nano, at)
	if err != nil || written.After(before.Add(time.Millisecond)) {
		t.Errorf("written with the time %s, recorded before %v: %v", at, before, err)
	}
	if want := "msg=\"client left\" id=a1 took=40ms"; !strings.Contains(rest, want) {
		t.Errorf("wrote %q, want %q in it", rest, want)
	}
}

// TestWhatFindsNoPlaceIsCounted guards guarantees 1 and 3: nothing reads, and Record returns.
func TestWhatFindsNoPlaceIsCounted(t *testing.T) {
	r, out := recorderAt(slog.LevelDebug)
	for range queueLength + 3 {
		r.Record(ProcessStalled{})
	}
	run(r)
	if lines := strings.Count(out.String(), "held up"); lines != queueLength || !strings.Contains(out.String(), "msg=\"events dropped\" count=3") {
		t.Errorf("%d events written, and of the others: %.120q", lines, out.String())
	}
}

func TestNothingIsTakenBelowDebug(t *testing.T) {
	r, out := recorderAt(slog.LevelInfo)
	r.Record(ProcessStalled{})
	run(r)
	(*Recorder)(nil).Record(ProcessStalled{})
	if out.Len() > 0 || len(r.queue) > 0 {
		t.Errorf("wrote %q", out.String())
	}
}
