package core

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/overload"
	"mulleinpier/policy"
)

// This file maintains the degradation level: it collects the signals, passes them to package overload, notifies the
// decision module of the resulting level and records the transitions.

const (
	// OverloadSampleInterval is the time between two calls of [Core.SampleOverload].
	OverloadSampleInterval = 250 * time.Millisecond
	// ReservedDivisor determines the share of the capacity for requests and for bodies, 1/ReservedDivisor, that
	// is reserved for keyed writes from level overload.Handovers on.
	ReservedDivisor = 4
	// historyLength is the number of transitions that are kept for statistics.
	historyLength = 64
	// statScale is the factor for rounding signals in statistics to four decimal places.
	statScale = 1e4
)

// OverloadConfig configures the degradation levels under overload. If Enabled is false, the level is overload.Full.
type OverloadConfig struct {
	Enabled     bool
	Timings     overload.Timings
	PinnedLevel overload.Level
	PinnedUntil time.Time // zero for no pin
}

// overloadState is the state of the degradation level. It is guarded by Core.mu.
type overloadState struct {
	enabled       bool
	controller    *overload.Controller
	meter         overload.Meter
	level         overload.Level // the level that the decision module was last notified of
	timerLag      time.Duration  // the largest delay of a timer since the last sample
	lastListAt    time.Duration  // when a list source last reported, by Core.policyTime
	listsPeriodic bool           // a list source reports periodically, so the time since its last report is a signal
	pinnedLevel   overload.Level
	pinnedUntil   time.Time // end of the pin in force

	transitionCount int                                // number of transitions since the start
	history         [historyLength]overload.Transition // ring buffer: transition number i is at index i%historyLength
}

func newOverloadState(config *Config) overloadState {
	return overloadState{
		enabled:       config.Overload.Enabled,
		controller:    overload.New(config.Overload.Timings),
		listsPeriodic: listsArePeriodic(config),
	}
}

// listsArePeriodic reports whether a list source reports periodically.
func listsArePeriodic(config *Config) bool {
	return config.ReconcileLists &&
		slices.ContainsFunc(config.ListSources, discovery.SourceConfig.NeedsConfirmation)
}

// configureOverload applies a configuration. Unless it disables overload control, the controller keeps its state, and a
// pin that is in force already is not restarted. c.mu is held.
func (c *Core) configureOverload(next *OverloadConfig, now time.Duration) (transitions []overload.Transition) {
	state := &c.overload
	if next.Enabled && !state.enabled { // discard the counts from while overload control was disabled
		c.balancer.TakeCounters()
		state.meter, state.timerLag = overload.Meter{}, 0
	}
	state.enabled = next.Enabled
	state.controller.SetTimings(next.Timings)
	if !state.enabled {
		return c.disableOverload(next, now)
	}
	if remaining := time.Until(next.PinnedUntil); remaining > 0 {
		if !state.pinnedUntil.Equal(next.PinnedUntil) || state.pinnedLevel != next.PinnedLevel {
			state.pinnedLevel, state.pinnedUntil = next.PinnedLevel, next.PinnedUntil
			pin := overload.Pin{Level: next.PinnedLevel, Duration: remaining}
			transitions = state.controller.Handle(now, pin, nil)
		}
	} else {
		state.pinnedUntil = time.Time{}
		transitions = state.controller.Handle(now, overload.Unpin{}, nil)
	}
	c.recordTransitions(transitions)
	c.applyLevel(state.controller.Level())
	return transitions
}

// disableOverload resets the controller and returns to level overload.Full. c.mu is held.
func (c *Core) disableOverload(next *OverloadConfig, now time.Duration) (transitions []overload.Transition) {
	state := &c.overload
	if state.level > overload.Full {
		transitions = []overload.Transition{
			{At: now, From: state.level.String(), To: overload.Full.String(), Cause: "off"},
		}
	}
	state.controller = overload.New(next.Timings)
	state.pinnedUntil = time.Time{}
	c.recordTransitions(transitions)
	c.applyLevel(overload.Full)
	return transitions
}

// SampleOverload updates the degradation level from the use of memory and sockets, as shares of their limits (negative
// for unknown), and from the signals that the core collects itself. Call it at intervals of OverloadSampleInterval.
func (c *Core) SampleOverload(memory, sockets float64) {
	c.mu.Lock()
	if !c.overload.enabled {
		c.mu.Unlock()
		return
	}
	now := c.policyTime()
	sample := overload.Sample{Signals: c.overloadSignals(now, memory, sockets)}
	transitions := c.overload.controller.Handle(now, sample, nil)
	c.recordTransitions(transitions)
	c.applyLevel(c.overload.controller.Level())
	c.mu.Unlock()
	c.logTransitions(transitions)
}

