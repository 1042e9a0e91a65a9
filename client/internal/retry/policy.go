package retry

import "time"

// Policy bounds retries. Every field is needed; see [DefaultPolicy].
type Policy struct {
	MaxAttempts  int           // of one request
	DedupWindow  time.Duration // how long nodes drop repeats of a keyed request
	SafetyMargin time.Duration // part of DedupWindow that is left for clocks and networks
	MinWait      time.Duration // an attempt that could wait for less than this is not sent
	AttemptShare float64       // of the time left that an attempt waits while another could follow
	BaseBackoff  time.Duration // backoff is uniform from 0 to BaseBackoff, doubled by each attempt
	MaxBackoff   time.Duration // upper bound of the backoff
}

// DefaultPolicy suits a service whose nodes drop repeats for 1.5 s.
var DefaultPolicy = Policy{
	MaxAttempts:  4,
	DedupWindow:  1500 * time.Millisecond,
	SafetyMargin: 100 * time.Millisecond,
	MinWait:      50 * time.Millisecond,
	AttemptShare: 0.6,
	BaseBackoff:  20 * time.Millisecond,
	MaxBackoff:   400 * time.Millisecond,
}

// Timestamp is a moment on two clocks, each counted from its own origin. Monotonic never steps but does not advance
// while the machine is suspended; Wall may step but advances during suspension.
type Timestamp struct{ Monotonic, Wall time.Duration }

// since returns the time from earlier to t, the longer one of both clocks: taking a deduplication window for closed
// too early costs an answer, taking it for open too long costs a duplicate effect.
func (t Timestamp) since(earlier Timestamp) time.Duration {
	return max(t.Monotonic-earlier.Monotonic, t.Wall-earlier.Wall)
}

// add returns the moment d after t.
func (t Timestamp) add(d time.Duration) Timestamp {
	return Timestamp{Monotonic: t.Monotonic + d, Wall: t.Wall + d}
}
