// Package overload decides how far a proxy's service is reduced: it turns measured signals
// into a [Level], with a written condition for each entry and exit. It does no I/O and reads
// no clock; the same events always give the same records.
//
// Each trouble (see [Troubles]) has one figure and calls for a level by itself; the level in
// force is the worst that any calls for, so of two troubles that come together the one that
// lasts keeps its level when the other ends.
//
// Invariants, each guarded by a test of its name:
//
//  1. A level is entered when a figure has been at or over its entry for [Timings.ConfirmFor],
//     straight to the level called for, and never while no figure is.
//  2. It is left no sooner than its least stay after it was entered, two levels at a time at
//     the most, and only once no figure is over the exit, which lies under the entry. A level
//     that is entered again within [Timings.ReentryWindow] of being left stays for twice as long, up
//     to [Timings.MaxStay].
//  3. Load that swings by 5% round any threshold, at any period, changes the level at most
//     twice a minute; load that swings between nothing and everything does so on average.
//  4. A figure that is missing or nonsense raises no level, and holds one for [Timings.SignalTimeout]
//     at the most.
//  5. A clock that jumps, either way, counts as no more than [Timings.MaxStep] of time.
//  6. A pin rules alone until it ends; the level below it is worked out all the while, so that
//     what follows is what the signals call for then.
//  7. Every change of the level in force is one [Record], with its cause.
package overload

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Level says how far service is reduced; a higher one is worse.
type Level uint8

// The levels. What each does is decided in package policy, for its limits in the core.
const (
	Full      Level = iota // nothing is held back
	Economy                // no second copies, retries rationed
	Late                   // reads that have to be fetched may come late
	Handovers              // a part of every limit is kept for keyed writes
	Shelter                // only what caches are known to hold, and handovers
	levels
)

var names = [levels]string{"full", "economy", "late", "handovers", "shelter"}

// String returns the level's name, as configurations and records have it.
func (l Level) String() string {
	if l < levels {
		return names[l]
	}
	return fmt.Sprintf("level %d", uint8(l))
}

// LevelNames are those of all levels, the best first.
func LevelNames() []string { return slices.Clone(names[:]) }

// ParseLevel returns the level of a name.
func ParseLevel(name string) (Level, bool) {
	i := slices.Index(names[:], name)
	return Level(max(i, 0)), i >= 0
}

// Signal is one of the things that reduce service, by its figure.
type Signal uint8

// The troubles, and their figures.
const (
	LateReads       Signal = iota // share of what ended, but keyed writes, that did not come in time
	LateHandovers                 // the same of keyed writes
	Rejections                    // share of what was asked for that was turned away
	OriginErrors                  // share of the misses and writes that failed
	OriginLatency                 // what the origin adds to fetches and writes, in aims of their classes
	TimerLag                      // seconds by which timers fired late, at the most
	Memory                        // share of the limit that is held
	Sockets                       // share of the clients' places that is held
	EjectedNodes                  // share of the nodes listed that are not served by
	EndpointListAge               // seconds since the list's sources last gave a sign
	troubles
)

// Threshold is a trouble's figure at which levels are entered, by level from Economy on; 0
// where it never calls for one. A level is left under Exit times its entry.
type Threshold struct {
	Name  string
	Enter [levels - 1]float64
	Exit  float64
}

// Thresholds are the conditions of entry and exit. The origin's time is there since it shows a
// brown-out before anything has failed. Shares of late and turned-away requests begin where
// the service's promise does (a tenth late); memory ends where the collector can no longer
// keep under the limit, and shelter frees none; nodes that are out call for no shelter before
// three quarters are, as those that are left still serve their keys.
var Thresholds = [troubles]Threshold{
	LateReads:       {"late_reads", [...]float64{0.10, 0.25, 0.45, 0.75}, 0.6},
	LateHandovers:   {"late_handovers", [...]float64{0.12, 0.18, 0.25, 0.40}, 0.6},
	Rejections:      {"turned_away", [...]float64{0.05, 0.20, 0.40, 0.75}, 0.6},
	OriginErrors:    {"origin_failed", [...]float64{0.10, 0.25, 0.40, 0.60}, 0.6},
	OriginLatency:   {"origin_time", [...]float64{0.50, 0.90, 1.60, 0}, 0.6},
	TimerLag:        {"lag_s", [...]float64{0.05, 0.15, 0.40, 1}, 0.5},
	Memory:          {"memory", [...]float64{0.75, 0.85, 0.95, 0}, 0.88},
	Sockets:         {"sockets", [...]float64{0.75, 0.88, 0.95, 0}, 0.85},
	EjectedNodes:    {"nodes_out", [...]float64{0.15, 0.35, 0.50, 0.75}, 0.7},
	EndpointListAge: {"list_age_s", [...]float64{60, 0, 0, 0}, 0.5},
}