// overloadSignals collects the signals since the last sample. c.mu is held.
func (c *Core) overloadSignals(now time.Duration, memory, sockets float64) overload.Signals {
	state := &c.overload
	counters := c.balancer.TakeCounters()
	state.meter.Add(now, overload.Counts{
		Reads:         float64(counters.Reads),
		LateReads:     float64(counters.LateReads),
		Handovers:     float64(counters.Handovers),
		LateHandovers: float64(counters.LateHandovers),
		Offered:       float64(counters.Offered),
		Rejected:      float64(counters.Rejected),
		Fetches:       float64(counters.Fetches),
		FailedFetches: float64(counters.FailedFetches),
		TimedFetches:  float64(counters.TimedFetches),
		FetchTimeSum:  counters.FetchTimeSum,
	})
	signals := overload.UnknownSignals()
	state.meter.Fill(&signals)
	signals[overload.TimerLag] = state.timerLag.Seconds()
	state.timerLag = 0
	signals[overload.Memory] = memory
	signals[overload.Sockets] = sockets
	if counters.Servers > 0 {
		signals[overload.EjectedNodes] = float64(counters.Ejected) / float64(counters.Servers)
	}
	if state.listsPeriodic && state.lastListAt > 0 {
		signals[overload.EndpointListAge] = (now - state.lastListAt).Seconds()
	}
	return signals
}

// recordTransitions adds transitions to the history. c.mu is held.
func (c *Core) recordTransitions(transitions []overload.Transition) {
	for _, transition := range transitions {
		c.overload.history[c.overload.transitionCount%historyLength] = transition
		c.overload.transitionCount++
	}
}

// applyLevel puts a level into force, and notifies the decision module if it has changed. c.mu is held.
func (c *Core) applyLevel(level overload.Level) {
	if level != c.overload.level {
		c.overload.level = level
		c.handle(policy.LevelChange{Level: policy.DegradationLevel(level)})
	}
}

// logTransitions logs changes of the level. It is called without c.mu held.
func (c *Core) logTransitions(transitions []overload.Transition) {
	for i := range transitions {
		t := &transitions[i]
		c.log.Warn("degradation level changed", "from", t.From, "to", t.To, "cause", t.Cause,
			"value", t.Value, "threshold", t.Threshold, "min_stay_s", t.MinStaySeconds,
			"other_causes", t.OtherCauses, "pinned", t.Pinned)
	}
}

// OverloadLevel returns the degradation level in force.
func (c *Core) OverloadLevel() overload.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.level
}

// hasCapacity reports whether one more request may be accepted. From level overload.Handovers on, part of the
// capacity is reserved for classes that are idempotent with key. c.mu is held.
func (c *Core) hasCapacity(class *policy.Class) bool {
	limit := c.rules.maxInFlight
	if c.overload.level >= overload.Handovers && class.Idempotency != policy.IdempotentWithKey {
		limit -= limit / ReservedDivisor
	}
	return len(c.requests) < limit
}

// Stat is one statistic that a client can request.
type Stat struct{ Name, Value string }

// OverloadStats returns the level in force, the known signals and the recorded transitions, latest first, each
// transition as a JSON object.
func (c *Core) OverloadStats() []Stat {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &c.overload
	pinRemaining, pinned := state.controller.Pinned()
	stats := []Stat{
		jsonStat("service_on", state.enabled),
		jsonStat("service_level", uint8(state.level)),
		{"service_name", state.level.String()},
		jsonStat("service_pinned", pinned),
		jsonStat("service_pinned_for_s", math.Ceil(pinRemaining.Seconds())),
	}
	for i, value := range state.controller.Signals() {
		if !math.IsNaN(value) {
			rounded := math.Round(value*statScale) / statScale
			stats = append(stats, jsonStat("service_"+overload.Signal(i).String(), rounded))
		}
	}
	stats = append(stats, jsonStat("service_changes", state.transitionCount))
	oldest := max(state.transitionCount-historyLength, 0)
	for i := state.transitionCount - 1; i >= oldest; i-- {
		transition := &state.history[i%historyLength]
		stats = append(stats, jsonStat("service_change_"+strconv.Itoa(i), transition))
	}
	return stats
}

// jsonStat returns a statistic with its value as JSON, or "unknown" if JSON can't represent it.
func jsonStat(name string, value any) Stat {
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(`"unknown"`)
	}
	return Stat{name, string(text)}
}
