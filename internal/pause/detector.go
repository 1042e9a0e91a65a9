// Package pause detects when this process did not run for some time, and controls the recovery. The causes are
// a paused virtual machine, a swapping host, a lack of processors or a debugger. The package does no I/O and
// reads no clock: the same events always give the same actions.
//
// A pause lasts [Limits.MinPause] or longer. After it, decisions that were made before must be checked again
// before they are acted on. A stall is shorter than that and at least [MinStall] long. Decisions that were made
// before a stall stay valid, but bytes that arrived during the stall have not been read, and work that was due
// during it is late.
//
// Guarantees:
//
//  1. A pause of [Limits.MinPause] or longer is reported by the first check of the clocks after it, whoever
//     makes the check.
//  2. A pause shorter than MinPause less two check intervals is never reported, if the process gets its
//     processor in time: checks are at most one interval apart.
//  3. A reported pause lasts from the last check before it to the first after it: it is never shorter than
//     the real pause, and longer by one check interval at most.
//  4. After a pause sends are deferred until the endpoint list has been fetched again, for
//     [Limits.MaxDeferral] at most, or [Limits.MaxArrival] while a list is arriving; then they are released in
//     batches.
//  5. A request with side effects is rejected without being sent if it may be older than its client's timeout
//     or than the dedup window ([DecideByAge]).
//
// Limitation: a pause between the last check and the first byte of a write can't be detected in time. The
// caller counts it after the write.
//
// The package starts no goroutine. The types with state are not safe for concurrent use.
package pause

import "time"

// ClockReading is a reading of the clocks.
type ClockReading struct {
	Now time.Duration // on the monotonic clock
	// TotalSleep is how long the machine has slept in total, which the monotonic clock does not count: the
	// difference between CLOCK_BOOTTIME and that clock. It is zero where CLOCK_BOOTTIME is not read.
	TotalSleep time.Duration
}

// Limits configure the detection of pauses and the recovery from them.
type Limits struct {
	CheckInterval   time.Duration // the clocks are checked at least this often
	MinPause        time.Duration // the shortest pause that is reported
	MaxDeferral     time.Duration // sends are deferred for this long at most, while no list is arriving
	MaxArrival      time.Duration // sends are deferred for this long after the pause at most, while a list is arriving
	ReleaseBatch    int           // number of sends that are released at a time
	ReleaseInterval time.Duration // time between two batches
}

// DefaultLimits are the limits in production. MinPause is shorter than the 500 ms within which a drain that was
// reported during a pause must be obeyed, and far shorter than the dedup windows of nodes: an undetected pause
// does no more harm than a network delay of the same length. It is far longer than a garbage collection or a
// busy machine keeps the process from running.
var DefaultLimits = Limits{
	CheckInterval:   50 * time.Millisecond,
	MinPause:        300 * time.Millisecond,
	MaxDeferral:     250 * time.Millisecond,
	MaxArrival:      2 * time.Second,
	ReleaseBatch:    32,
	ReleaseInterval: 5 * time.Millisecond,
}

// Interval is an interval in which the process may not have run. The zero value stands for none.
type Interval struct {
	Start, End time.Duration // on the monotonic clock
	Slept      time.Duration // time that the machine slept in the interval, which the monotonic clock does not count
}

// Duration returns the length of the interval, including the time that the machine slept.
func (i Interval) Duration() time.Duration { return i.End - i.Start + i.Slept }

// Event is an input of a Detector: one of the types below.
type Event interface{ event() }

type (
	// ClockChecked is a check of the clocks. The caller makes one at each interval, and before each decision.
	ClockChecked struct{ TotalSleep time.Duration }
	// ListsRefreshed reports that all requested endpoint lists have been received, or their requests have failed.
	ListsRefreshed struct{}
)

func (ClockChecked) event()   {}
func (ListsRefreshed) event() {}

// Action is an output of a Detector: one of the types below. The caller carries actions out immediately and in order.
type Action interface{ action() }

type (
	// Paused reports a pause. From now on the caller defers sends, and it fetches the endpoint lists.
	Paused struct{ Interval Interval }
	// ReleaseSends requests the release of the oldest deferred sends, Max at most.
	ReleaseSends struct{ Max int }
	// CheckAgain requests a ClockChecked after a delay.
	CheckAgain struct{ After time.Duration }
	// Resumed ends the recovery that Paused began: sends are no longer deferred. After is the time since
	// the end of the pause.
	Resumed struct{ After time.Duration }
)

func (Paused) action()       {}
func (ReleaseSends) action() {}
func (CheckAgain) action()   {}
func (Resumed) action()      {}