// String returns the trouble's name, as records have it.
func (t Signal) String() string {
	if t < troubles {
		return Thresholds[t].Name
	}
	return "none"
}

// Unknown is the figure of a signal that is not there.
var Unknown = math.NaN()

// Signals are the figures at one time, by trouble. One that is not finite, or under 0, is
// unknown.
type Signals [troubles]float64

// UnknownSignals returns signals of which none is known.
func UnknownSignals() (s Signals) {
	for i := range s {
		s[i] = Unknown
	}
	return s
}

// Timings are the times of the module.
type Timings struct {
	ConfirmFor    time.Duration // for which it is over an entry before that counts
	MinStay       time.Duration // least, in a level
	ReentryWindow time.Duration // a level entered again within it stays for longer
	MaxStay       time.Duration
	SignalTimeout time.Duration // for which a figure that is missing counts as the last
	MaxStep       time.Duration // the most time that passes between two events; two samples must confirm nothing
}

// DefaultTimings are the limits of a proxy that is not told others.
var DefaultTimings = Timings{ConfirmFor: time.Second, MinStay: 10 * time.Second, ReentryWindow: time.Minute,
	MaxStay: 2 * time.Minute, SignalTimeout: 10 * time.Second, MaxStep: 500 * time.Millisecond}

// Event is something that the module is told: one of the types below.
type Event interface{ event() }

// Sample brings the signals, some times a second.
type Sample struct{ Signals Signals }

// Pin has an operator's level rule for a while; nothing else changes it.
type Pin struct {
	Level    Level
	Duration time.Duration
}

// Unpin ends a pin.
type Unpin struct{}

func (Sample) event() {}
func (Pin) event()    {}
func (Unpin) event()  {}

// Transition is one change of the level in force. Its fields are the written schema of the
// records, in docs/operators/overload.md; fields may be added, none is renamed or taken out.
type Transition struct {
	At             time.Duration `json:"at_ns"` // of the clock that events had
	From           string        `json:"from"`
	To             string        `json:"to"`
	Cause          string        `json:"cause"`          // a trouble's name, "pin", "pin ended" or "calm"
	Value          float64       `json:"figure"`         // the trouble's; of calm the largest part of an exit
	Threshold      float64       `json:"bound"`          // what it was held against
	MinStaySeconds float64       `json:"stay_s"`         // no change for the better before
	OtherCauses    []string      `json:"also,omitempty"` // further troubles that call for a level
	Level          Level         `json:"level"`          // To as a number
	PreviousLevel  Level         `json:"-"`              // From as a number
	Pinned         bool          `json:"pinned"`         // it is an operator's
}

// state is what is known of one trouble.
type state struct {
	figure float64               // the last
	known  bool                  // there is one
	heard  time.Duration         // when, in own time
	calls  Level                 // the level that it calls for
	over   [levels]time.Duration // since when it has been at or over a level's entry; -1 if not
}

// Controller decides the level. It is not safe for concurrent use.
type Controller struct {
	limits Timings
	last   time.Duration // of the events' clock
	begun  bool
	now    time.Duration // own time, which never jumps
	states [troubles]state
	level  Level         // that the signals call for, after stays
	until  time.Duration // no change for the better before
	stays  [levels]time.Duration
	left   [levels]time.Duration // when a level or a better one was last fallen to from it
	pinned bool
	pin    Level
	unpin  time.Duration
}

// New returns a module at full service.
func New(l Timings) *Controller {
	m := &Controller{limits: l}
	for i := range m.states {
		m.states[i].clear()
	}
	for i := range m.left {
		m.left[i] = -1 << 62
		m.stays[i] = l.MinStay
	}
	return m
}

func (s *state) clear() {
	*s = state{}
	for i := range s.over {
		s.over[i] = -1
	}
}

// SetTimings puts other limits into force. The level stays.
func (m *Controller) SetTimings(l Timings) {
	if l == m.limits {
		return
	}
	m.limits = l
	for i := range m.stays {
		m.stays[i] = l.MinStay
	}
	m.until = min(m.until, m.now+l.MaxStay)
}

// Level returns the level in force.
func (m *Controller) Level() Level {
	if m.pinned {
		return m.pin
	}
	return m.level
}

