package overload

import (
	"math"
	"time"
)

// Signal is a measured quantity that may call for a level.
type Signal uint8

// The signals.
const (
	LateReads       Signal = iota // share of the requests that ended, other than keyed writes, that were not in time
	LateHandovers                 // the same of keyed writes
	Rejections                    // share of the requests offered that were rejected
	OriginErrors                  // share of the misses and writes that failed
	OriginLatency                 // what the origin adds to fetches and writes, in latency objectives of their classes
	TimerLag                      // seconds by which timers fired late, at most
	Memory                        // share of the limit that is in use
	Sockets                       // share of the client connections that are in use
	EjectedNodes                  // share of the listed nodes that get no requests
	EndpointListAge               // seconds since the sources of the endpoint list last responded
	signalCount
)

// Threshold says at which values of a signal levels are entered, by level from Economy on; 0 where it never calls for
// one. A level is left under Exit times its entry.
type Threshold struct {
	Name  string // of the signal, in transitions and statistics
	Enter [levelCount - 1]float64
	Exit  float64 // share of an entry
}

// Thresholds are the conditions of entry and exit. The origin's latency is among the signals since it shows a brown-out
// before anything has failed. The shares of late and rejected requests begin where the service's promise does (a tenth
// late). Memory ends where the garbage collector can no longer keep under the limit, and shelter frees none. Ejected
// nodes call for no shelter before three quarters are, as the rest still serve their keys.
var Thresholds = [signalCount]Threshold{
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

// String returns the signal's name, as transitions have it.
func (s Signal) String() string {
	if s < signalCount {
		return Thresholds[s].Name
	}
	return "none"
}

// Unknown is the value of a signal that is not available.
var Unknown = math.NaN()

// Signals are the values at one time, by Signal. One that is not finite, or negative, is unknown.
type Signals [signalCount]float64

// UnknownSignals returns signals of which none is known.
func UnknownSignals() (s Signals) {
	for i := range s {
		s[i] = Unknown
	}
	return s
}

// notOver is the time of signalState.overSince for a signal that is under a level's entry.
const notOver = -1

// signalState is what is known of one signal. Its times are of the controller's own clock.
type signalState struct {
	value      float64 // the last one
	known      bool
	receivedAt time.Duration
	calls      Level                     // the level that it calls for
	overSince  [levelCount]time.Duration // by level, since when it has been at or over the entry; notOver if it is not
}

func (s *signalState) reset() {
	*s = signalState{}
	for i := range s.overSince {
		s.overSince[i] = notOver
	}
}

// update takes a new value, which may be unknown.
func (s *signalState) update(threshold *Threshold, value float64, now time.Duration, timings *Timings) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		if s.known && now-s.receivedAt > timings.SignalTimeout {
			s.reset()
		}
		return
	}
	s.known, s.receivedAt, s.value = true, now, value
	calls := Full
	for level := Economy; level < levelCount; level++ {
		enter := threshold.Enter[level-1]
		switch {
		case enter <= 0:
			continue
		case s.value < enter:
			s.overSince[level] = notOver
		case s.overSince[level] == notOver:
			s.overSince[level] = now
		}
		entered := s.overSince[level] != notOver && now-s.overSince[level] >= timings.ConfirmFor
		stays := s.calls >= level && s.value >= threshold.Exit*enter
		if entered || stays {
			calls = level
		}
	}
	s.calls = calls
}
