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

// This file keeps the level of service: it gathers the signals, has package service decide,
// tells the decision module and remembers what changed.

const (
	// OverloadSampleInterval is the time between two samples of the signals.
	OverloadSampleInterval = 250 * time.Millisecond
	historyLength          = 64
	// ReservedDivisor: one part in so many of held requests and bodies is kept for keyed writes where they go first.
	ReservedDivisor = 4
)

// OverloadConfig says how service is reduced.
type OverloadConfig struct {
	Enabled     bool
	Limits      overload.Timings
	PinnedLevel overload.Level
	PinnedUntil time.Time // zero for no pin
}

// overloadState is the state of the level of service. It is guarded by Core.mu.
type overloadState struct {
	enabled       bool
	controller    *overload.Controller
	meter         overload.Meter
	level         overload.Level // as the decision module was told
	timerLag      time.Duration  // of timers, the most since the last sample
	lastListAt    time.Duration  // when a source last said something
	listsPeriodic bool           // there is a source that says something time and again
	history       [historyLength]overload.Transition
	transitions   int // ever
	pinnedLevel   overload.Level
	pinnedUntil   time.Time // of the pin in force
}

func newOverloadState(c *OverloadConfig) overloadState {
	return overloadState{enabled: c.Enabled, controller: overload.New(c.Limits)}
}

// configureOverload puts a configuration into force. What the module knows stays, and a pin that is
// the one in force is not begun anew.
func (c *Core) configureOverload(next *OverloadConfig, now time.Duration) (changed []overload.Transition) {
	l := &c.overload
	if next.Enabled && !l.enabled { // what went on meanwhile was not sampled, and is no sign of now
		c.balancer.TakeCounters()
		l.meter, l.timerLag = overload.Meter{}, 0
	}
	l.enabled = next.Enabled
	l.controller.SetTimings(next.Limits)
	if !l.enabled {
		if l.level > overload.Full {
			changed = []overload.Transition{{At: now, From: l.level.String(), To: overload.Full.String(), Cause: "off"}}
		}
		l.controller, l.pinnedUntil = overload.New(next.Limits), time.Time{}
		c.rememberTransitions(changed)
		c.applyLevel(overload.Full)
		return changed
	}
	if left := time.Until(next.PinnedUntil); left > 0 {
		if !l.pinnedUntil.Equal(next.PinnedUntil) || l.pinnedLevel != next.PinnedLevel {
			l.pinnedLevel, l.pinnedUntil = next.PinnedLevel, next.PinnedUntil
			changed = l.controller.Handle(now, overload.Pin{Level: next.PinnedLevel, Duration: left}, nil)
		}
	} else {
		l.pinnedUntil = time.Time{}
		changed = l.controller.Handle(now, overload.Unpin{}, nil)
	}
	c.rememberTransitions(changed)
	c.applyLevel(l.controller.Level())
	return changed
}

// SampleOverload takes the signals that only the connections know, as shares of their limits
// (negative for unknown), adds its own, and puts the level that follows into force. It is
// called every ServiceTick.
func (c *Core) SampleOverload(memory, sockets float64) {
	c.mu.Lock()
	now, l := c.now(), &c.overload
	if !l.enabled {
		c.mu.Unlock()
		return
	}
	seen := c.balancer.TakeCounters()
	l.meter.Add(now, overload.Counts{Reads: float64(seen.Reads), LateReads: float64(seen.LateReads), Handovers: float64(seen.Handovers),
		LateHandovers: float64(seen.LateHandovers), Offered: float64(seen.Offered), Rejected: float64(seen.Rejected),
		Fetches: float64(seen.Fetches), FailedFetches: float64(seen.FailedFetches),
		TimedFetches: float64(seen.TimedFetches), FetchTimeSum: seen.FetchTimeSum})
	signals := overload.UnknownSignals()
	l.meter.Fill(&signals)
	signals[overload.TimerLag], l.timerLag = l.timerLag.Seconds(), 0
	signals[overload.Memory], signals[overload.Sockets] = memory, sockets
	if seen.Servers > 0 {
		signals[overload.EjectedNodes] = float64(seen.Ejected) / float64(seen.Servers)
	}
	if l.listsPeriodic && l.lastListAt > 0 {
		signals[overload.EndpointListAge] = (now - l.lastListAt).Seconds()
	}
	changed := l.controller.Handle(now, overload.Sample{Signals: signals}, nil)
	c.rememberTransitions(changed)
	c.applyLevel(l.controller.Level())
	c.mu.Unlock()
	c.logTransitions(changed)
}

// listsArePeriodic tells whether a source of the list gives a sign time and again, so that its silence
// means something.
func listsArePeriodic(c *Config) bool {
	return c.ReconcileLists && slices.ContainsFunc(c.ListSources, discovery.SourceConfig.NeedsConfirmation)
}

// rememberTransitions remembers changes. c.mu is held.
func (c *Core) rememberTransitions(changed []overload.Transition) {
	for _, r := range changed {
		c.overload.history[c.overload.transitions%historyLength] = r
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

// logTransitions logs changes, without a lock.
func (c *Core) logTransitions(changed []overload.Transition) {
	for _, r := range changed {
		c.log.Warn("service level", "from", r.From, "to", r.To, "cause", r.Cause, "figure", r.Value, "bound", r.Threshold, "stay_s", r.MinStaySeconds,
			"also", r.OtherCauses, "pinned", r.Pinned)
	}
}

// OverloadLevel is the level of service in force.
func (c *Core) OverloadLevel() overload.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.level
}

// Stat is one figure, as a client may ask for it.
type Stat struct{ Name, Value string }

// OverloadStats tell the level in force, the figures behind it and the changes that are
// kept, the latest first, each a record in JSON.
func (c *Core) OverloadStats() (list []Stat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.overload
	add := func(name string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			text = []byte(`"unknown"`)
		}
		list = append(list, Stat{name, string(text)})
	}
	add("service_on", l.enabled)
	add("service_level", uint8(l.level))
	list = append(list, Stat{"service_name", l.level.String()})
	left, pinned := l.controller.Pinned()
	add("service_pinned", pinned)
	add("service_pinned_for_s", math.Ceil(left.Seconds()))
	for i, figure := range l.controller.Signals() {
		if !math.IsNaN(figure) {
			add("service_"+overload.Signal(i).String(), math.Round(figure*1e4)/1e4)
		}
	}
	add("service_changes", l.transitions)
	for i := l.transitions - 1; i >= max(l.transitions-historyLength, 0); i-- {
		add("service_change_"+strconv.Itoa(i), &l.history[i%historyLength])
	}
	return list
}

// hasCapacity tells whether one more request may be held: where handovers go first, a part of
// all places is theirs. c.mu is held.
func (c *Core) hasCapacity(rules *rules, class int) bool {
	most := rules.maxInFlight
	if c.overload.level >= overload.Handovers && rules.policy.Classes[class].Idempotency != policy.IdempotentWithKey {
		most -= most / ReservedDivisor
	}
	return len(c.requests) < most
}
