package retry

import "time"

// Policy configures retries. Every field must be set; see [DefaultPolicy].
type Policy struct {
	MaxAttempts  int           // attempts of one request, including the first
	DedupWindow  time.Duration // how long nodes drop duplicates of a keyed request
	SafetyMargin time.Duration // part of DedupWindow that is reserved for clock error and network delay
	MinWait      time.Duration // an attempt with a shorter timeout than this is not sent
	AttemptShare float64       // share of the time left that an attempt may take while another could follow
	BaseBackoff  time.Duration // the first backoff is uniform from 0 to BaseBackoff; each attempt doubles that bound
	MaxBackoff   time.Duration // limit of that bound
}

// DefaultPolicy suits a service whose nodes drop duplicates for 1.5 s.
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

// since returns the time from earlier to t, by the clock on which it is longer: considering a dedup window closed too
// early costs an answer, considering it open too long causes a duplicate effect.
func (t Timestamp) since(earlier Timestamp) time.Duration {
	return max(t.Monotonic-earlier.Monotonic, t.Wall-earlier.Wall)
}

func (t Timestamp) add(d time.Duration) Timestamp {
	return Timestamp{Monotonic: t.Monotonic + d, Wall: t.Wall + d}
}
