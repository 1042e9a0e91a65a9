// Package pause tells that this process stood still, from when to when, and what follows: as a
// paused virtual machine, a host that swaps or a debugger makes it. It does no I/O and has no
// clock: the same events always give the same actions.
//
// Guarantees:
//
//  1. A stop of [Limits.MinPause] or longer is told, by the first look after it, whoever looks.
//  2. One shorter than Least less two ticks is never told, if the process gets its core in
//     time: looks come a tick apart at the most.
//  3. What is told reaches from the last look before the stop to the first after it: it is
//     never shorter than the stop, and longer by a tick at the most.
//  4. From a stop on sends are held until the list of nodes has been asked anew, for
//     [Limits.MaxHold] at the most; then they are let go in portions.
//  5. A request that may change something and may be older than its client waits, or than
//     nodes drop its repeats, is refused: it is never sent ([Judge]).
//
// What it does not do: a stop between the last look and the first byte of a write can't be
// seen in time. It is counted behind the write, by its caller.
package pause

import "time"

// ClockReading is what the clocks say: the monotonic one, and how far the one that counts sleep of
// the machine too (CLOCK_BOOTTIME) is ahead of it. Without the second Ahead is zero.
type ClockReading struct{ Now, TotalSleep time.Duration }

// Limits bound what is told and done.
type Limits struct {
	CheckInterval   time.Duration // looks come so often at least
	MinPause        time.Duration // a stop for so long is told
	MaxHold         time.Duration // sends are held for so long at the most
	ReleaseBatch    int           // sends that are let go at a time
	ReleaseInterval time.Duration // between two portions
}

// DefaultLimits are the limits in service. Least is under the 500 ms in which a drain that was told
// during a stop must be heeded, and far under the windows in which nodes drop repeats: what
// goes unseen is as harmless as a network that is late by as much. It is far over what a
// collection or a busy machine takes a core for.
var DefaultLimits = Limits{CheckInterval: 50 * time.Millisecond, MinPause: 300 * time.Millisecond, MaxHold: 250 * time.Millisecond, ReleaseBatch: 32,
	ReleaseInterval: 5 * time.Millisecond}

// Interval is a time in which the process may have stood still. The zero value is none.
type Interval struct {
	Start, End time.Duration // by the monotonic clock
	Slept      time.Duration // of the machine meanwhile, which that clock doesn't count
}

// Duration is how much time has passed in it.
func (g Interval) Duration() time.Duration { return g.End - g.Start + g.Slept }

// Event is what a Module is told.
type Event interface{ event() }

type (
	// ClockChecked is a reading of the clocks by whoever is at work: at each tick, and whenever something
	// is about to be decided.
	ClockChecked struct{ TotalSleep time.Duration }
	// ListsRefreshed tells that all lists asked for have come, or can't be had.
	ListsRefreshed struct{}
)

func (ClockChecked) event()   {}
func (ListsRefreshed) event() {}

// Action is what a Module wants done, at once and in order.
type Action interface{ action() }

type (
	// Paused tells of a stop. Sends are held from now on, and the lists asked for.
	Paused struct{ Interval Interval }
	// ReleaseSends lets so many of the sends go that are held, the oldest first.
	ReleaseSends struct{ Max int }
	// CheckAgain asks for a Look after a time.
	CheckAgain struct{ After time.Duration }
	// Resumed ends what Stood began: nothing more is held.
	Resumed struct{ After time.Duration }
)

func (Paused) action()       {}
func (ReleaseSends) action() {}
func (CheckAgain) action()   {}
func (Resumed) action()      {}

// state of a Module.
type state uint8

const (
	running    state = iota
	recovering       // sends are held until the lists have come
	releasing        // what was held is let go in portions
)

// Detector tells stops and leads through what follows them. The zero value is not usable.
type Detector struct {
	limits      Limits
	state       state
	lastReading ClockReading
	lastPause   Interval      // the latest
	deadline    time.Duration // when waking ends at the latest; when releasing, when the next portion goes
	heldSends   int           // as told by Held
}

// New returns a module whose process is at work at a reading.
func New(limits Limits, now ClockReading) *Detector {
	return &Detector{limits: limits, lastReading: now}
}

// LastPause returns the latest stop.
func (m *Detector) LastPause() Interval { return m.lastPause }

// HoldsSends tells whether sends are to be held as they are decided.
func (m *Detector) HoldsSends() bool { return m.state != running }

// HoldsWrites tells whether nothing at all is to be written: those that were let go are.
func (m *Detector) HoldsWrites() bool { return m.state == recovering }

// SetHeldSends tells how many sends are held now, after each portion.
func (m *Detector) SetHeldSends(n int) { m.heldSends = n }

// Handle takes an event at a time, and appends what is to be done to out. A time before the
// last look's was read before it, by one that was overtaken: it tells nothing.
func (m *Detector) Handle(now time.Duration, event Event, out []Action) []Action {
	if look, ok := event.(ClockChecked); ok && now >= m.lastReading.Now {
		asleep := max(look.TotalSleep-m.lastReading.TotalSleep, 0)
		before := m.lastReading
		m.lastReading = ClockReading{Now: now, TotalSleep: max(look.TotalSleep, m.lastReading.TotalSleep)}
		if now-before.Now+asleep >= m.limits.MinPause {
			gap := Interval{Start: before.Now, End: now, Slept: asleep}
			// What came in the stop before may be unread yet.
			if m.lastPause.End > 0 && (m.state != running || before.Now-m.lastPause.End < 2*m.limits.CheckInterval) {
				gap.Start, gap.Slept = m.lastPause.Start, gap.Slept+m.lastPause.Slept
			}
			m.lastPause = gap
			m.state, m.deadline = recovering, now+m.limits.MaxHold
			return append(out, Paused{m.lastPause}, CheckAgain{m.limits.MaxHold})
		}
	}
	_, heard := event.(ListsRefreshed)
	switch {
	case m.state == recovering && (heard || now >= m.deadline):
		m.state, m.deadline = releasing, now
		fallthrough
	case m.state == releasing && now >= m.deadline:
		if m.heldSends > 0 {
			out = append(out, ReleaseSends{m.limits.ReleaseBatch})
		}
		if m.heldSends <= m.limits.ReleaseBatch { // what comes from now on need not wait for what came before
			m.state = running
			return append(out, Resumed{now - m.lastPause.End})
		}
		m.deadline = now + m.limits.ReleaseInterval
		out = append(out, CheckAgain{m.limits.ReleaseInterval})
	}
	return out
}
