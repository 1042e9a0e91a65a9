// Package pause tells that this process stood still, from when to when, and what follows: as a
// paused virtual machine, a host that swaps or a debugger makes it. It does no I/O and has no
// clock: the same events always give the same actions.
//
// Guarantees:
//
//  1. A stop of [Limits.Least] or longer is told, by the first look after it, whoever looks.
//  2. One shorter than Least less two ticks is never told, if the process gets its core in
//     time: looks come a tick apart at the most.
//  3. What is told reaches from the last look before the stop to the first after it: it is
//     never shorter than the stop, and longer by a tick at the most.
//  4. From a stop on sends are held until the list of nodes has been asked anew, for
//     [Limits.Wake] at the most; then they are let go in portions.
//  5. A request that may change something and may be older than its client waits, or than
//     nodes drop its repeats, is refused: it is never sent ([Judge]).
//
// What it does not do: a stop between the last look and the first byte of a write can't be
// seen in time. It is counted behind the write, by its caller.
package pause

import "time"

// Reading is what the clocks say: the monotonic one, and how far the one that counts sleep of
// the machine too (CLOCK_BOOTTIME) is ahead of it. Without the second Ahead is zero.
type Reading struct{ Now, Ahead time.Duration }

// Limits bound what is told and done.
type Limits struct {
	Tick  time.Duration // looks come so often at least
	Least time.Duration // a stop for so long is told
	Wake  time.Duration // sends are held for so long at the most
	Burst int           // sends that are let go at a time
	Pause time.Duration // between two portions
}

// Usual are the limits in service. Least is under the 500 ms in which a drain that was told
// during a stop must be heeded, and far under the windows in which nodes drop repeats: what
// goes unseen is as harmless as a network that is late by as much. It is far over what a
// collection or a busy machine takes a core for.
var Usual = Limits{Tick: 50 * time.Millisecond, Least: 300 * time.Millisecond, Wake: 250 * time.Millisecond, Burst: 32,
	Pause: 5 * time.Millisecond}

// Gap is a time in which the process may have stood still. The zero value is none.
type Gap struct {
	From, To time.Duration // by the monotonic clock
	Asleep   time.Duration // of the machine meanwhile, which that clock doesn't count
}

// Long is how much time has passed in it.
func (g Gap) Long() time.Duration { return g.To - g.From + g.Asleep }

// Event is what a Module is told.
type Event interface{ event() }

type (
	// Look is a reading of the clocks by whoever is at work: at each tick, and whenever something
	// is about to be decided.
	Look struct{ Ahead time.Duration }
	// Heard tells that all lists asked for have come, or can't be had.
	Heard struct{}
)

func (Look) event()  {}
func (Heard) event() {}

// Action is what a Module wants done, at once and in order.
type Action interface{ action() }

type (
	// Stood tells of a stop. Sends are held from now on, and the lists asked for.
	Stood struct{ Gap Gap }
	// Release lets so many of the sends go that are held, the oldest first.
	Release struct{ Most int }
	// Again asks for a Look after a time.
	Again struct{ After time.Duration }
	// Awake ends what Stood began: nothing more is held.
	Awake struct{ After time.Duration }
)

func (Stood) action()   {}
func (Release) action() {}
func (Again) action()   {}
func (Awake) action()   {}

// state of a Module.
type state uint8

const (
	awake     state = iota
	waking          // sends are held until the lists have come
	releasing       // what was held is let go in portions
)

// Module tells stops and leads through what follows them. The zero value is not usable.
type Module struct {
	limits Limits
	state  state
	last   Reading
	gap    Gap           // the latest
	until  time.Duration // when waking ends at the latest; when releasing, when the next portion goes
	held   int           // as told by Held
}

// New returns a module whose process is at work at a reading.
func New(limits Limits, now Reading) *Module { return &Module{limits: limits, last: now} }

// Gap returns the latest stop.
func (m *Module) Gap() Gap { return m.gap }

// Holds tells whether sends are to be held as they are decided.
func (m *Module) Holds() bool { return m.state != awake }

// Stays tells whether nothing at all is to be written: those that were let go are.
func (m *Module) Stays() bool { return m.state == waking }

// Held tells how many sends are held now, after each portion.
func (m *Module) Held(n int) { m.held = n }

// Handle takes an event at a time, and appends what is to be done to out. A time before the
// last look's was read before it, by one that was overtaken: it tells nothing.
func (m *Module) Handle(now time.Duration, event Event, out []Action) []Action {
	if look, ok := event.(Look); ok && now >= m.last.Now {
		asleep := max(look.Ahead-m.last.Ahead, 0)
		before := m.last
		m.last = Reading{Now: now, Ahead: max(look.Ahead, m.last.Ahead)}
		if now-before.Now+asleep >= m.limits.Least {
			gap := Gap{From: before.Now, To: now, Asleep: asleep}
			// What came in the stop before may be unread yet.
			if m.gap.To > 0 && (m.state != awake || before.Now-m.gap.To < 2*m.limits.Tick) {
				gap.From, gap.Asleep = m.gap.From, gap.Asleep+m.gap.Asleep
			}
			m.gap = gap
			m.state, m.until = waking, now+m.limits.Wake
			return append(out, Stood{m.gap}, Again{m.limits.Wake})
		}
	}
	_, heard := event.(Heard)
	switch {
	case m.state == waking && (heard || now >= m.until):
		m.state, m.until = releasing, now
		fallthrough
	case m.state == releasing && now >= m.until:
		if m.held > 0 {
			out = append(out, Release{m.limits.Burst})
		}
		if m.held <= m.limits.Burst { // what comes from now on need not wait for what came before
			m.state = awake
			return append(out, Awake{now - m.gap.To})
		}
		m.until = now + m.limits.Pause
		out = append(out, Again{m.limits.Pause})
	}
	return out
}