// Pinned tells whether an operator's level is in force, and for how long yet.
func (m *Controller) Pinned() (left time.Duration, pinned bool) {
	return max(m.unpin-m.now, 0), m.pinned
}

// Signals returns the last figures, Unknown where there are none.
func (m *Controller) Signals() Signals {
	out := UnknownSignals()
	for i := range m.states {
		if m.states[i].known {
			out[i] = m.states[i].figure
		}
	}
	return out
}

// Handle takes one event at time now and appends a record for each change of the level in
// force to out.
func (m *Controller) Handle(now time.Duration, event Event, out []Transition) []Transition {
	step := min(max(now-m.last, 0), m.limits.MaxStep)
	if !m.begun {
		step, m.begun = 0, true
	}
	m.last = now
	m.now += step
	before := m.Level()
	record := Transition{At: now}
	if m.pinned && m.now >= m.unpin {
		m.pinned = false
		record.Cause = "pin ended"
	}
	switch e := event.(type) {
	case Sample:
		for i := range m.states {
			m.states[i].take(&Thresholds[i], e.Signals[i], m.now, &m.limits)
		}
		m.decide(&record)
	case Pin:
		m.pinned, m.pin, m.unpin = true, min(e.Level, levels-1), m.now+max(e.Duration, 0)
		record.Cause = "pin"
	case Unpin:
		if m.pinned {
			m.pinned = false
			record.Cause = "pin ended"
		}
	}
	after := m.Level()
	if after == before {
		return out
	}
	if record.Cause == "" { // cannot be: a change without a reason would be a defect of this package
		record.Cause = "unknown"
	}
	record.From, record.To, record.Level, record.PreviousLevel, record.Pinned = before.String(), after.String(), after, before, m.pinned
	record.MinStaySeconds = max(m.until-m.now, 0).Seconds()
	if m.pinned {
		record.MinStaySeconds = max(m.unpin-m.now, 0).Seconds()
	}
	for i := range m.states {
		if name := Thresholds[i].Name; m.states[i].calls > Full && name != record.Cause {
			record.OtherCauses = append(record.OtherCauses, name)
		}
	}
	return append(out, record)
}

// take brings a trouble a figure, or none.
func (s *state) take(t *Threshold, figure float64, now time.Duration, l *Timings) {
	if math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0 {
		if s.known && now-s.heard > l.SignalTimeout {
			s.clear()
		}
		return
	}
	s.known, s.heard, s.figure = true, now, figure
	calls := Full
	for level := Economy; level < levels; level++ {
		enter := t.Enter[level-1]
		switch {
		case enter <= 0:
			continue
		case s.figure < enter:
			s.over[level] = -1
		case s.over[level] < 0:
			s.over[level] = now
		}
		entered := s.over[level] >= 0 && now-s.over[level] >= l.ConfirmFor
		if entered || s.calls >= level && s.figure >= t.Exit*enter {
			calls = level
		}
	}
	s.calls = calls
}

// decide moves the level to what the troubles call for, as far as stays allow.
func (m *Controller) decide(record *Transition) {
	worst, by := Full, Signal(troubles)
	for i := range m.states {
		if s := &m.states[i]; s.calls > worst {
			worst, by = s.calls, Signal(i)
		}
	}
	switch {
	case worst > m.level:
		if m.now-m.left[worst] < m.limits.ReentryWindow {
			m.stays[worst] = min(2*m.stays[worst], m.limits.MaxStay)
		} else {
			m.stays[worst] = m.limits.MinStay
		}
		m.level, m.until = worst, m.now+m.stays[worst]
		if record.Cause == "" {
			record.explain(by, m.states[by].figure, Thresholds[by].Enter[worst-1])
		}
	case worst < m.level && m.now >= m.until:
		old := m.level
		m.level = max(worst, old-min(old, 2))
		for l := m.level + 1; l <= old; l++ {
			m.left[l] = m.now
		}
		m.until = m.now + m.stays[old]/4
		if record.Cause == "" {
			record.Cause = "calm"
			record.Value, record.Threshold = m.nearest(), 1
		}
	}
}

func (r *Transition) explain(by Signal, figure, bound float64) {
	r.Cause, r.Value, r.Threshold = by.String(), figure, bound
}

// nearest returns how near the worst figure is to what keeps the next better level from
// being left: 1 at an exit.
func (m *Controller) nearest() (part float64) {
	for i := range m.states {
		s, t := &m.states[i], &Thresholds[i]
		if enter := t.Enter[min(m.level, levels-2)]; s.known && enter > 0 {
			part = max(part, s.figure/(t.Exit*enter))
		}
	}
	return part
}
