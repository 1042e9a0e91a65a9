package overload

import (
	"math"
	"time"
)

// Timings are the durations of a Controller.
type Timings struct {
	ConfirmFor    time.Duration // for which a signal is over an entry before that counts
	MinStay       time.Duration // in a level
	ReentryWindow time.Duration // a level entered again within it stays for longer
	MaxStay       time.Duration // the longest minimum stay
	SignalTimeout time.Duration // for which a signal that is missing counts as its last value
	MaxStep       time.Duration // time that counts between two events at most; two samples must confirm nothing
}

// DefaultTimings are the timings of a proxy that has none configured.
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

// Sample brings the signals, several times a second.
type Sample struct{ Signals Signals }

// Pin has an operator's level in force for a while; nothing else changes it.
type Pin struct {
	Level    Level
	Duration time.Duration
}

// Unpin ends a pin.
type Unpin struct{}

func (Sample) event() {}
func (Pin) event()    {}
func (Unpin) event()  {}

// Controller decides the level. It is not safe for concurrent use.
type Controller struct {
	timings   Timings
	lastEvent time.Duration // of the events' clock
	started   bool
	now       time.Duration // own clock, which never jumps; all times below are of it
	signals   [signalCount]signalState

	level           Level // that the signals call for, after minimum stays
	noDescentBefore time.Duration
	minStays        [levelCount]time.Duration
	leftAt          [levelCount]time.Duration // when service last improved from a level
	pinned          bool
	pinnedLevel     Level
	pinEnds         time.Duration
}

// longAgo is a time on a controller's clock before any event.
const longAgo time.Duration = math.MinInt64 / 2

// New returns a controller at full service.
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

// SetTimings puts other timings into force. The level stays.
func (c *Controller) SetTimings(timings Timings) {
	if timings == c.timings {
		return
	}
	c.timings = timings
	for i := range c.minStays {
		c.minStays[i] = timings.MinStay
	}
	c.noDescentBefore = min(c.noDescentBefore, c.now+timings.MaxStay)
}

// Level returns the level in force.
func (c *Controller) Level() Level {
	if c.pinned {
		return c.pinnedLevel
	}
	return c.level
}

// Pinned reports whether an operator's level is in force, and for how much longer.
func (c *Controller) Pinned() (remaining time.Duration, pinned bool) {
	return max(c.pinEnds-c.now, 0), c.pinned
}

// Signals returns the last values, Unknown where there are none.
func (c *Controller) Signals() Signals {
	out := UnknownSignals()
	for i := range c.signals {
		if c.signals[i].known {
			out[i] = c.signals[i].value
		}
	}
	return out
}

// Handle takes one event at time now and appends a transition for each change of the level in force to transitions.
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

// advance moves the controller's own clock, which a jump of the events' clock moves by MaxStep at most.
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

// decide moves the level to what the signals call for, as far as minimum stays allow.
func (c *Controller) decide(transition *Transition) {
	worst, signal := c.worstCall()
	switch {
	case worst > c.level:
		c.ascend(worst)
		if transition.Cause == "" {
			transition.Cause = signal.String()
			transition.Value = c.signals[signal].value
			transition.Threshold = Thresholds[signal].Enter[worst-1]
		}
	case worst < c.level && c.now >= c.noDescentBefore:
		c.descend(worst)
		if transition.Cause == "" {
			transition.Cause = causeNoSignal
			transition.Value, transition.Threshold = c.largestExitShare(), 1
		}
	}
}

// worstCall returns the worst level that a signal calls for, and the first signal that does.
func (c *Controller) worstCall() (worst Level, signal Signal) {
	worst, signal = Full, signalCount
	for i := range c.signals {
		if calls := c.signals[i].calls; calls > worst {
			worst, signal = calls, Signal(i)
		}
	}
	return worst, signal
}

func (c *Controller) ascend(to Level) {
	c.minStays[to] = c.nextMinStay(to)
	c.level = to
	c.noDescentBefore = c.now + c.minStays[to]
}

func (c *Controller) nextMinStay(level Level) time.Duration {
	if c.now-c.leftAt[level] < c.timings.ReentryWindow {
		return min(2*c.minStays[level], c.timings.MaxStay)
	}
	return c.timings.MinStay
}

func (c *Controller) descend(to Level) {
	from := c.level
	c.level = max(to, from-min(from, maxDescent))
	for level := c.level + 1; level <= from; level++ {
		c.leftAt[level] = c.now
	}
	c.noDescentBefore = c.now + c.minStays[from]/descentStayDivisor
}

// largestExitShare returns the largest signal as a share of its exit threshold from the next worse level.
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
