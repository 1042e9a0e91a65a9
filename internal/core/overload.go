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

// This file keeps the degradation level: it gathers the signals, has package overload decide, notifies the
// decision module and remembers what changed.

const (
	// OverloadSampleInterval is the time between two calls of [Core.SampleOverload].
	OverloadSampleInterval = 250 * time.Millisecond
	// ReservedDivisor is the part, one in so many, of the capacity for requests and for bodies that is
	// reserved for keyed writes from level overload.Handovers on.
	ReservedDivisor = 4
	// historyLength is how many transitions are remembered.
	historyLength = 64
	// statScale is the scale of signals in statistics: four decimal places.
	statScale = 1e4
)

// OverloadConfig configures the degradation under overload.
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
	level         overload.Level // that the decision module was notified of
	timerLag      time.Duration  // the largest delay of a timer since the last sample
	lastListAt    time.Duration  // when a list source last reported, by Core.policyTime
	listsPeriodic bool           // a list source reports periodically, so that its silence is a signal
	pinnedLevel   overload.Level
	pinnedUntil   time.Time // of the pin in force

	transitions int                                // since the start
	history     [historyLength]overload.Transition // a ring: number i is at i%historyLength
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

// configureOverload puts a configuration into force. What the controller knows stays, and a pin that is in
// force already does not begin anew. c.mu is held.
func (c *Core) configureOverload(next *OverloadConfig, now time.Duration) (transitions []overload.Transition) {
	state := &c.overload
	if next.Enabled && !state.enabled { // discard what was counted while nothing was sampled
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
	c.rememberTransitions(transitions)
	c.applyLevel(state.controller.Level())
	return transitions
}

// disableOverload returns to full service. c.mu is held.
func (c *Core) disableOverload(next *OverloadConfig, now time.Duration) (transitions []overload.Transition) {
	state := &c.overload
	if state.level > overload.Full {
		transitions = []overload.Transition{
			{At: now, From: state.level.String(), To: overload.Full.String(), Cause: "off"},
		}
	}
	state.controller = overload.New(next.Timings)
	state.pinnedUntil = time.Time{}
	c.rememberTransitions(transitions)
	c.applyLevel(overload.Full)
	return transitions
}

// SampleOverload takes the signals that only the connections know, as shares of their limits (negative for
// unknown), adds the core's own, and puts the level that follows into force. It is called at intervals of
// OverloadSampleInterval.
func (c *Core) SampleOverload(memory, sockets float64) {
	c.mu.Lock()
	if !c.overload.enabled {
		c.mu.Unlock()
		return
	}
	now := c.policyTime()
	sample := overload.Sample{Signals: c.overloadSignals(now, memory, sockets)}
	transitions := c.overload.controller.Handle(now, sample, nil)
	c.rememberTransitions(transitions)
	c.applyLevel(c.overload.controller.Level())
	c.mu.Unlock()
	c.logTransitions(transitions)
}

// overloadSignals gathers the signals since the last sample. c.mu is held.
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

// rememberTransitions adds transitions to the history. c.mu is held.
func (c *Core) rememberTransitions(transitions []overload.Transition) {
	for _, transition := range transitions {
		c.overload.history[c.overload.transitions%historyLength] = transition
		c.overload.transitions++
	}
}

// applyLevel puts a level into force. c.mu is held.
func (c *Core) applyLevel(level overload.Level) {
	if level != c.overload.level {
		c.overload.level = level
		c.handle(policy.LevelChange{Level: policy.DegradationLevel(level)})
	}
}

// logTransitions logs transitions. It is called without the core's lock.
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

// hasCapacity reports whether one more request may be accepted. From level overload.Handovers on a part of
// the capacity is reserved for keyed writes. c.mu is held.
func (c *Core) hasCapacity(class *policy.Class) bool {
	limit := c.rules.maxInFlight
	if c.overload.level >= overload.Handovers && class.Idempotency != policy.IdempotentWithKey {
		limit -= limit / ReservedDivisor
	}
	return len(c.requests) < limit
}

// Stat is one statistic, as a client can request it.
type Stat struct{ Name, Value string }

// OverloadStats returns the level in force, the signals behind it and the remembered transitions, the latest
// first, each as a JSON object.
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
	stats = append(stats, jsonStat("service_changes", state.transitions))
	oldest := max(state.transitions-historyLength, 0)
	for i := state.transitions - 1; i >= oldest; i-- {
		transition := &state.history[i%historyLength]
		stats = append(stats, jsonStat("service_change_"+strconv.Itoa(i), transition))
	}
	return stats
}

// jsonStat returns a statistic with its value as JSON, "unknown" where JSON has no form for it.
func jsonStat(name string, value any) Stat {
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(`"unknown"`)
	}
	return Stat{name, string(text)}
}
