// Package pause detects that nothing of this process ran for a while, from when to when, and decides what
// follows: a paused virtual machine, a host that swaps, a lack of processors or a debugger causes it. It does
// no I/O and reads no clock: the same events always give the same actions.
//
// A pause lasts [Limits.MinPause] or longer. After it, nothing that was decided before may be acted on
// without a check. A stall is shorter, from [MinStall] on. What was decided before it is valid, but what arrived
// meanwhile was left unread, and what was due meanwhile is late.
//
// Guarantees:
//
//  1. A pause of [Limits.MinPause] or longer is reported by the first check of the clocks after it, whoever
//     makes the check.
//  2. One shorter than MinPause less two check intervals is never reported, if the process gets its processor
//     in time: checks are at most one interval apart.
//  3. A reported pause reaches from the last check before it to the first after it: it is never shorter than
//     the real pause, and longer by one check interval at most.
//  4. After a pause sends are deferred until the endpoint list has been fetched anew, for
//     [Limits.MaxDeferral] at most, or [Limits.MaxArrival] while a list is arriving; then they are released in
//     batches.
//  5. A request with side effects that may be older than its client's timeout, or than the window in which
//     nodes drop its repeats, is rejected: it is never sent ([DecideByAge]).
//
// What it does not do: a pause between the last check and the first byte of a write can't be detected in
// time. The caller counts it after the write.
//
// The package starts no goroutine. The types with state are not safe for concurrent use; their caller guards
// them.
package pause

import "time"

// ClockReading is a reading of the clocks.
type ClockReading struct {
	Now time.Duration // monotonic
	// TotalSleep is how long the machine has slept, which the monotonic clock does not count (the
	// difference of CLOCK_BOOTTIME). It is zero where that is not read.
	TotalSleep time.Duration
}

// Limits bound what is reported and done.
type Limits struct {
	CheckInterval   time.Duration // the clocks are checked at least this often
	MinPause        time.Duration // the shortest pause that is reported
	MaxDeferral     time.Duration // sends are deferred for this long at most, while no list arrives
	MaxArrival      time.Duration // the same from the end of the pause, while one does
	ReleaseBatch    int           // sends that are released at a time
	ReleaseInterval time.Duration // between two batches
}

// DefaultLimits are the limits in service. MinPause is shorter than the 500 ms in which a drain that was
// reported during a pause must be heeded, and far shorter than the windows in which nodes drop repeats: what
// goes undetected is as harmless as a network that is late by as much. It is far longer than a garbage
// collection or a busy machine keeps the process from a processor.
var DefaultLimits = Limits{
	CheckInterval:   50 * time.Millisecond,
	MinPause:        300 * time.Millisecond,
	MaxDeferral:     250 * time.Millisecond,
	MaxArrival:      2 * time.Second,
	ReleaseBatch:    32,
	ReleaseInterval: 5 * time.Millisecond,
}

// Interval is a time in which nothing of the process may have run. The zero value stands for none.
type Interval struct {
	Start, End time.Duration // by the monotonic clock
	Slept      time.Duration // by the machine meanwhile, which that clock does not count
}

// Duration returns the time that has passed in the interval.
func (i Interval) Duration() time.Duration { return i.End - i.Start + i.Slept }

// Event is something that a Detector is notified of.
type Event interface{ event() }

type (
	// ClockChecked is a check of the clocks: at each interval, and whenever something is about to be
	// decided.
	ClockChecked struct{ TotalSleep time.Duration }
	// ListsRefreshed reports that all endpoint lists that were requested have come, or can't be had.
	ListsRefreshed struct{}
)

func (ClockChecked) event()   {}
func (ListsRefreshed) event() {}

// Action is something that a Detector wants done, at once and in order.
type Action interface{ action() }

type (
	// Paused reports a pause. Sends are deferred from now on, and the endpoint lists are to be fetched.
	Paused struct{ Interval Interval }
	// ReleaseSends releases the oldest of the deferred sends, Max at most.
	ReleaseSends struct{ Max int }
	// CheckAgain requests a ClockChecked after a time.
	CheckAgain struct{ After time.Duration }
	// Resumed ends the recovery that Paused began: nothing is deferred any more. After is the time since
	// the end of the pause.
	Resumed struct{ After time.Duration }
)

func (Paused) action()       {}
func (ReleaseSends) action() {}
func (CheckAgain) action()   {}
func (Resumed) action()      {}

// state is the state of a Detector.
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
	deadline      time.Duration // when recovering, the end of the deferral; when releasing, the next batch
	deferredSends int           // see SetDeferredSends
	listsArriving int           // see SetListsArriving
}

// New returns a Detector of a process that runs at the time of a reading.
func New(limits Limits, now ClockReading) *Detector {
	return &Detector{limits: limits, lastReading: now}
}

// LastPause returns the latest pause.
func (d *Detector) LastPause() Interval { return d.lastPause }

// DefersSends reports whether new sends are to be deferred.
func (d *Detector) DefersSends() bool { return d.state != running }

// DefersWrites reports whether nothing may be written at all. Sends that were released may.
func (d *Detector) DefersWrites() bool { return d.state == recovering }

// SetDeferredSends sets the number of sends that are deferred now. It is called before each event.
func (d *Detector) SetDeferredSends(n int) { d.deferredSends = n }

// SetListsArriving sets the number of endpoint lists of which a part has come and that are not in force yet. It is
// called before each event.
func (d *Detector) SetListsArriving(n int) { d.listsArriving = n }

// Handle handles an event at a time, and appends the actions that follow to out. A check of the clocks at a
// time before the last check's was overtaken by that, and detects nothing.
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

// awaitsList reports whether a list is arriving that may say what was reported during the pause.
func (d *Detector) awaitsList(now time.Duration) bool {
	return d.listsArriving > 0 && now < d.lastPause.End+d.limits.MaxArrival
}

// extendDeferral defers sends until the next check of the clocks.
func (d *Detector) extendDeferral(now time.Duration, out []Action) []Action {
	d.deadline = min(now+d.limits.CheckInterval, d.lastPause.End+d.limits.MaxArrival)
	return append(out, CheckAgain{d.deadline - now})
}

// checkClocks takes a reading of the clocks, and reports whether it has detected a pause.
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

// followsLastPause reports whether a pause that starts at a time counts as one with the last: what arrived in
// that may still be unread.
func (d *Detector) followsLastPause(start time.Duration) bool {
	return d.lastPause.End > 0 && (d.state != running || start-d.lastPause.End < 2*d.limits.CheckInterval)
}

// release releases the next batch of deferred sends, and ends the recovery with the last: sends that are decided
// on from then on need not wait for it.
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