type state uint8

const (
	running    state = iota
	recovering       // sends are deferred until the lists have been fetched
	releasing        // deferred sends are released in batches
)

// Detector detects pauses and controls the recovery from them. Its zero value is not usable; see [New].
type Detector struct {
	limits        Limits
	state         state
	lastReading   ClockReading
	lastPause     Interval
	deadline      time.Duration // in recovering, the end of the deferral; in releasing, the time of the next batch
	deferredSends int           // see SetDeferredSends
	listsArriving int           // see SetListsArriving
}

// New returns a Detector. now is a reading of the clocks while the process runs.
func New(limits Limits, now ClockReading) *Detector {
	return &Detector{limits: limits, lastReading: now}
}

// LastPause returns the latest pause, the zero Interval for none.
func (d *Detector) LastPause() Interval { return d.lastPause }

// DefersSends reports whether new sends must be deferred.
func (d *Detector) DefersSends() bool { return d.state != running }

// DefersWrites reports whether all writes must be deferred. It reports false while deferred sends are being released,
// so that they can be written.
func (d *Detector) DefersWrites() bool { return d.state == recovering }

// SetDeferredSends sets the number of sends that are deferred now. It must be called before each event.
func (d *Detector) SetDeferredSends(n int) { d.deferredSends = n }

// SetListsArriving sets the number of endpoint lists that have been received in part and are not in force yet. It must
// be called before each event.
func (d *Detector) SetListsArriving(n int) { d.listsArriving = n }

// Handle handles an event that occurs at now, and returns out with the resulting actions appended. A check of the
// clocks that is older than the last one detects nothing, since the later check was handled first.
func (d *Detector) Handle(now time.Duration, event Event, out []Action) []Action {
	if check, ok := event.(ClockChecked); ok && now >= d.lastReading.Now {
		if d.checkClocks(now, check.TotalSleep) {
			return append(out, Paused{d.lastPause}, CheckAgain{d.limits.MaxDeferral})
		}
	}
	_, refreshed := event.(ListsRefreshed)
	if d.state == recovering && (refreshed || now >= d.deadline) {
		if d.awaitsList(now) {
			return d.extendDeferral(now, out)
		}
		d.state, d.deadline = releasing, now
	}
	if d.state == releasing && now >= d.deadline {
		return d.release(now, out)
	}
	return out
}

// awaitsList reports whether a list is arriving, which may contain what was reported during the pause, and
// MaxArrival has not passed.
func (d *Detector) awaitsList(now time.Duration) bool {
	return d.listsArriving > 0 && now < d.lastPause.End+d.limits.MaxArrival
}

// extendDeferral extends the deferral by one check interval, until MaxArrival at most.
func (d *Detector) extendDeferral(now time.Duration, out []Action) []Action {
	d.deadline = min(now+d.limits.CheckInterval, d.lastPause.End+d.limits.MaxArrival)
	return append(out, CheckAgain{d.deadline - now})
}

// checkClocks records a reading of the clocks, and reports whether it detects a pause.
func (d *Detector) checkClocks(now, totalSleep time.Duration) bool {
	previous := d.lastReading
	slept := max(totalSleep-previous.TotalSleep, 0)
	d.lastReading = ClockReading{Now: now, TotalSleep: max(totalSleep, previous.TotalSleep)}
	if now-previous.Now+slept < d.limits.MinPause {
		return false
	}
	interval := Interval{Start: previous.Now, End: now, Slept: slept}
	if d.followsLastPause(previous.Now) {
		interval.Start = d.lastPause.Start
		interval.Slept += d.lastPause.Slept
	}
	d.lastPause = interval
	d.state, d.deadline = recovering, now+d.limits.MaxDeferral
	return true
}

// followsLastPause reports whether a pause that starts at start is merged with the last one, because bytes that
// arrived in the last one may still be unread.
func (d *Detector) followsLastPause(start time.Duration) bool {
	return d.lastPause.End > 0 && (d.state != running || start-d.lastPause.End < 2*d.limits.CheckInterval)
}

// release releases the next batch of deferred sends. The recovery ends together with the last batch: later sends need
// not wait until the batch has been sent.
func (d *Detector) release(now time.Duration, out []Action) []Action {
	if d.deferredSends > 0 {
		out = append(out, ReleaseSends{d.limits.ReleaseBatch})
	}
	if d.deferredSends <= d.limits.ReleaseBatch {
		d.state = running
		return append(out, Resumed{now - d.lastPause.End})
	}
	d.deadline = now + d.limits.ReleaseInterval
	return append(out, CheckAgain{d.limits.ReleaseInterval})
}
