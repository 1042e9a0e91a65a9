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
	recordsKept            = 64
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

// levels is the state of the level of service. It is guarded by Core.mu.
type levels struct {
	on      bool
	module  *overload.Controller
	meter   overload.Meter
	last    overload.Level // as the decision module was told
	lag     time.Duration  // of timers, the most since the last sample
	told    time.Duration  // when a source last said something
	asks    bool           // there is a source that says something time and again
	kept    [recordsKept]overload.Transition
	changes int // ever
	pin     overload.Level
	until   time.Time // of the pin in force
}

func newLevels(c *OverloadConfig) levels {
	return levels{on: c.Enabled, module: overload.New(c.Limits)}
}

// adopt puts a configuration into force. What the module knows stays, and a pin that is
// the one in force is not begun anew.
func (c *Core) adopt(next *OverloadConfig, now time.Duration) (changed []overload.Transition) {
	l := &c.levels
	if next.Enabled && !l.on { // what went on meanwhile was not sampled, and is no sign of now
		c.balancer.TakeCounters()
		l.meter, l.lag = overload.Meter{}, 0
	}
	l.on = next.Enabled
	l.module.SetTimings(next.Limits)
	if !l.on {
		if l.last > overload.Full {
			changed = []overload.Transition{{At: now, From: l.last.String(), To: overload.Full.String(), Cause: "off"}}
		}
		l.module, l.until = overload.New(next.Limits), time.Time{}
		c.keep(changed)
		c.tellLevel(overload.Full)
		return changed
	}
	if left := time.Until(next.PinnedUntil); left > 0 {
		if !l.until.Equal(next.PinnedUntil) || l.pin != next.PinnedLevel {
			l.pin, l.until = next.PinnedLevel, next.PinnedUntil
			changed = l.module.Handle(now, overload.Pin{Level: next.PinnedLevel, Duration: left}, nil)
		}
	} else {
		l.until = time.Time{}
		changed = l.module.Handle(now, overload.Unpin{}, nil)
	}
	c.keep(changed)
	c.tellLevel(l.module.Level())
	return changed
}

// SampleOverload takes the signals that only the connections know, as shares of their limits
// (negative for unknown), adds its own, and puts the level that follows into force. It is
// called every ServiceTick.
func (c *Core) SampleOverload(memory, sockets float64) {
	c.mu.Lock()
	now, l := c.now(), &c.levels
	if !l.on {
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
	signals[overload.TimerLag], l.lag = l.lag.Seconds(), 0
	signals[overload.Memory], signals[overload.Sockets] = memory, sockets
	if seen.Servers > 0 {
		signals[overload.EjectedNodes] = float64(seen.Ejected) / float64(seen.Servers)
	}
	if l.asks && l.told > 0 {
		signals[overload.EndpointListAge] = (now - l.told).Seconds()
	}
	changed := l.module.Handle(now, overload.Sample{Signals: signals}, nil)
	c.keep(changed)
	c.tellLevel(l.module.Level())
	c.mu.Unlock()
	c.logLevels(changed)
}

// asks tells whether a source of the list gives a sign time and again, so that its silence
// means something.
func asks(c *Config) bool {
	return c.ReconcileLists && slices.ContainsFunc(c.ListSources, discovery.SourceConfig.NeedsConfirmation)
}

// keep remembers changes. c.mu is held.
func (c *Core) keep(changed []overload.Transition) {
	for _, r := range changed {
		c.levels.kept[c.levels.changes%recordsKept] = r
		c.levels.changes++
	}
}

// tellLevel puts a level into force. c.mu is held.
func (c *Core) tellLevel(level overload.Level) {
	if level != c.levels.last {
		c.levels.last = level
		c.handle(policy.LevelChange{Level: policy.DegradationLevel(level)})
	}
}

// logLevels logs changes, without a lock.
func (c *Core) logLevels(changed []overload.Transition) {
	for _, r := range changed {
		c.log.Warn("service level", "from", r.From, "to", r.To, "cause", r.Cause, "figure", r.Value, "bound", r.Threshold, "stay_s", r.MinStaySeconds,
			"also", r.OtherCauses, "pinned", r.Pinned)
	}
}

// OverloadLevel is the level of service in force.
func (c *Core) OverloadLevel() overload.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.levels.last
}

// Stat is one figure, as a client may ask for it.
type Stat struct{ Name, Value string }

// OverloadStats tell the level in force, the figures behind it and the changes that are
// kept, the latest first, each a record in JSON.
func (c *Core) OverloadStats() (list []Stat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.levels
	add := func(name string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			text = []byte(`"unknown"`)
		}
		list = append(list, Stat{name, string(text)})
	}
	add("service_on", l.on)
	add("service_level", uint8(l.last))
	list = append(list, Stat{"service_name", l.last.String()})
	left, pinned := l.module.Pinned()
	add("service_pinned", pinned)
	add("service_pinned_for_s", math.Ceil(left.Seconds()))
	for i, figure := range l.module.Signals() {
		if !math.IsNaN(figure) {
			add("service_"+overload.Signal(i).String(), math.Round(figure*1e4)/1e4)
		}
	}
	add("service_changes", l.changes)
	for i := l.changes - 1; i >= max(l.changes-recordsKept, 0); i-- {
		add("service_change_"+strconv.Itoa(i), &l.kept[i%recordsKept])
	}
	return list
}

// roomFor tells whether one more request may be held: where handovers go first, a part of
// all places is theirs. c.mu is held.
func (c *Core) roomFor(rules *rules, class int) bool {
	most := rules.mostHeld
	if c.levels.last >= overload.Handovers && rules.set.Classes[class].Idempotency != policy.IdempotentWithKey {
		most -= most / ReservedDivisor
	}
	return len(c.requests) < most
}
