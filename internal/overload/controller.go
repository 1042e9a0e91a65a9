package overload

import (
	"math"
	"time"
)

// Timings are the durations of a Controller.
type Timings struct {
	ConfirmFor    time.Duration // how long a signal must stay at or above an entry threshold
	MinStay       time.Duration // minimum time in a level before it may improve
	ReentryWindow time.Duration // a level entered again within this time of being left has its minimum stay doubled
	MaxStay       time.Duration // the longest minimum stay
	SignalTimeout time.Duration // how long a missing signal keeps its last value
	MaxStep       time.Duration // most time that counts between two events, so that two samples alone confirm nothing
}

// DefaultTimings apply to a proxy without configured timings.
var DefaultTimings = Timings{
	ConfirmFor:    time.Second,
	MinStay:       10 * time.Second,
	ReentryWindow: time.Minute,
	MaxStay:       2 * time.Minute,
	SignalTimeout: 10 * time.Second,
	MaxStep:       500 * time.Millisecond,
}

// Event is an input of a Controller: one of the types below.
type Event interface{ event() }

// Sample delivers the current signals. It is expected several times a second.
type Sample struct{ Signals Signals }

// Pin puts a level chosen by an operator into force for Duration. Signals do not change it.
type Pin struct {
	Level    Level
	Duration time.Duration
}

// Unpin ends a pin early.
type Unpin struct{}

func (Sample) event() {}
func (Pin) event()    {}
func (Unpin) event()  {}

// Controller decides the level of one proxy. It is not safe for concurrent use.
type Controller struct {
	timings   Timings
	lastEvent time.Duration // time of the last event, on the events' clock
	started   bool
	now       time.Duration // the controller's own clock, which never jumps; all times below are on it
	signals   [signalCount]signalState

	level       Level         // level that the signals require, after minimum stays; a pin does not affect it
	minStayEnds time.Duration // the level does not improve before this time
	minStays    [levelCount]time.Duration
	leftAt      [levelCount]time.Duration // by level, when service last improved from it
	pinned      bool
	pinnedLevel Level
	pinEnds     time.Duration
}

// longAgo is a time on a controller's clock that lies before any event.
const longAgo time.Duration = math.MinInt64 / 2

// New returns a controller at level Full.
func New(timings Timings) *Controller {
	c := &Controller{timings: timings}
	for i := range c.signals {
		c.signals[i].reset()
	}
	for i := range c.leftAt {
		c.leftAt[i] = longAgo
		c.minStays[i] = timings.MinStay
	}
	return c
}

// SetTimings replaces the timings. The level stays, but minimum stays that grew by re-entry are reset to MinStay.
func (c *Controller) SetTimings(timings Timings) {
	if timings == c.timings {
		return
	}
	c.timings = timings
	for i := range c.minStays {
		c.minStays[i] = timings.MinStay
	}
	c.minStayEnds = min(c.minStayEnds, c.now+timings.MaxStay)
}

// Level returns the level in force.
func (c *Controller) Level() Level {
	if c.pinned {
		return c.pinnedLevel
	}
	return c.level
}

// Pinned reports whether a pin is in force, and for how long it remains in force.
func (c *Controller) Pinned() (remaining time.Duration, pinned bool) {
	return max(c.pinEnds-c.now, 0), c.pinned
}

// Signals returns the last value of each signal, Unknown for those without one.
func (c *Controller) Signals() Signals {
	out := UnknownSignals()
	for i := range c.signals {
		if c.signals[i].known {
			out[i] = c.signals[i].value
		}
	}
	return out
}

// Handle handles an event that occurs at now. If the level in force changes, it appends the transition to transitions.
func (c *Controller) Handle(now time.Duration, event Event, transitions []Transition) []Transition {
	c.advance(now)
	before := c.Level()
	transition := Transition{At: now}
	if c.pinned && c.now >= c.pinEnds {
		c.unpin(&transition)
	}
	switch e := event.(type) {
	case Sample:
		for i := range c.signals {
			c.signals[i].update(&Thresholds[i], e.Signals[i], c.now, &c.timings)
		}
		c.decide(&transition)
	case Pin:
		c.pinned = true
		c.pinnedLevel = min(e.Level, levelCount-1)
		c.pinEnds = c.now + max(e.Duration, 0)
		transition.Cause = causePin
	case Unpin:
		c.unpin(&transition)
	}
	if c.Level() == before {
		return transitions
	}
	c.complete(&transition, before)
	return append(transitions, transition)
}

// advance moves the controller's own clock by the time since the last event, MaxStep at most. If the events' clock goes
// back, the controller's clock does not move.
func (c *Controller) advance(now time.Duration) {
	if c.started {
		c.now += min(max(now-c.lastEvent, 0), c.timings.MaxStep)
	}
	c.started = true
	c.lastEvent = now
}

func (c *Controller) unpin(transition *Transition) {
	if c.pinned {
		c.pinned = false
		transition.Cause = causePinEnded
	}
}

// decide moves the level to the one that the signals require, as far as minimum stays allow.
func (c *Controller) decide(transition *Transition) {
	worst, signal := c.worstRequired()
	switch {
	case worst > c.level:
		c.raise(worst)
		if transition.Cause == "" {
			transition.Cause = signal.String()
			transition.Value = c.signals[signal].value
			transition.Threshold = Thresholds[signal].Enter[worst-1]
		}
	case worst < c.level && c.now >= c.minStayEnds:
		c.improve(worst)
		if transition.Cause == "" {
			transition.Cause = causeNoSignal
			transition.Value, transition.Threshold = c.largestExitShare(), 1
		}
	}
}

// worstRequired returns the worst level that a signal requires, and the first signal that requires it; signalCount if
// none requires more than Full.
func (c *Controller) worstRequired() (worst Level, signal Signal) {
	worst, signal = Full, signalCount
	for i := range c.signals {
		if required := c.signals[i].required; required > worst {
			worst, signal = required, Signal(i)
		}
	}
	return worst, signal
}

func (c *Controller) raise(to Level) {
	c.minStays[to] = c.nextMinStay(to)
	c.level = to
	c.minStayEnds = c.now + c.minStays[to]
}

func (c *Controller) nextMinStay(level Level) time.Duration {
	if c.now-c.leftAt[level] < c.timings.ReentryWindow {
		return min(2*c.minStays[level], c.timings.MaxStay)
	}
	return c.timings.MinStay
}

func (c *Controller) improve(to Level) {
	from := c.level
	c.level = max(to, from-min(from, maxImprovement))
	for level := c.level + 1; level <= from; level++ {
		c.leftAt[level] = c.now
	}
	c.minStayEnds = c.now + c.minStays[from]/recoveryStayDivisor
}

// largestExitShare returns the largest ratio of a known signal to its exit threshold from the level next worse than
// the present one.
func (c *Controller) largestExitShare() (share float64) {
	for i := range c.signals {
		s, threshold := &c.signals[i], &Thresholds[i]
		enter := threshold.Enter[min(c.level, levelCount-2)]
		if s.known && enter > 0 {
			share = max(share, s.value/(threshold.Exit*enter))
		}
	}
	return share
}
